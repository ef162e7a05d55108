//! The configuration that an entry needs before it serves.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use membership::revisions::Recovery;
use tokio::task::JoinSet;
use wire::Sections;

use crate::context::Context;

/// Pause between two rounds of asking the store and the peers.
const ROUND_DELAY: Duration = Duration::from_millis(300);

/// Waits until the highest revision of each section is in force, from the store or from all peers that can be reached.
///
/// During an outage of the store every peer is asked, so that a restart does not fall back to an older revision.
pub(crate) async fn recover_config(cx: &Arc<Context>) {
    while !recover_once(cx).await {
        cx.timer.subscribe_after(ROUND_DELAY).recv().await;
    }
    cx.recovered.store(true, Ordering::Release);
}

async fn recover_once(cx: &Arc<Context>) -> bool {
    let seeds = cx.settings.seeds.iter().map(ToString::to_string);
    let mut recovery = Recovery::start(seeds.map(Into::into));
    let stored = distribution::read_store(&*cx.store).await;
    // The peers still have the text in force of a section whose text in the store is faulty.
    if !matches!(&stored, Ok(sections) if distribution::section_errors(sections).is_empty()) {
        ask_peers(cx, &mut recovery).await;
    }
    match stored {
        Ok(sections) => {
            take(cx, &mut recovery, sections).await;
            recovery.record_store_read();
        }
        Err(report) => {
            log::warn!(target: "limpethook", error:% = report.current_context(); "config_not_read");
        }
    }
    recovery.finish().is_ok() && cx.board.config.load().revision > 0
}

async fn ask_peers(cx: &Arc<Context>, recovery: &mut Recovery) {
    let mut fetches: JoinSet<(SocketAddr, errors::Result<Sections>)> = JoinSet::new();
    for seed in cx.settings.seeds.clone() {
        let peers = cx.peers.clone();
        fetches.spawn(async move { (seed, distribution::fetch(&peers, seed, 0).await) });
    }
    while let Some(Ok((seed, result))) = fetches.join_next().await {
        match result {
            Ok(sections) => {
                take(cx, recovery, sections).await;
                recovery.record_answered(&seed.to_string());
            }
            // A peer that recovers itself refuses as well.
            Err(_) => recovery.record_unreachable(&seed.to_string()),
        }
    }
}

async fn take(cx: &Context, recovery: &mut Recovery, sections: Sections) {
    for section in &sections.sections {
        recovery.hold(&section.name, section.revision);
    }
    cx.config_updates.deliver(sections).await;
}
