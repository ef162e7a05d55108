//! Graceful shutdown.

use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::context::Context;

/// How often the end of the last request is checked for.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Refuses new requests, hands over the ownership, waits for requests in progress, and returns whether all ended.
pub(crate) async fn drain(cx: &Context) -> bool {
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
