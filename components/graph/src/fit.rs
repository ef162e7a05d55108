//! Selects workers for the tasks of a unit.

use std::time::Duration;

use indexmap::IndexMap;
use model::{AgentId, ResourceVector, Step};

use crate::approvals::StepId;
use crate::crashes::is_blocked_by_trial;
use crate::eligibility::is_eligible;
use crate::job::{Job, Unit, UnitId};
use crate::reservations::{FleetResources, PlacementOptions, WorkerResources};
use crate::scheduler::Scheduler;
use crate::speed_choice::{SpeedRange, speed_ranges};
use crate::trust::{TrustLevel, is_last_attempt, trusted_candidates, waits_for_sound_workers};
use crate::worker::Worker;

/// How many times the additional run time across racks a gang waits for a single rack: the slower run costs the gang that time,
/// and keeps all of its workers from others for as long.
pub(crate) const RACK_WAIT_FACTOR: u32 = 2;

/// Workers with the number of tasks of a unit that each runs.
pub(crate) type Assignment = Vec<(AgentId, u32)>;

/// A worker that may run tasks of a unit.
#[derive(Debug, Clone)]
pub(crate) struct Candidate<'a> {
    /// Index of the worker in the scheduler.
    pub(crate) index: usize,
    pub(crate) worker: &'a Worker,
    /// Resources that are free and not reserved for other units.
    pub(crate) free: ResourceVector,
    /// Whether a trial keeps the unit from starting on the worker now.
    pub(crate) blocked: bool,
    /// Number of tasks of the unit that may be placed on the worker now, within the spread limit of the step.
    pub(crate) slots: u32,
    /// Number of tasks of the unit that might be placed if all resources of the worker were free. The spread limit
    /// applies as for `slots`: tasks of the step that are on the worker already count against it.
    pub(crate) max_slots: u32,
}

impl Candidate<'_> {
    fn is_on_rack(&self, rack: Option<&str>) -> bool {
        rack.is_none_or(|rack| *self.worker.rack() == *rack)
    }
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
        available: &WorkerResources,
        now: Duration,
    ) -> Vec<Candidate<'_>> {
        let mut candidates = self.eligible_candidates(job, unit, available, now);
        if job.policy.needs_approval {
            let step = StepId::of(job.id, unit.0);
            candidates.retain(|candidate| self.ticket(step, candidate.worker, now).is_some());
        }
        candidates
    }

    /// Returns the workers that may run tasks of a unit, whether or not they are approved.
    pub(crate) fn eligible_candidates(
        &self,
        job: &Job,
        unit: (UnitId, &Unit),
        available: &WorkerResources,
        now: Duration,
    ) -> Vec<Candidate<'_>> {
        let (id, unit) = unit;
        let step = job.step(id);
        let task_resources = resources_per_task(step);
        let workers = self.workers.values().enumerate();
        let eligible =
            workers.filter(|(_, worker)| worker.accepts_tasks(now) && is_eligible(worker, job, id));
        let candidates = eligible.map(|(index, worker)| {
            let max_tasks = self.remaining_spread(job, id, worker).min(unit.tasks);
            let max_runs = worker.remaining_runs();
            let free: ResourceVector = available[index];
            let blocked = is_blocked_by_trial(worker, unit, now);
            let slots = free.fit_count(task_resources).min(max_tasks).min(max_runs);
            Candidate {
                index,
                worker,
                free,
                blocked,
                slots: if blocked { 0 } else { slots },
                max_slots: worker.capacity.fit_count(task_resources).min(max_tasks),
            }
        });
        candidates.collect()
    }

    /// Returns how long a unit waits for the rack with its data, or for a single rack: the additional run time that it would
    /// need on another rack, or across racks. A unit that takes any place waits no longer.
    pub(crate) fn locality_wait(&self, job: &Job, unit: UnitId, takes_any_place: bool) -> Duration {
        if takes_any_place {
            return Duration::ZERO;
        }
        let extra = (self.settings.slowdown - 1.0).max(0.0);
        job.expected_task_time(unit).mul_f64(extra)
    }

    /// Selects workers for all tasks of a unit, the most trusted ones first, and among these by their speeds.
    pub(crate) fn assign_workers(
        &self,
        job: &Job,
        unit: (UnitId, &Unit),
        options: &PlacementOptions<'_>,
        now: Duration,
    ) -> Option<Assignment> {
        let step = job.step(unit.0);
        let candidates = &options.candidates;
        let locality_wait = self.locality_wait(job, unit.0, options.takes_any_place);
        let racks = racks_to_try(step, unit.1, candidates, locality_wait, now);
        let speeds = speed_ranges(job, unit, candidates, now);
        let is_last = is_last_attempt(job, unit.1);
        let all: Vec<&Candidate<'_>> = candidates.iter().collect();
        let sound = trusted_candidates(unit.1, candidates, TrustLevel::NotSuspect, now);
        let assignment = if unit.1.is_suspect() {
            pack_at_least_risk(sound.clone(), &racks, unit.1.tasks, now)
        } else if is_last {
            pack_on_proven_workers(sound.clone(), &racks, unit.1.tasks)
        } else if step.data_rack.is_some() && unit.1.tasks == 1 {
            // Another attempt on the rack with the data costs less time than a run on another rack.
            let mut racks = racks.iter();
            racks.find_map(|rack| {
                let mut levels = [&sound, &all].into_iter();
                levels.find_map(|workers| {
                    pack_by_speed(workers, std::slice::from_ref(rack), 1, &speeds)
                })
            })
        } else {
            pack_warm_first(&sound, &racks, unit.1.tasks, &speeds, now)
        };
        let may_wait = !options.takes_any_place;
        if assignment.is_some() || (may_wait && waits_for_sound_workers(job, unit, &sound, now)) {
            return assignment;
        }
        let not_avoided = trusted_candidates(unit.1, candidates, TrustLevel::NotAvoided, now);
        pack_by_speed(&not_avoided, &racks, unit.1.tasks, &speeds)
            .or_else(|| pack_by_speed(&all, &racks, unit.1.tasks, &speeds))
    }
}

impl Scheduler {
    /// Selects the quarantined worker whose quarantine ends first as a probe for a single task. Only a task that has not failed
    /// and has another attempt left, or that lasts, probes it, and one at a time.
    pub(crate) fn assign_quarantined(
        &self,
        job: &Job,
        (id, unit): (UnitId, &Unit),
        fleet: &FleetResources,
        now: Duration,
    ) -> Option<Assignment> {
        let step = job.step(id);
        let has_attempts = unit.failures() == 0 && job.policy.max_attempts > 1;
        if unit.tasks > 1 || unit.is_suspect() || !(has_attempts || step.long_running) {
            return None;
        }
        let task_resources = resources_per_task(step);
        let workers = self.workers.values().zip(&fleet.free);
        let usable = workers.filter(|(worker, free)| {
            worker.accepts_quarantine_probe(now)
                && self.allowed_tasks(job, id, worker) > 0
                && !unit.avoided_workers.contains(&worker.agent)
                && free.fit_count(task_resources) > 0
                && (!job.policy.needs_approval
                    || self.ticket(StepId::of(job.id, id), worker, now).is_some())
        });
        let first = usable.min_by_key(|(worker, _)| worker.quarantined_until)?;
        Some(vec![(first.0.agent.clone(), 1)])
    }
}

/// Packs the last attempt of a unit, whose job fails if another faulty worker fails it, on the workers that most recently
/// started a run that went well.
fn pack_on_proven_workers(
    mut sound: Vec<&Candidate<'_>>,
    racks: &[Option<Box<str>>],
    tasks: u32,
) -> Option<Assignment> {
    sound.sort_by_key(|candidate| std::cmp::Reverse(candidate.worker.last_sound_start));
    pack_on_first(&sound, racks, tasks)
}

/// Packs a suspect on the workers with the least work that a crash would destroy.
fn pack_at_least_risk(
    mut workers: Vec<&Candidate<'_>>,
    racks: &[Option<Box<str>>],
    tasks: u32,
    now: Duration,
) -> Option<Assignment> {
    workers.sort_by_cached_key(|candidate| candidate.worker.unsaved_work(now));
    pack_on_first(&workers, racks, tasks)
}

/// Packs tasks on as few of the first workers as possible.
fn pack_on_first(
    workers: &[&Candidate<'_>],
    racks: &[Option<Box<str>>],
    tasks: u32,
) -> Option<Assignment> {
    let usable = workers.iter().copied();
    let usable: Vec<&Candidate<'_>> = usable.filter(|candidate| candidate.slots > 0).collect();
    let mut prefixes = (1..=usable.len()).map(|count| &usable[..count]);
    prefixes.find_map(|workers| pack_on_racks(workers, racks, tasks))
}

/// Packs tasks on workers that are not slow after their start, if possible. Racks count more: a run across racks is slowed down
/// more than by a cold worker.
fn pack_warm_first(
    workers: &[&Candidate<'_>],
    racks: &[Option<Box<str>>],
    tasks: u32,
    speeds: &[SpeedRange],
    now: Duration,
) -> Option<Assignment> {
    let warm = workers.iter().copied();
    let warm: Vec<&Candidate<'_>> = warm.filter(|c| !c.worker.is_cold(now)).collect();
    if warm.len() == workers.len() {
        return pack_by_speed(workers, racks, tasks, speeds);
    }
    let mut groups = racks.chunk_by(|a, b| a.is_some() == b.is_some());
    groups.find_map(|racks| {
        let on_warm = pack_by_speed(&warm, racks, tasks, speeds);
        on_warm.or_else(|| pack_by_speed(workers, racks, tasks, speeds))
    })
}

/// Packs tasks on the workers of the first range of speeds that has room for all of them on one of the racks. Racks count more
/// than speeds: a run across racks, or away from its data, is slowed down more than by most workers.
fn pack_by_speed(
    workers: &[&Candidate<'_>],
    racks: &[Option<Box<str>>],
    tasks: u32,
    speeds: &[SpeedRange],
) -> Option<Assignment> {
    if speeds.len() <= 1 {
        return pack_on_racks(workers, racks, tasks);
    }
    let mut groups = racks.chunk_by(|a, b| a.is_some() == b.is_some());
    groups.find_map(|racks| {
        speeds.iter().find_map(|range| {
            let within = workers.iter().copied();
            let within = within.filter(|candidate| range.contains(&candidate.worker.speed.rank()));
            pack_on_racks(&within.collect::<Vec<_>>(), racks, tasks)
        })
    })
}

/// Packs tasks on the workers of the first rack that has room for all of them.
pub(crate) fn pack_on_racks(
    workers: &[&Candidate<'_>],
    racks: &[Option<Box<str>>],
    tasks: u32,
) -> Option<Assignment> {
    let mut racks = racks.iter();
    racks.find_map(|rack| pack_on_rack(workers, rack.as_deref(), tasks))
}

/// Packs tasks on the workers of a rack, or of all racks.
fn pack_on_rack(workers: &[&Candidate<'_>], rack: Option<&str>, tasks: u32) -> Option<Assignment> {
    let on_rack = workers
        .iter()
        .copied()
        .filter(|candidate| candidate.is_on_rack(rack));
    pack(on_rack, tasks)
}

/// Returns the racks to try in order; `None` stands for the workers of all racks together. If the list is empty, the
/// unit is not placed now.
///
/// - Until the unit has waited for `locality_wait`, only the rack with its data is tried, provided that this rack could
///   hold the unit if it was empty.
/// - A gang that is sensitive to racks tries those with enough slots, the one with the fewest such slots first. It is placed
///   across racks if no rack could hold it even when empty, or once it has waited for `locality_wait` twice.
/// - Any other unit tries the rack with its data first, and then all racks together.
pub(crate) fn racks_to_try(
    step: &Step,
    unit: &Unit,
    candidates: &[Candidate<'_>],
    locality_wait: Duration,
    now: Duration,
) -> Vec<Option<Box<str>>> {
    let waited = now.saturating_sub(unit.ready_at.unwrap_or(now));
    let may_wait = waited < locality_wait;
    if let Some(rack) = &step.data_rack {
        let max_slots: u32 = candidates
            .iter()
            .filter(|candidate| candidate.is_on_rack(Some(rack)))
            .map(|candidate| candidate.max_slots)
            .sum();
        if max_slots >= unit.tasks && may_wait {
            return vec![Some(rack.clone())];
        }
    }
    if !step.rack_sensitive || unit.tasks == 1 {
        return match &step.data_rack {
            Some(rack) => vec![Some(rack.clone()), None],
            None => vec![None],
        };
    }
    let mut sums: IndexMap<&str, (u32, u32)> = IndexMap::new();
    for candidate in candidates {
        let sum = sums.entry(candidate.worker.rack()).or_default();
        sum.0 += candidate.slots;
        sum.1 += candidate.max_slots;
    }
    let fits_one_rack = sums.values().any(|(_, max_slots)| *max_slots >= unit.tasks);
    let mut fitting: Vec<(&str, u32)> = sums
        .into_iter()
        .filter(|(_, (slots, _))| *slots >= unit.tasks)
        .map(|(rack, (slots, _))| (rack, slots))
        .collect();
    fitting.sort_by_key(|(_, slots)| *slots);
    let mut racks: Vec<Option<Box<str>>> = fitting
        .into_iter()
        .map(|(rack, _)| Some(rack.into()))
        .collect();
    if !fits_one_rack || waited >= locality_wait * RACK_WAIT_FACTOR {
        racks.push(None);
    }
    racks
}

/// Packs tasks on workers: on the one with the least free resources that has slots for all tasks, which keeps empty
/// workers free for large tasks, or else on as few workers as possible.
fn pack<'a>(
    candidates: impl Iterator<Item = &'a Candidate<'a>> + Clone,
    tasks: u32,
) -> Option<Assignment> {
    let total = candidates.clone().map(|candidate| candidate.slots);
    if total.fold(0, u32::saturating_add) < tasks {
        return None;
    }
    let free = |candidate: &&Candidate<'_>| {
        let free = candidate.free;
        (free.accelerators, free.millicores, free.memory_mb)
    };
    let single = candidates
        .clone()
        .filter(|candidate| candidate.slots >= tasks);
    if let Some(candidate) = single.min_by_key(free) {
        return Some(vec![(candidate.worker.agent.clone(), tasks)]);
    }
    let mut order: Vec<&Candidate<'_>> =
        candidates.filter(|candidate| candidate.slots > 0).collect();
    order.sort_by_key(|candidate| (std::cmp::Reverse(candidate.slots), free(candidate)));
    let mut remaining = tasks;
    let mut assignment = Vec::new();
    for candidate in order {
        let count = candidate.slots.min(remaining);
        assignment.push((candidate.worker.agent.clone(), count));
        remaining -= count;
        if remaining == 0 {
            break;
        }
    }
    Some(assignment)
}
