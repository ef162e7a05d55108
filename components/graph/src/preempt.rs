//! Preemption: stops runs to free resources for urgent units, and on workers that are about to shut down.

use std::time::Duration;

use indexmap::IndexMap;
use model::{AgentId, JobId, ResourceVector};

use crate::fit::{Candidate, racks_to_try};
use crate::job::{Job, UnitKey};
use crate::order::{ReadyUnit, URGENT_PRIORITY};
use crate::placement::AnyPlacement;
use crate::reservations::{PlacementOptions, ResourcesByWorker};
use crate::scheduler::{Reservation, Scheduler};
use crate::victims::{PreemptibleWorker, Selection, StopCost, select_victims};

/// Added to the longest stop time to get the time after which a reservation expires.
const RESERVATION_MARGIN: Duration = Duration::from_secs(2);
/// Processor time that counts as much as one accelerator when costs are compared.
const MILLICORES_PER_ACCELERATOR: f64 = 8_000.0;
/// Added to the cost of stopping an urgent unit, in accelerator seconds, so that it is stopped only if no unit of a
/// lower priority can be. Otherwise an urgent run that has just started would be the cheapest victim, although its job
/// would then miss its deadline.
const URGENT_STOP_COST: f64 = 1e6;
/// Added to the longest stop time when runs are stopped before a drain deadline: the time to order and report the stop
/// and to start the task elsewhere.
const DRAIN_STOP_MARGIN: Duration = Duration::from_millis(500);

impl Scheduler {
    /// Reserves resources for a unit where preemption costs least, and returns whether resources are reserved.
    ///
    /// The victims are stopped if the unit is guaranteed, or if its expected work is at least the work that they would
    /// lose. Otherwise the unit waits until they end.
    pub(crate) fn reserve_resources(
        &mut self,
        ready: ReadyUnit,
        placement_options: &PlacementOptions,
        free: &ResourcesByWorker,
        now: Duration,
    ) -> bool {
        let key = (ready.job, ready.unit);
        if self
            .reservations
            .get(&key)
            .is_some_and(|reservation| reservation.preempts)
        {
            return true;
        }
        let Some(plan) = self.cheapest_plan(ready, placement_options, free, now) else {
            return false;
        };
        let preempts = ready.guaranteed || plan.cost.lost <= self.unit_work(ready);
        if preempts {
            self.stop_victims(ready, &plan);
        }
        let reservation = Reservation {
            assignment: plan.assignment,
            preempts,
            guaranteed: ready.guaranteed,
            task_resources: placement_options.task_resources,
            expires_at: now + self.settings.max_stop_time + RESERVATION_MARGIN,
        };
        self.reservations.insert(key, reservation);
        true
    }

    fn stop_victims(&mut self, ready: ReadyUnit, plan: &Selection) {
        log::info!(
            target: "limpethook",
            job:% = format_args!("{:016x}", ready.job), step = ready.unit.step, victims = plan.victims.len(),
            lost = plan.cost.lost, guaranteed = ready.guaranteed, workers:? = plan.assignment;
            "units_preempted"
        );
        for (job, unit) in &plan.victims {
            self.stop_unit(*job, *unit);
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

    /// Returns the cheapest plan that makes room for all tasks of a unit.
    fn cheapest_plan(
        &self,
        ready: ReadyUnit,
        placement_options: &PlacementOptions,
        free: &ResourcesByWorker,
        now: Duration,
    ) -> Option<Selection> {
        let job = self.jobs.get(&ready.job)?;
        let unit = job.units.get(&ready.unit)?;
        let step = job.step(ready.unit);
        let candidates = &placement_options.candidates;
        let task_resources = placement_options.task_resources;
        let costs = self.stop_costs(ready, now);
        let mut by_rack: IndexMap<&str, Vec<PreemptibleWorker>> = IndexMap::new();
        for candidate in candidates {
            let free =
                self.projected_resources(candidate, free, &placement_options.reserved_by_others);
            by_rack
                .entry(&candidate.rack)
                .or_default()
                .push(self.preemptible_worker(candidate, free, &costs));
        }
        let cheapest = |workers: &[PreemptibleWorker]| {
            select_victims(workers, unit.tasks, task_resources, &costs)
        };
        let prefers_one_rack = step.rack_sensitive && unit.tasks > 1;
        let rack_groups: Vec<&Vec<PreemptibleWorker>> = match &step.data_rack {
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
        let locality_wait = self.locality_wait(job, ready.unit);
        let racks = racks_to_try(step, unit, candidates, locality_wait, now);
        if ready.guaranteed || racks.contains(&None) {
            let workers: Vec<PreemptibleWorker> = by_rack.into_values().flatten().collect();
            return cheapest(&workers);
        }
        None
    }

    /// Returns the resources that will be free on a worker once its stopping runs have ended and the other units with
    /// reservations have been placed.
    fn projected_resources(
        &self,
        candidate: &Candidate,
        free: &ResourcesByWorker,
        reserved: &ResourcesByWorker,
    ) -> ResourceVector {
        let on_worker = |resources: &ResourcesByWorker| {
            resources.get(&candidate.agent).copied().unwrap_or_default()
        };
        let stopping = self.stopping_resources(&candidate.agent);
        on_worker(free)
            .saturating_add(stopping)
            .saturating_sub(on_worker(reserved))
    }

    /// Returns a worker with its units that may be stopped, which are those in `costs`.
    fn preemptible_worker(
        &self,
        candidate: &Candidate,
        free: ResourceVector,
        costs: &IndexMap<UnitKey, StopCost>,
    ) -> PreemptibleWorker {
        let mut units: IndexMap<UnitKey, ResourceVector> = IndexMap::new();
        let worker = self.workers.get(&candidate.agent);
        for placement in worker.into_iter().flat_map(|w| w.placements.values()) {
            let unit = placement.unit_key();
            if !placement.is_stopping() && costs.contains_key(&unit) {
                let resources = units.entry(unit).or_default();
                *resources = resources.saturating_add(placement.resources());
            }
        }
        PreemptibleWorker {
            agent: candidate.agent.clone(),
            free,
            max_slots: candidate.max_slots,
            units,
        }
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
            let key = placement.unit_key();
            if placement.is_stopping() || !self.is_preemptible(key.0, ready) {
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

    /// Stops the runs on draining workers early enough that they can take a checkpoint before the drain deadline.
    pub(crate) fn stop_runs_before_drain(&mut self, now: Duration) {
        let margin = self.settings.max_stop_time + DRAIN_STOP_MARGIN;
        let draining: Vec<AgentId> = self
            .workers
            .values()
            .filter(|worker| worker.drain_deadline.is_some_and(|at| now + margin >= at))
            .map(|worker| worker.agent.clone())
            .collect();
        if !draining.is_empty() {
            self.stop_where(|_, agent| draining.contains(agent));
        }
    }
}

/// Converts resources to accelerators; eight cores count as one accelerator.
pub(crate) fn accelerator_equivalents(resources: ResourceVector) -> f64 {
    f64::from(resources.accelerators) + f64::from(resources.millicores) / MILLICORES_PER_ACCELERATOR
}
