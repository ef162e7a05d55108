//! Preemption: stops runs to free resources for urgent units, and on workers that are about to shut down.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use model::{AgentId, JobId, ResourceVector};

use crate::fit::{Candidate, racks_to_try};
use crate::job::{Job, UnitKey};
use crate::order::{ReadyUnit, URGENT_PRIORITY};
use crate::placement::AnyPlacement;
use crate::reservations::{PlacementOptions, ResourcesByWorker};
use crate::scheduler::{Reservation, Scheduler};

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

/// A unit that may be stopped, and the cost of stopping it in accelerator seconds.
#[derive(Debug, Clone, Copy)]
struct Victim {
    unit: UnitKey,
    cost: f64,
}

/// The task slots available on a worker once the victims have stopped.
#[derive(Debug, Clone)]
struct PreemptionOption {
    agent: AgentId,
    slots: u32,
    victims: Vec<Victim>,
}

impl PreemptionOption {
    fn cost(&self) -> f64 {
        self.victims.iter().map(|victim| victim.cost).sum()
    }
}

impl Scheduler {
    /// Reserves resources for a unit on the workers where preemption costs least, and returns whether resources are
    /// reserved.
    ///
    /// The victims are stopped if the unit is guaranteed, or if its expected work is at least the cost of stopping
    /// them, which is the work that they would lose. Otherwise the unit waits until they end.
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
        let Some(options) = self.cheapest_options(ready, placement_options, free, now) else {
            return false;
        };
        let cost: f64 = options.iter().map(|(option, _)| option.cost()).sum();
        let preempts = ready.guaranteed || cost <= self.unit_work(ready);
        let assignment = options
            .iter()
            .map(|(option, tasks)| (option.agent.clone(), *tasks));
        let reservation = Reservation {
            assignment: assignment.collect(),
            preempts,
            guaranteed: ready.guaranteed,
            task_resources: placement_options.task_resources,
            expires_at: now + self.settings.max_stop_time + RESERVATION_MARGIN,
        };
        if preempts {
            self.stop_victims(ready, &options, cost);
        }
        self.reservations.insert(key, reservation);
        true
    }

    /// Stops the victims of the selected options.
    fn stop_victims(&mut self, ready: ReadyUnit, options: &[(PreemptionOption, u32)], cost: f64) {
        let victims: IndexSet<UnitKey> = options
            .iter()
            .flat_map(|(option, _)| option.victims.iter().map(|victim| victim.unit))
            .collect();
        let workers: Vec<&AgentId> = options.iter().map(|(option, _)| &option.agent).collect();
        log::info!(
            target: "limpethook",
            job:% = format_args!("{:016x}", ready.job), step = ready.unit.step, victims = victims.len(), lost = cost,
            guaranteed = ready.guaranteed, workers:? = workers;
            "units_preempted"
        );
        for (job, unit) in victims {
            self.stop_unit(job, unit);
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

    /// Returns the cheapest options that free enough resources for all tasks of a unit, with the tasks on each.
    fn cheapest_options(
        &self,
        ready: ReadyUnit,
        placement_options: &PlacementOptions,
        free: &ResourcesByWorker,
        now: Duration,
    ) -> Option<Vec<(PreemptionOption, u32)>> {
        let job = self.jobs.get(&ready.job)?;
        let unit = job.units.get(&ready.unit)?;
        let step = job.step(ready.unit);
        let candidates = &placement_options.candidates;
        let mut by_rack: IndexMap<Box<str>, Vec<PreemptionOption>> = IndexMap::new();
        for candidate in candidates {
            let projected =
                self.projected_resources(candidate, free, &placement_options.reserved_by_others);
            let option = self.preemption_option(
                candidate,
                projected,
                placement_options.task_resources,
                ready,
                now,
            );
            by_rack
                .entry(candidate.rack.clone())
                .or_default()
                .push(option);
        }
        let all_options: Vec<PreemptionOption> = by_rack.values().flatten().cloned().collect();
        let prefers_one_rack = step.rack_sensitive && unit.tasks > 1;
        let rack_groups: Vec<Vec<PreemptionOption>> = match &step.data_rack {
            Some(rack) => by_rack.get(rack).cloned().into_iter().collect(),
            None if prefers_one_rack => by_rack.into_values().collect(),
            None => Vec::new(),
        };
        let cost = |options: &Vec<(PreemptionOption, u32)>| -> f64 {
            options.iter().map(|(option, _)| option.cost()).sum()
        };
        let on_racks = rack_groups
            .into_iter()
            .filter_map(|group| select_options(group, unit.tasks));
        let cheapest_on_rack = on_racks.min_by(|a, b| cost(a).total_cmp(&cost(b)));
        if cheapest_on_rack.is_some() {
            return cheapest_on_rack;
        }
        // A guaranteed unit starts in time even if it runs slower across racks; others wait for a better placement.
        let locality_wait = self.locality_wait(job, ready.unit);
        let racks = racks_to_try(step, unit, candidates, locality_wait, now);
        if ready.guaranteed || racks.contains(&None) {
            return select_options(all_options, unit.tasks);
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

    /// Returns the cheapest victims on a worker, as many as are needed for its maximum number of slots.
    fn preemption_option(
        &self,
        candidate: &Candidate,
        mut free: ResourceVector,
        task_resources: ResourceVector,
        ready: ReadyUnit,
        now: Duration,
    ) -> PreemptionOption {
        let mut option = PreemptionOption {
            agent: candidate.agent.clone(),
            slots: candidate.slots,
            victims: Vec::new(),
        };
        let Some(worker) = self.workers.get(&candidate.agent) else {
            return option;
        };
        let mut preemptible: IndexMap<UnitKey, ResourceVector> = IndexMap::new();
        for placement in worker.placements.values() {
            let unit = placement.unit_key();
            if !placement.is_stopping() && self.is_preemptible(unit.0, ready) {
                let resources = preemptible.entry(unit).or_default();
                *resources = resources.saturating_add(placement.resources());
            }
        }
        let mut victims: Vec<(Victim, ResourceVector)> = preemptible
            .into_iter()
            .map(|(unit, resources)| {
                let cost = self.stop_cost(unit, now) + self.urgency_cost(unit.0);
                (Victim { unit, cost }, resources)
            })
            .collect();
        victims.sort_by(|a, b| a.0.cost.total_cmp(&b.0.cost));
        option.slots = free.fit_count(task_resources).min(candidate.max_slots);
        for (victim, freed) in victims {
            if option.slots >= candidate.max_slots {
                break;
            }
            free = free.saturating_add(freed);
            option.victims.push(victim);
            option.slots = free.fit_count(task_resources).min(candidate.max_slots);
        }
        option
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

    /// Returns the work in accelerator seconds that is lost by stopping a unit.
    fn stop_cost(&self, unit: UnitKey, now: Duration) -> f64 {
        let checkpoints = self
            .jobs
            .get(&unit.0)
            .is_some_and(|job| job.step(unit.1).supports_checkpoints);
        let lost_time = |placement: &AnyPlacement| {
            if checkpoints {
                // A stop takes a checkpoint, so only the restore time is lost.
                placement
                    .time_since_checkpoint(now)
                    .min(self.settings.restore_time)
            } else {
                placement.time_since_checkpoint(now)
            }
        };
        let placements = self.workers.values().flat_map(|w| w.placements.values());
        placements
            .filter(|placement| placement.unit_key() == unit)
            .map(|placement| {
                lost_time(placement).as_secs_f64() * accelerator_equivalents(placement.resources())
            })
            .sum()
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

/// Selects options until all tasks have a slot, those with the lowest cost per task first.
fn select_options(
    mut options: Vec<PreemptionOption>,
    tasks: u32,
) -> Option<Vec<(PreemptionOption, u32)>> {
    let cost_per_task = |option: &PreemptionOption| option.cost() / f64::from(option.slots.max(1));
    options.retain(|option| option.slots > 0);
    options.sort_by(|a, b| cost_per_task(a).total_cmp(&cost_per_task(b)));
    let mut remaining = tasks;
    let mut selected = Vec::new();
    for option in options {
        if remaining == 0 {
            break;
        }
        let count = option.slots.min(remaining);
        remaining -= count;
        selected.push((option, count));
    }
    (remaining == 0).then_some(selected)
}
