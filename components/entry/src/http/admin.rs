//! Status, metrics and health.

use std::sync::Arc;

use salvo::http::StatusCode;
use salvo::prelude::{Depot, FlowCtrl, Handler, Json, Request, Response, Text};
use serde::Serialize;

use crate::context::Context;

/// Handles `GET /v1/status`.
pub(crate) struct Status {
    cx: Arc<Context>,
}

/// Handles `GET /metrics`.
pub(crate) struct Metrics {
    cx: Arc<Context>,
}

/// Handles `GET /health`, which tells the load balancer whether to send requests.
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

#[derive(Debug, Serialize)]
struct StatusBody {
    entry: Box<str>,
    draining: bool,
    config_revision: u64,
    requests_in_flight: u32,
    cells: Vec<CellStatus>,
    endpoints: Vec<EndpointStatus>,
}

#[derive(Debug, Serialize)]
struct CellStatus {
    cell: Box<str>,
    owner: Box<str>,
    epoch: u64,
}

#[derive(Debug, Serialize)]
struct EndpointStatus {
    endpoint: Box<str>,
    service: Box<str>,
    region: Box<str>,
    data_centre: Box<str>,
    slots: u32,
    free: u32,
}

fn status(cx: &Context) -> StatusBody {
    let owners = cx.entry_board.owners.load();
    let directory = cx.board.membership.load();
    StatusBody {
        entry: cx.settings.id.clone(),
        draining: cx.is_draining(),
        config_revision: cx.board.config.load().revision,
        requests_in_flight: cx.in_flight.load(std::sync::atomic::Ordering::Relaxed),
        cells: owners
            .iter()
            .map(|(cell, owner)| CellStatus {
                cell: cell.clone(),
                owner: owner.owner.clone(),
                epoch: owner.epoch,
            })
            .collect(),
        endpoints: directory
            .serving
            .values()
            .map(|endpoint| EndpointStatus {
                endpoint: endpoint.id.clone(),
                service: endpoint.service.clone(),
                region: endpoint.place.region.clone(),
                data_centre: endpoint.place.data_centre.clone(),
                slots: endpoint.slots,
                free: endpoint.state.free,
            })
            .collect(),
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
        res.render(Text::Plain(self.cx.metrics.text(&self.cx)));
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
