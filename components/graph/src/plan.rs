//! Planning: places units that are ready, or reserves resources for them.

use std::time::Duration;

use indexmap::IndexSet;
use model::{AgentId, JobId, ResourceVector, TaskId, TaskRun};

use crate::fit::{Assignment, resources_per_task};
use crate::job::{Phase, UnitId};
use crate::order::{ReadyUnit, URGENT_PRIORITY};
use crate::placement::AnyPlacement;
use crate::reservations::{PlacementOptions, ReservationFilter, ResourcesByWorker};
use crate::scheduler::Scheduler;

impl Scheduler {
    /// Places the units that are ready on workers, and reserves or preempts resources for urgent ones that do not fit.
    pub fn plan(&mut self, now: Duration, unix_time: Duration) {
        for job in self.jobs.values_mut() {
            if job.end.is_none() {
                job.create_due_occurrences(unix_time);
            }
        }
        self.stop_hanging_runs(now);
        self.stop_runs_before_drain(now);
        self.drop_stale_reservations(now);
        let ready_units = self.update_ready_units(now);
        if ready_units.is_empty() {
            return;
        }
        let mut free = self.free_resources();
        let headroom = self.headroom_workers(&free, now);
        let mut unplaced_steps: Vec<(JobId, u32)> = Vec::new();
        for ready in ready_units {
            // The units of a step have the same requirements: once one could not be placed, the others are skipped.
            let step = (ready.job, ready.unit.step);
            if unplaced_steps.contains(&step) {
                continue;
            }
            if !self.place_or_reserve(ready, &mut free, &headroom, now) {
                unplaced_steps.push(step);
            }
        }
    }

    /// Returns the free resources of each worker.
    pub(crate) fn free_resources(&self) -> ResourcesByWorker {
        let workers = self.workers.values();
        workers
            .map(|worker| (worker.agent.clone(), worker.free_resources()))
            .collect()
    }

    /// Places a unit and returns whether it was placed. If an urgent unit was not placed, resources are reserved for
    /// it.
    ///
    /// A guaranteed unit may take resources that are reserved for units without a guarantee, but only if it does not
    /// fit otherwise, because those units would then have to preempt further runs.
    fn place_or_reserve(
        &mut self,
        ready: ReadyUnit,
        free: &mut ResourcesByWorker,
        headroom: &IndexSet<AgentId>,
        now: Duration,
    ) -> bool {
        let no_workers = IndexSet::new();
        let excluded = if self.may_use_headroom(ready, now) {
            &no_workers
        } else {
            headroom
        };
        let filters: &[ReservationFilter] = if ready.guaranteed {
            &[ReservationFilter::All, ReservationFilter::Guaranteed]
        } else {
            &[ReservationFilter::All]
        };
        let mut failed_options = Vec::new();
        for filter in filters {
            let Some(options) = self.placement_options(ready, *filter, free, excluded, now) else {
                return false;
            };
            if let Some(assignment) = self.choose_workers(ready, &options, now) {
                deduct(free, &assignment, options.task_resources);
                self.reservations.shift_remove(&(ready.job, ready.unit));
                self.place(ready.job, ready.unit, &assignment, now);
                return true;
            }
            failed_options.push(options);
        }
        if ready.priority == URGENT_PRIORITY {
            for options in &failed_options {
                if self.reserve_resources(ready, options, free, now) {
                    break;
                }
            }
        }
        false
    }

    /// Selects workers with enough free resources for a unit, or else those reserved for it if their resources are
    /// free.
    fn choose_workers(
        &self,
        ready: ReadyUnit,
        options: &PlacementOptions,
        now: Duration,
    ) -> Option<Assignment> {
        let job = self.jobs.get(&ready.job)?;
        let unit = job.units.get(&ready.unit)?;
        self.assign_workers(job, (ready.unit, unit), &options.candidates, now)
            .or_else(|| options.own_reservation.clone())
    }

    /// Starts a new run of a unit on the assigned workers.
    fn place(&mut self, id: JobId, unit_id: UnitId, assignment: &Assignment, now: Duration) {
        let run_number = self.next_run_number();
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let resources = resources_per_task(job.step(unit_id));
        let Some(unit) = job.units.get_mut(&unit_id) else {
            return;
        };
        unit.phase = Phase::Active;
        unit.run_number = run_number;
        unit.active_runs = unit.tasks;
        unit.placed_at = now;
        unit.start_checkpoint = unit.checkpoint.clone();
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
                worker.placements.insert(task, placement);
                index += 1;
            }
        }
        log::info!(
            target: "limpethook",
            job:% = format_args!("{id:016x}"), occurrence = unit_id.occurrence, step = unit_id.step, first = unit_id.first,
            run = run_number, workers:? = assignment, waited_ms = now.saturating_sub(ready_at).as_millis(),
            expected_ms = job.expected_task_time(unit_id).as_millis(), queue:% = job.spec.queue;
            "unit_placed"
        );
    }
}

fn deduct(free: &mut ResourcesByWorker, assignment: &Assignment, task_resources: ResourceVector) {
    for (agent, tasks) in assignment {
        if let Some(free) = free.get_mut(agent) {
            *free = free.saturating_sub(task_resources.saturating_mul(*tasks));
        }
    }
}
