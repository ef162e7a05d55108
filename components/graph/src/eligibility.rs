//! Decides which workers a unit may use, whatever resources are free. Each way to place a unit asks it: first starts and
//! restarts, reservations, preemption and probes.

use model::{AgentId, TaskId};

use crate::fit::Assignment;
use crate::job::{Job, UnitId};
use crate::order::ReadyUnit;
use crate::scheduler::Scheduler;
use crate::worker::Worker;

impl Scheduler {
    /// Returns how many more tasks of a unit a worker may run: none on a worker that gets no new tasks, that belongs to another
    /// service or lacks the label, and otherwise what the spread limit of the step leaves. Quarantined workers count as any
    /// other.
    pub(crate) fn allowed_tasks(&self, job: &Job, id: UnitId, worker: &Worker) -> u32 {
        if is_eligible(worker, job, id) {
            self.remaining_spread(job, id, worker)
        } else {
            0
        }
    }

    /// Returns how many more tasks of a unit the spread limit of its step allows on a worker. Tasks for which other units of the
    /// step have reserved resources there count like those that run.
    pub(crate) fn remaining_spread(&self, job: &Job, id: UnitId, worker: &Worker) -> u32 {
        let Some(limit) = job.step(id).max_tasks_per_worker else {
            return u32::MAX;
        };
        let reserved = self.reserved_tasks_of_step(job, id, &worker.agent);
        limit
            .saturating_sub(tasks_on_worker(worker, job, id))
            .saturating_sub(reserved)
    }

    /// Returns the number of tasks that other units of the same step and occurrence have reserved resources for on a worker.
    fn reserved_tasks_of_step(&self, job: &Job, id: UnitId, agent: &AgentId) -> u32 {
        let reservations = self.reservations.iter();
        let same_step = reservations.filter(|((other, unit), _)| {
            *other == job.id && is_same_step(*unit, id) && unit.first != id.first
        });
        let assigned = same_step.flat_map(|(_, reservation)| &reservation.assignment);
        let on_worker = assigned.filter(|(assigned, _)| assigned == agent);
        on_worker
            .map(|(_, tasks)| *tasks)
            .fold(0, u32::saturating_add)
    }

    /// Returns whether a unit may run with an assignment.
    pub(crate) fn is_allowed(&self, ready: ReadyUnit, assignment: &Assignment) -> bool {
        let Some(job) = self.jobs.get(&ready.job) else {
            return false;
        };
        assignment.iter().all(|(agent, tasks)| {
            let worker = self.workers.get(agent);
            worker.is_some_and(|worker| self.allowed_tasks(job, ready.unit, worker) >= *tasks)
        })
    }
}

/// Returns whether a worker gets new tasks, belongs to the service of a unit and has the label that its step requires.
pub(crate) fn is_eligible(worker: &Worker, job: &Job, id: UnitId) -> bool {
    worker.is_available()
        && worker.service == job.policy.service
        && has_label(worker, job.step(id).required_label.as_deref())
}

/// Returns whether a worker has the label, if one is required.
pub(crate) fn has_label(worker: &Worker, label: Option<&str>) -> bool {
    label.is_none_or(|label| worker.labels.iter().any(|own| **own == *label))
}

/// Returns the number of tasks of the same step and occurrence on a worker, with those that are being stopped.
pub(crate) fn tasks_on_worker(worker: &Worker, job: &Job, id: UnitId) -> u32 {
    let same_step = |task: &TaskId| {
        task.job == job.id && task.step == id.step && task.occurrence == id.occurrence
    };
    let placed = worker.placements.keys().filter(|task| same_step(task));
    let orphans = worker.orphan_runs.keys();
    let orphans = orphans.filter(|orphan| same_step(&orphan.task));
    u32::try_from(placed.count() + orphans.count()).unwrap_or(u32::MAX)
}

fn is_same_step(a: UnitId, b: UnitId) -> bool {
    (a.occurrence, a.step) == (b.occurrence, b.step)
}
