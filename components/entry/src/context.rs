//! State shared by the controllers and request handlers of an entry.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};

use board::{Board, ConfigSnapshot, Section};
use config::EntrySettings;
use discovery::Locator;
use indexmap::{IndexMap, IndexSet};
use ingress::ClientBoard;
use model::{CellId, RegionId, Revision};
use owner::Owner;
use store::HttpStore;
use timer::Timer;
use tokio_util::sync::CancellationToken;
use wire::{CellSummary, DatagramSocket, OwnerRecord, Peers};

use crate::metrics::Metrics;
use crate::silent::SilentEndpoints;

/// Status of a cell, as reported by its owner.
#[derive(Debug, Clone)]
pub(crate) struct CellReport {
    pub(crate) region: RegionId,
    pub(crate) revision: Revision,
    /// State of the cell, if the owner knows it; read it with [`CellReport::summary`].
    pub(crate) summary: Option<CellSummary>,
    pub(crate) received: Instant,
}

/// How long the state of a cell is shown as the present one: the owner replies within 1 s, and a call to an owner that is lost ends
/// after 2 s.
const SUMMARY_VALIDITY: Duration = Duration::from_secs(4);

impl CellReport {
    /// Returns the state of the cell unless it is not known, or was reported too long ago because the owner is lost or this process
    /// was paused.
    pub(crate) fn summary(&self, now: Instant) -> Option<&CellSummary> {
        let is_recent = now.saturating_duration_since(self.received) < SUMMARY_VALIDITY;
        self.summary.as_ref().filter(|_| is_recent)
    }
}

/// Board sections specific to the entry; each is written by a single controller.
#[derive(Debug, Default)]
pub(crate) struct EntryBoard {
    /// The owner of each cell; written by the directory controller.
    pub(crate) owners: Section<IndexMap<CellId, OwnerRecord>>,
    /// The number of asynchronous jobs without an outcome in each cell, as last told by an owner that knew it; written by the directory
    /// controller.
    pub(crate) live_jobs: Section<IndexMap<CellId, u32>>,
    /// The names of all cells in the store, `None` until the first read; written by the directory controller.
    pub(crate) cells: Section<Option<Vec<CellId>>>,
    /// The status of each cell; written by the directory controller.
    pub(crate) reports: Section<IndexMap<CellId, CellReport>>,
    /// The cells whose directory includes every live agent; written by the directory controller.
    pub(crate) settled_cells: Section<IndexSet<CellId>>,
    /// The endpoints that left the directories while their agents may still run requests; written by the directory
    /// controller.
    pub(crate) silent_endpoints: Section<SilentEndpoints>,
    /// The latest configuration received, which may not be in force yet; written by the configuration controller.
    pub(crate) received_config: Section<ConfigSnapshot>,
}

/// Shared state of the entry.
pub(crate) struct Context {
    pub(crate) settings: EntrySettings,
    /// The board of the entry, whose membership section contains the endpoints of all cells.
    pub(crate) board: Board,
    pub(crate) entry_board: EntryBoard,
    pub(crate) timer: Timer,
    pub(crate) peers: Peers,
    pub(crate) datagrams: Arc<DatagramSocket>,
    pub(crate) store: Arc<HttpStore>,
    pub(crate) locator: Locator,
    pub(crate) owner: Option<Owner>,
    pub(crate) config_updates: distribution::UpdateSender,
    pub(crate) followers: distribution::Followers,
    /// Whether this entry is the relay of its region.
    pub(crate) is_relay: AtomicBool,
    /// Whether the configuration was recovered and may be served to peers.
    pub(crate) config_recovered: AtomicBool,
    /// Cancelled when graceful shutdown begins.
    pub(crate) drain: CancellationToken,
    /// Cancelled when requests in progress must be aborted.
    pub(crate) abort: CancellationToken,
    pub(crate) in_flight: AtomicU32,
    pub(crate) metrics: Metrics,
    /// Account of what callers make the process hold.
    pub(crate) clients: Arc<ClientBoard>,
}

impl Context {
    /// Returns whether the entry is shutting down and rejects new requests.
    pub(crate) fn is_draining(&self) -> bool {
        self.drain.is_cancelled()
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub(crate) fn track_request(&self) -> InFlightGuard<'_> {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        InFlightGuard(&self.in_flight)
    }
}

/// Decrements the number of requests in flight when dropped.
pub(crate) struct InFlightGuard<'a>(&'a AtomicU32);

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
