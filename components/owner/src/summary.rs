//! The summary controller: publishes the state of the cell for operators.

use std::sync::Arc;
use std::time::Duration;

use model::Resources;
use placement::guarantee_shortfall;
use wire::CellSummary;

use crate::context::Context;

/// How often the summary is computed; checking the guarantees takes too long to do it for each directory call.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);

/// Publishes the summary until the process ends.
pub(crate) async fn run(cx: Arc<Context>) {
    let mut ticks = cx.timer.subscribe_every(SUMMARY_INTERVAL);
    while ticks.recv().await.is_some() {
        if let Some(ownership) = cx.ownership()
            && !ownership.is_recovering()
        {
            ownership.summary.publish(Some(summarize(&cx)));
        }
    }
}

fn summarize(cx: &Context) -> CellSummary {
    let fleet = cx.board.fleet.snapshot();
    let queue = cx.board.queue.snapshot();
    let config = cx.board.config.snapshot();
    let shortfalls = guarantee_shortfall(&fleet, &queue, &config.document);
    let shortfalls = shortfalls.into_iter().map(|shortfall| {
        // A shape consists only of numbers and names, so its serialization cannot fail.
        let shape = serde_json::to_string(&shortfall.shape).unwrap_or_default();
        (shortfall.account, shape.into())
    });
    let free = fleet.free.iter();
    CellSummary {
        free: free.fold(Resources::default(), |sum, free| sum.saturating_add(*free)),
        queued: saturating_u32(queue.queued.len()),
        gangs: saturating_u32(fleet.running.len()),
        shortfalls: shortfalls.collect(),
        quarantined: cx.board.blame.load().quarantined.keys().cloned().collect(),
    }
}

fn saturating_u32(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
