//! Graceful shutdown.

use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::context::Context;

/// How often the end of the last request is checked for.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Time for the handlers of cut off requests to return their verdicts.
const CUT_LIMIT: Duration = Duration::from_millis(300);

/// Drains until all requests ended or the requests in progress are cut off; returns whether all ended.
pub(crate) async fn drain_or_cut(cx: &Context) -> bool {
    tokio::select! {
        // Requests that are cut off end the drain as well.
        ended = drain(cx) => ended && !cx.cut.is_cancelled(),
        () = cx.cut.cancelled() => {
            log::warn!(target: "limpethook", requests_in_flight = cx.in_flight.load(Ordering::Acquire); "drain_cut_off");
            let _ = tokio::time::timeout(CUT_LIMIT, all_ended(cx)).await;
            false
        }
    }
}

async fn all_ended(cx: &Context) {
    let mut checks = cx.timer.subscribe_every(CHECK_INTERVAL);
    while cx.in_flight.load(Ordering::Acquire) > 0 {
        checks.recv().await;
    }
}

/// Refuses new requests, hands over the ownership, waits for requests in progress, and returns whether all ended.
async fn drain(cx: &Context) -> bool {
    cx.drain.cancel();
    let in_flight = || cx.in_flight.load(Ordering::Acquire);
    log::info!(target: "limpethook", requests_in_flight = in_flight(); "drain_started");
    if let Some(owner) = &cx.owner {
        owner.resign().await;
    }
    let started = timer::now();
    let mut checks = cx.timer.subscribe_every(CHECK_INTERVAL);
    while in_flight() > 0 {
        let elapsed = timer::now().saturating_duration_since(started);
        if cx
            .settings
            .drain_timeout
            .is_some_and(|limit| elapsed >= limit)
        {
            log::warn!(target: "limpethook", requests_in_flight = in_flight(); "drain_timed_out");
            return false;
        }
        checks.recv().await;
    }
    log::info!(target: "limpethook", entry:% = cx.settings.id; "drain_finished");
    true
}
