//! Finds out why a unit is not placed.

use std::time::Duration;

use model::{JobId, ResourceVector};

use crate::approvals::StepId;
use crate::crashes::is_blocked_by_trial;
use crate::eligibility::has_label;
use crate::fit::{RACK_WAIT_FACTOR, pack_on_racks, racks_to_try, resources_per_task};
use crate::headroom::headroom_deadline;
use crate::job::{Job, Unit, UnitId};
use crate::order::ReadyUnit;
use crate::reservations::{FleetResources, ReservationFilter, available_resources};
use crate::scheduler::Scheduler;
use crate::stakes::Prospect;
use crate::trust::{TrustLevel, sound_workers_deadline, trusted_candidates};
use crate::waits::WaitReason;
use crate::worker::Worker;

/// A worker with its index in the scheduler.
type IndexedWorker<'a> = (usize, &'a Worker);

impl Scheduler {
    /// Returns why a unit is not placed, and when the reason ceases to hold at the latest.
    ///
    /// The restrictions on the workers and resources that the unit may use are applied one after the other; the reason is the
    /// first one under which it no longer fits.
    pub(crate) fn wait_reason(
        &self,
        id: JobId,
        unit_id: UnitId,
        fleet: &FleetResources,
        headroom: &[bool],
        now: Duration,
    ) -> (WaitReason, Option<Duration>) {
        let Some(job) = self.jobs.get(&id) else {
            return (WaitReason::NextPlan, None);
        };
        let Some(unit) = job.units.get(&unit_id) else {
            return (WaitReason::NextPlan, None);
        };
        let ready = ReadyUnit {
            job: id,
            unit: unit_id,
            guaranteed: self.guaranteed.contains(&id),
            priority: job.policy.priority,
            prospect: Prospect::InTime,
            overdue: false,
        };
        if let Some(found) = self.unusable_workers_reason(job, (unit_id, unit), fleet, now) {
            return found;
        }
        let found = self.unusable_resources_reason(job, (ready, unit), fleet, headroom, now);
        let (reason, until) = found.unwrap_or((WaitReason::NextPlan, None));
        let limit = self.standstill_limit(job, (unit_id, unit));
        let limit = limit
            .filter(|_| reason.is_chosen() && self.has_room_twice(job, (unit_id, unit), fleet));
        (reason, until.into_iter().chain(limit).min())
    }

    /// Returns the reason if it lies in what the workers are and in the runs on them.
    fn unusable_workers_reason(
        &self,
        job: &Job,
        (id, unit): (UnitId, &Unit),
        fleet: &FleetResources,
        now: Duration,
    ) -> Option<(WaitReason, Option<Duration>)> {
        let step = job.step(id);
        let task_resources = resources_per_task(step);
        let fits = |workers: &[IndexedWorker<'_>],
                    resources: &dyn Fn(&IndexedWorker<'_>) -> ResourceVector| {
            let slots = workers
                .iter()
                .map(|worker| resources(worker).fit_count(task_resources).min(unit.tasks));
            slots.fold(0, u32::saturating_add) >= unit.tasks
        };
        let capacity = |(_, worker): &IndexedWorker<'_>| worker.capacity;
        let free = |(index, _): &IndexedWorker<'_>| fleet.free[*index];
        // Orphan runs are being stopped as well; one of unknown size counts as the whole worker.
        let after_stops = |(index, worker): &IndexedWorker<'_>| {
            if worker.orphan_runs.is_empty() {
                fleet.free[*index].saturating_add(fleet.stopping[*index])
            } else {
                worker.capacity.saturating_sub(worker.running_resources())
            }
        };
        let mut workers: Vec<IndexedWorker<'_>> = self.workers.values().enumerate().collect();
        workers.retain(|(_, worker)| worker.service == job.policy.service && !worker.lost);
        if !fits(&workers, &capacity) {
            return Some((WaitReason::TooFewWorkers, None));
        }
        workers.retain(|(_, worker)| has_label(worker, step.required_label.as_deref()));
        if !fits(&workers, &capacity) {
            return Some((WaitReason::MissingLabel, None));
        }
        if !fits(&workers, &after_stops) {
            return Some((WaitReason::NoCapacity, None));
        }
        if !fits(&workers, &free) {
            return Some((WaitReason::StopPending, None));
        }
        workers.retain(|(_, worker)| worker.confirmed && worker.runs_known);
        if !fits(&workers, &free) {
            return Some((WaitReason::Unconfirmed, None));
        }
        workers.retain(|(_, worker)| worker.drain_deadline.is_none());
        if !fits(&workers, &free) {
            return Some((WaitReason::Draining, None));
        }
        let quarantines = workers.iter().map(|(_, worker)| worker.quarantined_until);
        let until = quarantines.max();
        workers.retain(|(_, worker)| now >= worker.quarantined_until);
        if !fits(&workers, &free) {
            return Some((WaitReason::Quarantined, until));
        }
        if job.policy.needs_approval {
            let step = StepId::of(job.id, id);
            workers.retain(|(_, worker)| self.ticket(step, worker, now).is_some());
            if !fits(&workers, &free) {
                return Some((WaitReason::NotApproved, None));
            }
        }
        workers.retain(|(_, worker)| !is_blocked_by_trial(worker, unit, now));
        if !fits(&workers, &free) {
            return Some((WaitReason::Trial, None));
        }
        if step.max_tasks_per_worker.is_some() {
            let slots = workers.iter().map(|(index, worker)| {
                let remaining = self.remaining_spread(job, id, worker);
                fleet.free[*index].fit_count(task_resources).min(remaining)
            });
            if slots.fold(0, u32::saturating_add) < unit.tasks {
                return Some((WaitReason::SpreadLimit, None));
            }
        }
        None
    }

    /// Returns the reason if it lies in what is kept for others, or in the choice among racks and workers.
    fn unusable_resources_reason(
        &self,
        job: &Job,
        (ready, unit): (ReadyUnit, &Unit),
        fleet: &FleetResources,
        headroom: &[bool],
        now: Duration,
    ) -> Option<(WaitReason, Option<Duration>)> {
        let step = job.step(ready.unit);
        let takes_any_place = self.takes_any_place(job, (ready.unit, unit), fleet, now);
        let filter = if ready.guaranteed {
            ReservationFilter::Guaranteed
        } else if takes_any_place {
            ReservationFilter::Preempting
        } else {
            ReservationFilter::All
        };
        let available = available_resources(fleet, &self.reserved_by_others(ready, filter));
        let mut candidates = self.candidates(job, (ready.unit, unit), &available, now);
        let slots = candidates.iter().map(|candidate| candidate.slots);
        if slots.fold(0, u32::saturating_add) < unit.tasks {
            return Some((WaitReason::Reserved, None));
        }
        if !self.may_use_headroom(ready, now) {
            for candidate in &mut candidates {
                if headroom.get(candidate.index).copied().unwrap_or(false) {
                    candidate.slots = 0;
                }
            }
            let slots = candidates.iter().map(|candidate| candidate.slots);
            if slots.fold(0, u32::saturating_add) < unit.tasks {
                return Some((WaitReason::Headroom, Some(headroom_deadline(job))));
            }
        }
        let locality_wait = self.locality_wait(job, ready.unit, takes_any_place);
        let racks = racks_to_try(step, unit, &candidates, locality_wait, now);
        let all: Vec<_> = candidates.iter().collect();
        if pack_on_racks(&all, &racks, unit.tasks).is_none() {
            let awaits_data = racks.len() == 1 && racks[0] == step.data_rack;
            let (reason, wait) = if awaits_data {
                (WaitReason::DataRack, locality_wait)
            } else {
                (WaitReason::SingleRack, locality_wait * RACK_WAIT_FACTOR)
            };
            let until = unit.ready_at.unwrap_or(now) + wait;
            return Some((reason, Some(until)));
        }
        if takes_any_place {
            return None;
        }
        let sound = trusted_candidates(unit, &candidates, TrustLevel::NotSuspect, now);
        let deadline = sound_workers_deadline(job, (ready.unit, unit), &sound, now)?;
        Some((WaitReason::SuspectWorkers, Some(deadline)))
    }
}
