//! Choosing the path of a request.

use errors::Result;

use crate::call::{Admitted, Answered, Call};
use crate::context::Context;
use crate::{gang, keyed, short};

/// Runs an admitted request to its one outcome.
pub(crate) async fn run(cx: &Context, call: &Call<Admitted>) -> Result<Call<Answered>> {
    if let Some(content) = call.state.content {
        return keyed::run(cx, call, content).await;
    }
    match call.state.request.shape {
        Some(_) => gang::run(cx, call).await,
        None => short::run(cx, call).await,
    }
}
