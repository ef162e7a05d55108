//! State shared by the controllers and call handlers of the agent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;

use board::{ConfigSnapshot, Section};
use config::AgentSettings;
use discovery::Locator;
use distribution::UpdateSender;
use errors::{Error, ErrorKind, Result};
use indexmap::IndexMap;
use model::WorkerId;
use store::HttpStore;
use timer::Timer;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use wire::{DatagramSocket, HeldGang, OwnerRecord, Peers};
use workers::WorkerPlatform;

use crate::cancellation::CancelSender;
use crate::detached::DetachedEvent;
use crate::endpoint::EndpointClient;
use crate::gangs::GangEvent;
use crate::metrics::Metrics;
use crate::requests::RequestEvent;
use crate::slots::Slots;

/// The sections of the agent's board; one controller writes each.
#[derive(Debug, Default)]
pub(crate) struct AgentBoard {
    /// Gangs with members here; written by the gang controller.
    pub(crate) gangs: Section<Vec<HeldGang>>,
    /// The owner of the cell; written by the owner link.
    pub(crate) owner: Section<Option<OwnerRecord>>,
    /// The configuration in force; written by the configuration controller.
    pub(crate) config: Section<ConfigSnapshot>,
}

/// The settings, board, services and event channels of the agent.
pub(crate) struct Context {
    pub(crate) settings: AgentSettings,
    pub(crate) board: AgentBoard,
    pub(crate) timer: Timer,
    pub(crate) peers: Peers,
    pub(crate) datagrams: DatagramSocket,
    pub(crate) store: Arc<HttpStore>,
    pub(crate) locator: Locator,
    pub(crate) platforms: IndexMap<WorkerId, Arc<dyn WorkerPlatform>>,
    pub(crate) endpoint: Option<EndpointClient>,
    pub(crate) slots: Slots,
    pub(crate) gangs_tx: mpsc::UnboundedSender<GangEvent>,
    pub(crate) requests_tx: mpsc::UnboundedSender<RequestEvent>,
    pub(crate) detached_tx: mpsc::UnboundedSender<DetachedEvent>,
    /// Outcomes of detached attempts that no owner has read yet.
    pub(crate) unread_outcomes: AtomicUsize,
    /// Sends cancellations to all shards.
    pub(crate) cancels_tx: CancelSender,
    pub(crate) config_updates: UpdateSender,
    /// Cancelled when the shutdown begins.
    pub(crate) drain: CancellationToken,
    /// Cancelled when the work in progress must end immediately.
    pub(crate) abort: CancellationToken,
    pub(crate) metrics: Metrics,
}

impl Context {
    /// Returns whether the agent is shutting down and takes no new work.
    pub(crate) fn is_draining(&self) -> bool {
        self.drain.is_cancelled()
    }

    /// Returns the platform client for a worker of this agent.
    pub(crate) fn platform(&self, worker: &str) -> Result<&Arc<dyn WorkerPlatform>> {
        self.platforms.get(worker).ok_or_else(|| {
            let message = format!("worker {worker} does not belong to this agent");
            Error::not_run(ErrorKind::NotFound, message).report()
        })
    }

    /// Returns the address of this agent for its peers.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.settings.peer_listen
    }
}
