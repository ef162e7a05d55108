//! Checks of the tasks that the stand-in platform recorded.

use std::time::Duration;

use indexmap::IndexMap;
use serde::Deserialize;

/// Maximum time from the loss of a gang member until all other tasks of the gang have stopped.
pub const GANG_LEASE_TERM: Duration = Duration::from_secs(2);
/// Tolerance for time bounds that are checked against records of another process, which can be delayed on a busy
/// machine.
pub const TIME_TOLERANCE: Duration = Duration::from_millis(500);

/// A task as returned by `GET /control/tasks`.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Task {
    /// The id of the worker.
    pub worker: Box<str>,
    /// The id of the task.
    pub task: Box<str>,
    /// The gang id, in hexadecimal.
    pub gang: Box<str>,
    /// The client account.
    pub account: Box<str>,
    /// The resources reserved for the task.
    pub resources: model::Resources,
    /// The start time in microseconds.
    pub start_us: u64,
    /// The end time in microseconds; `None` while the task runs.
    pub end_us: Option<u64>,
    /// How the task ended; `None` while it runs.
    pub end: Option<Box<str>>,
}

impl Task {
    /// Returns whether the task is running.
    pub fn is_running(&self) -> bool {
        self.end_us.is_none()
    }
}

/// Groups tasks by gang.
pub fn group_by_gang(tasks: &[Task]) -> IndexMap<&str, Vec<&Task>> {
    let mut gangs: IndexMap<&str, Vec<&Task>> = IndexMap::new();
    for task in tasks {
        gangs.entry(&*task.gang).or_default().push(task);
    }
    gangs
}

/// Returns the tasks that ran for longer than `GANG_LEASE_TERM` plus the tolerance after another task of their gang had
/// ended.
///
/// `now_us` is the time at which the records were read; it is taken as the end of tasks that are still running.
pub fn partial_gangs(tasks: &[Task], now_us: u64) -> Vec<Task> {
    let max_delay_us =
        u64::try_from((GANG_LEASE_TERM + TIME_TOLERANCE).as_micros()).unwrap_or(u64::MAX);
    let mut outlasting = Vec::new();
    for gang in group_by_gang(tasks).values() {
        let Some(first_end) = gang.iter().filter_map(|task| task.end_us).min() else {
            continue;
        };
        let outlasts = |task: &&&Task| task.end_us.unwrap_or(now_us) > first_end + max_delay_us;
        outlasting.extend(gang.iter().filter(outlasts).map(|task| Task::clone(task)));
    }
    outlasting
}

/// Returns the tasks whose start exceeded the accelerators of their worker, each with the tasks of other gangs that ran
/// on the worker at that time.
pub fn overcommitted(tasks: &[Task], capacity: u32) -> Vec<(Task, Vec<Task>)> {
    let mut workers: IndexMap<&str, Vec<&Task>> = IndexMap::new();
    for task in tasks {
        workers.entry(&*task.worker).or_default().push(task);
    }
    let mut violations = Vec::new();
    for on_worker in workers.values_mut() {
        on_worker.sort_by_key(|task| task.start_us);
        let mut running: Vec<&Task> = Vec::new();
        for task in on_worker {
            running.retain(|other| other.end_us.is_none_or(|end| end > task.start_us));
            let used: u32 = running.iter().map(|t| t.resources.accelerators).sum();
            if used + task.resources.accelerators > capacity {
                let others = running.iter().filter(|other| other.gang != task.gang);
                violations.push((Task::clone(task), others.map(|t| Task::clone(t)).collect()));
            }
            running.push(task);
        }
    }
    violations
}

/// Returns the request id that entries derive from an idempotency key.
pub fn keyed_request_id(account: &str, key: &str) -> Box<str> {
    let mut hasher = blake3::Hasher::new();
    hasher
        .update(&(account.len() as u64).to_le_bytes())
        .update(account.as_bytes())
        .update(key.as_bytes());
    let mut id = [0; 16];
    id.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    format!("{:032x}", u128::from_le_bytes(id)).into()
}
