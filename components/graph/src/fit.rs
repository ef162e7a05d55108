//! Selects workers for the tasks of a unit.

use std::time::Duration;

use indexmap::IndexMap;
use model::{AgentId, ResourceVector, Step, TaskId};

use crate::approvals::StepId;
use crate::job::{Job, Unit, UnitId};
use crate::reservations::AvailableResources;
use crate::scheduler::Scheduler;
use crate::worker::Worker;

/// Workers with the number of tasks of a unit that each runs.
pub(crate) type Assignment = Vec<(AgentId, u32)>;

/// A worker that may run tasks of a unit.
#[derive(Debug, Clone)]
pub(crate) struct Candidate {
    pub(crate) agent: AgentId,
    pub(crate) rack: Box<str>,
    /// Resources that are free and not reserved for other units.
    pub(crate) free: ResourceVector,
    /// Number of tasks of the unit that may be placed on the worker now, within the spread limit of the step.
    pub(crate) slots: u32,
    /// Number of tasks of the unit that might be placed if all resources of the worker were free. The spread limit
    /// applies as for `slots`: tasks of the step that are on the worker already count against it.
    pub(crate) max_slots: u32,
}

/// Returns the resources that a task of a step occupies. Tasks that only use spare processor time occupy no cores.
pub(crate) fn resources_per_task(step: &Step) -> ResourceVector {
    if step.best_effort {
        return ResourceVector {
            millicores: 0,
            ..step.resources
        };
    }
    step.resources
}

impl Scheduler {
    /// Returns the workers that may run tasks of a unit. If its queue requires approval, these are the approved ones.
    pub(crate) fn candidates(
        &self,
        job: &Job,
        unit: (UnitId, &Unit),
        available: &AvailableResources<'_>,
        now: Duration,
    ) -> Vec<Candidate> {
        let mut candidates = self.eligible_candidates(job, unit, available, now);
        if job.policy.needs_approval {
            let step = StepId::of(job.id, unit.0);
            candidates.retain(|candidate| {
                let worker = self.workers.get(&candidate.agent);
                worker.is_some_and(|worker| self.ticket(step, worker, now).is_some())
            });
        }
        candidates
    }

    /// Returns the workers that may run tasks of a unit, whether or not they are approved.
    pub(crate) fn eligible_candidates(
        &self,
        job: &Job,
        unit: (UnitId, &Unit),
        available: &AvailableResources<'_>,
        now: Duration,
    ) -> Vec<Candidate> {
        let (id, unit) = unit;
        let step = job.step(id);
        let task_resources = resources_per_task(step);
        let eligible = |worker: &&Worker| {
            worker.accepts_tasks(now)
                && worker.service == job.policy.service
                && has_label(worker, step.required_label.as_deref())
        };
        let candidate = |worker: &Worker| {
            let remaining_spread = step.max_tasks_per_worker.map_or(u32::MAX, |limit| {
                limit.saturating_sub(tasks_on_worker(worker, job, id))
            });
            let max_tasks = remaining_spread.min(unit.tasks);
            let free = available.get(&worker.agent);
            Candidate {
                agent: worker.agent.clone(),
                rack: worker.rack().into(),
                free,
                slots: free.fit_count(task_resources).min(max_tasks),
                max_slots: worker.capacity.fit_count(task_resources).min(max_tasks),
            }
        };
        self.workers
            .values()
            .filter(eligible)
            .map(candidate)
            .collect()
    }

    /// Returns how long a unit waits for the rack with its data: the additional run time that it would need on another
    /// rack.
    pub(crate) fn locality_wait(&self, job: &Job, unit: UnitId) -> Duration {
        let extra = (self.settings.slowdown - 1.0).max(0.0);
        job.expected_task_time(unit).mul_f64(extra)
    }

    /// Selects workers for all tasks of a unit, preferably those on which it has not failed.
    pub(crate) fn assign_workers(
        &self,
        job: &Job,
        unit: (UnitId, &Unit),
        candidates: &[Candidate],
        now: Duration,
    ) -> Option<Assignment> {
        let step = job.step(unit.0);
        let locality_wait = self.locality_wait(job, unit.0);
        let racks = racks_to_try(step, unit.1, candidates, locality_wait, now);
        let is_preferred =
            |candidate: &&Candidate| !unit.1.avoided_workers.contains(&candidate.agent);
        for rack in racks {
            let on_rack: Vec<&Candidate> = candidates
                .iter()
                .filter(|candidate| rack.as_deref().is_none_or(|rack| *candidate.rack == *rack))
                .collect();
            let preferred: Vec<&Candidate> = on_rack.iter().copied().filter(is_preferred).collect();
            let assignment =
                pack(&preferred, unit.1.tasks).or_else(|| pack(&on_rack, unit.1.tasks));
            if assignment.is_some() {
                return assignment;
            }
        }
        None
    }
}

/// Returns the racks to try in order; `None` stands for the workers of all racks together. If the list is empty, the
/// unit is not placed now.
///
/// - Until the unit has waited for `locality_wait`, only the rack with its data is tried, provided that this rack could
///   hold the unit if it was empty.
/// - After that, a gang that is sensitive to racks waits for a rack with enough slots, and the one with the fewest such
///   slots is tried first. It is placed across racks only if no rack could hold it even when empty.
/// - Any other unit tries the rack with its data first, and then all racks together.
pub(crate) fn racks_to_try(
    step: &Step,
    unit: &Unit,
    candidates: &[Candidate],
    locality_wait: Duration,
    now: Duration,
) -> Vec<Option<Box<str>>> {
    if let Some(rack) = &step.data_rack {
        let max_slots: u32 = candidates
            .iter()
            .filter(|candidate| candidate.rack == *rack)
            .map(|candidate| candidate.max_slots)
            .sum();
        let waited = now.saturating_sub(unit.ready_at.unwrap_or(now));
        if max_slots >= unit.tasks && waited < locality_wait {
            return vec![Some(rack.clone())];
        }
    }
    if !step.rack_sensitive || unit.tasks == 1 {
        return match &step.data_rack {
            Some(rack) => vec![Some(rack.clone()), None],
            None => vec![None],
        };
    }
    let mut sums: IndexMap<Box<str>, (u32, u32)> = IndexMap::new();
    for candidate in candidates {
        let sum = sums.entry(candidate.rack.clone()).or_default();
        sum.0 += candidate.slots;
        sum.1 += candidate.max_slots;
    }
    let fits_one_rack = sums.values().any(|(_, max_slots)| *max_slots >= unit.tasks);
    let mut fitting: Vec<(Box<str>, u32)> = sums
        .into_iter()
        .filter(|(_, (slots, _))| *slots >= unit.tasks)
        .map(|(rack, (slots, _))| (rack, slots))
        .collect();
    fitting.sort_by_key(|(_, slots)| *slots);
    let mut racks: Vec<Option<Box<str>>> =
        fitting.into_iter().map(|(rack, _)| Some(rack)).collect();
    if !fits_one_rack {
        racks.push(None);
    }
    racks
}

/// Packs tasks on workers: on the one with the least free resources that has slots for all tasks, which keeps empty
/// workers free for large tasks, or else on as few workers as possible.
fn pack(candidates: &[&Candidate], tasks: u32) -> Option<Assignment> {
    let total: u32 = candidates.iter().map(|candidate| candidate.slots).sum();
    if total < tasks {
        return None;
    }
    let mut order: Vec<&&Candidate> = candidates
        .iter()
        .filter(|candidate| candidate.slots > 0)
        .collect();
    order.sort_by_key(|candidate| {
        let free = candidate.free;
        (free.accelerators, free.millicores, free.memory_mb)
    });
    let single = order.iter().find(|candidate| candidate.slots >= tasks);
    if let Some(candidate) = single {
        return Some(vec![(candidate.agent.clone(), tasks)]);
    }
    order.sort_by_key(|candidate| std::cmp::Reverse(candidate.slots));
    let mut remaining = tasks;
    let mut assignment = Vec::new();
    for candidate in order {
        let count = candidate.slots.min(remaining);
        assignment.push((candidate.agent.clone(), count));
        remaining -= count;
        if remaining == 0 {
            break;
        }
    }
    Some(assignment)
}

fn has_label(worker: &Worker, label: Option<&str>) -> bool {
    label.is_none_or(|label| worker.labels.iter().any(|own| **own == *label))
}

/// Returns the number of tasks of the same step and occurrence on a worker.
fn tasks_on_worker(worker: &Worker, job: &Job, unit: UnitId) -> u32 {
    let same_step = |task: &&TaskId| {
        task.job == job.id && task.step == unit.step && task.occurrence == unit.occurrence
    };
    u32::try_from(worker.placements.keys().filter(same_step).count()).unwrap_or(u32::MAX)
}
