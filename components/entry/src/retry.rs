//! Retry decisions for failed requests.

use error_stack::Report;
use errors::{Error, ErrorKind, Verdict};
use policy::retry::{may_retry, retry_delay};

use crate::call::{Admitted, Call};
use crate::context::Context;

/// Merges the verdict of earlier tries into the error: a request is "not run" only if every try was "not run".
pub(crate) fn with_earlier_verdict(earlier: Verdict, report: Report<Error>) -> Report<Error> {
    let error = report.current_context();
    if earlier == Verdict::NotRun || error.verdict != Verdict::NotRun {
        return report;
    }
    let error = Error {
        verdict: Verdict::MayHaveRun,
        ..error.clone()
    };
    error.report()
}

/// Waits before a request whose gang was stopped is placed again; returns false if it may not run again.
///
/// Gangs are stopped by the owner, whose queue bounds the load, so this does not count against the retry budget.
pub(crate) async fn pause_before_requeue(cx: &Context, call: &Call<Admitted>, tries: u32) -> bool {
    let Ok(remaining) = call.remaining(timer::now()) else {
        return false;
    };
    let delay = retry_delay(tries, remaining, &mut fastrand::Rng::new());
    let Some(delay) = delay.filter(|_| call.state.request.is_preemptible()) else {
        return false;
    };
    cx.metrics.count_retry();
    cx.timer.subscribe_after(delay).recv().await;
    true
}

/// Waits before the next try; returns false if the verdict, the retry budget or the deadline forbids one.
pub(crate) async fn pause_before_retry(
    cx: &Context,
    call: &Call<Admitted>,
    error: &Error,
    tries: u32,
) -> bool {
    let now = timer::now();
    let Ok(remaining) = call.remaining(now) else {
        return false;
    };
    let idempotent = call.state.request.idempotent;
    let budget = call.state.admission.quota();
    // A draining endpoint rejects requests immediately and soon leaves the directory, so these retries cannot increase
    // the load and do not need the retry budget.
    let is_draining = error.kind == ErrorKind::Draining && error.verdict == Verdict::NotRun;
    if !is_draining && !may_retry(error.verdict, idempotent, budget, remaining, now) {
        return false;
    }
    let Some(delay) = retry_delay(tries, remaining, &mut fastrand::Rng::new()) else {
        return false;
    };
    cx.metrics.count_retry();
    cx.timer.subscribe_after(delay).recv().await;
    true
}
