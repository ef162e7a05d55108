//! Services with enough room that no unit stands for long.
//!
//! A unit may wait for a better place: a certain rack, other workers, resources that are kept for others. While its service
//! has room for it twice over and is under half in use, it does so only for a short time and then takes any place that it
//! fits. On a busy fleet the waits have their own bounds, because there the place that it would take is soon missed.

use std::time::Duration;

use indexmap::IndexMap;
use model::{ResourceVector, ServiceId};

use crate::eligibility::has_label;
use crate::fit::resources_per_task;
use crate::job::{Job, Unit, UnitId};
use crate::reservations::FleetResources;
use crate::scheduler::Scheduler;

/// How long a unit stands at most while there is room for it. The users allow three seconds; the rest is for the reports, the
/// interval of the plans and the start.
const MAX_STANDSTILL: Duration = Duration::from_secs(2);
/// The users count room for a unit twice over.
const ROOM_FACTOR: u32 = 2;

impl Scheduler {
    /// Updates since when each service has been under half in use. Workers that get no tasks now count with their capacity,
    /// because the users count them.
    pub(crate) fn update_half_idle_services(&mut self, fleet: &FleetResources, now: Duration) {
        let mut services: IndexMap<&ServiceId, (ResourceVector, ResourceVector)> = IndexMap::new();
        for (worker, free) in self.workers.values().zip(&fleet.free) {
            if !worker.lost {
                let (total, free_total) = services.entry(&worker.service).or_default();
                *total = total.saturating_add(worker.capacity);
                *free_total = free_total.saturating_add(*free);
            }
        }
        let before = std::mem::take(&mut self.half_idle_since);
        let half_idle = services
            .into_iter()
            .filter(|(_, (total, free))| is_half_idle(*total, *free))
            .map(|(service, _)| service.clone());
        self.half_idle_since = half_idle
            .map(|service| {
                let since = before.get(&service).copied().unwrap_or(now);
                (service, since)
            })
            .collect();
    }

    /// Returns whether a unit has stood for so long, although there was room for it, that it takes any place.
    pub(crate) fn takes_any_place(
        &self,
        job: &Job,
        unit: (UnitId, &Unit),
        fleet: &FleetResources,
        now: Duration,
    ) -> bool {
        let limit = self.standstill_limit(job, unit);
        limit.is_some_and(|limit| now >= limit) && self.has_room_twice(job, unit, fleet)
    }

    /// Returns when a unit takes any place if there is room for it; `None` while its service is over half in use. Tasks that
    /// last count whatever share is in use.
    pub(crate) fn standstill_limit(
        &self,
        job: &Job,
        (id, unit): (UnitId, &Unit),
    ) -> Option<Duration> {
        let half_idle_since = self.half_idle_since.get(&job.policy.service).copied();
        let is_lasting = job.step(id).long_running;
        let room_since = half_idle_since.or(is_lasting.then_some(Duration::ZERO))?;
        Some(unit.ready_at?.max(room_since) + MAX_STANDSTILL)
    }

    /// Returns whether the free resources of all workers with the required label would hold a unit twice.
    pub(crate) fn has_room_twice(
        &self,
        job: &Job,
        (id, unit): (UnitId, &Unit),
        fleet: &FleetResources,
    ) -> bool {
        let step = job.step(id);
        let task_resources = resources_per_task(step);
        let workers = self.workers.values().zip(&fleet.free);
        let usable = workers.filter(|(worker, _)| {
            !worker.lost
                && worker.service == job.policy.service
                && has_label(worker, step.required_label.as_deref())
        });
        let slots = usable.map(|(_, free)| free.fit_count(task_resources));
        slots.fold(0, u32::saturating_add) >= unit.tasks.saturating_mul(ROOM_FACTOR)
    }
}

/// Returns whether less than half of the accelerators is in use, or of the cores if there are no accelerators.
fn is_half_idle(total: ResourceVector, free: ResourceVector) -> bool {
    let is_idle = |total: u32, free: u32| u64::from(free) * 2 > u64::from(total);
    if total.accelerators > 0 {
        is_idle(total.accelerators, free.accelerators)
    } else {
        is_idle(total.millicores, free.millicores)
    }
}
