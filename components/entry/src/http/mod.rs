//! The HTTP interface for callers and operators.

mod admin;
mod errors;
mod requests;
mod workers;

use std::sync::Arc;

use salvo::Router;

use crate::context::Context;

/// Returns all routes.
pub(crate) fn router(cx: &Arc<Context>) -> Router {
    Router::new()
        .push(Router::with_path("v1/services/{service}/requests").post(requests::Submit::new(cx)))
        .push(Router::with_path("v1/status").get(admin::Status::new(cx)))
        .push(Router::with_path("v1/workers").get(workers::Workers::new(cx)))
        .push(Router::with_path("metrics").get(admin::Metrics::new(cx)))
        .push(Router::with_path("health").get(admin::Health::new(cx)))
}
