//! The agent beside a worker: carries out the orders of the owner, renews the leases of the worker
//! and reports its state.

mod absence;
mod actor;
mod candidates;
mod incarnation;
mod link;
mod lists;
mod orders;
mod polls;
mod report;
mod sightings;
mod state;
mod worker_client;

use std::sync::Arc;

use errors::{Error, ErrorKind, Result};
use model::{Incarnation, ResourceVector, ServiceId};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use wire::{Key, Peers};

use crate::settings::AgentSettings;
use crate::supervise;

pub use link::{EntryDirectory, StoreDirectory};
pub use worker_client::{
    ListedRun, PollReply, PollRequest, StartReply, StartRequest, WorkerClient,
};

/// Capacity of the notice queue; a worker sends one announcement per second.
const NOTICE_QUEUE_CAPACITY: usize = 16;

/// Delay before an agent starts anew after a panic.
const AGENT_RESTART_DELAY: Duration = Duration::from_millis(200);

/// Announcement of a worker about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// Name of the worker, which it uses to check whether a call is meant for it.
    pub name: Box<str>,
    /// Incarnation of the worker process.
    pub incarnation: Incarnation,
    /// Sequence number among the announcements of this incarnation.
    pub sequence: u64,
    /// Service that the worker belongs to.
    pub service: ServiceId,
    /// Total capacity of the worker.
    pub capacity: ResourceVector,
    /// Labels of the worker: its kind, then its rack.
    pub labels: Vec<Box<str>>,
    /// Set while the worker is draining: the time left to its tasks.
    pub draining: Option<Duration>,
    /// How much longer the worker runs slower than usual because it has just started.
    pub cold_remaining: Duration,
}

/// A message from the worker to its agent.
#[derive(Debug)]
pub enum WorkerNotice {
    /// The worker announced itself.
    Announced(Announcement),
    /// The worker with this name is leaving.
    Leaving(Box<str>),
}

/// Sends notices of the worker to its agent.
#[derive(Debug, Clone)]
pub struct AgentHandle {
    tx: mpsc::Sender<WorkerNotice>,
}

impl AgentHandle {
    /// Sends a notice to the agent, which has accepted it once this succeeds.
    pub async fn notify(&self, notice: WorkerNotice) -> Result<()> {
        self.tx
            .send(notice)
            .await
            .map_err(|_| Error::not_run(ErrorKind::Draining, "the agent is shutting down").report())
    }
}

/// Starts an agent, which runs until `shutdown` is cancelled.
pub fn start(
    settings: AgentSettings,
    client: Arc<dyn WorkerClient>,
    directory: Arc<dyn EntryDirectory>,
    secret: &str,
    shutdown: CancellationToken,
) -> (AgentHandle, tokio::task::JoinHandle<()>) {
    let (tx, rx) = mpsc::channel(NOTICE_QUEUE_CAPACITY);
    let peers = Peers::new(Key::from_secret(secret));
    let link = link::Link::new(peers, &settings, directory);
    let run = run_supervised(settings, client, link, rx);
    let running = shutdown.run_until_cancelled_owned(run);
    let ended = tokio::spawn(async move {
        Box::pin(running).await;
    });
    (AgentHandle { tx }, ended)
}

/// Runs the agent. After a panic it starts anew, as if the process had been restarted: it learns the runs of its worker
/// from the next poll.
async fn run_supervised(
    settings: AgentSettings,
    client: Arc<dyn WorkerClient>,
    link: Arc<link::Link>,
    mut notices: mpsc::Receiver<WorkerNotice>,
) {
    loop {
        let actor = actor::Actor::new(settings.clone(), Arc::clone(&client), Arc::clone(&link));
        let run = actor.run(&mut notices);
        if supervise::catch_panic("agent", run).await.is_ok() {
            return;
        }
        tokio::time::sleep(AGENT_RESTART_DELAY).await;
    }
}
