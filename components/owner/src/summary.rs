//! The summary controller: the state of the cell for operators.

use std::sync::Arc;
use std::time::Duration;

use placement::guarantee_shortfall;
use wire::CellSummary;

use crate::context::Context;

/// How often the summary is made; the check of the guarantees is too long for each directory call.
const INTERVAL: Duration = Duration::from_secs(1);

/// Publishes the summary until the process ends.
pub(crate) async fn run(cx: Arc<Context>) {
    let mut ticks = cx.timer.subscribe_every(INTERVAL);
    while ticks.recv().await.is_some() {
        let summary = if cx.epoch() == 0 {
            CellSummary::default()
        } else {
            summary(&cx)
        };
        cx.summary.publish(summary);
    }
}

fn summary(cx: &Context) -> CellSummary {
    let fleet = cx.board.fleet.snapshot();
    let queue = cx.board.queue.snapshot();
    let config = cx.board.config.snapshot();
    let shortfalls = guarantee_shortfall(&fleet, &queue, &config.document);
    let shortfalls = shortfalls.into_iter().map(|shortfall| {
        // A shape holds only numbers and names, so it always encodes.
        let shape = serde_json::to_string(&shortfall.shape).unwrap_or_default();
        (shortfall.account, shape.into())
    });
    CellSummary {
        queued: count(queue.queued.len()),
        gangs: count(fleet.running.len()),
        shortfalls: shortfalls.collect(),
        quarantined: cx.board.blame.load().quarantined.keys().cloned().collect(),
    }
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
