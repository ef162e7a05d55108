//! Checks of what ran, from the records of the stand-in platform.

use std::time::Duration;

use indexmap::IndexMap;
use serde::Deserialize;

/// From the loss of a member until all other tasks of its gang have stopped.
pub const GANG_LEASE_TERM: Duration = Duration::from_secs(2);
/// Added to a bound that is read from the records of another process on a busy machine.
pub const MARGIN: Duration = Duration::from_millis(500);

/// A line of `GET /control/tasks`.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Task {
    /// The worker.
    pub worker: Box<str>,
    /// The task.
    pub task: Box<str>,
    /// The gang in hexadecimal.
    pub gang: Box<str>,
    /// The client account.
    pub account: Box<str>,
    /// What the task may use.
    pub resources: model::Resources,
    /// The start in microseconds.
    pub start_us: u64,
    /// The end in microseconds; nothing while the task runs.
    pub end_us: Option<u64>,
    /// How the task ended.
    pub end: Option<Box<str>>,
}

impl Task {
    /// Returns whether the task runs.
    pub fn is_running(&self) -> bool {
        self.end_us.is_none()
    }
}

/// Returns the tasks of each gang.
pub fn by_gang(tasks: &[Task]) -> IndexMap<&str, Vec<&Task>> {
    let mut gangs: IndexMap<&str, Vec<&Task>> = IndexMap::new();
    for task in tasks {
        gangs.entry(&*task.gang).or_default().push(task);
    }
    gangs
}

/// Returns the tasks that ran for more than `GANG_LEASE_TERM` and a margin after another task of their gang had ended.
///
/// `now_us` is the time of the records; a task that runs counts up to there.
pub fn partial_gangs(tasks: &[Task], now_us: u64) -> Vec<Task> {
    let bound = u64::try_from((GANG_LEASE_TERM + MARGIN).as_micros()).unwrap_or(u64::MAX);
    let mut late = Vec::new();
    for gang in by_gang(tasks).values() {
        let Some(first) = gang.iter().filter_map(|task| task.end_us).min() else {
            continue;
        };
        let outlasts = |task: &&&Task| task.end_us.unwrap_or(now_us) > first + bound;
        late.extend(gang.iter().filter(outlasts).map(|task| Task::clone(task)));
    }
    late
}

/// Returns the tasks that started on workers whose accelerators were in use, each with the tasks that used them.
pub fn overbooked(tasks: &[Task], capacity: u32) -> Vec<(Task, Vec<Task>)> {
    let mut workers: IndexMap<&str, Vec<&Task>> = IndexMap::new();
    for task in tasks {
        workers.entry(&*task.worker).or_default().push(task);
    }
    let mut over = Vec::new();
    for on_worker in workers.values_mut() {
        on_worker.sort_by_key(|task| task.start_us);
        let mut running: Vec<&Task> = Vec::new();
        for task in on_worker {
            running.retain(|other| other.end_us.is_none_or(|end| end > task.start_us));
            let used: u32 = running.iter().map(|t| t.resources.accelerators).sum();
            if used + task.resources.accelerators > capacity {
                let others = running.iter().filter(|other| other.gang != task.gang);
                over.push((Task::clone(task), others.map(|t| Task::clone(t)).collect()));
            }
            running.push(task);
        }
    }
    over
}

/// Returns the id that entries derive from an idempotency key.
pub fn keyed_id(account: &str, key: &str) -> Box<str> {
    let mut hasher = blake3::Hasher::new();
    hasher
        .update(&(account.len() as u64).to_le_bytes())
        .update(account.as_bytes())
        .update(key.as_bytes());
    let mut id = [0; 16];
    id.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    format!("{:032x}", u128::from_le_bytes(id)).into()
}
