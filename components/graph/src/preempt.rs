//! Preemption: stops runs to free resources for urgent units.

use std::time::Duration;

use indexmap::IndexMap;
use model::{JobId, ResourceVector};

use crate::fit::{Candidate, racks_to_try};
use crate::job::{Job, UnitKey};
use crate::order::{ReadyUnit, URGENT_PRIORITY};
use crate::placement::AnyPlacement;
use crate::reservations::{FleetResources, PlacementOptions};
use crate::scheduler::{Reservation, Scheduler};
use crate::trust::{TrustLevel, trusted_candidates, waits_for_sound_workers};
use crate::victims::{PreemptibleWorker, Selection, StopCost, select_victims};

/// Added to the longest stop time to get the time after which a reservation expires.
const RESERVATION_MARGIN: Duration = Duration::from_secs(2);
/// Interval at which victims are selected again for a unit that did not preempt because its victims would lose too much.
const RESELECTION_INTERVAL: Duration = Duration::from_millis(50);
/// Work that may be lost for an urgent unit, as a multiple of its own expected work. The lost work is repeated later, while
/// the clients of urgent jobs do not wait.
const URGENT_WORK_WEIGHT: f64 = 2.0;
/// Processor time that counts as much as one accelerator when costs are compared.
const MILLICORES_PER_ACCELERATOR: f64 = 8_000.0;
/// Added to the cost of stopping an urgent unit, in accelerator seconds, so that it is stopped only if no unit of a
/// lower priority can be. Otherwise an urgent run that has just started would be the cheapest victim, although its job
/// would then miss its deadline.
const URGENT_STOP_COST: f64 = 1e6;

impl Scheduler {
    /// Returns whether runs were stopped for a unit that still waits for their resources.
    pub(crate) fn has_preempted(&self, ready: ReadyUnit) -> bool {
        let reservation = self.reservations.get(&(ready.job, ready.unit));
        reservation.is_some_and(|reservation| reservation.preempts)
    }

    /// Returns whether a unit may get a new reservation: it has none, or one that did not preempt and that is not recent.
    pub(crate) fn may_reserve(&self, ready: ReadyUnit, now: Duration) -> bool {
        let reservation = self.reservations.get(&(ready.job, ready.unit));
        reservation.is_none_or(|reservation| {
            !reservation.preempts && now >= reservation.created_at + RESELECTION_INTERVAL
        })
    }

    /// Reserves the selected workers for a unit.
    ///
    /// The victims are stopped if the unit is guaranteed, or if they lose little work compared with its own. Otherwise the
    /// unit waits until they end.
    pub(crate) fn reserve_resources(
        &mut self,
        ready: ReadyUnit,
        selection: Selection,
        task_resources: ResourceVector,
        fleet: &mut FleetResources,
        now: Duration,
    ) {
        let acceptable_loss = URGENT_WORK_WEIGHT * self.unit_work(ready);
        let preempts = ready.guaranteed || selection.cost.lost <= acceptable_loss;
        if preempts {
            // Without victims, the next plan uses the reservation.
            self.plan_needed = true;
            self.stop_victims(ready, &selection);
            // Later units of the same plan take the stopping runs into account.
            *fleet = FleetResources {
                free: std::mem::take(&mut fleet.free),
                ..self.fleet_resources()
            };
        }
        let reservation = Reservation {
            assignment: selection.assignment,
            preempts,
            guaranteed: ready.guaranteed,
            task_resources,
            created_at: now,
            expires_at: now + self.settings.max_stop_time + RESERVATION_MARGIN,
        };
        self.reservations
            .insert((ready.job, ready.unit), reservation);
    }

    fn stop_victims(&mut self, ready: ReadyUnit, selection: &Selection) {
        log::info!(
            target: "limpethook",
            job:% = format_args!("{:016x}", ready.job), step = ready.unit.step, victims = selection.victims.len(),
            lost = selection.cost.lost, guaranteed = ready.guaranteed, workers:? = selection.assignment;
            "units_preempted"
        );
        for victim in &selection.victims {
            self.stop_victim(*victim);
        }
    }

    /// Returns the expected work of a unit in accelerator seconds.
    fn unit_work(&self, ready: ReadyUnit) -> f64 {
        let Some(job) = self.jobs.get(&ready.job) else {
            return 0.0;
        };
        let step = job.step(ready.unit);
        let tasks = job.units.get(&ready.unit).map_or(0, |unit| unit.tasks);
        f64::from(tasks)
            * accelerator_equivalents(step.resources)
            * job.expected_task_time(ready.unit).as_secs_f64()
    }

    /// Selects the cheapest victims that make room for all tasks of a unit, on workers that are not suspect if possible.
    pub(crate) fn select_preemption(
        &self,
        ready: ReadyUnit,
        options: &PlacementOptions<'_>,
        fleet: &FleetResources,
        now: Duration,
    ) -> Option<Selection> {
        let job = self.jobs.get(&ready.job)?;
        let unit = job.units.get(&ready.unit)?;
        let candidates = &options.candidates;
        let sound = trusted_candidates(unit, candidates, TrustLevel::NotSuspect, now);
        let waits = !options.takes_any_place
            && waits_for_sound_workers(job, (ready.unit, unit), &sound, now);
        let levels: &[TrustLevel] = if waits {
            &[TrustLevel::NotSuspect]
        } else {
            &[TrustLevel::NotSuspect, TrustLevel::Any]
        };
        let mut levels = levels.iter();
        levels.find_map(|level| self.cheapest_selection(ready, options, *level, fleet, now))
    }

    fn cheapest_selection(
        &self,
        ready: ReadyUnit,
        options: &PlacementOptions<'_>,
        level: TrustLevel,
        fleet: &FleetResources,
        now: Duration,
    ) -> Option<Selection> {
        let job = self.jobs.get(&ready.job)?;
        let unit = job.units.get(&ready.unit)?;
        let step = job.step(ready.unit);
        let candidates = &options.candidates;
        let task_resources = options.task_resources;
        let costs = self.stop_costs(ready, now);
        let mut by_rack: IndexMap<&str, Vec<PreemptibleWorker<'_>>> = IndexMap::new();
        let candidates_of_level = trusted_candidates(unit, candidates, level, now);
        for candidate in candidates_of_level.into_iter().filter(|c| !c.blocked) {
            let index = candidate.index;
            // The resources that will be free once the stopping runs have ended and the other units with reservations
            // have been placed.
            let projected = fleet.free[index]
                .saturating_add(fleet.stopping[index])
                .saturating_sub(options.reserved_by_others[index]);
            by_rack
                .entry(candidate.worker.rack())
                .or_default()
                .push(preemptible_worker(candidate, projected, &costs, |run| {
                    self.victim_key(run)
                }));
        }
        let cheapest = |workers: &[PreemptibleWorker<'_>]| {
            select_victims(workers, unit.tasks, task_resources, &costs)
        };
        let prefers_one_rack = step.rack_sensitive && unit.tasks > 1;
        let rack_groups: Vec<&Vec<PreemptibleWorker<'_>>> = match &step.data_rack {
            Some(rack) => by_rack.get(&**rack).into_iter().collect(),
            None if prefers_one_rack => by_rack.values().collect(),
            None => Vec::new(),
        };
        let on_racks = rack_groups
            .into_iter()
            .filter_map(|workers| cheapest(workers));
        let on_rack = on_racks.min_by(|a, b| a.cost.total.total_cmp(&b.cost.total));
        if on_rack.is_some() {
            return on_rack;
        }
        // A guaranteed unit starts in time even if it runs slower across racks; others wait for a better placement.
        let locality_wait = self.locality_wait(job, ready.unit, options.takes_any_place);
        let racks = racks_to_try(step, unit, candidates, locality_wait, now);
        if ready.guaranteed || racks.contains(&None) {
            let workers: Vec<PreemptibleWorker<'_>> = by_rack.into_values().flatten().collect();
            return cheapest(&workers);
        }
        None
    }

    /// Returns whether a unit may preempt a job. Guaranteed jobs are never preempted; other jobs are preempted by
    /// guaranteed units and by units of a higher priority.
    fn is_preemptible(&self, job: JobId, ready: ReadyUnit) -> bool {
        if self.guaranteed.contains(&job) {
            return false;
        }
        let lower = |job: &Job| job.policy.priority > ready.priority;
        ready.guaranteed || self.jobs.get(&job).is_none_or(lower)
    }

    /// Returns the additional cost of stopping an urgent job.
    fn urgency_cost(&self, job: JobId) -> f64 {
        let urgent = |job: &Job| job.policy.priority == URGENT_PRIORITY;
        if self.jobs.get(&job).is_some_and(urgent) {
            URGENT_STOP_COST
        } else {
            0.0
        }
    }

    /// Returns the units that a unit may preempt, with the cost of stopping each.
    fn stop_costs(&self, ready: ReadyUnit, now: Duration) -> IndexMap<UnitKey, StopCost> {
        let mut costs = IndexMap::new();
        let placements = self.workers.values().flat_map(|w| w.placements.values());
        for placement in placements {
            let key = self.victim_key(placement);
            if placement.is_stopping() {
                continue;
            }
            if self.is_copy(placement) {
                // It is stopped before anything else, whatever its job.
                costs.insert(key, StopCost::default());
                continue;
            }
            if !self.is_preemptible(key.0, ready) {
                continue;
            }
            let cost = costs.entry(key).or_insert_with(|| StopCost {
                lost: 0.0,
                total: self.urgency_cost(key.0),
            });
            let resources = accelerator_equivalents(placement.resources());
            let lost = self.lost_time(placement, now);
            let occupied = lost + self.settings.max_stop_time / 2;
            cost.lost += lost.as_secs_f64() * resources;
            cost.total += occupied.as_secs_f64() * resources;
        }
        costs
    }

    /// Returns the run time that is repeated after a stop of a run. A stop takes a checkpoint, so that a task that
    /// supports checkpoints loses only the time to restore it.
    fn lost_time(&self, placement: &AnyPlacement, now: Duration) -> Duration {
        let (id, unit) = placement.unit_key();
        let since_checkpoint = placement.time_since_checkpoint(now);
        let job = self.jobs.get(&id);
        if job.is_some_and(|job| job.step(unit).supports_checkpoints) {
            since_checkpoint.min(self.settings.restore_time)
        } else {
            since_checkpoint
        }
    }
}

/// Returns a worker with its units that may be stopped, which are those in `costs`.
fn preemptible_worker<'a>(
    candidate: &Candidate<'a>,
    free: ResourceVector,
    costs: &IndexMap<UnitKey, StopCost>,
    victim_key: impl Fn(&AnyPlacement) -> UnitKey,
) -> PreemptibleWorker<'a> {
    let mut units: IndexMap<UnitKey, ResourceVector> = IndexMap::new();
    for placement in candidate.worker.placements.values() {
        let unit = victim_key(placement);
        if !placement.is_stopping() && costs.contains_key(&unit) {
            let resources = units.entry(unit).or_default();
            *resources = resources.saturating_add(placement.resources());
        }
    }
    PreemptibleWorker {
        agent: &candidate.worker.agent,
        free,
        max_slots: candidate.max_slots,
        units,
    }
}

/// Converts resources to accelerators; eight cores count as one accelerator.
pub(crate) fn accelerator_equivalents(resources: ResourceVector) -> f64 {
    f64::from(resources.accelerators) + f64::from(resources.millicores) / MILLICORES_PER_ACCELERATOR
}
