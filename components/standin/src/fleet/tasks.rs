//! The tasks of all workers: a state machine without I/O or clock.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use model::{Resources, WorkerId};
use workers::{EndedTask, Renewed, StartTask, TaskEnd, TaskId, TaskUsage, UsageAnswer};

use crate::fleet::task::{Ended, Running, Task, TaskRecord};

/// Why a task did not start.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum StartFault {
    /// The resources of the worker are taken.
    NoCapacity,
    /// The task ran before and has ended.
    Ended,
}

/// The tasks of one worker, one map for each state.
#[derive(Debug, Default)]
struct OnWorker {
    running: IndexMap<TaskId, Task<Running>>,
    ended: IndexMap<TaskId, Task<Ended>>,
    /// Tasks that were stopped before their start arrived.
    refused: IndexSet<TaskId>,
}

impl OnWorker {
    fn used(&self) -> Resources {
        let running = self.running.values();
        running.fold(Resources::default(), |sum, task| {
            sum.saturating_add(task.resources)
        })
    }

    fn finish(&mut self, id: &str, end: TaskEnd, now: Instant) {
        if let Some((id, task)) = self.running.swap_remove_entry(id) {
            self.ended.insert(id, task.finish(end, now));
        }
    }

    /// Ends the tasks for which `end` gives a reason.
    fn finish_all(&mut self, now: Instant, end: impl Fn(&Task<Running>) -> Option<TaskEnd>) {
        let ending: Vec<(TaskId, TaskEnd)> = self
            .running
            .iter()
            .filter_map(|(id, task)| Some((id.clone(), end(task)?)))
            .collect();
        for (id, end) in ending {
            self.finish(&id, end, now);
        }
    }

    fn usage(&self) -> UsageAnswer {
        let task_usage = |(id, task): (&TaskId, &Task<Running>)| TaskUsage {
            task: id.clone(),
            used: task.resources,
            throttle_percent: task.throttle_percent,
        };
        UsageAnswer {
            age_ms: 0,
            used: self.used(),
            tasks: self.running.iter().map(task_usage).collect(),
        }
    }
}

/// The tasks of all workers.
#[derive(Debug, Default)]
pub(crate) struct Tasks {
    workers: IndexMap<WorkerId, OnWorker>,
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
        let tasks = self.workers.entry(worker.into()).or_default();
        if tasks.running.contains_key(&task.task) {
            return Ok(());
        }
        if tasks.ended.contains_key(&task.task) || tasks.refused.contains(&task.task) {
            return Err(StartFault::Ended);
        }
        let used = tasks.used().saturating_add(task.resources);
        if capacity.is_some_and(|capacity| capacity.checked_sub(used).is_none()) {
            return Err(StartFault::NoCapacity);
        }
        let fails_at = fails_after.map(|after| now + after);
        let id = task.task.clone();
        tasks.running.insert(id, Task::start(task, fails_at, now));
        Ok(())
    }

    pub(crate) fn renew(
        &mut self,
        worker: &str,
        ids: Vec<TaskId>,
        lease: Duration,
        now: Instant,
    ) -> Renewed {
        let tasks = self.workers.entry(worker.into()).or_default();
        tasks.finish_all(now, |task| task.end_by(now));
        let mut renewed = Renewed::default();
        for task in ids {
            if let Some(running) = tasks.running.get_mut(&task) {
                running.state.expires = now + lease;
                renewed.renewed.push(task);
            } else {
                let end = tasks.ended.get(&task).map(|ended| ended.state.end);
                renewed.ended.push(EndedTask { task, end });
            }
        }
        renewed
    }

    pub(crate) fn stop(&mut self, worker: &str, task: &str, now: Instant) {
        let tasks = self.workers.entry(worker.into()).or_default();
        if tasks.running.contains_key(task) {
            tasks.finish(task, TaskEnd::Stopped, now);
        } else {
            // A start that arrives after its stop must not run.
            tasks.refused.insert(task.into());
        }
    }

    /// Ends all tasks of a worker.
    pub(crate) fn lose(&mut self, worker: &str, now: Instant) {
        if let Some(tasks) = self.workers.get_mut(worker) {
            tasks.finish_all(now, |_| Some(TaskEnd::Lost));
        }
    }

    /// Throttles a task and returns whether it runs.
    pub(crate) fn throttle(&mut self, worker: &str, task: &str, percent: u8) -> bool {
        let tasks = self.workers.get_mut(worker);
        let running = tasks.and_then(|tasks| tasks.running.get_mut(task));
        running
            .map(|task| task.throttle_percent = percent)
            .is_some()
    }

    pub(crate) fn is_running(&self, worker: &str, task: &str) -> bool {
        let tasks = self.workers.get(worker);
        tasks.is_some_and(|tasks| tasks.running.contains_key(task))
    }

    /// Ends the tasks that fail or whose leases lapse.
    pub(crate) fn end_due(&mut self, now: Instant) {
        for tasks in self.workers.values_mut() {
            tasks.finish_all(now, |task| task.end_by(now));
        }
    }

    /// Returns the usage of every worker that was ever called.
    pub(crate) fn usage(&self) -> IndexMap<WorkerId, UsageAnswer> {
        let workers = self.workers.iter();
        workers
            .map(|(id, tasks)| (id.clone(), tasks.usage()))
            .collect()
    }

    /// Returns all tasks; for each worker those that ended first.
    pub(crate) fn records(&self, origin: Instant) -> Vec<TaskRecord> {
        let mut records = Vec::new();
        for (worker, tasks) in &self.workers {
            let ended = tasks.ended.iter();
            records.extend(ended.map(|(id, task)| task.record(worker, id, origin)));
            let running = tasks.running.iter();
            records.extend(running.map(|(id, task)| task.record(worker, id, origin)));
        }
        records
    }
}
