//! Choosing the path of a request and deciding on another try.

use errors::{Error, ErrorKind, Result, Verdict};

use crate::call::{Admitted, Answered, Call};
use crate::context::Context;
use crate::{gang, short};

/// Runs an admitted request to its one outcome.
pub(crate) async fn run(cx: &Context, call: &Call<Admitted>) -> Result<Call<Answered>> {
    match call.state.request.shape {
        Some(_) => gang::run(cx, call).await,
        None => short::run(cx, call).await,
    }
}

/// Returns whether another try may be made after an error.
pub(crate) fn may_retry(error: &Error, idempotent: bool) -> bool {
    let allowed =
        error.verdict == Verdict::NotRun || (idempotent && error.verdict == Verdict::MayHaveRun);
    let useful = !matches!(
        error.kind,
        ErrorKind::InvalidRequest
            | ErrorKind::Unauthenticated
            | ErrorKind::NotFound
            | ErrorKind::TooLarge
            | ErrorKind::Infeasible
            | ErrorKind::Timeout
            | ErrorKind::Cancelled
    );
    allowed && useful
}
