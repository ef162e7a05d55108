//! The interface to workers.

use std::time::Duration;

use async_trait::async_trait;
use errors::Result;
use model::{AccountId, GangId, Resources, ServiceId};
use serde::{Deserialize, Serialize};

/// Identifies a task on its worker.
pub type TaskId = Box<str>;

/// A request to start a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartTask {
    /// The id of the task; starting it again has no further effect.
    pub task: TaskId,
    /// The gang of the task.
    pub gang: GangId,
    /// The client account of the request.
    pub account: AccountId,
    /// The service of the request.
    pub service: ServiceId,
    /// The resources that the task may use.
    pub resources: Resources,
    /// The duration of the task's lease; the task ends if the lease is not renewed in time.
    pub lease: Duration,
}

/// How a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskEnd {
    /// The task was stopped on request.
    Stopped,
    /// The lease of the task expired.
    LeaseLapsed,
    /// The task failed.
    Failed,
    /// The worker of the task was lost.
    Lost,
}

/// A task that is not running.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedTask {
    /// The id of the task.
    pub task: TaskId,
    /// How the task ended; `None` if the worker does not know the task.
    pub end: Option<TaskEnd>,
}

/// The result of a lease renewal.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewOutcome {
    /// The tasks whose leases were renewed.
    pub renewed: Vec<TaskId>,
    /// The tasks that are not running.
    pub ended: Vec<EndedTask>,
}

/// One running task in a usage report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskUsage {
    /// The id of the task.
    pub task: TaskId,
    /// The resources that the task uses.
    pub used: Resources,
    /// The speed of the task, in percent of its full speed.
    pub throttle_percent: u8,
}

/// The resource usage of a worker at some time in the past.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Usage {
    /// The age of the report.
    pub age: Duration,
    /// The total usage of all tasks.
    pub used: Resources,
    /// The running tasks.
    pub tasks: Vec<TaskUsage>,
}

/// A set of workers that run tasks.
///
/// All calls are idempotent, because they name the tasks that they apply to.
#[async_trait]
pub trait WorkerPlatform: Send + Sync {
    /// Starts a task under a lease.
    async fn start_task(&self, worker: &str, task: &StartTask) -> Result<()>;

    /// Renews the leases of tasks and reports which of them are not running.
    async fn renew_tasks(
        &self,
        worker: &str,
        tasks: &[TaskId],
        lease: Duration,
    ) -> Result<RenewOutcome>;

    /// Stops a task. An unknown or ended task is not an error, and an unknown task can no longer be started.
    async fn stop_task(&self, worker: &str, task: &str) -> Result<()>;

    /// Limits the speed of a task to a percentage of its full speed, from 0 to 100.
    async fn throttle_task(&self, worker: &str, task: &str, percent: u8) -> Result<()>;

    /// Writes a checkpoint of a task and returns once it is complete.
    async fn checkpoint_task(&self, worker: &str, task: &str) -> Result<()>;

    /// Returns the resource usage of a worker, which is reported with a delay.
    async fn usage(&self, worker: &str) -> Result<Usage>;
}
