//! State shared by the controllers of the owner.

use std::net::SocketAddr;
use std::sync::Arc;

use board::{Board, Section};
use model::{CellId, EntryId, Epoch, RegionId};
use store::KvStore;
use timer::Timer;
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;
use wire::{DatagramSocket, EndpointEntry, Peers};

use crate::OwnerDependencies;
use crate::claims::ClaimEvent;
use crate::members::MemberEvent;
use crate::observations::ObservationEvent;
use crate::published::Ownership;
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
    /// The ownership of this process, if it owns the cell; written by the ownership controller.
    ownership: Section<Option<Arc<Ownership>>>,
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
            ownership: Section::default(),
        };
        (
            Arc::new(cx),
            scheduler_rx,
            members_rx,
            observations_rx,
            claims_rx,
        )
    }

    /// Returns the ownership of this process, if it owns the cell.
    pub(crate) fn ownership(&self) -> Option<Arc<Ownership>> {
        Option::clone(&self.ownership.load())
    }

    /// Returns the epoch, or 0 while this process does not own the cell.
    pub(crate) fn epoch(&self) -> Epoch {
        let ownership = self.ownership.load();
        ownership.as_ref().as_ref().map_or(0, |owned| owned.epoch)
    }

    /// Begins an ownership, or ends it.
    pub(crate) fn set_ownership(&self, ownership: Option<Arc<Ownership>>) {
        self.ownership.publish(ownership);
    }

    /// Returns a receiver that is notified when an ownership begins or ends.
    pub(crate) fn ownership_changes(&self) -> watch::Receiver<u64> {
        self.ownership.changes()
    }
}
