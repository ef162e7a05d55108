//! State shared by the controllers of the owner.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use board::{Board, Section};
use model::{CellId, EntryId, Epoch, RegionId};
use store::KvStore;
use timer::Timer;
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;
use wire::{CellSummary, DatagramSocket, EndpointEntry, Peers};

use crate::OwnerDependencies;
use crate::claims::ClaimEvent;
use crate::jobs::Jobs;
use crate::members::MemberEvent;
use crate::observations::ObservationEvent;
use crate::scheduler::SchedulerEvent;

/// Settings of the owner.
#[derive(Debug, Clone)]
pub struct OwnerSettings {
    /// The entry that runs the owner.
    pub id: EntryId,
    /// The cell to own.
    pub cell: CellId,
    /// The region of the process.
    pub region: RegionId,
    /// The address of the process for calls and datagrams.
    pub addr: SocketAddr,
}

/// The settings, sections, services and event channels of the owner.
pub(crate) struct Context {
    pub(crate) settings: OwnerSettings,
    pub(crate) board: Arc<Board>,
    /// The endpoint directory for entries; written by the membership controller.
    ///
    /// Separate from the membership section because that changes with each heartbeat, and this only with an endpoint.
    pub(crate) directory: Section<Vec<EndpointEntry>>,
    pub(crate) store: Arc<dyn KvStore>,
    pub(crate) peers: Peers,
    pub(crate) datagrams: Arc<DatagramSocket>,
    pub(crate) timer: Timer,
    pub(crate) scheduler_tx: mpsc::UnboundedSender<SchedulerEvent>,
    pub(crate) members_tx: mpsc::UnboundedSender<MemberEvent>,
    pub(crate) observations_tx: mpsc::UnboundedSender<ObservationEvent>,
    pub(crate) claims_tx: mpsc::UnboundedSender<ClaimEvent>,
    pub(crate) resigning: CancellationToken,
    /// Higher epochs that agents report; they end the ownership.
    pub(crate) superseded_tx: mpsc::UnboundedSender<Epoch>,
    pub(crate) superseded_rx: tokio::sync::Mutex<mpsc::UnboundedReceiver<Epoch>>,
    /// The asynchronous jobs of the cell; written by the jobs controller.
    pub(crate) jobs: Section<Jobs>,
    /// The state of the cell for operators; written by the summary controller.
    pub(crate) summary: Section<CellSummary>,
    epoch: AtomicU64,
    recovering: AtomicBool,
    epoch_changes: watch::Sender<Epoch>,
}

type ContextWithReceivers = (
    Arc<Context>,
    mpsc::UnboundedReceiver<SchedulerEvent>,
    mpsc::UnboundedReceiver<MemberEvent>,
    mpsc::UnboundedReceiver<ObservationEvent>,
    mpsc::UnboundedReceiver<ClaimEvent>,
);

impl Context {
    pub(crate) fn new(
        settings: OwnerSettings,
        dependencies: OwnerDependencies,
    ) -> ContextWithReceivers {
        let (scheduler_tx, scheduler_rx) = mpsc::unbounded_channel();
        let (members_tx, members_rx) = mpsc::unbounded_channel();
        let (observations_tx, observations_rx) = mpsc::unbounded_channel();
        let (claims_tx, claims_rx) = mpsc::unbounded_channel();
        let (superseded_tx, superseded_rx) = mpsc::unbounded_channel();
        let cx = Self {
            settings,
            board: dependencies.board,
            directory: Section::default(),
            store: dependencies.store,
            peers: dependencies.peers,
            datagrams: dependencies.datagrams,
            timer: dependencies.timer,
            scheduler_tx,
            members_tx,
            observations_tx,
            claims_tx,
            resigning: CancellationToken::new(),
            superseded_tx,
            superseded_rx: tokio::sync::Mutex::new(superseded_rx),
            jobs: Section::default(),
            summary: Section::default(),
            epoch: AtomicU64::new(0),
            recovering: AtomicBool::new(false),
            epoch_changes: watch::Sender::new(0),
        };
        (
            Arc::new(cx),
            scheduler_rx,
            members_rx,
            observations_rx,
            claims_rx,
        )
    }

    /// Returns the epoch, or 0 while this process does not own the cell.
    pub(crate) fn epoch(&self) -> Epoch {
        self.epoch.load(Ordering::Acquire)
    }

    /// Sets the epoch; 0 ends the ownership.
    pub(crate) fn set_epoch(&self, epoch: Epoch) {
        self.epoch.store(epoch, Ordering::Release);
        self.epoch_changes.send_replace(epoch);
    }

    /// Returns a receiver that is notified when the ownership begins or ends.
    pub(crate) fn epoch_changes(&self) -> watch::Receiver<Epoch> {
        self.epoch_changes.subscribe()
    }

    /// Returns whether the owner still waits for the announcements of agents after a takeover.
    pub(crate) fn is_recovering(&self) -> bool {
        self.recovering.load(Ordering::Acquire)
    }

    /// Begins or ends the wait for announcements.
    pub(crate) fn set_recovering(&self, recovering: bool) {
        self.recovering.store(recovering, Ordering::Release);
    }
}
