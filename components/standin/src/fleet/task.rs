//! The life cycle of a task: running, then ended.

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
    started_at: Instant,
    pub(crate) throttle_percent: u8,
    pub(crate) state: S,
}

/// State of a task that runs under a lease.
#[derive(Debug, Clone)]
pub(crate) struct Running {
    pub(crate) expires_at: Instant,
    fails_at: Option<Instant>,
}

/// State of a task that no longer runs.
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
            started_at: now,
            throttle_percent: 100,
            state: Running {
                expires_at: now + task.lease,
                fails_at,
            },
        }
    }

    /// Returns the record of the running task.
    pub(crate) fn to_record(&self, worker: &str, id: &str, origin: Instant) -> TaskRecord {
        base_record(self, worker, id, origin)
    }

    pub(crate) fn finish(self, end: TaskEnd, at: Instant) -> Task<Ended> {
        Task {
            gang: self.gang,
            account: self.account,
            resources: self.resources,
            started_at: self.started_at,
            throttle_percent: self.throttle_percent,
            state: Ended { at, end },
        }
    }

    /// Returns why the task ends without being stopped, if a failure or the expiry of its lease is due.
    pub(crate) fn due_end(&self, now: Instant) -> Option<TaskEnd> {
        if self.state.fails_at.is_some_and(|at| at <= now) {
            return Some(TaskEnd::Failed);
        }
        (self.state.expires_at <= now).then_some(TaskEnd::LeaseLapsed)
    }
}

/// A task as returned by `GET /control/tasks`; times are relative to the start of the worker service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// The id of the worker.
    pub worker: WorkerId,
    /// The id of the task.
    pub task: TaskId,
    /// The gang id, in hexadecimal.
    pub gang: Box<str>,
    /// The client account.
    pub account: AccountId,
    /// The resources reserved for the task.
    pub resources: Resources,
    /// The start time in microseconds.
    pub start_us: u64,
    /// The end time in microseconds; `None` while the task runs.
    pub end_us: Option<u64>,
    /// How the task ended; `None` while it runs.
    pub end: Option<TaskEnd>,
}

impl TaskRecord {
    /// Parses the gang id; returns `None` if it is not hexadecimal.
    pub fn gang_id(&self) -> Option<GangId> {
        gang_from_hex(&self.gang)
    }
}

impl Task<Ended> {
    /// Returns the record of the ended task.
    pub(crate) fn to_record(&self, worker: &str, id: &str, origin: Instant) -> TaskRecord {
        TaskRecord {
            end_us: Some(micros_since(self.state.at, origin)),
            end: Some(self.state.end),
            ..base_record(self, worker, id, origin)
        }
    }
}

fn base_record<S>(task: &Task<S>, worker: &str, id: &str, origin: Instant) -> TaskRecord {
    TaskRecord {
        worker: worker.into(),
        task: id.into(),
        gang: hex(task.gang),
        account: task.account.clone(),
        resources: task.resources,
        start_us: micros_since(task.started_at, origin),
        end_us: None,
        end: None,
    }
}

fn micros_since(at: Instant, origin: Instant) -> u64 {
    let since = at.saturating_duration_since(origin);
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}
