//! The owner of a cell: decides which gangs run where, and tracks the membership of the cell.

mod actions;
mod claims;
mod context;
mod jobs;
mod members;
mod observations;
mod ownership;
mod published;
mod recovery;
mod scheduler;
mod serve;
mod summary;

use std::net::SocketAddr;
use std::sync::Arc;

use errors::Result;
use wire::{Call, Heartbeat, Reply};

pub use context::OwnerSettings;

use context::Context;

/// Services that the owner shares with the rest of its process.
pub struct OwnerDependencies {
    /// The board of the cell; the owner writes its membership, fleet, queue, blame and history sections.
    pub board: Arc<board::Board>,
    /// The key-value service.
    pub store: Arc<dyn store::KvStore>,
    /// Connections to peers.
    pub peers: wire::Peers,
    /// The socket for datagrams.
    pub datagrams: Arc<wire::DatagramSocket>,
    /// The timer service.
    pub timer: timer::Timer,
}

impl std::fmt::Debug for OwnerDependencies {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("OwnerDependencies")
    }
}

/// A candidate for, or the holder of, the ownership of a cell.
#[derive(Clone)]
pub struct Owner {
    cx: Arc<Context>,
}

impl std::fmt::Debug for Owner {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Owner({})", self.cx.settings.cell)
    }
}

impl Owner {
    /// Starts the controllers and the attempts to own the cell.
    pub fn start(settings: OwnerSettings, dependencies: OwnerDependencies) -> Self {
        let (cx, scheduler_rx, members_rx, observations_rx, claims_rx) =
            Context::new(settings, dependencies);
        tokio::spawn(observations::run(observations_rx, Arc::clone(&cx)));
        tokio::spawn(scheduler::run(scheduler_rx, Arc::clone(&cx)));
        tokio::spawn(members::run(members_rx, Arc::clone(&cx)));
        tokio::spawn(jobs::run(Arc::clone(&cx)));
        tokio::spawn(claims::run(claims_rx, Arc::clone(&cx)));
        tokio::spawn(summary::run(Arc::clone(&cx)));
        tokio::spawn(ownership::run(Arc::clone(&cx)));
        Self { cx }
    }

    /// Returns the epoch, or 0 while this process does not own the cell.
    pub fn epoch(&self) -> u64 {
        self.cx.epoch()
    }

    /// Returns why no set of workers of the cell can hold the shape, if this process owns the cell and knows its workers.
    pub fn infeasible_reason(&self, cell: &str, shape: &model::Shape) -> Option<Box<str>> {
        jobs::infeasible_reason(&self.cx, cell, shape)
    }

    /// Handles a call of an agent or an entry.
    pub async fn handle_call(&self, call: Call) -> Result<Reply> {
        serve::handle_call(&self.cx, call).await
    }

    /// Queues the heartbeat of an agent for the membership controller.
    pub fn handle_heartbeat(&self, from: SocketAddr, heartbeat: Heartbeat) {
        members::enqueue_heartbeat(&self.cx, from, heartbeat);
    }

    /// Gives up the ownership: stops accepting jobs and revokes the lease, so that another process can take over at once.
    pub async fn resign(&self) {
        ownership::resign(&self.cx).await;
    }
}
