//! Services with enough room that no unit stands for long.
//!
//! A unit may wait for a better place: a certain rack, other workers, resources that are kept for others. While its service
//! has room for it twice over and is under half in use, it does so only for a short time and then takes any place that it
//! fits. On a busy fleet the waits have their own bounds, because there the place that it would take is soon missed.

use std::time::Duration;

use indexmap::IndexMap;
use model::{ResourceVector, ServiceId};

use crate::fit::{has_label, resources_per_task};
use crate::headroom::is_busy;
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
            .filter(|(_, (total, free))| !is_busy(*total, *free))
            .map(|(service, _)| service.clone());
        self.half_idle_since = half_idle
            .map(|service| {
                let since = before.get(&service).copied().unwrap_or(now);
                (service, since)
            })
            .collect();
    }

    /// Returns whether a unit has stood for so long, although there was room for it, that it takes any place.
    ///
    /// Tasks that last count whatever share of the service is in use.
    pub(crate) fn takes_any_place(
        &self,
        job: &Job,
        (id, unit): (UnitId, &Unit),
        fleet: &FleetResources,
        now: Duration,
    ) -> bool {
        let step = job.step(id);
        let half_idle_since = self.half_idle_since.get(&job.policy.service).copied();
        let room_since = half_idle_since.or(step.long_running.then_some(Duration::ZERO));
        let stands_since = room_since.zip(unit.ready_at).map(|(a, b)| a.max(b));
        if stands_since.is_none_or(|since| now < since + MAX_STANDSTILL) {
            return false;
        }
        let task_resources = resources_per_task(step);
        let usable = self
            .workers
            .values()
            .zip(&fleet.free)
            .filter(|(worker, _)| {
                !worker.lost
                    && worker.service == job.policy.service
                    && has_label(worker, step.required_label.as_deref())
            });
        let slots = usable.map(|(_, free)| free.fit_count(task_resources));
        slots.fold(0, u32::saturating_add) >= unit.tasks.saturating_mul(ROOM_FACTOR)
    }
}
