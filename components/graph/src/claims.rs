//! Room that is kept for units until what is in their way has ended.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use model::{AgentId, JobId, Room};

use crate::fit::{Assignment, Candidate, resources_per_task};
use crate::job::{Phase, UnitId};
use crate::order::WaitingUnit;
use crate::placement::Placement;
use crate::scheduler::Scheduler;

/// Which claims of others a unit leaves alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HonouredReservations {
    /// All of them.
    All,
    /// Those of units within guarantees.
    Guaranteed,
}

/// What is free on each worker.
pub(crate) type ResourcesByWorker = IndexMap<AgentId, Room>;

/// What is free on each worker, less what is kept for others.
#[derive(Debug)]
pub(crate) struct AvailableResources<'a> {
    free: &'a ResourcesByWorker,
    withheld: ResourcesByWorker,
}

impl AvailableResources<'_> {
    /// Returns what is open on a worker.
    pub(crate) fn get(&self, agent: &AgentId) -> Room {
        let free = self.free.get(agent).copied().unwrap_or_default();
        free.minus(self.withheld.get(agent).copied().unwrap_or_default())
    }
}

/// What a unit may use, beside what is kept for others.
#[derive(Debug)]
pub(crate) struct PlacementOptions {
    /// What a task of the unit takes.
    pub(crate) task_resources: Room,
    /// What the claims of others take of each worker.
    pub(crate) reserved_by_others: ResourcesByWorker,
    /// The workers that may run the unit.
    pub(crate) candidates: Vec<Candidate>,
    /// The claimed workers, once all the room that was claimed for the unit is free.
    pub(crate) own_reservation: Option<Assignment>,
}

impl Scheduler {
    /// Drops claims that have expired, those of units that do not wait any more, and those on workers that take no tasks.
    pub(crate) fn drop_stale_reservations(&mut self, now: Duration) {
        let (workers, jobs) = (&self.workers, &self.jobs);
        let usable = |agent: &AgentId| workers.get(agent).is_some_and(|w| w.accepts_tasks(now));
        let waits = |(job, unit): &(JobId, UnitId)| {
            let job = jobs.get(job).filter(|job| job.end.is_none());
            let unit = job.and_then(|job| job.units.get(unit));
            unit.is_some_and(|unit| unit.phase == Phase::Waiting)
        };
        self.reservations.retain(|owner, claim| {
            claim.expires_at > now
                && waits(owner)
                && claim.assignment.iter().all(|(agent, _)| usable(agent))
        });
    }

    /// Returns what a unit may use of the workers now, other than reserved ones, or nothing if there is no such unit.
    pub(crate) fn placement_options(
        &self,
        waiting: WaitingUnit,
        respect: HonouredReservations,
        free: &ResourcesByWorker,
        reserved: &IndexSet<AgentId>,
        now: Duration,
    ) -> Option<PlacementOptions> {
        let job = self.jobs.get(&waiting.job)?;
        let unit = job.units.get(&waiting.unit)?;
        let claimed = self.reserved_by_others(waiting, respect);
        let open = self.available_resources(free, &claimed);
        let mut candidates = self.candidates(job, (waiting.unit, unit), &open, now);
        for candidate in &mut candidates {
            if reserved.contains(&candidate.agent) {
                candidate.slots = 0;
            }
        }
        Some(PlacementOptions {
            task_resources: resources_per_task(job.step(waiting.unit)),
            candidates,
            own_reservation: self.satisfied_reservation(waiting, &open),
            reserved_by_others: claimed,
        })
    }

    /// Returns what claims of other units take of each worker.
    fn reserved_by_others(
        &self,
        waiting: WaitingUnit,
        respect: HonouredReservations,
    ) -> ResourcesByWorker {
        let mut claimed = ResourcesByWorker::new();
        for (owner, claim) in &self.reservations {
            let own = *owner == (waiting.job, waiting.unit);
            if own || (respect == HonouredReservations::Guaranteed && !claim.guaranteed) {
                continue;
            }
            for (agent, tasks) in &claim.assignment {
                let room = claimed.entry(agent.clone()).or_default();
                *room = room.plus(claim.task_resources.scaled(*tasks));
            }
        }
        claimed
    }

    /// Returns what a unit may take now: a claim is met first by what stops, and then by what is free.
    pub(crate) fn available_resources<'a>(
        &self,
        free: &'a ResourcesByWorker,
        claimed: &ResourcesByWorker,
    ) -> AvailableResources<'a> {
        let kept = |(agent, claimed): (&AgentId, &Room)| {
            let kept = claimed.minus(self.stopping_resources(agent));
            (agent.clone(), kept)
        };
        AvailableResources {
            free,
            withheld: claimed.iter().map(kept).collect(),
        }
    }

    /// Returns what the runs that stop on a worker will free.
    pub(crate) fn stopping_resources(&self, agent: &AgentId) -> Room {
        let Some(worker) = self.workers.get(agent) else {
            return Room::default();
        };
        let placements = worker.placements.values();
        let stopping = placements.filter(|placement| placement.is_stopping());
        stopping
            .map(Placement::resources)
            .fold(Room::default(), Room::plus)
    }

    /// Returns the claimed workers once all the room that was claimed is free.
    fn satisfied_reservation(
        &self,
        waiting: WaitingUnit,
        open: &AvailableResources<'_>,
    ) -> Option<Assignment> {
        let claim = self.reservations.get(&(waiting.job, waiting.unit))?;
        let fits =
            |(agent, tasks): &(AgentId, u32)| open.get(agent).times(claim.task_resources) >= *tasks;
        claim
            .assignment
            .iter()
            .all(fits)
            .then(|| claim.assignment.clone())
    }
}
