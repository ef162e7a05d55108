//! Job graphs: steps of tasks, their dependencies, and their resource and placement requirements.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{AccountId, JobId, QueueId, RunNumber, ServiceId};

/// Resources of a worker that tasks share, or that a task requires.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ResourceVector {
    /// Number of accelerators.
    pub accelerators: u32,
    /// Processor time in thousandths of a core.
    pub millicores: u32,
    /// Memory in megabytes.
    pub memory_mb: u32,
}

impl ResourceVector {
    /// Returns how many times `unit` fits into these resources; `u32::MAX` if `unit` is zero.
    pub fn fit_count(self, unit: Self) -> u32 {
        let ratio = |have: u32, need: u32| have.checked_div(need).unwrap_or(u32::MAX);
        ratio(self.accelerators, unit.accelerators)
            .min(ratio(self.millicores, unit.millicores))
            .min(ratio(self.memory_mb, unit.memory_mb))
    }

    /// Adds each component, saturating at `u32::MAX`.
    #[must_use]
    pub fn saturating_add(self, other: Self) -> Self {
        Self {
            accelerators: self.accelerators.saturating_add(other.accelerators),
            millicores: self.millicores.saturating_add(other.millicores),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
        }
    }

    /// Subtracts each component, saturating at zero.
    #[must_use]
    pub fn saturating_sub(self, other: Self) -> Self {
        Self {
            accelerators: self.accelerators.saturating_sub(other.accelerators),
            millicores: self.millicores.saturating_sub(other.millicores),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
        }
    }

    /// Multiplies each component by `count`, saturating at `u32::MAX`.
    #[must_use]
    pub fn saturating_mul(self, count: u32) -> Self {
        Self {
            accelerators: self.accelerators.saturating_mul(count),
            millicores: self.millicores.saturating_mul(count),
            memory_mb: self.memory_mb.saturating_mul(count),
        }
    }
}

/// A set of identical tasks.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the properties are independent of each other"
)]
pub struct Step {
    /// Number of tasks.
    pub tasks: u32,
    /// Resources that each task requires.
    pub resources: ResourceVector,
    /// Run time of a task as estimated by the client; the estimate is often wrong.
    pub expected: Duration,
    /// Indexes of the steps whose tasks must all complete before this step starts.
    pub after: Vec<u32>,
    /// Whether a stopped task can resume from a checkpoint.
    pub supports_checkpoints: bool,
    /// Whether the tasks must run as a gang.
    pub gang: bool,
    /// Whether the tasks run slower when they are spread over several racks.
    pub rack_sensitive: bool,
    /// Label that the worker must have.
    pub required_label: Option<Box<str>>,
    /// Rack that stores the input data; the tasks run slower on other racks.
    pub data_rack: Option<Box<str>>,
    /// Maximum number of tasks of the step on one worker.
    pub max_tasks_per_worker: Option<u32>,
    /// Whether copies of a task may run concurrently.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// Whether the tasks use only processor time that is left over by other tasks.
    pub best_effort: bool,
    /// Image that the tasks run; tasks with the same image are expected to behave alike.
    pub image: Box<str>,
    /// Response time target of a long-running task.
    pub latency_target: Option<Duration>,
    /// Maximum number of long-running tasks that the system may make unavailable at the same time.
    pub max_unavailable: Option<u32>,
}

/// The schedule of a recurring job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recurrence {
    /// Wall-clock time of the first occurrence, since the Unix epoch.
    pub first: Duration,
    /// Interval between occurrences.
    pub interval: Duration,
    /// Number of occurrences.
    pub count: u32,
}

/// The specification of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobGraph {
    /// Specification for the workers, which the system passes on without parsing it.
    pub body: Box<str>,
    /// Steps of the job.
    pub steps: Vec<Step>,
    /// Schedule, for a job that runs more than once.
    pub recurrence: Option<Recurrence>,
}

/// Maximum duration that is accepted from outside, about a thousand years.
///
/// Sums and multiples of durations below this limit do not overflow a [`Duration`].
pub const MAX_DURATION: Duration = Duration::from_secs(32_000_000_000);

/// Maximum number of tasks of a job over all its occurrences.
///
/// The owner uses about 200 bytes of memory for each task and has 160 MB on the smallest machine, and the record of
/// completed tasks must fit into one value of the store.
pub const MAX_TASKS: u64 = 65_536;

impl JobGraph {
    /// Returns the number of occurrences, which is 1 without a schedule.
    pub fn occurrences(&self) -> u32 {
        self.recurrence.map_or(1, |recurrence| recurrence.count)
    }

    /// Checks that each dependency refers to an earlier step, that no step is empty and that the job is not too large.
    ///
    /// The error describes the first problem found.
    pub fn check(&self) -> std::result::Result<(), &'static str> {
        if self.steps.is_empty() {
            return Err("the job has no steps");
        }
        let mut tasks: u64 = 0;
        for (number, step) in self.steps.iter().enumerate() {
            let earlier = |after: &u32| usize::try_from(*after).is_ok_and(|after| after < number);
            if step.tasks == 0 {
                return Err("a step has no tasks");
            }
            if !step.after.iter().all(earlier) {
                return Err("a step depends on a step that does not precede it");
            }
            tasks += u64::from(step.tasks);
        }
        if tasks.saturating_mul(u64::from(self.occurrences())) > MAX_TASKS {
            return Err("the job has more than 65,536 tasks over all its occurrences");
        }
        let recurrence = self.recurrence.iter();
        let recurrence = recurrence.flat_map(|recurrence| [recurrence.first, recurrence.interval]);
        let steps = self.steps.iter();
        let mut durations = steps.map(|step| step.expected).chain(recurrence);
        if durations.any(|duration| duration > MAX_DURATION) {
            return Err("a duration is longer than a thousand years");
        }
        Ok(())
    }
}

/// An accepted job as it is stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedJob {
    /// Client account that submitted the job.
    pub account: AccountId,
    /// Queue of the job.
    pub queue: QueueId,
    /// Policy of the queue at the time of acceptance, which applies if the queue is removed.
    pub policy: QueuePolicy,
    /// Specification of the job.
    pub graph: JobGraph,
    /// Wall-clock time of the acceptance, since the Unix epoch.
    pub accepted_at: Duration,
}

impl AcceptedJob {
    /// Checks a job that was read from the store, which another version of the program may have written.
    ///
    /// The error describes the first problem found.
    pub fn check(&self) -> std::result::Result<(), &'static str> {
        self.graph.check()?;
        if !(0.0..=MAX_STRETCH).contains(&self.policy.stretch) {
            return Err("the stretch of the queue is out of range");
        }
        if self.policy.target > MAX_DURATION || self.accepted_at > MAX_DURATION {
            return Err("a duration is longer than a thousand years");
        }
        Ok(())
    }
}

/// Maximum stretch of a queue that is read from the store.
const MAX_STRETCH: f64 = 1e6;

/// The scheduling policy of a queue.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QueuePolicy {
    /// Service whose workers run the tasks.
    pub service: ServiceId,
    /// Priority of the queue; a job may preempt jobs with a higher number.
    pub priority: u32,
    /// Number of failed runs of a task after which the job fails.
    pub max_attempts: u32,
    /// Multiple of the expected run time within which a job should complete.
    pub stretch: f64,
    /// Time that is added to the multiple of the run time.
    pub target: Duration,
    /// Whether tasks require the approval of the external advisor.
    pub needs_approval: bool,
}

impl Eq for QueuePolicy {}

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobEnd {
    /// All tasks completed.
    Completed,
    /// A task reached the limit of failed runs.
    Failed,
    /// The client cancelled the job.
    Cancelled,
}

/// The state of a job as shown to clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// The job ended.
    Ended(JobEnd),
}

/// Id of a task in one occurrence of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// Index of the occurrence.
    pub occurrence: u32,
    /// Index of the step.
    pub step: u32,
    /// Index of the task within its step.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            job,
            occurrence,
            step,
            index,
        } = self;
        write!(f, "{job:016x}.{occurrence}.{step}.{index}")
    }
}

impl TaskId {
    /// Parses the output of `Display`.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split('.');
        let job = JobId::from_str_radix(parts.next()?, 16).ok()?;
        let mut number = || parts.next()?.parse().ok();
        let task = Self {
            job,
            occurrence: number()?,
            step: number()?,
            index: number()?,
        };
        parts.next().is_none().then_some(task)
    }
}

/// One run of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TaskRun {
    /// The task.
    pub task: TaskId,
    /// Number of the run, which increases with each start of the task; the members of a gang have the same number.
    pub run: RunNumber,
}

/// How a run ended on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunEnd {
    /// The task completed.
    Done,
    /// The run failed because of the task or the worker.
    Failed,
    /// The run was stopped on request.
    Stopped,
    /// The lease of the worker expired.
    Lapsed,
    /// Another member of the gang ended first.
    Broken,
    /// The other members of the gang did not start in time.
    Alone,
}
