//! The workers of all cells, which are needed to check whether guarantees can be met.

use std::sync::Arc;
use std::time::Duration;

use errors::{Error, ErrorKind, Result};
use indexmap::IndexMap;
use model::{CellId, Worker};
use salvo::prelude::{Depot, FlowCtrl, Handler, Json, Request, Response};
use wire::{Call, Reply};

use super::errors::render;
use crate::context::Context;

/// Timeout of a call to an owner.
const WORKERS_TIMEOUT: Duration = Duration::from_secs(2);

/// Handles `GET /v1/workers`.
pub(crate) struct Workers {
    cx: Arc<Context>,
}

impl Workers {
    pub(crate) fn new(cx: &Arc<Context>) -> Self {
        Self { cx: Arc::clone(cx) }
    }
}

/// Queries every owner; fails if one does not reply, because without its cell guarantees would seem not to fit.
async fn workers(cx: &Context) -> Result<IndexMap<CellId, Vec<Worker>>> {
    let owners = cx.entry_board.owners.snapshot();
    let mut workers = IndexMap::new();
    for (cell, owner) in owners.iter() {
        let reply = cx.peers.call(owner.addr, &Call::Workers, WORKERS_TIMEOUT);
        let Reply::Workers(list) = reply.await? else {
            let message = "unexpected reply to Workers";
            return Err(Error::not_run(ErrorKind::Internal, message).report());
        };
        workers.insert(cell.clone(), list);
    }
    Ok(workers)
}

#[salvo::async_trait]
impl Handler for Workers {
    async fn handle(
        &self,
        _req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        match workers(&self.cx).await {
            Ok(workers) => res.render(Json(workers)),
            Err(report) => render(res, report.current_context()),
        }
    }
}
