//! The HTTP interface for callers and operators.

mod admin;
mod body;
mod errors;
mod requests;
mod status;

use std::sync::Arc;

use salvo::catcher::Catcher;
use salvo::{Router, Service};

use crate::context::Context;

/// Returns all routes, with our error body for paths and methods that there are not.
pub(crate) fn service(cx: &Arc<Context>) -> Service {
    Service::new(router(cx)).catcher(Catcher::new(errors::Unrouted))
}

/// Returns all routes.
fn router(cx: &Arc<Context>) -> Router {
    Router::new()
        .push(Router::with_path("v1/services/{service}/requests").post(requests::Submit::new(cx)))
        .push(Router::with_path("v1/status").get(admin::Status::new(cx)))
        .push(Router::with_path("metrics").get(admin::Metrics::new(cx)))
        .push(Router::with_path("health").get(admin::Health::new(cx)))
}
