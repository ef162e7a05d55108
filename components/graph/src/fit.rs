//! Finds workers for the tasks of a unit.

use std::time::Duration;

use indexmap::IndexMap;
use model::{AgentId, Room, Step};

use crate::approvals::StepId;
use crate::claims::AvailableResources;
use crate::job::{Job, Unit, UnitId};
use crate::scheduler::Scheduler;
use crate::worker::Worker;

/// Tasks of a unit by worker.
pub(crate) type Assignment = Vec<(AgentId, u32)>;

/// A worker that may run tasks of a unit.
#[derive(Debug, Clone)]
pub(crate) struct Candidate {
    /// The agent of the worker.
    pub(crate) agent: AgentId,
    /// The rack.
    pub(crate) rack: Box<str>,
    /// What is free for the unit.
    pub(crate) free: Room,
    /// Tasks that fit.
    pub(crate) slots: u32,
    /// Tasks that would fit if nothing else ran there.
    pub(crate) max_slots: u32,
}

/// Returns what a task of a step takes of its worker.
pub(crate) fn resources_per_task(step: &Step) -> Room {
    if step.filling {
        return Room {
            millicores: 0,
            ..step.room
        };
    }
    step.room
}

impl Scheduler {
    /// Returns the workers that may run tasks of a unit, with what is free now.
    pub(crate) fn candidates(
        &self,
        job: &Job,
        unit: (UnitId, &Unit),
        open: &AvailableResources<'_>,
        now: Duration,
    ) -> Vec<Candidate> {
        let mut candidates = self.eligible_candidates(job, unit, open, now);
        if job.policy.needs_approval {
            let step = StepId::of(job.id, unit.0);
            candidates.retain(|candidate| {
                let worker = self.workers.get(&candidate.agent);
                worker.is_some_and(|worker| self.ticket(step, worker, now).is_some())
            });
        }
        candidates
    }

    /// Returns the workers that may run tasks of a unit if no approval is needed.
    pub(crate) fn eligible_candidates(
        &self,
        job: &Job,
        unit: (UnitId, &Unit),
        open: &AvailableResources<'_>,
        now: Duration,
    ) -> Vec<Candidate> {
        let (id, unit) = unit;
        let step = job.step(id);
        let room = resources_per_task(step);
        let usable = |worker: &&Worker| {
            worker.accepts_tasks(now)
                && worker.service == job.policy.service
                && has_label(worker, step.required_label.as_deref())
        };
        let candidate = |worker: &Worker| {
            let limit = step.spread_limit.map_or(u32::MAX, |limit| {
                limit.saturating_sub(tasks_on_worker(worker, job, id))
            });
            let free = open.get(&worker.agent);
            Candidate {
                agent: worker.agent.clone(),
                rack: worker.rack().into(),
                free,
                slots: free.times(room).min(limit).min(unit.tasks),
                max_slots: worker.capacity.times(room).min(limit).min(unit.tasks),
            }
        };
        self.workers
            .values()
            .filter(usable)
            .map(candidate)
            .collect()
    }

    /// Returns how long waiting for the rack with the data pays: until it has cost as much as the slower run elsewhere.
    pub(crate) fn locality_wait(&self, job: &Job, unit: UnitId) -> Duration {
        let longer = (self.limits.slowdown - 1.0).max(0.0);
        job.expected_step_time(unit).mul_f64(longer)
    }

    /// Chooses workers with room for all tasks of a unit.
    pub(crate) fn assign_workers(
        &self,
        job: &Job,
        unit: (UnitId, &Unit),
        candidates: &[Candidate],
        now: Duration,
    ) -> Option<Assignment> {
        let step = job.step(unit.0);
        let patience = self.locality_wait(job, unit.0);
        let wanted = racks_to_try(step, unit.1, candidates, patience, now);
        let fresh = |candidate: &&Candidate| !unit.1.avoided_workers.contains(&candidate.agent);
        for group in wanted {
            let here: Vec<&Candidate> = candidates
                .iter()
                .filter(|candidate| group.as_deref().is_none_or(|rack| *candidate.rack == *rack))
                .collect();
            let unblamed: Vec<&Candidate> = here.iter().copied().filter(fresh).collect();
            let chosen = pack(&unblamed, unit.1.tasks).or_else(|| pack(&here, unit.1.tasks));
            if chosen.is_some() {
                return chosen;
            }
        }
        None
    }
}

/// Returns the racks to try, in order; `None` stands for all workers together. The rack with the data is waited for as long as
/// `patience`.
pub(crate) fn racks_to_try(
    step: &Step,
    unit: &Unit,
    candidates: &[Candidate],
    patience: Duration,
    now: Duration,
) -> Vec<Option<Box<str>>> {
    if let Some(rack) = &step.data_rack {
        let most: u32 = candidates
            .iter()
            .filter(|candidate| candidate.rack == *rack)
            .map(|candidate| candidate.max_slots)
            .sum();
        let waited = now.saturating_sub(unit.ready_at.unwrap_or(now));
        if most >= unit.tasks && waited < patience {
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
    let possible = sums.values().any(|(_, most)| *most >= unit.tasks);
    let mut fitting: Vec<(Box<str>, u32)> = sums
        .into_iter()
        .filter(|(_, (slots, _))| *slots >= unit.tasks)
        .map(|(rack, (slots, _))| (rack, slots))
        .collect();
    fitting.sort_by_key(|(_, slots)| *slots);
    let mut racks: Vec<Option<Box<str>>> =
        fitting.into_iter().map(|(rack, _)| Some(rack)).collect();
    if !possible {
        racks.push(None);
    }
    racks
}

/// Fills the workers with the least free accelerators first, which keeps whole workers free for wide tasks.
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
    // One worker that takes all is better than several.
    let whole = order.iter().find(|candidate| candidate.slots >= tasks);
    if let Some(candidate) = whole {
        return Some(vec![(candidate.agent.clone(), tasks)]);
    }
    order.sort_by_key(|candidate| std::cmp::Reverse(candidate.slots));
    let mut left = tasks;
    let mut chosen = Vec::new();
    for candidate in order {
        let take = candidate.slots.min(left);
        chosen.push((candidate.agent.clone(), take));
        left -= take;
        if left == 0 {
            break;
        }
    }
    Some(chosen)
}

fn has_label(worker: &Worker, label: Option<&str>) -> bool {
    label.is_none_or(|label| worker.labels.iter().any(|own| **own == *label))
}

/// Returns the tasks of a step and occurrence on a worker.
fn tasks_on_worker(worker: &Worker, job: &Job, unit: UnitId) -> u32 {
    let same = |task: &&model::TaskId| {
        task.job == job.id && task.step == unit.step && task.occurrence == unit.occurrence
    };
    u32::try_from(worker.placements.keys().filter(same).count()).unwrap_or(u32::MAX)
}
