//! Deciding on another try of a request.

use error_stack::Report;
use errors::{Error, ErrorKind, Verdict};
use policy::retry::{may_retry, retry_delay};

use crate::call::{Admitted, Call};
use crate::context::Context;

/// Returns the error for the caller: "not run" holds for the request only if it holds for every try.
pub(crate) fn with_earlier_tries(earlier: Verdict, report: Report<Error>) -> Report<Error> {
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

/// Waits until a request whose gang stopped may return to the queue of its cell; false if it may not run again.
///
/// The owner stops gangs by its own decision and its queue bounds the work, so this takes nothing from the retry budget.
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

/// Waits until another try may be made; false if the verdict, the retry budget or the deadline forbids it.
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
    // A leaving endpoint refuses at once, and the directory names it for a moment only, so the load cannot grow by this.
    let leaves = error.kind == ErrorKind::Draining && error.verdict == Verdict::NotRun;
    if !leaves && !may_retry(error.verdict, idempotent, budget, remaining, now) {
        return false;
    }
    let Some(delay) = retry_delay(tries, remaining, &mut fastrand::Rng::new()) else {
        return false;
    };
    cx.metrics.count_retry();
    cx.timer.subscribe_after(delay).recv().await;
    true
}
