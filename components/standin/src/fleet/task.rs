//! The life cycle of a task: running, ended.

use std::time::Instant;

use model::{AccountId, GangId, Resources, WorkerId};
use serde::{Deserialize, Serialize};
use workers::{StartTask, TaskEnd, TaskId, gang_from_hex, hex};

/// A task in one state of its life cycle.
#[derive(Debug, Clone)]
pub(crate) struct Task<S> {
    gang: GangId,
    account: AccountId,
    pub(crate) resources: Resources,
    started: Instant,
    pub(crate) throttle_percent: u8,
    pub(crate) state: S,
}

/// The task runs under a lease.
#[derive(Debug, Clone)]
pub(crate) struct Running {
    pub(crate) expires: Instant,
    fails_at: Option<Instant>,
}

/// The task no longer runs.
#[derive(Debug, Clone)]
pub(crate) struct Ended {
    at: Instant,
    pub(crate) end: TaskEnd,
}

impl Task<Running> {
    pub(crate) fn start(task: StartTask, fails_at: Option<Instant>, now: Instant) -> Self {
        Self {
            gang: task.gang,
            account: task.account,
            resources: task.resources,
            started: now,
            throttle_percent: 100,
            state: Running {
                expires: now + task.lease,
                fails_at,
            },
        }
    }

    /// Returns the line of the running task.
    pub(crate) fn record(&self, worker: &str, id: &str, origin: Instant) -> TaskRecord {
        record(self, worker, id, origin)
    }

    pub(crate) fn finish(self, end: TaskEnd, at: Instant) -> Task<Ended> {
        Task {
            gang: self.gang,
            account: self.account,
            resources: self.resources,
            started: self.started,
            throttle_percent: self.throttle_percent,
            state: Ended { at, end },
        }
    }

    /// Returns how the task has ended by itself, if it has.
    pub(crate) fn end_by(&self, now: Instant) -> Option<TaskEnd> {
        if self.state.fails_at.is_some_and(|at| at <= now) {
            return Some(TaskEnd::Failed);
        }
        (self.state.expires <= now).then_some(TaskEnd::LeaseLapsed)
    }
}

/// One line of `GET /control/tasks`; times count from the start of the program.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// The worker.
    pub worker: WorkerId,
    /// The task.
    pub task: TaskId,
    /// The gang in hexadecimal.
    pub gang: Box<str>,
    /// The client account.
    pub account: AccountId,
    /// What the task may use.
    pub resources: Resources,
    /// The start in microseconds.
    pub start_us: u64,
    /// The end in microseconds; nothing while the task runs.
    pub end_us: Option<u64>,
    /// How the task ended.
    pub end: Option<TaskEnd>,
}

impl TaskRecord {
    /// Returns the gang of the task.
    pub fn gang_id(&self) -> Option<GangId> {
        gang_from_hex(&self.gang)
    }
}

impl Task<Ended> {
    /// Returns the line of the ended task.
    pub(crate) fn record(&self, worker: &str, id: &str, origin: Instant) -> TaskRecord {
        TaskRecord {
            end_us: Some(micros(self.state.at, origin)),
            end: Some(self.state.end),
            ..record(self, worker, id, origin)
        }
    }
}

fn record<S>(task: &Task<S>, worker: &str, id: &str, origin: Instant) -> TaskRecord {
    TaskRecord {
        worker: worker.into(),
        task: id.into(),
        gang: hex(task.gang),
        account: task.account.clone(),
        resources: task.resources,
        start_us: micros(task.started, origin),
        end_us: None,
        end: None,
    }
}

fn micros(at: Instant, origin: Instant) -> u64 {
    let since = at.saturating_duration_since(origin);
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}
