//! The worker interface.

use std::time::Duration;

use async_trait::async_trait;
use errors::Result;
use model::{AccountId, GangId, Resources, ServiceId};
use serde::{Deserialize, Serialize};

/// Names a task on its worker.
pub type TaskId = Box<str>;

/// A task to start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartTask {
    /// The task; starting it twice has the effect of starting it once.
    pub task: TaskId,
    /// The gang of the task.
    pub gang: GangId,
    /// The client account that the task runs for.
    pub account: AccountId,
    /// The service of the request.
    pub service: ServiceId,
    /// What the task may use.
    pub resources: Resources,
    /// The time after which the task ends unless it is renewed.
    pub lease: Duration,
}

/// How a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskEnd {
    /// It was stopped on request.
    Stopped,
    /// Its lease lapsed.
    LeaseLapsed,
    /// It failed.
    Failed,
    /// Its worker was lost.
    Lost,
}

/// A task that no longer runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedTask {
    /// The task.
    pub task: TaskId,
    /// How it ended; nothing if the worker does not know the task.
    pub end: Option<TaskEnd>,
}

/// The result of a renewal.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewed {
    /// The tasks that run on.
    pub renewed: Vec<TaskId>,
    /// The tasks that no longer run.
    pub ended: Vec<EndedTask>,
}

/// One running task in a usage report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskUsage {
    /// The task.
    pub task: TaskId,
    /// What the task uses.
    pub used: Resources,
    /// The share of its speed at which the task runs, in percent.
    pub throttle_percent: u8,
}

/// What a worker used some time ago.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Usage {
    /// The age of the report.
    pub age: Duration,
    /// The sum over all tasks.
    pub used: Resources,
    /// The running tasks.
    pub tasks: Vec<TaskUsage>,
}

/// The platform's workers.
///
/// Every call may be repeated: it names its tasks, and a second call has no further effect.
#[async_trait]
pub trait WorkerPlatform: Send + Sync {
    /// Starts a task under a lease.
    async fn start_task(&self, worker: &str, task: &StartTask) -> Result<()>;

    /// Renews the leases of tasks and tells which of them no longer run.
    async fn renew_tasks(&self, worker: &str, tasks: &[TaskId], lease: Duration)
    -> Result<Renewed>;

    /// Stops a task; an unknown or ended task is no error, and an unknown task is not started any more.
    async fn stop_task(&self, worker: &str, task: &str) -> Result<()>;

    /// Sets the share of its speed at which a task runs, from 0 to 100 percent.
    async fn throttle_task(&self, worker: &str, task: &str, percent: u8) -> Result<()>;

    /// Writes a checkpoint of a task and returns when it is complete.
    async fn checkpoint_task(&self, worker: &str, task: &str) -> Result<()>;

    /// Returns what a worker used, as of some time ago.
    async fn usage(&self, worker: &str) -> Result<Usage>;
}
