//! What the parts of the owner share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use board::{Board, Section};
use model::{CellId, EntryId, Epoch, RegionId};
use store::KvStore;
use timer::Timer;
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;
use wire::{CellSummary, Datagrams, EndpointEntry, Peers};

use crate::Shared;
use crate::claims::ClaimEvent;
use crate::jobs::Jobs;
use crate::members::MemberEvent;
use crate::records::RecordEvent;
use crate::scheduler::SchedulerEvent;

/// Settings of the duty.
#[derive(Debug, Clone)]
pub struct OwnerSettings {
    /// The process.
    pub id: EntryId,
    /// The cell.
    pub cell: CellId,
    /// The region of the process.
    pub region: RegionId,
    /// The address of the process for calls and datagrams.
    pub addr: SocketAddr,
}

/// The shared parts of the owner.
pub(crate) struct Context {
    pub(crate) settings: OwnerSettings,
    pub(crate) board: Arc<Board>,
    /// The endpoints as entries see them; written by the membership controller.
    ///
    /// The membership changes with each heartbeat, this list only when an endpoint does.
    pub(crate) listed: Section<Vec<EndpointEntry>>,
    pub(crate) store: Arc<dyn KvStore>,
    pub(crate) peers: Peers,
    pub(crate) datagrams: Arc<Datagrams>,
    pub(crate) timer: Timer,
    pub(crate) scheduler: mpsc::UnboundedSender<SchedulerEvent>,
    pub(crate) members: mpsc::UnboundedSender<MemberEvent>,
    pub(crate) records: mpsc::UnboundedSender<RecordEvent>,
    pub(crate) claims: mpsc::UnboundedSender<ClaimEvent>,
    pub(crate) resigning: CancellationToken,
    /// Tells the duty that an agent has seen a higher epoch.
    pub(crate) superseded: mpsc::UnboundedSender<Epoch>,
    pub(crate) superseded_rx: tokio::sync::Mutex<mpsc::UnboundedReceiver<Epoch>>,
    /// The asynchronous jobs of the cell; written by the jobs controller.
    pub(crate) jobs: Section<Jobs>,
    /// Written by the summary controller.
    pub(crate) summary: Section<CellSummary>,
    epoch: AtomicU64,
    recovering: AtomicBool,
    epochs: watch::Sender<Epoch>,
}

type Parts = (
    Arc<Context>,
    mpsc::UnboundedReceiver<SchedulerEvent>,
    mpsc::UnboundedReceiver<MemberEvent>,
    mpsc::UnboundedReceiver<RecordEvent>,
    mpsc::UnboundedReceiver<ClaimEvent>,
);

impl Context {
    pub(crate) fn new(settings: OwnerSettings, shared: Shared) -> Parts {
        let (scheduler, scheduler_rx) = mpsc::unbounded_channel();
        let (members, members_rx) = mpsc::unbounded_channel();
        let (records, records_rx) = mpsc::unbounded_channel();
        let (claims, claims_rx) = mpsc::unbounded_channel();
        let (superseded, superseded_rx) = mpsc::unbounded_channel();
        let cx = Self {
            settings,
            board: shared.board,
            listed: Section::default(),
            store: shared.store,
            peers: shared.peers,
            datagrams: shared.datagrams,
            timer: shared.timer,
            scheduler,
            members,
            records,
            claims,
            resigning: CancellationToken::new(),
            superseded,
            superseded_rx: tokio::sync::Mutex::new(superseded_rx),
            jobs: Section::default(),
            summary: Section::default(),
            epoch: AtomicU64::new(0),
            recovering: AtomicBool::new(false),
            epochs: watch::Sender::new(0),
        };
        (
            Arc::new(cx),
            scheduler_rx,
            members_rx,
            records_rx,
            claims_rx,
        )
    }

    /// Returns the epoch, or 0 while this process does not own the cell.
    pub(crate) fn epoch(&self) -> Epoch {
        self.epoch.load(Ordering::Acquire)
    }

    /// Sets the epoch; 0 ends the duty.
    pub(crate) fn set_epoch(&self, epoch: Epoch) {
        self.epoch.store(epoch, Ordering::Release);
        self.epochs.send_replace(epoch);
    }

    /// Returns a receiver that wakes when the ownership begins or ends.
    pub(crate) fn epochs(&self) -> watch::Receiver<Epoch> {
        self.epochs.subscribe()
    }

    /// Returns whether the owner waits for the announcements of agents after a takeover.
    pub(crate) fn is_recovering(&self) -> bool {
        self.recovering.load(Ordering::Acquire)
    }

    /// Begins or ends the wait for announcements.
    pub(crate) fn set_recovering(&self, recovering: bool) {
        self.recovering.store(recovering, Ordering::Release);
    }
}
