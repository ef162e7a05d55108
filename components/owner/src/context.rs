//! What the parts of the owner share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use board::{Board, Section};
use model::{CellId, EntryId, Epoch, RegionId};
use store::KvStore;
use timer::Timer;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use wire::{Datagrams, EndpointEntry, Peers};

use crate::Shared;
use crate::members::MemberEvent;
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
    pub(crate) resigning: CancellationToken,
    /// Tells the duty that an agent has seen a higher epoch.
    pub(crate) superseded: mpsc::UnboundedSender<Epoch>,
    pub(crate) superseded_rx: tokio::sync::Mutex<mpsc::UnboundedReceiver<Epoch>>,
    epoch: AtomicU64,
}

type Parts = (
    Arc<Context>,
    mpsc::UnboundedReceiver<SchedulerEvent>,
    mpsc::UnboundedReceiver<MemberEvent>,
);

impl Context {
    pub(crate) fn new(settings: OwnerSettings, shared: Shared) -> Parts {
        let (scheduler, scheduler_rx) = mpsc::unbounded_channel();
        let (members, members_rx) = mpsc::unbounded_channel();
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
            resigning: CancellationToken::new(),
            superseded,
            superseded_rx: tokio::sync::Mutex::new(superseded_rx),
            epoch: AtomicU64::new(0),
        };
        (Arc::new(cx), scheduler_rx, members_rx)
    }

    /// Returns the epoch, or 0 while this process does not own the cell.
    pub(crate) fn epoch(&self) -> Epoch {
        self.epoch.load(Ordering::Acquire)
    }

    /// Sets the epoch; 0 ends the duty.
    pub(crate) fn set_epoch(&self, epoch: Epoch) {
        self.epoch.store(epoch, Ordering::Release);
    }
}
