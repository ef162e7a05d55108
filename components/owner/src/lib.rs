//! The duty of a cell owner: it decides which gangs run where, and keeps the membership of its cell.

mod actions;
mod claims;
mod context;
mod duty;
mod jobs;
mod members;
mod records;
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

/// The parts that the owner shares with its process.
pub struct Shared {
    /// The board of the process; the owner writes its membership, fleet, queue, blame and history sections.
    pub board: Arc<board::Board>,
    /// The key-value service.
    pub store: Arc<dyn store::KvStore>,
    /// Connections to peers.
    pub peers: wire::Peers,
    /// The socket for datagrams.
    pub datagrams: Arc<wire::Datagrams>,
    /// The timer service.
    pub timer: timer::Timer,
}

impl std::fmt::Debug for Shared {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Shared")
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
    pub fn start(settings: OwnerSettings, shared: Shared) -> Self {
        let (cx, scheduler_rx, members_rx, records_rx, claims_rx) = Context::new(settings, shared);
        tokio::spawn(records::run(records_rx, Arc::clone(&cx)));
        tokio::spawn(scheduler::run(scheduler_rx, Arc::clone(&cx)));
        tokio::spawn(members::run(members_rx, Arc::clone(&cx)));
        tokio::spawn(jobs::run(Arc::clone(&cx)));
        tokio::spawn(claims::run(claims_rx, Arc::clone(&cx)));
        tokio::spawn(summary::run(Arc::clone(&cx)));
        tokio::spawn(duty::run(Arc::clone(&cx)));
        Self { cx }
    }

    /// Returns the epoch, or 0 while this process does not own the cell.
    pub fn epoch(&self) -> u64 {
        self.cx.epoch()
    }

    /// Returns why no set of workers of the cell can hold the shape, if this process owns the cell and can tell.
    pub fn infeasible_reason(&self, cell: &str, shape: &model::Shape) -> Option<Box<str>> {
        jobs::infeasible_reason(&self.cx, cell, shape)
    }

    /// Answers a call for the owner.
    pub async fn answer(&self, call: Call) -> Result<Reply> {
        serve::answer(&self.cx, call).await
    }

    /// Takes in a heartbeat of an agent.
    pub fn heartbeat(&self, from: SocketAddr, heartbeat: Heartbeat) {
        members::heartbeat(&self.cx, from, heartbeat);
    }

    /// Hands the ownership over: stops taking jobs and revokes the lease, so that another process takes over at once.
    pub async fn resign(&self) {
        duty::resign(&self.cx).await;
    }
}
