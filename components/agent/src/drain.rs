//! Graceful shutdown.

use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::context::Context;

/// Interval between checks for remaining work.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How long a drain waits for owners to read outcomes; a new owner needs the lease term of 3 s and a few calls.
const OUTCOME_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for aborted requests to return their verdicts.
const ABORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Drains until all work has ended or the work in progress is aborted; returns whether all work ended.
pub(crate) async fn drain_or_abort(cx: &Context) -> bool {
    tokio::select! {
        // Aborted requests also complete the drain.
        all_ended = drain(cx) => all_ended && !cx.abort.is_cancelled(),
        () = cx.abort.cancelled() => {
            log::warn!(target: "limpethook", slots_used = cx.slots.used(), queued = cx.slots.queued(); "drain_cut_off");
            let _ = tokio::time::timeout(ABORT_TIMEOUT, wait_for_requests(cx)).await;
            false
        }
    }
}

async fn wait_for_requests(cx: &Context) {
    let mut checks = cx.timer.subscribe_every(CHECK_INTERVAL);
    while cx.slots.used() > 0 || cx.slots.queued() > 0 {
        checks.recv().await;
    }
}

/// Refuses new work and waits until none is left or the drain timeout passes; returns whether all work ended.
async fn drain(cx: &Context) -> bool {
    cx.drain.cancel();
    log::info!(target: "limpethook", slots_used = cx.slots.used(), gangs = cx.board.gangs.load().len(); "drain_started");
    let mut checks = cx.timer.subscribe_every(CHECK_INTERVAL);
    let started = timer::now();
    while !is_idle(cx) {
        let elapsed = timer::now().saturating_duration_since(started);
        if cx
            .settings
            .drain_timeout
            .is_some_and(|timeout| elapsed >= timeout)
        {
            log::warn!(target: "limpethook", slots_used = cx.slots.used(); "drain_timed_out");
            return false;
        }
        checks.recv().await;
    }
    wait_for_outcome_reads(cx).await;
    log::info!(target: "limpethook", agent:% = cx.settings.id; "drain_finished");
    true
}

/// Gives owners a bounded time to read the outcomes of asynchronous jobs, which are lost when this process exits.
async fn wait_for_outcome_reads(cx: &Context) {
    let mut checks = cx.timer.subscribe_every(CHECK_INTERVAL);
    let started = timer::now();
    while cx.unread_outcomes.load(Ordering::Acquire) > 0
        && timer::now().saturating_duration_since(started) < OUTCOME_READ_TIMEOUT
    {
        checks.recv().await;
    }
}

fn is_idle(cx: &Context) -> bool {
    cx.slots.used() == 0 && cx.slots.queued() == 0 && cx.board.gangs.load().is_empty()
}
