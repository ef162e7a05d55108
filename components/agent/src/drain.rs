//! Graceful shutdown.

use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::context::Context;

/// How often the end of the last request is checked for.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How long outcomes wait for an owner; a new owner needs its lease term of 3 s and a few calls.
const READ_LIMIT: Duration = Duration::from_secs(10);

/// Time for the requests that are cut off to return their verdicts.
const CUT_LIMIT: Duration = Duration::from_millis(300);

/// Drains until all work ended or the work in progress is cut off; returns whether all ended.
pub(crate) async fn drain_or_cut(cx: &Context) -> bool {
    tokio::select! {
        // Requests that are cut off end the drain as well.
        ended = drain(cx) => ended && !cx.cut.is_cancelled(),
        () = cx.cut.cancelled() => {
            log::warn!(target: "limpethook", slots_used = cx.slots.used(), queued = cx.slots.waiting(); "drain_cut_off");
            let _ = tokio::time::timeout(CUT_LIMIT, requests_ended(cx)).await;
            false
        }
    }
}

async fn requests_ended(cx: &Context) {
    let mut checks = cx.timer.subscribe_every(CHECK_INTERVAL);
    while cx.slots.used() > 0 || cx.slots.waiting() > 0 {
        checks.recv().await;
    }
}

/// Refuses new work, waits until nothing runs any more or the configured time is over, and returns whether all ended.
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
            .is_some_and(|limit| elapsed >= limit)
        {
            log::warn!(target: "limpethook", slots_used = cx.slots.used(); "drain_timed_out");
            return false;
        }
        checks.recv().await;
    }
    wait_for_readers(cx).await;
    log::info!(target: "limpethook", agent:% = cx.settings.id; "drain_finished");
    true
}

/// Gives owners a bounded time to read the outcomes of asynchronous jobs, which end with this process.
async fn wait_for_readers(cx: &Context) {
    let mut checks = cx.timer.subscribe_every(CHECK_INTERVAL);
    let started = timer::now();
    while cx.unread.load(Ordering::Acquire) > 0
        && timer::now().saturating_duration_since(started) < READ_LIMIT
    {
        checks.recv().await;
    }
}

fn is_idle(cx: &Context) -> bool {
    cx.slots.used() == 0 && cx.slots.waiting() == 0 && cx.board.gangs.load().is_empty()
}
