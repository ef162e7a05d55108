//! The tasks of all workers: a state machine without I/O or clock.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use model::{AccountId, GangId, Resources, WorkerId};
use serde::{Deserialize, Serialize};
use workers::{
    EndedTask, Renewed, StartTask, TaskEnd, TaskId, TaskUsage, UsageAnswer, gang_from_hex, hex,
};

/// A task in one state of its life cycle.
#[derive(Debug, Clone)]
struct Task<S> {
    gang: GangId,
    account: AccountId,
    resources: Resources,
    started: Instant,
    throttle_percent: u8,
    state: S,
}

/// The task runs under a lease.
#[derive(Debug, Clone)]
struct Running {
    expires: Instant,
    fails_at: Option<Instant>,
}

/// The task no longer runs.
#[derive(Debug, Clone)]
struct Ended {
    at: Instant,
    end: TaskEnd,
}

impl Task<Running> {
    fn finish(self, end: TaskEnd, at: Instant) -> Task<Ended> {
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
    fn end_by(&self, now: Instant) -> Option<TaskEnd> {
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

/// Why a task did not start.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum StartFault {
    /// The resources of the worker are taken.
    NoCapacity,
    /// The task ran before and has ended.
    Ended,
}

/// Names a task across all workers.
type Name = (WorkerId, TaskId);

/// The tasks, one map for each state.
#[derive(Debug, Default)]
pub(crate) struct Tasks {
    running: IndexMap<Name, Task<Running>>,
    ended: IndexMap<Name, Task<Ended>>,
}

impl Tasks {
    pub(crate) fn start(
        &mut self,
        worker: &str,
        task: StartTask,
        capacity: Option<Resources>,
        fails_after: Option<Duration>,
        now: Instant,
    ) -> Result<(), StartFault> {
        let name = name(worker, &task.task);
        if self.running.contains_key(&name) {
            return Ok(());
        }
        if self.ended.contains_key(&name) {
            return Err(StartFault::Ended);
        }
        let used = self.used(worker).plus(task.resources);
        if capacity.is_some_and(|capacity| capacity.checked_minus(used).is_none()) {
            return Err(StartFault::NoCapacity);
        }
        let task = Task {
            gang: task.gang,
            account: task.account,
            resources: task.resources,
            started: now,
            throttle_percent: 100,
            state: Running {
                expires: now + task.lease,
                fails_at: fails_after.map(|after| now + after),
            },
        };
        self.running.insert(name, task);
        Ok(())
    }

    pub(crate) fn renew(
        &mut self,
        worker: &str,
        tasks: Vec<TaskId>,
        lease: Duration,
        now: Instant,
    ) -> Renewed {
        self.end_due(now);
        let mut renewed = Renewed::default();
        for task in tasks {
            let name = name(worker, &task);
            if let Some(running) = self.running.get_mut(&name) {
                running.state.expires = now + lease;
                renewed.renewed.push(task);
            } else {
                let end = self.ended.get(&name).map(|ended| ended.state.end);
                renewed.ended.push(EndedTask { task, end });
            }
        }
        renewed
    }

    pub(crate) fn stop(&mut self, worker: &str, task: &str, now: Instant) {
        self.finish(&name(worker, task), TaskEnd::Stopped, now);
    }

    /// Ends all tasks of a worker.
    pub(crate) fn lose(&mut self, worker: &str, now: Instant) {
        let names: Vec<Name> = self
            .running
            .keys()
            .filter(|name| &*name.0 == worker)
            .cloned()
            .collect();
        for name in names {
            self.finish(&name, TaskEnd::Lost, now);
        }
    }

    pub(crate) fn throttle(&mut self, worker: &str, task: &str, percent: u8) -> bool {
        let running = self.running.get_mut(&name(worker, task));
        running
            .map(|running| running.throttle_percent = percent)
            .is_some()
    }

    pub(crate) fn is_running(&self, worker: &str, task: &str) -> bool {
        self.running.contains_key(&name(worker, task))
    }

    /// Ends the tasks that fail or whose leases lapse.
    pub(crate) fn end_due(&mut self, now: Instant) {
        let due: Vec<(Name, TaskEnd)> = self
            .running
            .iter()
            .filter_map(|(name, task)| Some((name.clone(), task.end_by(now)?)))
            .collect();
        for (name, end) in due {
            self.finish(&name, end, now);
        }
    }

    /// Returns the usage of every worker that has tasks.
    pub(crate) fn usage(&self) -> IndexMap<WorkerId, UsageAnswer> {
        let mut all: IndexMap<WorkerId, UsageAnswer> = IndexMap::new();
        for ((worker, id), task) in &self.running {
            let usage = all.entry(worker.clone()).or_default();
            usage.used = usage.used.plus(task.resources);
            usage.tasks.push(TaskUsage {
                task: id.clone(),
                used: task.resources,
                throttle_percent: task.throttle_percent,
            });
        }
        all
    }

    /// Returns all tasks, those that ended first.
    pub(crate) fn records(&self, origin: Instant) -> Vec<TaskRecord> {
        let ended = self.ended.iter().map(|(name, task)| {
            let mut record = record(name, task, origin);
            record.end_us = Some(micros(task.state.at, origin));
            record.end = Some(task.state.end);
            record
        });
        let running = self
            .running
            .iter()
            .map(|(name, task)| record(name, task, origin));
        ended.chain(running).collect()
    }

    fn used(&self, worker: &str) -> Resources {
        self.running
            .iter()
            .filter(|(name, _)| &*name.0 == worker)
            .fold(Resources::default(), |sum, (_, task)| {
                sum.plus(task.resources)
            })
    }

    fn finish(&mut self, name: &Name, end: TaskEnd, now: Instant) {
        if let Some(task) = self.running.swap_remove(name) {
            self.ended.insert(name.clone(), task.finish(end, now));
        }
    }
}

fn name(worker: &str, task: &str) -> Name {
    (worker.into(), task.into())
}

fn record<S>((worker, id): &Name, task: &Task<S>, origin: Instant) -> TaskRecord {
    TaskRecord {
        worker: worker.clone(),
        task: id.clone(),
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
