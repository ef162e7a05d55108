//! What all parts of the entry share.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

use board::{Board, ConfigSnapshot, Section};
use config::EntrySettings;
use discovery::Locator;
use indexmap::{IndexMap, IndexSet};
use model::{CellId, RegionId, Resources, Revision};
use owner::Owner;
use store::HttpStore;
use timer::Timer;
use tokio_util::sync::CancellationToken;
use wire::{CellSummary, DatagramSocket, OwnerRecord, Peers};

use crate::metrics::Metrics;

/// What an owner reports of its cell.
#[derive(Debug, Clone)]
pub(crate) struct CellReport {
    pub(crate) region: RegionId,
    pub(crate) revision: Revision,
    pub(crate) free: Resources,
    pub(crate) summary: CellSummary,
}

/// The sections that only an entry has; one controller writes each.
#[derive(Debug, Default)]
pub(crate) struct EntryBoard {
    /// The owners of all cells; written by the directory controller.
    pub(crate) owners: Section<IndexMap<CellId, OwnerRecord>>,
    /// Asynchronous jobs without an outcome in each cell; written by the directory controller.
    pub(crate) live_jobs: Section<IndexMap<CellId, u32>>,
    /// The names of all cells in the store, none before they were read; written by the directory controller.
    pub(crate) cells: Section<Option<Vec<CellId>>>,
    /// What the owners report of their cells; written by the directory controller.
    pub(crate) reports: Section<IndexMap<CellId, CellReport>>,
    /// The cells whose directory lists all their agents; written by the directory controller.
    pub(crate) settled: Section<IndexSet<CellId>>,
    /// The configuration received, which may not be in force yet; written by the configuration controller.
    pub(crate) held: Section<ConfigSnapshot>,
}

/// The shared parts of the entry.
pub(crate) struct Context {
    pub(crate) settings: EntrySettings,
    /// The board of the entry: its membership section holds the endpoints of all cells.
    pub(crate) board: Board,
    pub(crate) entry_board: EntryBoard,
    pub(crate) timer: Timer,
    pub(crate) peers: Peers,
    pub(crate) datagrams: Arc<DatagramSocket>,
    pub(crate) store: Arc<HttpStore>,
    pub(crate) locator: Locator,
    pub(crate) owner: Option<Owner>,
    pub(crate) config_updates: distribution::Updates,
    pub(crate) followers: distribution::Followers,
    /// Whether the entry is the relay of its region.
    pub(crate) relaying: AtomicBool,
    /// Whether the configuration was recovered, so that it may be passed on.
    pub(crate) recovered: AtomicBool,
    /// Cancelled when the shutdown begins.
    pub(crate) drain: CancellationToken,
    /// Cancelled when the requests in progress must end at once.
    pub(crate) cut: CancellationToken,
    pub(crate) in_flight: AtomicU32,
    pub(crate) metrics: Metrics,
}

impl Context {
    /// Returns whether the entry is shutting down and takes no new requests.
    pub(crate) fn is_draining(&self) -> bool {
        self.drain.is_cancelled()
    }

    /// Counts a request in progress until the guard is dropped.
    pub(crate) fn enter(&self) -> InFlight<'_> {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        InFlight(&self.in_flight)
    }
}

/// A request in progress.
pub(crate) struct InFlight<'a>(&'a AtomicU32);

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
