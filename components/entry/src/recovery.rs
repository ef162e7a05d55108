//! Recovery of the configuration, which an entry needs before it accepts requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use membership::revisions::Recovery;
use tokio::task::JoinSet;
use wire::Sections;

use crate::context::Context;

/// Delay between two attempts to read the store and the peers.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Waits until the highest revision of each section, from the store or from all reachable peers, is in force.
///
/// During a store outage every peer is queried, so that a restart does not fall back to an older revision.
pub(crate) async fn recover_config(cx: &Arc<Context>) {
    while !try_recover(cx).await {
        cx.timer.subscribe_after(RETRY_INTERVAL).recv().await;
    }
    cx.config_recovered.store(true, Ordering::Release);
}

async fn try_recover(cx: &Arc<Context>) -> bool {
    let seeds = cx.settings.seeds.iter().map(ToString::to_string);
    let mut recovery = Recovery::start(seeds.map(Into::into));
    let stored = distribution::read_store(&*cx.store).await;
    // If a section in the store is invalid, the peers still have the revision in force.
    if !matches!(&stored, Ok(sections) if distribution::faults(sections).is_empty()) {
        fetch_from_peers(cx, &mut recovery).await;
    }
    match stored {
        Ok(sections) => {
            deliver(cx, &mut recovery, sections).await;
            recovery.record_store_read();
        }
        Err(report) => {
            log::warn!(target: "limpethook", error:% = report.current_context(); "config_not_read");
        }
    }
    recovery.finish().is_ok() && cx.board.config.load().revision > 0
}

async fn fetch_from_peers(cx: &Arc<Context>, recovery: &mut Recovery) {
    let mut fetches: JoinSet<(SocketAddr, errors::Result<Sections>)> = JoinSet::new();
    for seed in cx.settings.seeds.clone() {
        let peers = cx.peers.clone();
        fetches.spawn(async move { (seed, distribution::fetch(&peers, seed, 0).await) });
    }
    while let Some(Ok((seed, result))) = fetches.join_next().await {
        match result {
            Ok(sections) => {
                deliver(cx, recovery, sections).await;
                recovery.record_answered(&seed.to_string());
            }
            // Includes peers that reject the call because they are recovering themselves.
            Err(_) => recovery.record_unreachable(&seed.to_string()),
        }
    }
}

async fn deliver(cx: &Context, recovery: &mut Recovery, sections: Sections) {
    for section in &sections.sections {
        recovery.hold(&section.name, section.revision);
    }
    cx.config_updates.deliver(sections).await;
}
