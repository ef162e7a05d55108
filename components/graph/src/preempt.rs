//! Preemption: stops runs to free resources for urgent units.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use model::{JobId, ResourceVector};

use crate::fit::{Candidate, racks_to_try};
use crate::job::{Job, UnitId, UnitKey};
use crate::order::ReadyUnit;
use crate::placement::AnyPlacement;
use crate::reservations::{FleetResources, PlacementOptions};
use crate::scheduler::{Reservation, Scheduler};
use crate::shortage::ShortageDecision;
use crate::stakes::{Prospect, Stake, accelerator_equivalents};
use crate::trust::{TrustLevel, trusted_candidates, waits_for_sound_workers};
use crate::victims::{PreemptibleWorker, Selection, StopCost, select_victims};

/// Added to the longest stop time to get the time after which a reservation expires.
const RESERVATION_MARGIN: Duration = Duration::from_secs(2);
/// Interval at which victims are selected again for a unit that did not preempt because its victims would lose too much.
const RESELECTION_INTERVAL: Duration = Duration::from_millis(50);
/// Time that an urgent unit is expected to wait at least if no runs are stopped for it: others also take what becomes free. With
/// 2 s and 5 s, the load tests served less value.
const MIN_EXPECTED_WAIT: Duration = Duration::from_secs(10);
/// Time that a stop takes on average, as a share of the longest.
const MEAN_STOP_SHARE: f64 = 2.0 / 3.0;

impl Scheduler {
    /// Returns whether runs were stopped for a unit that still waits for their resources.
    pub(crate) fn has_preempted(&self, ready: ReadyUnit) -> bool {
        let reservation = self.reservations.get(&(ready.job, ready.unit));
        reservation.is_some_and(|reservation| reservation.preempts)
    }

    /// Returns whether a unit may get a new reservation: it has none, or one that did not preempt and that is not recent.
    pub(crate) fn may_reserve(&self, ready: ReadyUnit, now: Duration) -> bool {
        let key = (ready.job, ready.unit);
        let declined_at = self.shortage.declined.get(&key);
        if declined_at.is_some_and(|at| now < *at + RESELECTION_INTERVAL) {
            return false;
        }
        let reservation = self.reservations.get(&key);
        reservation.is_none_or(|reservation| {
            !reservation.preempts && now >= reservation.created_at + RESELECTION_INTERVAL
        })
    }

    /// Reserves the selected workers for a unit.
    ///
    /// The victims are stopped if the unit is guaranteed, or if that costs callers less than the later end of the unit's own job.
    /// Otherwise the unit waits until they end, if its job is then still in time, or for other resources without a reservation.
    pub(crate) fn reserve_resources(
        &mut self,
        ready: ReadyUnit,
        selection: Selection,
        task_resources: ResourceVector,
        fleet: &mut FleetResources,
        now: Duration,
    ) {
        let gain = self.preemption_gain(ready, &selection, now);
        let is_worth = selection.cost.total() <= gain;
        let preempts = !ready.overdue && (ready.guaranteed || is_worth);
        let decision = match (preempts, ready.guaranteed) {
            _ if ready.overdue => ShortageDecision::OverdueAwaitsEnds,
            (true, true) => ShortageDecision::PreemptedForGuarantee,
            (true, false) => ShortageDecision::PreemptedForValue,
            (false, _) => ShortageDecision::NotWorthPreempting,
        };
        let mut awaited = IndexSet::new();
        let key = (ready.job, ready.unit);
        // A unit that waits selects anew every 50 ms, which is one decision.
        let was_declined = self.shortage.declined.swap_remove(&key).is_some();
        if preempts || !(was_declined || self.reservations.contains_key(&key)) {
            self.record_selection(decision, ready, &selection, gain);
        }
        if !preempts && !ready.overdue && !self.waits_in_time(ready, &selection, now) {
            self.reservations.shift_remove(&key);
            self.shortage.declined.insert(key, now);
            return;
        }
        if preempts {
            // Without victims, the next plan uses the reservation.
            self.plan_needed = true;
            awaited = self.stop_victims(&selection);
            // Later units of the same plan take the stopping runs into account.
            *fleet = FleetResources {
                free: std::mem::take(&mut fleet.free),
                ..self.fleet_resources()
            };
        }
        let reservation = Reservation {
            assignment: selection.assignment,
            awaited,
            preempts,
            guaranteed: ready.guaranteed,
            overdue: ready.overdue,
            task_resources,
            created_at: now,
            expires_at: now + self.settings.max_stop_time + RESERVATION_MARGIN,
        };
        self.reservations.insert(key, reservation);
    }

    /// Returns whether the job of a unit ends in time if the unit starts once the selected units have ended by themselves. If not, it
    /// reserves nothing, because the reserved resources would stay idle meanwhile.
    fn waits_in_time(&self, ready: ReadyUnit, selection: &Selection, now: Duration) -> bool {
        let job = self.jobs.get(&ready.job);
        job.is_some_and(|job| {
            let end = now + job.remaining_time() + selection.cost.remaining;
            Stake::of(job, &self.queue_sizes).prospect(end) == Prospect::InTime
        })
    }

    /// Stops the selected units, except those that are about to end, which are returned.
    fn stop_victims(&mut self, selection: &Selection) -> IndexSet<UnitKey> {
        let (ending, stopped): (IndexSet<UnitKey>, IndexSet<UnitKey>) = selection
            .victims
            .iter()
            .partition(|unit| selection.ending.contains(*unit));
        for (id, unit_id) in stopped {
            let job = self.jobs.get_mut(&id);
            if let Some(unit) = job.and_then(|job| job.units.get_mut(&unit_id)) {
                unit.preemptions += 1;
            }
            self.stop_unit(id, unit_id);
        }
        ending
    }

    /// Logs and counts a decision to stop units for another one, or not to, with what was weighed.
    fn record_selection(
        &mut self,
        decision: ShortageDecision,
        ready: ReadyUnit,
        selection: &Selection,
        gain: f64,
    ) {
        let cost = &selection.cost;
        log::info!(
            target: "limpethook",
            decision:% = decision, job:% = format_args!("{:016x}", ready.job), step = ready.unit.step,
            first = ready.unit.first, priority = ready.priority, guaranteed = ready.guaranteed, gain = gain,
            work_value = cost.work_value, deadline_loss = cost.deadline_loss, lost = cost.lost,
            remaining_ms = cost.remaining.as_millis(), victims = selection.victims.len(), ending = selection.ending.len(),
            workers:? = selection.assignment;
            "victims_selected"
        );
        self.shortage.count(decision, 1);
        if decision.stops_runs() && !selection.ending.is_empty() {
            self.shortage
                .count(ShortageDecision::EndingNotStopped, selection.ending.len());
        }
    }

    /// Returns what the caller of a unit gains if its victims are stopped, compared with waiting until they end.
    fn preemption_gain(&self, ready: ReadyUnit, selection: &Selection, now: Duration) -> f64 {
        let Some(job) = self.jobs.get(&ready.job) else {
            return 0.0;
        };
        let stake = Stake::of(job, &self.queue_sizes);
        let end = now + job.remaining_time();
        let after_stops = end + self.settings.max_stop_time;
        let after_ends = end + selection.cost.remaining.max(MIN_EXPECTED_WAIT);
        stake.loss(after_stops, after_ends)
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
                .push(preemptible_worker(candidate, projected, &costs));
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
        let on_rack = on_racks.min_by(|a, b| a.cost.total().total_cmp(&b.cost.total()));
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
        if ready.overdue {
            return true;
        }
        if self.guaranteed.contains(&job) {
            return false;
        }
        let lower =
            |job: &Job| job.policy.priority > ready.priority && !self.shortage.had_turn(job.id);
        ready.guaranteed || self.jobs.get(&job).is_none_or(lower)
    }

    /// Returns the units that a unit may preempt, with the cost of stopping each. For an overdue unit, these are all units, with
    /// the cost of waiting until they end.
    fn stop_costs(&self, ready: ReadyUnit, now: Duration) -> IndexMap<UnitKey, StopCost> {
        let mut costs: IndexMap<UnitKey, StopCost> = IndexMap::new();
        let placements = self.workers.values().flat_map(|w| w.placements.values());
        for placement in placements {
            let key = placement.unit_key();
            if placement.is_stopping() || !self.is_preemptible(key.0, ready) {
                continue;
            }
            let lost = self.lost_time(placement, now);
            let occupied = lost + self.settings.max_stop_time / 2;
            let resources = accelerator_equivalents(placement.resources());
            let remaining = self.remaining_time(placement, now);
            let cost = costs.entry(key).or_default();
            cost.lost += lost.as_secs_f64() * resources;
            cost.work += occupied.as_secs_f64() * resources;
            cost.remaining = cost.remaining.max(remaining);
            cost.repeated = cost.repeated.max(lost);
        }
        let may_await = self.may_await_ends(ready, now);
        for (key, cost) in &mut costs {
            let Some(job) = self.jobs.get(&key.0) else {
                continue;
            };
            if ready.overdue {
                cost.work_value = cost.remaining.as_secs_f64() * cost.work;
            } else if may_await && self.is_ending(cost.remaining) {
                *cost = StopCost {
                    remaining: cost.remaining,
                    is_ending: true,
                    ..StopCost::default()
                };
            } else {
                self.weigh_stop(job, key.1, cost, now);
            }
        }
        costs
    }

    /// Returns the time that a run is expected to need until it ends. One that is later than expected is taken to need as long
    /// again as it has run.
    fn remaining_time(&self, placement: &AnyPlacement, now: Duration) -> Duration {
        let (id, unit) = placement.unit_key();
        let job = self.jobs.get(&id);
        let expected = job.map_or(Duration::ZERO, |job| job.expected_task_time(unit));
        let remaining = placement.remaining_time(expected, now);
        if remaining.is_zero() {
            return now.saturating_sub(placement.placed_at());
        }
        remaining
    }

    /// Returns whether a unit has waited for so short a time that it may wait for runs that are about to end, and still start in
    /// time after a stop if they do not.
    fn may_await_ends(&self, ready: ReadyUnit, now: Duration) -> bool {
        let job = self.jobs.get(&ready.job);
        let unit = job.and_then(|job| job.units.get(&ready.unit));
        let ready_at = unit.and_then(|unit| unit.ready_at).unwrap_or(now);
        now < ready_at + self.settings.max_stop_time / 2
    }

    /// Returns whether a run ends about as soon as its stop would take effect.
    fn is_ending(&self, remaining: Duration) -> bool {
        remaining < self.settings.max_stop_time.mul_f64(MEAN_STOP_SHARE)
    }

    /// Determines what a stop of a unit costs callers: the work that it repeats, and what its job loses by a later end.
    fn weigh_stop(&self, job: &Job, unit: UnitId, cost: &mut StopCost, now: Duration) {
        let stake = Stake::of(job, &self.queue_sizes);
        let stops = job.units.get(&unit).map_or(0, |unit| unit.preemptions);
        let end = now + job.remaining_time_beside(unit.step, cost.remaining);
        let delay = self.settings.max_stop_time + cost.repeated;
        cost.deadline_loss = stake.loss(end, end + delay);
        cost.work_value = cost.work * stake.value_per_work() * f64::from(1 + stops);
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
) -> PreemptibleWorker<'a> {
    let mut units: IndexMap<UnitKey, ResourceVector> = IndexMap::new();
    for placement in candidate.worker.placements.values() {
        let unit = placement.unit_key();
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
