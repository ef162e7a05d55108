//! Planning: places units that are ready, or reserves resources for them.

use std::time::Duration;

use indexmap::IndexMap;
use model::{JobId, ResourceVector, TaskId, TaskRun};

use crate::fit::{Assignment, resources_per_task};
use crate::job::UnitId;
use crate::order::{ReadyJob, ReadyUnit, URGENT_PRIORITY};
use crate::placement::AnyPlacement;
use crate::reservations::{FleetResources, PlacementOptions, ReservationFilter};
use crate::scheduler::Scheduler;
use crate::stakes::Prospect;
use crate::victims::Selection;

/// Longest interval of the plans that depend only on time: hanging runs, quarantines and waits for a better place.
const PLAN_INTERVAL: Duration = Duration::from_millis(200);

/// Added to the longest stop time: the time to order and report a stop.
const STOP_REPORT_MARGIN: Duration = Duration::from_millis(300);

/// Number of units of a step that a plan tries in vain.
const MAX_MISSES: u32 = 4;

/// What became of a unit that a plan tried to place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    Placed,
    /// It has to wait for something that other units of its step may not need.
    Waits,
    /// The free resources of all workers would not hold it, nor another unit of its step.
    NoRoom,
}

/// How to proceed with a unit that is ready.
enum Decision {
    /// Place it on these workers, with these resources for each task.
    Place(Assignment, ResourceVector),
    /// Reserve resources that the selected victims free, with these resources for each task.
    Reserve(Box<Selection>, ResourceVector),
    /// Try again later.
    Wait,
    /// Try again later; there is no room for any unit of the step.
    NoRoom,
}

impl Scheduler {
    /// Places the units that are ready on workers, and reserves or preempts resources for urgent ones that do not fit.
    ///
    /// Does nothing if no event since the latest plan and no time limit allows another decision.
    pub fn plan(&mut self, now: Duration, unix_time: Duration) {
        self.stop_runs_before_drain(now);
        let is_due = now >= self.next_plan_at;
        if !self.plan_needed && !is_due {
            return;
        }
        if is_due {
            self.next_plan_at = now + PLAN_INTERVAL;
            self.update_expected_times();
            for job in self.jobs.values_mut().filter(|job| job.end.is_none()) {
                job.create_due_occurrences(unix_time);
                if let Some(due) = job.next_due() {
                    let due_at = now + due.saturating_sub(unix_time);
                    self.next_plan_at = self.next_plan_at.min(due_at);
                }
            }
            self.stop_hanging_runs(now);
            self.stop_unanswered_starts(now);
        }
        self.plan_needed = false;
        self.drop_stale_reservations(now);
        let ready_jobs = self.update_ready_jobs(now);
        self.plan_jobs(ready_jobs, now);
        self.check_waits(now);
    }

    fn plan_jobs(&mut self, ready_jobs: Vec<ReadyJob>, now: Duration) {
        if ready_jobs.is_empty() {
            return;
        }
        let mut fleet = self.fleet_resources();
        self.update_half_idle_services(&fleet, now);
        let headroom = self.headroom_workers(&fleet, now);
        for ready_job in ready_jobs {
            self.plan_job(ready_job, &mut fleet, &headroom, now);
        }
    }

    /// Places the ready units of a job.
    ///
    /// The units of a step have the same requirements but for their earlier runs and their occurrence. After one that could not
    /// be placed although there is room, a few that differ are tried.
    fn plan_job(
        &mut self,
        ready_job: ReadyJob,
        fleet: &mut FleetResources,
        headroom: &[bool],
        now: Duration,
    ) {
        let job = self.jobs.get_mut(&ready_job.job);
        let mut heads = job.map(|job| job.step_heads(now)).unwrap_or_default();
        let mut misses: IndexMap<u32, u32> = IndexMap::new();
        let mut remaining = ready_job.overdue_units.unwrap_or(u32::MAX);
        while let Some(unit) = heads.pop().filter(|_| remaining > 0) {
            let outcome = self.place_or_reserve(ready_job.unit(unit), fleet, headroom, now);
            let Some(job) = self.jobs.get_mut(&ready_job.job) else {
                return;
            };
            let next = match outcome {
                Outcome::Placed => {
                    remaining -= 1;
                    job.next_ready(unit.step, Some(unit), now)
                }
                Outcome::NoRoom => None,
                Outcome::Waits => {
                    let misses = misses.entry(unit.step).or_default();
                    *misses += 1;
                    let remaining = MAX_MISSES.saturating_sub(*misses);
                    job.next_different(unit, remaining, now)
                }
            };
            if let Some(next) = next {
                heads.push(next);
            }
        }
        let job = self.jobs.get(&ready_job.job);
        if let Some(due) = job.and_then(|job| job.ready.next_due()) {
            self.next_plan_at = self.next_plan_at.min(due);
        }
    }

    /// Places a unit if possible. If an urgent unit was not placed, resources are reserved for it.
    fn place_or_reserve(
        &mut self,
        ready: ReadyUnit,
        fleet: &mut FleetResources,
        headroom: &[bool],
        now: Duration,
    ) -> Outcome {
        match self.decide(ready, fleet, headroom, now) {
            Decision::Place(assignment, _) if !self.is_allowed(ready, &assignment) => {
                // The worker of a reservation may have got other tasks of the step since.
                log::info!(
                    target: "limpethook",
                    job:% = format_args!("{:016x}", ready.job), step = ready.unit.step, first = ready.unit.first,
                    workers:? = assignment;
                    "reservation_not_allowed"
                );
                self.reservations.shift_remove(&(ready.job, ready.unit));
                self.plan_needed = true;
                Outcome::Waits
            }
            Decision::Place(assignment, task_resources) => {
                self.deduct(fleet, &assignment, task_resources);
                self.reservations.shift_remove(&(ready.job, ready.unit));
                // The unit may have taken resources that are reserved for another one.
                self.plan_needed |= ready.guaranteed && !self.reservations.is_empty();
                self.place(ready.job, ready.unit, &assignment, now);
                Outcome::Placed
            }
            Decision::Reserve(selection, task_resources) => {
                self.reserve_resources(ready, *selection, task_resources, fleet, now);
                Outcome::Waits
            }
            Decision::Wait => Outcome::Waits,
            Decision::NoRoom => Outcome::NoRoom,
        }
    }

    /// Decides how to proceed with a unit that is ready.
    ///
    /// A guaranteed unit may take resources that are reserved for units without a guarantee, which would then have to
    /// preempt further runs. It does so only if it can't preempt runs itself, or if their resources do not become free in
    /// time.
    fn decide(
        &self,
        ready: ReadyUnit,
        fleet: &FleetResources,
        headroom: &[bool],
        now: Duration,
    ) -> Decision {
        match self.decide_beside_quarantines(ready, fleet, headroom, now) {
            Decision::Wait => self.decide_probe(ready, fleet, now),
            decision => decision,
        }
    }

    /// Decides whether a unit that takes any place probes a quarantined worker.
    fn decide_probe(&self, ready: ReadyUnit, fleet: &FleetResources, now: Duration) -> Decision {
        let Some(job) = self.jobs.get(&ready.job) else {
            return Decision::Wait;
        };
        let Some(unit) = job.units.get(&ready.unit) else {
            return Decision::Wait;
        };
        if !self.takes_any_place(job, (ready.unit, unit), fleet, now) {
            return Decision::Wait;
        }
        let assignment = self.assign_quarantined(job, (ready.unit, unit), fleet, now);
        let task_resources = resources_per_task(job.step(ready.unit));
        assignment.map_or(Decision::Wait, |assignment| {
            Decision::Place(assignment, task_resources)
        })
    }

    /// Decides how to proceed with a unit without regard to quarantined workers.
    fn decide_beside_quarantines(
        &self,
        ready: ReadyUnit,
        fleet: &FleetResources,
        headroom: &[bool],
        now: Duration,
    ) -> Decision {
        let excluded = if self.may_use_headroom(ready, now) {
            &[]
        } else {
            headroom
        };
        if !self.may_fit(ready, fleet, excluded) {
            return Decision::NoRoom;
        }
        let unreserved = self.decide_within(ready, ReservationFilter::All, fleet, excluded, now);
        let is_settled = match &unreserved {
            Decision::Place(..) => true,
            Decision::Reserve(..) => !self.is_overdue(ready, now),
            Decision::Wait | Decision::NoRoom => {
                self.has_preempted(ready) && !self.is_overdue(ready, now)
            }
        };
        if is_settled {
            return unreserved;
        }
        if !ready.guaranteed {
            return match unreserved {
                Decision::Wait if self.may_take_reserved(ready, fleet, now) => {
                    self.decide_within(ready, ReservationFilter::Preempting, fleet, excluded, now)
                }
                decision => decision,
            };
        }
        self.decide_within(ready, ReservationFilter::Guaranteed, fleet, excluded, now)
    }

    /// Returns whether a unit takes any place, including one that is reserved without runs being stopped for it.
    fn may_take_reserved(&self, ready: ReadyUnit, fleet: &FleetResources, now: Duration) -> bool {
        let mut reservations = self.reservations.values();
        let Some(job) = self.jobs.get(&ready.job) else {
            return false;
        };
        let Some(unit) = job.units.get(&ready.unit) else {
            return false;
        };
        reservations.any(|reservation| !reservation.preempts)
            && self.takes_any_place(job, (ready.unit, unit), fleet, now)
    }

    /// Decides how to proceed with a unit that may not use the resources of the selected reservations.
    fn decide_within(
        &self,
        ready: ReadyUnit,
        filter: ReservationFilter,
        fleet: &FleetResources,
        excluded: &[bool],
        now: Duration,
    ) -> Decision {
        let Some(options) = self.placement_options(ready, filter, fleet, excluded, now) else {
            return Decision::Wait;
        };
        if let Some(assignment) = self.choose_workers(ready, &options, now) {
            return Decision::Place(assignment, options.task_resources);
        }
        let is_worth = ready.guaranteed || ready.prospect != Prospect::Worthless;
        let reserves = ready.overdue || (ready.priority == URGENT_PRIORITY && is_worth);
        if !reserves || !self.may_reserve(ready, now) {
            return Decision::Wait;
        }
        let selection = self.select_preemption(ready, &options, fleet, now);
        selection.map_or(Decision::Wait, |selection| {
            Decision::Reserve(Box::new(selection), options.task_resources)
        })
    }

    /// Returns whether a unit has waited for longer than the runs that it preempted need to stop.
    fn is_overdue(&self, ready: ReadyUnit, now: Duration) -> bool {
        let job = self.jobs.get(&ready.job);
        let unit = job.and_then(|job| job.units.get(&ready.unit));
        let ready_at = unit.and_then(|unit| unit.ready_at).unwrap_or(now);
        now >= ready_at + self.settings.max_stop_time + STOP_REPORT_MARGIN
    }

    /// Returns whether a unit may fit now, without looking at its requirements other than resources. Urgent units may also
    /// preempt.
    fn may_fit(&self, ready: ReadyUnit, fleet: &FleetResources, excluded: &[bool]) -> bool {
        if ready.priority == URGENT_PRIORITY || ready.overdue {
            return true;
        }
        let Some(job) = self.jobs.get(&ready.job) else {
            return false;
        };
        let task_resources = resources_per_task(job.step(ready.unit));
        let mut missing = job.units.get(&ready.unit).map_or(0, |unit| unit.tasks);
        for (index, free) in fleet.free.iter().enumerate() {
            if !excluded.get(index).copied().unwrap_or(false) {
                missing = missing.saturating_sub(free.fit_count(task_resources));
            }
            if missing == 0 {
                return true;
            }
        }
        false
    }

    fn deduct(
        &self,
        fleet: &mut FleetResources,
        assignment: &Assignment,
        task_resources: ResourceVector,
    ) {
        for (agent, tasks) in assignment {
            if let Some(index) = self.workers.get_index_of(agent) {
                let used = task_resources.saturating_mul(*tasks);
                fleet.free[index] = fleet.free[index].saturating_sub(used);
            }
        }
    }

    /// Selects workers with enough free resources for a unit, or else those reserved for it if their resources are
    /// free.
    fn choose_workers(
        &self,
        ready: ReadyUnit,
        options: &PlacementOptions<'_>,
        now: Duration,
    ) -> Option<Assignment> {
        let job = self.jobs.get(&ready.job)?;
        let unit = job.units.get(&ready.unit)?;
        self.assign_workers(job, (ready.unit, unit), options, now)
            .or_else(|| options.own_reservation.clone())
    }

    /// Starts a new run of a unit on the assigned workers.
    fn place(&mut self, id: JobId, unit_id: UnitId, assignment: &Assignment, now: Duration) {
        let run_number = self.next_run_number();
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let resources = resources_per_task(job.step(unit_id));
        let Some(unit) = job.activate(unit_id) else {
            return;
        };
        unit.run_number = run_number;
        unit.active_runs = unit.tasks;
        unit.placed_at = now;
        unit.start_checkpoint = unit.checkpoint.clone();
        let is_trial = unit.is_suspect();
        let ready_at = unit.ready_at.take().unwrap_or(now);
        let mut index = unit_id.first;
        for (agent, tasks) in assignment {
            let Some(worker) = self.workers.get_mut(agent) else {
                continue;
            };
            for _ in 0..*tasks {
                let task = TaskId {
                    job: id,
                    occurrence: unit_id.occurrence,
                    step: unit_id.step,
                    index,
                };
                let task_run = TaskRun::new(task, run_number);
                let placement = AnyPlacement::new(id, unit_id, task_run, resources, now);
                worker
                    .placements
                    .insert(task, placement.with_trial(is_trial));
                index += 1;
            }
        }
        for (agent, _) in assignment {
            self.record_agent(id, agent, false, now);
        }
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        log::info!(
            target: "limpethook",
            job:% = format_args!("{id:016x}"), occurrence = unit_id.occurrence, step = unit_id.step, first = unit_id.first,
            run = run_number, trial = is_trial, workers:? = assignment, waited_ms = now.saturating_sub(ready_at).as_millis(),
            expected_ms = job.expected_task_time(unit_id).as_millis(), queue:% = job.spec.queue;
            "unit_placed"
        );
    }
}
