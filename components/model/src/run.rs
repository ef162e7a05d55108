//! Reports and instructions about runs of tasks, exchanged by agents and the owner of job graphs.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::graph::{ResourceVector, RunEnd, TaskId, TaskRun};
use crate::ids::{AgentId, DataCentreId, Epoch, Incarnation, JobId, RunNumber, ServiceId};

/// Why a worker refused to start a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The worker has already seen a higher fencing token.
    Fenced,
    /// A run of the task with this or a higher number has already been stopped or has ended on the worker.
    Outdated,
    /// The free resources of the worker are insufficient.
    NoRoom,
    /// The approval is missing or expired.
    NoApproval,
    /// The worker is unhealthy and took no action.
    Unhealthy,
    /// The worker could not parse the order.
    Malformed,
}

/// The status of a run that has not ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunStatus {
    /// The worker has not answered the start order yet.
    Starting,
    /// The worker lists the run.
    Running {
        /// Progress from 0 to 100; a long-running task is operational at 100.
        percent: u32,
        /// Latest checkpoint; empty if there is none.
        checkpoint: Box<str>,
        /// How long the run is known to have lived, measured between answers of the worker.
        survived: Duration,
    },
    /// The worker refused the start order and will not execute it.
    Refused(Refusal),
    /// The run was stopped before it started, and can no longer start.
    StoppedBeforeStart,
}

/// The report of an agent about a run that has not ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunReport {
    /// The run.
    pub run: TaskRun,
    /// Status of the run.
    pub status: RunStatus,
}

/// The end of a run, which the worker retains until it is acknowledged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndReport {
    /// Sequence number among the ends of this incarnation, starting at 1.
    pub sequence: u64,
    /// The run.
    pub run: TaskRun,
    /// How the run ended.
    pub end: RunEnd,
    /// Last checkpoint; empty if there is none.
    pub checkpoint: Box<str>,
}

/// A run that ended because its worker crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashedRun {
    /// The run.
    pub run: TaskRun,
    /// How long it is known to have lived, measured between answers of the worker; `None` if its start was not answered.
    pub survived: Option<Duration>,
}

/// A crash of a worker, with everything that ran on it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerCrash {
    /// The incarnation that crashed.
    pub incarnation: Incarnation,
    /// Its runs.
    pub runs: Vec<CrashedRun>,
}

/// The state of a worker as its agent reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// Agent of the worker.
    pub agent: AgentId,
    /// Name under which the worker announces itself; empty while unknown.
    pub name: Box<str>,
    /// Service of the worker.
    pub service: ServiceId,
    /// Incarnation of the worker; `None` until the worker has contacted the agent.
    pub incarnation: Option<Incarnation>,
    /// Total resources of the worker; zero while unknown.
    pub capacity: ResourceVector,
    /// Labels of the worker: its kind, followed by its rack.
    pub labels: Vec<Box<str>>,
    /// Time that the tasks have left, if the worker is draining.
    pub draining: Option<Duration>,
    /// Whether nothing runs on the worker because it is down or its lease expired.
    pub absent: bool,
    /// Highest fencing token that the worker confirmed in this incarnation.
    pub confirmed_epoch: Epoch,
    /// Epoch of the owner whose orders the agent executes; it rejects orders of earlier owners.
    pub owner_epoch: Epoch,
    /// Whether the worker can have no other runs than those in `runs` and `ends`, even if it does not respond.
    ///
    /// This is false while orders from an earlier process of this agent can still reach the worker.
    pub complete: bool,
    /// Whether the worker listed all of its runs and ends, so that a run which is in neither list has ended or never began.
    pub lists_complete: bool,
    /// Runs that have not ended.
    pub runs: Vec<RunReport>,
    /// Ends that are not acknowledged yet, in order.
    pub ends: Vec<EndReport>,
    /// Crashes of the worker that no owner has stored yet.
    pub crashes: Vec<WorkerCrash>,
    /// When the report was created, by the boot clock of the agent.
    pub sent_at: Duration,
    /// Data centre of the worker; empty if it is not known.
    pub data_centre: DataCentreId,
    /// How much longer the worker runs slower than usual because it has just started.
    pub cold_remaining: Duration,
}

/// An order to start a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOrder {
    /// The run.
    pub run: TaskRun,
    /// Checkpoint to resume from; empty if there is none.
    pub checkpoint: Box<str>,
    /// Approval of the external advisor, if the queue requires one.
    pub approval: Option<Box<str>>,
    /// Whether the order was sent before, in which case the earlier one may still be executed.
    pub repeated: bool,
    /// Whether the owner waits to learn that the run has survived its start.
    pub trial: bool,
}

/// The owner's response to a report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instructions {
    /// Epoch of the owner; agents reject epochs lower than the highest one seen.
    pub epoch: Epoch,
    /// `sent_at` of the report, from which the time is measured for which the agent may renew worker leases.
    pub report_sent_at: Duration,
    /// Incarnation of the worker to which the following fields apply.
    pub incarnation: Option<Incarnation>,
    /// Ends up to this sequence number are stored and may be discarded.
    pub acknowledged: u64,
    /// Specifications of the jobs whose tasks are started.
    pub bodies: Vec<(JobId, Box<str>)>,
    /// Tasks to start.
    pub starts: Vec<StartOrder>,
    /// Runs to stop.
    pub stops: Vec<TaskRun>,
    /// Incarnations whose crashes are stored and need not be reported any more.
    pub stored_crashes: Vec<Incarnation>,
}

impl TaskRun {
    /// Creates a reference to a run of a task.
    pub fn new(task: TaskId, run: RunNumber) -> Self {
        Self { task, run }
    }
}
