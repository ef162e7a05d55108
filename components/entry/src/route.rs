//! Choosing the path of a request.

use errors::Result;

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
