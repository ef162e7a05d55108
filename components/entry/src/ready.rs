//! The configuration that an entry needs before it serves.

use std::sync::Arc;
use std::time::Duration;

use crate::context::Context;

/// Pause between two rounds of asking the store and the peers.
const ROUND_DELAY: Duration = Duration::from_millis(300);

/// Waits until a configuration is in force, from the store or from any peer.
///
/// During an outage of the store every peer is asked, so that a restart does not fall back to an older revision.
pub(crate) async fn wait_for_config(cx: &Arc<Context>) {
    while cx.board.config.load().revision == 0 {
        match distribution::read_store(&*cx.store).await {
            Ok(sections) => drop(cx.config_updates.send(sections).await),
            Err(report) => {
                log::warn!(target: "limpethook", error:% = report.current_context(); "config_not_read");
                ask_peers(cx).await;
            }
        }
        cx.timer.subscribe_after(ROUND_DELAY).recv().await;
    }
}

async fn ask_peers(cx: &Context) {
    for seed in &cx.settings.seeds {
        if let Ok(sections) = distribution::fetch(&cx.peers, *seed, 0).await {
            let _ = cx.config_updates.send(sections).await;
        }
    }
}
