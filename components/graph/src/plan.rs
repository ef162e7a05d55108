//! Places waiting units.

use std::time::Duration;

use indexmap::IndexSet;
use model::{AgentId, JobId, Room, TaskId, TaskRun};

use crate::claims::{HonouredReservations, PlacementOptions, ResourcesByWorker};
use crate::fit::{Assignment, resources_per_task};
use crate::job::{Phase, UnitId};
use crate::order::{GUARANTEED_PRIORITY, WaitingUnit};
use crate::placement::Placement;
use crate::scheduler::Scheduler;

impl Scheduler {
    /// Places what fits, and frees room for what may preempt.
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
        let reserved = self.headroom_workers(&free, now);
        let mut full: Vec<(JobId, u32)> = Vec::new();
        for waiting in waiting_units {
            let step = (waiting.job, waiting.unit.step);
            if full.contains(&step) {
                continue;
            }
            if !self.place_or_reserve(waiting, &mut free, &reserved, now) {
                full.push(step);
            }
        }
    }

    pub(crate) fn free_resources(&self) -> ResourcesByWorker {
        let workers = self.workers.values();
        workers
            .map(|worker| (worker.agent.clone(), worker.free_resources()))
            .collect()
    }

    /// Returns whether the unit was placed; if not, room is kept or freed for a unit of the first
    /// priority.
    ///
    /// A unit within a guarantee takes claimed room of others only when nothing else is left, because the others would
    /// have to stop more work for themselves.
    fn place_or_reserve(
        &mut self,
        waiting: WaitingUnit,
        free: &mut ResourcesByWorker,
        reserved: &IndexSet<AgentId>,
        now: Duration,
    ) -> bool {
        let nothing = IndexSet::new();
        let reserved = if self.may_use_headroom(waiting, now) {
            &nothing
        } else {
            reserved
        };
        let respects: &[HonouredReservations] = if waiting.guaranteed {
            &[HonouredReservations::All, HonouredReservations::Guaranteed]
        } else {
            &[HonouredReservations::All]
        };
        let mut outlooks = Vec::new();
        for respect in respects {
            let Some(outlook) = self.placement_options(waiting, *respect, free, reserved, now)
            else {
                return false;
            };
            if let Some(chosen) = self.choose_workers(waiting, &outlook, now) {
                deduct(free, &chosen, outlook.task_resources);
                self.reservations.shift_remove(&(waiting.job, waiting.unit));
                self.place(waiting.job, waiting.unit, &chosen, now);
                return true;
            }
            outlooks.push(outlook);
        }
        if waiting.priority == GUARANTEED_PRIORITY {
            for outlook in &outlooks {
                if self.reserve_resources(waiting, outlook, free, now) {
                    break;
                }
            }
        }
        false
    }

    /// Chooses workers with room for a unit, or those that were claimed for it.
    fn choose_workers(
        &self,
        waiting: WaitingUnit,
        outlook: &PlacementOptions,
        now: Duration,
    ) -> Option<Assignment> {
        let job = self.jobs.get(&waiting.job)?;
        let unit = job.units.get(&waiting.unit)?;
        self.assign_workers(job, (waiting.unit, unit), &outlook.candidates, now)
            .or_else(|| outlook.own_reservation.clone())
    }

    fn place(&mut self, id: JobId, unit_id: UnitId, chosen: &Assignment, now: Duration) {
        let run = self.next_run_number();
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let room = resources_per_task(job.step(unit_id));
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
        for (agent, tasks) in chosen {
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
                let placement = Placement::new(id, unit_id, run, room, now);
                worker.placements.insert(task, placement);
                index += 1;
            }
        }
        log::info!(
            target: "limpethook",
            job:% = format_args!("{id:016x}"), occurrence = unit_id.occurrence, step = unit_id.step, first = unit_id.first,
            run = run, workers:? = chosen, waited_ms = now.saturating_sub(ready_at).as_millis(),
            expected_ms = job.expected_step_time(unit_id).as_millis(), queue:% = job.spec.queue;
            "unit_placed"
        );
    }
}

fn deduct(free: &mut ResourcesByWorker, chosen: &Assignment, room: Room) {
    for (agent, tasks) in chosen {
        if let Some(free) = free.get_mut(agent) {
            *free = free.minus(room.scaled(*tasks));
        }
    }
}
