//! The HTTP interface for callers and operators.

mod admin;
mod body;
mod errors;
mod jobs;
mod requests;
mod status;
mod workers;

use std::sync::Arc;

use salvo::catcher::Catcher;
use salvo::http::HeaderValue;
use salvo::http::header::CONNECTION;
use salvo::prelude::{Depot, FlowCtrl, Handler, Request, Response, async_trait};
use salvo::{Router, Service};

use crate::context::Context;

/// Returns the HTTP service, which also renders an error body for unknown paths and methods.
pub(crate) fn service(cx: &Arc<Context>) -> Service {
    Service::new(router(cx))
        .hoop(ingress::track_exchanges(&cx.clients))
        .catcher(Catcher::new(errors::ErrorCatcher))
}

fn router(cx: &Arc<Context>) -> Router {
    Router::new()
        .hoop(CloseWhileDraining(Arc::clone(cx)))
        .push(Router::with_path("v1/services/{service}/requests").post(requests::Submit::new(cx)))
        .push(Router::with_path("v1/services/{service}/jobs").post(jobs::Jobs::submit(cx)))
        .push(
            Router::with_path("v1/jobs/{id}")
                .get(jobs::Jobs::status(cx))
                .delete(jobs::Jobs::cancel(cx)),
        )
        .push(Router::with_path("v1/jobs/{id}/result").get(jobs::Jobs::result(cx)))
        .push(Router::with_path("v1/status").get(admin::Status::new(cx)))
        .push(Router::with_path("v1/workers").get(workers::Workers::new(cx)))
        .push(Router::with_path("metrics").get(admin::Metrics::new(cx)))
        .push(Router::with_path("health").get(admin::Health::new(cx)))
}

/// Ends keep-alive connections with their next response while the entry drains. A client that sent a request at the moment
/// at which the server closes its connection would get no response.
struct CloseWhileDraining(Arc<Context>);

#[async_trait]
impl Handler for CloseWhileDraining {
    async fn handle(
        &self,
        req: &mut Request,
        depot: &mut Depot,
        res: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        ctrl.call_next(req, depot, res).await;
        if self.0.drain.is_cancelled() {
            let close = HeaderValue::from_static("close");
            res.headers_mut().insert(CONNECTION, close);
        }
    }
}
