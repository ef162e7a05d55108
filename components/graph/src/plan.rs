//! Placement of waiting units.

use std::time::Duration;

use indexmap::IndexSet;
use model::{AgentId, JobId, ResourceVector, TaskId, TaskRun};

use crate::fit::{Assignment, resources_per_task};
use crate::job::{Phase, UnitId};
use crate::order::{GUARANTEED_PRIORITY, WaitingUnit};
use crate::placement::Placement;
use crate::reservations::{HonouredReservations, PlacementOptions, ResourcesByWorker};
use crate::scheduler::Scheduler;

impl Scheduler {
    /// Places waiting units on workers, and reserves or preempts resources for urgent ones that do not fit.
    pub fn plan(&mut self, now: Duration, wall: Duration) {
        for job in self.jobs.values_mut() {
            if job.end.is_none() {
                job.create_due_occurrences(wall);
            }
        }
        self.stop_hanging_runs(now);
        self.stop_runs_before_drain(now);
        self.drop_stale_reservations(now);
        let waiting_units = self.waiting_units(now);
        if waiting_units.is_empty() {
            return;
        }
        let mut free = self.free_resources();
        let headroom = self.headroom_workers(&free, now);
        let mut unplaced_steps: Vec<(JobId, u32)> = Vec::new();
        for waiting in waiting_units {
            let step = (waiting.job, waiting.unit.step);
            if unplaced_steps.contains(&step) {
                continue;
            }
            if !self.place_or_reserve(waiting, &mut free, &headroom, now) {
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

    /// Places a unit and returns whether it was placed; otherwise resources are reserved for an urgent unit.
    ///
    /// A unit within a guarantee uses resources reserved for others only when nothing else is left, because the others
    /// would have to preempt more work.
    fn place_or_reserve(
        &mut self,
        waiting: WaitingUnit,
        free: &mut ResourcesByWorker,
        headroom: &IndexSet<AgentId>,
        now: Duration,
    ) -> bool {
        let no_workers = IndexSet::new();
        let excluded = if self.may_use_headroom(waiting, now) {
            &no_workers
        } else {
            headroom
        };
        let honoured_variants: &[HonouredReservations] = if waiting.guaranteed {
            &[HonouredReservations::All, HonouredReservations::Guaranteed]
        } else {
            &[HonouredReservations::All]
        };
        let mut tried = Vec::new();
        for honoured in honoured_variants {
            let Some(options) = self.placement_options(waiting, *honoured, free, excluded, now)
            else {
                return false;
            };
            if let Some(assignment) = self.choose_workers(waiting, &options, now) {
                deduct(free, &assignment, options.task_resources);
                self.reservations.shift_remove(&(waiting.job, waiting.unit));
                self.place(waiting.job, waiting.unit, &assignment, now);
                return true;
            }
            tried.push(options);
        }
        if waiting.priority == GUARANTEED_PRIORITY {
            for options in &tried {
                if self.reserve_resources(waiting, options, free, now) {
                    break;
                }
            }
        }
        false
    }

    /// Selects workers with enough free resources for a unit, or those reserved for it.
    fn choose_workers(
        &self,
        waiting: WaitingUnit,
        options: &PlacementOptions,
        now: Duration,
    ) -> Option<Assignment> {
        let job = self.jobs.get(&waiting.job)?;
        let unit = job.units.get(&waiting.unit)?;
        self.assign_workers(job, (waiting.unit, unit), &options.candidates, now)
            .or_else(|| options.own_reservation.clone())
    }

    /// Starts a new run of a unit on the assigned workers.
    fn place(&mut self, id: JobId, unit_id: UnitId, assignment: &Assignment, now: Duration) {
        let run = self.next_run_number();
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let resources = resources_per_task(job.step(unit_id));
        let Some(unit) = job.units.get_mut(&unit_id) else {
            return;
        };
        unit.phase = Phase::Active;
        unit.run = run;
        unit.open_runs = unit.tasks;
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
                let run = TaskRun::new(task, run);
                let placement = Placement::new(id, unit_id, run, resources, now);
                worker.placements.insert(task, placement);
                index += 1;
            }
        }
        log::info!(
            target: "limpethook",
            job:% = format_args!("{id:016x}"), occurrence = unit_id.occurrence, step = unit_id.step, first = unit_id.first,
            run = run, workers:? = assignment, waited_ms = now.saturating_sub(ready_at).as_millis(),
            expected_ms = job.expected_step_time(unit_id).as_millis(), queue:% = job.spec.queue;
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
