//! The status report for operators.

use std::sync::atomic::Ordering;

use indexmap::IndexMap;
use model::{AccountId, CellId, Epoch, Resources, Revision, WorkerId};
use serde::Serialize;
use wire::{CellSummary, OwnerRecord};

use crate::context::{CellReport, Context};

type Counts = IndexMap<&'static str, u64>;

#[derive(Debug, Serialize)]
pub(crate) struct StatusBody {
    entry: Box<str>,
    draining: bool,
    config_revision: Revision,
    requests_in_flight: u32,
    cells: Vec<CellStatus>,
    endpoints: Vec<EndpointStatus>,
    store_calls: Counts,
    datagrams: Counts,
    peer_bytes: Counts,
}

#[derive(Debug, Serialize)]
struct CellStatus {
    cell: CellId,
    owner: Box<str>,
    epoch: Epoch,
    region: Box<str>,
    config_revision: Revision,
    /// Fields of the state of the cell, which are null while it is not known.
    #[serde(flatten)]
    state: CellState,
}

#[derive(Debug, Default, Serialize)]
struct CellState {
    free: Option<Resources>,
    queued: Option<u32>,
    gangs: Option<u32>,
    guarantee_shortfalls: Option<Vec<ShortfallStatus>>,
    quarantined_workers: Option<Vec<WorkerId>>,
}

#[derive(Debug, Serialize)]
struct ShortfallStatus {
    account: AccountId,
    shape: serde_json::Value,
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

/// Collects the status from the board and the traffic counters.
pub(crate) fn status(cx: &Context) -> StatusBody {
    let owners = cx.entry_board.owners.load();
    let reports = cx.entry_board.reports.load();
    let cells = owners.iter().filter_map(|(cell, owner)| {
        let report = reports.get(cell)?;
        Some(cell_status(cell, owner, report))
    });
    StatusBody {
        entry: cx.settings.id.clone(),
        draining: cx.is_draining(),
        config_revision: cx.board.config.load().revision,
        requests_in_flight: cx.in_flight.load(Ordering::Relaxed),
        cells: cells.collect(),
        endpoints: endpoints(cx),
        store_calls: cx.store.call_counts().by_kind().into_iter().collect(),
        datagrams: cx.datagrams.counts().by_outcome().into_iter().collect(),
        peer_bytes: cx.peers.bytes().by_direction().into_iter().collect(),
    }
}

fn cell_status(cell: &CellId, owner: &OwnerRecord, report: &CellReport) -> CellStatus {
    let state = report.summary(timer::now()).map(cell_state);
    CellStatus {
        cell: cell.clone(),
        owner: owner.owner.clone(),
        epoch: owner.epoch,
        region: report.region.clone(),
        config_revision: report.revision,
        state: state.unwrap_or_default(),
    }
}

fn cell_state(summary: &CellSummary) -> CellState {
    let shortfalls = summary.shortfalls.iter();
    let shortfalls = shortfalls.map(|(account, shape)| ShortfallStatus {
        account: account.clone(),
        shape: serde_json::from_str(shape).unwrap_or_default(),
    });
    CellState {
        free: Some(summary.free),
        queued: Some(summary.queued),
        gangs: Some(summary.gangs),
        guarantee_shortfalls: Some(shortfalls.collect()),
        quarantined_workers: Some(summary.quarantined.clone()),
    }
}

fn endpoints(cx: &Context) -> Vec<EndpointStatus> {
    let directory = cx.board.membership.load();
    let serving = directory.serving.values();
    serving
        .map(|endpoint| EndpointStatus {
            endpoint: endpoint.id.clone(),
            service: endpoint.service.clone(),
            region: endpoint.location.region.clone(),
            data_centre: endpoint.location.data_centre.clone(),
            slots: endpoint.slots,
            free: endpoint.state.free,
        })
        .collect()
}
