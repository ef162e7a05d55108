//! Selects how a request is run: with an idempotency key, as a gang, or directly on an endpoint.

use errors::Result;

use crate::call::{Admitted, Answered, Call};
use crate::context::Context;
use crate::{direct, gang, idempotency};

/// Runs an admitted request and returns its answer or error.
pub(crate) async fn run(cx: &Context, call: &Call<Admitted>) -> Result<Call<Answered>> {
    if let Some(content_digest) = call.state.content_digest {
        return idempotency::run(cx, call, content_digest).await;
    }
    match call.state.request.shape {
        Some(_) => gang::run(cx, call).await,
        None => direct::run(cx, call).await,
    }
}
