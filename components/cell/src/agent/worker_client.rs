//! Interface to the worker.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use errors::Result;
use model::{EndReport, Epoch, Incarnation, Refusal, TaskRun};

/// Request to start a task.
#[derive(Debug, Clone)]
pub struct StartRequest {
    /// Run to start.
    pub run: TaskRun,
    /// Specification of the task.
    pub body: Arc<str>,
    /// Checkpoint to resume from; empty if there is none.
    pub checkpoint: Box<str>,
    /// Ticket from the external advisor.
    pub approval: Option<Box<str>>,
    /// End of the lease on the clock of the worker.
    pub until: Duration,
    /// Epoch of the owner; the worker rejects epochs lower than the highest one it has seen.
    pub epoch: Epoch,
}

/// Reply to a start request. Its `Debug` form appears in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartReply {
    /// The run exists.
    Yes,
    /// The lease had expired when the order arrived; the order can be sent again.
    Late,
    /// The worker has another name than the order states, and did not carry out this attempt. An earlier one may still be.
    Misdirected,
    /// The worker will not carry out the order.
    Refused(Refusal),
}

/// Request that renews the lease of a worker and reads its runs.
#[derive(Debug, Clone, Default)]
pub struct PollRequest {
    /// New end of the lease on the clock of the worker.
    pub until: Option<Duration>,
    /// Epoch of the owner.
    pub epoch: Epoch,
    /// Ends up to this sequence number may be forgotten.
    pub acknowledged: u64,
    /// How long the reply may wait for a run to end.
    pub wait: Option<Duration>,
}

/// A run listed by the worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedRun {
    /// Id of the run.
    pub run: TaskRun,
    /// Latest checkpoint; empty if there is none.
    pub checkpoint: Box<str>,
    /// Progress from 0 to 100.
    pub percent: u32,
}

/// Reply to a poll: the state of the worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PollReply {
    /// Incarnation of the worker, if the reply states it.
    pub incarnation: Option<Incarnation>,
    /// Clock of the worker.
    pub clock: Duration,
    /// Whether the worker has seen a higher epoch and therefore ignored the request.
    pub fenced: bool,
    /// Whether the lists hold all runs and all ends: none was left out because it could not be read or did not fit.
    pub complete: bool,
    /// Runs that have not ended.
    pub runs: Vec<ListedRun>,
    /// Ends that have not been acknowledged.
    pub ends: Vec<EndReport>,
}

/// Calls to a worker.
///
/// An error with the verdict "not run" means that the call was refused or never sent. After any
/// other error, the call may still be carried out.
#[async_trait]
pub trait WorkerClient: Send + Sync {
    /// Starts a task unless it is already running.
    async fn start(
        &self,
        name: &str,
        request: &StartRequest,
        timeout: Duration,
    ) -> Result<StartReply>;

    /// Stops a run and rejects its start if that arrives later.
    async fn stop(&self, run: TaskRun, epoch: Epoch, timeout: Duration) -> Result<()>;

    /// Renews the lease and reads the runs.
    async fn poll(&self, request: &PollRequest, timeout: Duration) -> Result<PollReply>;
}
