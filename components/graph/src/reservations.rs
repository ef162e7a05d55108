//! Resources reserved for urgent units until the runs that occupy them have ended.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use model::{AgentId, ResourceVector};

use crate::fit::{Assignment, Candidate, resources_per_task};
use crate::job::{Phase, UnitKey};
use crate::order::ReadyUnit;
use crate::scheduler::{Reservation, Scheduler};
use crate::worker::Worker;

/// Selects the reservations of other units whose resources are not available to a unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReservationFilter {
    /// All reservations.
    All,
    /// The reservations of guaranteed units.
    Guaranteed,
    /// The reservations whose resources are being freed. The others last until runs end by themselves.
    Preempting,
}

impl ReservationFilter {
    fn selects(self, reservation: &Reservation) -> bool {
        match self {
            Self::All => true,
            Self::Guaranteed => reservation.guaranteed,
            Self::Preempting => reservation.preempts,
        }
    }
}

/// Resources of each worker, by the index of the worker in the scheduler.
pub(crate) type WorkerResources = Vec<ResourceVector>;

/// Resources of the workers while units are being planned.
#[derive(Debug)]
pub(crate) struct FleetResources {
    /// Resources that no run occupies.
    pub(crate) free: WorkerResources,
    /// Resources that stopping runs will free.
    pub(crate) stopping: WorkerResources,
}

/// The workers and resources that a unit may use.
#[derive(Debug)]
pub(crate) struct PlacementOptions<'a> {
    /// Resources of one task of the unit.
    pub(crate) task_resources: ResourceVector,
    /// Resources of each worker that are reserved for other units.
    pub(crate) reserved_by_others: WorkerResources,
    /// Whether the unit takes any place that it fits.
    pub(crate) takes_any_place: bool,
    /// The workers that may run the unit.
    pub(crate) candidates: Vec<Candidate<'a>>,
    /// The workers reserved for the unit, set once all the reserved resources are free.
    pub(crate) own_reservation: Option<Assignment>,
}

impl Scheduler {
    /// Drops reservations that have expired, those of units that no longer wait, those on workers that accept no tasks, and
    /// those whose resources were taken by another unit, so that the unit gets a new reservation at once.
    pub(crate) fn drop_stale_reservations(&mut self, now: Duration) {
        let (workers, jobs) = (&self.workers, &self.jobs);
        let usable = |agent: &AgentId| workers.get(agent).is_some_and(|w| w.accepts_tasks(now));
        let is_waiting = |(job, unit): &UnitKey| {
            let job = jobs.get(job).filter(|job| job.end.is_none());
            let unit = job.and_then(|job| job.units.get(unit));
            unit.is_some_and(|unit| unit.phase() == Phase::Waiting)
        };
        self.reservations.retain(|unit, reservation| {
            let awaited_until = reservation.created_at + self.settings.max_stop_time;
            (reservation.awaited.is_empty() || now < awaited_until)
                && reservation.expires_at > now
                && is_waiting(unit)
                && reservation
                    .assignment
                    .iter()
                    .all(|(agent, _)| usable(agent))
        });
        let taken = self.taken_reservations();
        self.reservations.retain(|unit, _| !taken.contains(unit));
    }

    /// Returns the preempting reservations whose resources are neither free nor about to be freed by stopping runs.
    /// Guaranteed units come first, because they may take the resources of the others.
    fn taken_reservations(&self) -> IndexSet<UnitKey> {
        let mut projected: IndexMap<&AgentId, ResourceVector> = IndexMap::new();
        let mut taken = IndexSet::new();
        let preempting = |guaranteed: bool| {
            let reservations = self.reservations.iter();
            reservations.filter(move |(_, r)| r.preempts && r.guaranteed == guaranteed)
        };
        for (unit, reservation) in preempting(true).chain(preempting(false)) {
            let mut remaining = IndexMap::new();
            for (agent, tasks) in &reservation.assignment {
                let available = projected
                    .get(agent)
                    .copied()
                    .unwrap_or_else(|| self.projected_free(agent));
                let available = available.saturating_add(self.awaited_on(agent, reservation));
                if available.fit_count(reservation.task_resources) < *tasks {
                    taken.insert(*unit);
                    break;
                }
                let reserved = reservation.task_resources.saturating_mul(*tasks);
                remaining.insert(agent, available.saturating_sub(reserved));
            }
            if !taken.contains(unit) {
                projected.extend(remaining);
            }
        }
        taken
    }

    /// Returns the resources on a worker of the runs that a reservation awaits.
    fn awaited_on(&self, agent: &AgentId, reservation: &Reservation) -> ResourceVector {
        let worker = self.workers.get(agent);
        let placements = worker.into_iter().flat_map(|w| w.placements.values());
        let awaited = placements.filter(|placement| {
            !placement.is_stopping() && reservation.awaited.contains(&placement.unit_key())
        });
        awaited.fold(ResourceVector::default(), |sum, placement| {
            sum.saturating_add(placement.resources())
        })
    }

    /// Returns the resources of a worker that are free or will be freed by stopping runs.
    fn projected_free(&self, agent: &AgentId) -> ResourceVector {
        let Some(worker) = self.workers.get(agent) else {
            return ResourceVector::default();
        };
        let stopping = worker.stopping_resources();
        worker.free_resources().saturating_add(stopping)
    }

    /// Returns the resources of all workers.
    pub(crate) fn fleet_resources(&self) -> FleetResources {
        let workers = self.workers.values();
        FleetResources {
            free: workers.clone().map(Worker::free_resources).collect(),
            stopping: workers.map(Worker::stopping_resources).collect(),
        }
    }

    /// Returns the workers and resources that a unit may use now; `None` if the unit is unknown.
    ///
    /// The `excluded` workers get no slots, but remain candidates with their `max_slots`, so that they still count for
    /// whether a rack is large enough for the unit.
    pub(crate) fn placement_options(
        &self,
        ready: ReadyUnit,
        filter: ReservationFilter,
        fleet: &FleetResources,
        excluded: &[bool],
        now: Duration,
    ) -> Option<PlacementOptions<'_>> {
        let job = self.jobs.get(&ready.job)?;
        let unit = job.units.get(&ready.unit)?;
        let reserved_by_others = self.reserved_by_others(ready, filter);
        let available = available_resources(fleet, &reserved_by_others);
        let mut candidates = self.candidates(job, (ready.unit, unit), &available, now);
        for candidate in &mut candidates {
            if excluded.get(candidate.index).copied().unwrap_or(false) {
                candidate.slots = 0;
            }
        }
        Some(PlacementOptions {
            task_resources: resources_per_task(job.step(ready.unit)),
            own_reservation: self
                .satisfied_reservation(ready, &available)
                .filter(|assignment| !is_any_blocked(assignment, &candidates)),
            takes_any_place: self.takes_any_place(job, (ready.unit, unit), fleet, now),
            candidates,
            reserved_by_others,
        })
    }

    /// Returns the resources of each worker that the selected reservations of other units contain.
    pub(crate) fn reserved_by_others(
        &self,
        ready: ReadyUnit,
        filter: ReservationFilter,
    ) -> WorkerResources {
        let mut reserved = vec![ResourceVector::default(); self.workers.len()];
        for (unit, reservation) in &self.reservations {
            let own = *unit == (ready.job, ready.unit);
            let yields = reservation.overdue && ready.guaranteed;
            if own || yields || !filter.selects(reservation) {
                continue;
            }
            for (agent, tasks) in &reservation.assignment {
                if let Some(index) = self.workers.get_index_of(agent) {
                    let resources = reservation.task_resources.saturating_mul(*tasks);
                    reserved[index] = reserved[index].saturating_add(resources);
                }
            }
        }
        reserved
    }

    /// Returns the workers reserved for a unit if all the reserved resources are free.
    fn satisfied_reservation(
        &self,
        ready: ReadyUnit,
        available: &WorkerResources,
    ) -> Option<Assignment> {
        let reservation = self.reservations.get(&(ready.job, ready.unit))?;
        let fits = |(agent, tasks): &(AgentId, u32)| {
            let index = self.workers.get_index_of(agent);
            let available = index.map(|index| available[index]).unwrap_or_default();
            available.fit_count(reservation.task_resources) >= *tasks
        };
        let assignment = &reservation.assignment;
        assignment.iter().all(fits).then(|| assignment.clone())
    }
}

/// Returns whether a trial keeps a unit from starting on any of the assigned workers.
fn is_any_blocked(assignment: &Assignment, candidates: &[Candidate<'_>]) -> bool {
    let mut blocked = candidates.iter().filter(|candidate| candidate.blocked);
    blocked.any(|candidate| {
        let mut agents = assignment.iter().map(|(agent, _)| agent);
        agents.any(|agent| *agent == candidate.worker.agent)
    })
}

/// Returns the resources available now: the free ones less the reserved ones. The resources of runs that are being stopped
/// count towards the reservations first, and only the remainder is subtracted from the free resources.
pub(crate) fn available_resources(
    fleet: &FleetResources,
    reserved: &WorkerResources,
) -> WorkerResources {
    let available =
        |((free, stopping), reserved): ((&ResourceVector, &ResourceVector), &ResourceVector)| {
            free.saturating_sub(reserved.saturating_sub(*stopping))
        };
    let workers = fleet.free.iter().zip(&fleet.stopping).zip(reserved);
    workers.map(available).collect()
}
