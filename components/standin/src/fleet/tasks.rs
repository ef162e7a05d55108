//! The tasks of all workers: a state machine without I/O or access to a clock.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use model::{Resources, WorkerId};
use workers::{EndedTask, RenewOutcome, StartTask, TaskEnd, TaskId, TaskUsage, UsageResponse};

use crate::fleet::task::{Ended, Running, Task, TaskRecord};

/// Why a task did not start.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum StartError {
    /// The remaining resources of the worker are not sufficient.
    NoCapacity,
    /// The task has already ended, or was stopped before its start request arrived.
    Ended,
}

/// The tasks of one worker, in one collection for each state.
#[derive(Debug, Default)]
struct WorkerTasks {
    running: IndexMap<TaskId, Task<Running>>,
    ended: IndexMap<TaskId, Task<Ended>>,
    /// Tasks that were stopped before their start request arrived.
    stopped_before_start: IndexSet<TaskId>,
}

impl WorkerTasks {
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

    /// Ends the tasks for which `end` returns a reason.
    fn finish_where(&mut self, now: Instant, end: impl Fn(&Task<Running>) -> Option<TaskEnd>) {
        let due: Vec<(TaskId, TaskEnd)> = self
            .running
            .iter()
            .filter_map(|(id, task)| Some((id.clone(), end(task)?)))
            .collect();
        for (id, end) in due {
            self.finish(&id, end, now);
        }
    }

    fn usage(&self) -> UsageResponse {
        let task_usage = |(id, task): (&TaskId, &Task<Running>)| TaskUsage {
            task: id.clone(),
            used: task.resources,
            throttle_percent: task.throttle_percent,
        };
        UsageResponse {
            age_ms: 0,
            used: self.used(),
            tasks: self.running.iter().map(task_usage).collect(),
        }
    }
}

/// The tasks of all workers, by worker.
#[derive(Debug, Default)]
pub(crate) struct TaskTable {
    workers: IndexMap<WorkerId, WorkerTasks>,
}

impl TaskTable {
    pub(crate) fn start(
        &mut self,
        worker: &str,
        task: StartTask,
        capacity: Option<Resources>,
        fails_after: Option<Duration>,
        now: Instant,
    ) -> Result<(), StartError> {
        let tasks = self.workers.entry(worker.into()).or_default();
        if tasks.running.contains_key(&task.task) {
            return Ok(());
        }
        if tasks.ended.contains_key(&task.task) || tasks.stopped_before_start.contains(&task.task) {
            return Err(StartError::Ended);
        }
        let used = tasks.used().saturating_add(task.resources);
        if capacity.is_some_and(|capacity| capacity.checked_sub(used).is_none()) {
            return Err(StartError::NoCapacity);
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
    ) -> RenewOutcome {
        let tasks = self.workers.entry(worker.into()).or_default();
        tasks.finish_where(now, |task| task.due_end(now));
        let mut renewed = RenewOutcome::default();
        for task in ids {
            if let Some(running) = tasks.running.get_mut(&task) {
                running.state.expires_at = now + lease;
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
            // A start request that arrives after the stop must not run the task.
            tasks.stopped_before_start.insert(task.into());
        }
    }

    /// Ends all tasks of a lost worker.
    pub(crate) fn end_lost(&mut self, worker: &str, now: Instant) {
        if let Some(tasks) = self.workers.get_mut(worker) {
            tasks.finish_where(now, |_| Some(TaskEnd::Lost));
        }
    }

    /// Throttles a task; returns whether the task is running.
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

    /// Ends the tasks whose failure is due or whose lease has expired.
    pub(crate) fn end_due(&mut self, now: Instant) {
        for tasks in self.workers.values_mut() {
            tasks.finish_where(now, |task| task.due_end(now));
        }
    }

    /// Returns the usage of every worker that has received a start, renewal or stop request.
    pub(crate) fn usage(&self) -> IndexMap<WorkerId, UsageResponse> {
        let workers = self.workers.iter();
        workers
            .map(|(id, tasks)| (id.clone(), tasks.usage()))
            .collect()
    }

    /// Returns the records of all tasks, with the ended tasks of each worker before its running ones.
    pub(crate) fn records(&self, origin: Instant) -> Vec<TaskRecord> {
        let mut records = Vec::new();
        for (worker, tasks) in &self.workers {
            let ended = tasks.ended.iter();
            records.extend(ended.map(|(id, task)| task.to_record(worker, id, origin)));
            let running = tasks.running.iter();
            records.extend(running.map(|(id, task)| task.to_record(worker, id, origin)));
        }
        records
    }
}
