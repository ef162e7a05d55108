//! Deciding on another try of a request.

use errors::{Error, ErrorKind};
use policy::retry::{may_retry, retry_delay};

use crate::call::{Admitted, Call};
use crate::context::Context;

/// Returns whether another try could end otherwise.
pub(crate) fn is_useful(error: &Error) -> bool {
    !matches!(
        error.kind,
        ErrorKind::InvalidRequest
            | ErrorKind::Unauthenticated
            | ErrorKind::NotFound
            | ErrorKind::TooLarge
            | ErrorKind::Infeasible
            | ErrorKind::Timeout
            | ErrorKind::Cancelled
    )
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
    let budget = call.state.admission.allowance();
    if !may_retry(error.verdict, idempotent, budget, remaining, now) {
        return false;
    }
    let Some(delay) = retry_delay(tries, remaining, &mut fastrand::Rng::new()) else {
        return false;
    };
    cx.metrics.count_retry();
    cx.timer.subscribe_after(delay).recv().await;
    true
}
