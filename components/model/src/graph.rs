//! Job graphs: steps of tasks with dependencies, and the resources and places that the tasks need.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{AccountId, JobId, QueueId, RunNumber, ServiceId};

/// An amount of what tasks share on one worker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Room {
    /// Number of accelerators.
    pub accelerators: u32,
    /// Processor time in thousandths of a core.
    pub millicores: u32,
    /// Memory in megabytes.
    pub memory_mb: u32,
}

impl Room {
    /// Returns how many times `unit` fits; an empty unit fits any number of times.
    pub fn times(self, unit: Self) -> u32 {
        let ratio = |have: u32, need: u32| have.checked_div(need).unwrap_or(u32::MAX);
        ratio(self.accelerators, unit.accelerators)
            .min(ratio(self.millicores, unit.millicores))
            .min(ratio(self.memory_mb, unit.memory_mb))
    }

    /// Returns the sum of two amounts.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            accelerators: self.accelerators.saturating_add(other.accelerators),
            millicores: self.millicores.saturating_add(other.millicores),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
        }
    }

    /// Returns what is left after `other` is taken, with nothing below zero.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        Self {
            accelerators: self.accelerators.saturating_sub(other.accelerators),
            millicores: self.millicores.saturating_sub(other.millicores),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
        }
    }

    /// Returns the amount `count` times.
    #[must_use]
    pub fn scaled(self, count: u32) -> Self {
        Self {
            accelerators: self.accelerators.saturating_mul(count),
            millicores: self.millicores.saturating_mul(count),
            memory_mb: self.memory_mb.saturating_mul(count),
        }
    }
}

/// A set of equal tasks.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a property of its own"
)]
pub struct Step {
    /// Number of tasks.
    pub tasks: u32,
    /// What each task needs.
    pub room: Room,
    /// The run time that the client expects of a task; it is often wrong.
    pub expected: Duration,
    /// Steps, counted from 0, whose tasks must all be done first.
    pub after: Vec<u32>,
    /// Whether a stopped task can resume from a checkpoint.
    pub checkpoints: bool,
    /// Whether the tasks only work together.
    pub gang: bool,
    /// Whether the tasks slow down when they run on more than one rack.
    pub rack_sensitive: bool,
    /// A label that the worker must have.
    pub required_label: Option<Box<str>>,
    /// The rack with the data; the tasks are slower elsewhere.
    pub data_rack: Option<Box<str>>,
    /// The most tasks of the step that may run on one worker.
    pub spread_limit: Option<u32>,
    /// Whether copies of a task may run at the same time.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub lasting: bool,
    /// Whether the tasks use only processor time that other tasks leave.
    pub filling: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: Box<str>,
    /// The bound of the response time that a lasting task keeps to.
    pub latency_target: Option<Duration>,
    /// How many lasting tasks the system may make unavailable at the same time.
    pub max_unavailable: Option<u32>,
}

/// When the occurrences of a job are due.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recurrence {
    /// Time of day of the first occurrence, since the Unix epoch.
    pub first: Duration,
    /// Time between occurrences.
    pub interval: Duration,
    /// Number of occurrences.
    pub count: u32,
}

/// The work of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobGraph {
    /// What the workers run; the system does not read it.
    pub body: Box<str>,
    /// The steps.
    pub steps: Vec<Step>,
    /// The schedule of a job that runs more than once.
    pub recurrence: Option<Recurrence>,
}

/// A thousand years: sums and multiples of times from outside that are at most this long stay within what a duration holds.
pub const MAX_TIME: Duration = Duration::from_secs(32_000_000_000);

/// The most tasks of a job over all its occurrences: the owner holds about 200 bytes for each and has 160 MB on the smallest
/// machine, and the record of what is done has to fit into one value of the store.
const MAX_TASKS: u64 = 65_536;

impl JobGraph {
    /// Returns how many times the steps run.
    pub fn occurrences(&self) -> u32 {
        self.recurrence.map_or(1, |recurrence| recurrence.count)
    }

    /// Checks that each dependency names an earlier step, that each step has tasks and that the job is not too large; the
    /// error says what is wrong.
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
                return Err("a step waits for a step that is not before it");
            }
            tasks += u64::from(step.tasks);
        }
        if tasks.saturating_mul(u64::from(self.occurrences())) > MAX_TASKS {
            return Err("the job has more than 65,536 tasks over all its occurrences");
        }
        Ok(())
    }
}

/// A job that was accepted, as the store keeps it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedJob {
    /// The client account that submitted the job.
    pub account: AccountId,
    /// The queue that the job waits in.
    pub queue: QueueId,
    /// The rules of the queue at that time; they apply should the queue be removed.
    pub policy: QueuePolicy,
    /// The work.
    pub graph: JobGraph,
    /// Time of day of the acceptance, since the Unix epoch.
    pub accepted: Duration,
}

/// The rules of a queue.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QueuePolicy {
    /// The service whose workers run the tasks.
    pub service: ServiceId,
    /// Rank of the queue; lower ranks may preempt higher ones.
    pub priority: u32,
    /// Number of failed runs of a task after which the job fails.
    pub max_attempts: u32,
    /// Factor of the run time within which a job should end.
    pub stretch: f64,
    /// Time that is added to the stretched run time.
    pub target: Duration,
    /// Whether tasks need the approval of the external advisor.
    pub needs_approval: bool,
}

impl Eq for QueuePolicy {}

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobEnd {
    /// All tasks are done.
    Completed,
    /// A task failed too often.
    Failed,
    /// The client cancelled the job.
    Cancelled,
}

/// What a client is told about a job.
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

/// Names a task of one occurrence of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// The occurrence, from 0.
    pub occurrence: u32,
    /// The step, from 0.
    pub step: u32,
    /// The task within its step, from 0.
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
    /// Reads the form that `Display` writes.
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

/// One start of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TaskRun {
    /// The task.
    pub task: TaskId,
    /// Number of the start; it rises over the starts of a task and is shared by the members of a gang.
    pub run: RunNumber,
}

/// How a run ended on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunEnd {
    /// The work is done.
    Done,
    /// The run failed, through the task or through the worker.
    Failed,
    /// The run was stopped on request.
    Stopped,
    /// The lease of the worker lapsed.
    Lapsed,
    /// Another member of the gang ended.
    Broken,
    /// The other members of the gang did not start in time.
    Alone,
}
