//! Graceful shutdown.

use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::context::Context;

/// How often the number of requests in flight is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How long the entry has to be idle before it stops serving. In this time, the clients of open connections get a response
/// that ends their connection.
const IDLE_PERIOD: Duration = Duration::from_millis(200);

/// Time for the handlers of aborted requests to return their verdicts.
const ABORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Drains the entry until all requests have completed or are aborted; returns whether all completed.
pub(crate) async fn drain_or_abort(cx: &Context) -> bool {
    tokio::select! {
        // Aborted requests also bring the number in flight to 0, so both branches may become ready together.
        ended = drain(cx) => ended && !cx.abort.is_cancelled(),
        () = cx.abort.cancelled() => {
            log::warn!(
                target: "limpethook",
                requests_in_flight = cx.in_flight.load(Ordering::Acquire);
                "drain_cut_off"
            );
            let _ = tokio::time::timeout(ABORT_TIMEOUT, wait_until_idle(cx)).await;
            false
        }
    }
}

async fn wait_until_idle(cx: &Context) {
    let mut ticks = cx.timer.subscribe_every(POLL_INTERVAL);
    while cx.in_flight.load(Ordering::Acquire) > 0 {
        ticks.recv().await;
    }
}

/// Rejects new requests, resigns ownership and waits for requests in progress; returns whether all completed in time.
async fn drain(cx: &Context) -> bool {
    cx.drain.cancel();
    let in_flight = || cx.in_flight.load(Ordering::Acquire);
    log::info!(target: "limpethook", requests_in_flight = in_flight(); "drain_started");
    if let Some(owner) = &cx.owner {
        owner.resign().await;
    }
    let started = timer::now();
    let mut ticks = cx.timer.subscribe_every(POLL_INTERVAL);
    let mut idle_since = started;
    loop {
        let now = timer::now();
        if in_flight() > 0 {
            idle_since = now;
        } else if now.saturating_duration_since(idle_since) >= IDLE_PERIOD {
            break;
        }
        let elapsed = now.saturating_duration_since(started);
        let is_busy = in_flight() > 0;
        if is_busy
            && cx
                .settings
                .drain_timeout
                .is_some_and(|limit| elapsed >= limit)
        {
            log::warn!(target: "limpethook", requests_in_flight = in_flight(); "drain_timed_out");
            return false;
        }
        ticks.recv().await;
    }
    log::info!(target: "limpethook", entry:% = cx.settings.id; "drain_finished");
    true
}
