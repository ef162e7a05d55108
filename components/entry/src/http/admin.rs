//! Status, metrics and health endpoints.

use std::sync::Arc;

use crate::context::Context;
use crate::http::status::status;
use salvo::http::StatusCode;
use salvo::prelude::{Depot, FlowCtrl, Handler, Json, Request, Response, Text};

/// Handles `GET /v1/status`.
pub(crate) struct Status {
    cx: Arc<Context>,
}

/// Handles `GET /metrics`.
pub(crate) struct Metrics {
    cx: Arc<Context>,
}

/// Handles `GET /health`, the health check of the load balancer.
pub(crate) struct Health {
    cx: Arc<Context>,
}

impl Status {
    pub(crate) fn new(cx: &Arc<Context>) -> Self {
        Self { cx: Arc::clone(cx) }
    }
}

impl Metrics {
    pub(crate) fn new(cx: &Arc<Context>) -> Self {
        Self { cx: Arc::clone(cx) }
    }
}

impl Health {
    pub(crate) fn new(cx: &Arc<Context>) -> Self {
        Self { cx: Arc::clone(cx) }
    }
}

#[salvo::async_trait]
impl Handler for Status {
    async fn handle(
        &self,
        _req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        res.render(Json(status(&self.cx)));
    }
}

#[salvo::async_trait]
impl Handler for Metrics {
    async fn handle(
        &self,
        _req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let text = self.cx.metrics.text(&self.cx) + &self.cx.clients.metrics_text();
        res.render(Text::Plain(text));
    }
}

#[salvo::async_trait]
impl Handler for Health {
    async fn handle(
        &self,
        _req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        if self.cx.is_draining() {
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
        }
        res.render(Text::Plain(if self.cx.is_draining() {
            "draining"
        } else {
            "ok"
        }));
    }
}
