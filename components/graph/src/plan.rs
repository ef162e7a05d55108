//! Places waiting units.

use std::time::Duration;

use indexmap::IndexSet;
use model::{AgentId, JobId, Room, TaskId, TaskRun};

use crate::claims::{Outlook, Respect, Rooms};
use crate::fit::{Assignment, room_of};
use crate::job::{Phase, UnitId};
use crate::order::{GUARANTEED_PRIORITY, Waiting};
use crate::placement::Placement;
use crate::scheduler::Scheduler;

impl Scheduler {
    /// Places what fits, and frees room for what may preempt.
    pub fn plan(&mut self, now: Duration, wall: Duration) {
        for job in self.jobs.values_mut() {
            if job.end.is_none() {
                job.open_due(wall);
            }
        }
        self.stop_hanging(now);
        self.leave_draining(now);
        self.drop_claims(now);
        let waiting_units = self.waiting_units(now);
        if waiting_units.is_empty() {
            return;
        }
        let mut free = self.free_rooms();
        let reserved = self.reserved_workers(&free, now);
        let mut full: Vec<(JobId, u32)> = Vec::new();
        for waiting in waiting_units {
            let step = (waiting.job, waiting.unit.step);
            if full.contains(&step) {
                continue;
            }
            if !self.place_or_claim(waiting, &mut free, &reserved, now) {
                full.push(step);
            }
        }
    }

    pub(crate) fn free_rooms(&self) -> Rooms {
        let workers = self.workers.values();
        workers
            .map(|worker| (worker.agent.clone(), worker.free()))
            .collect()
    }

    /// Returns whether the unit was placed; if not, room is kept or freed for a unit of the first
    /// priority.
    ///
    /// A unit within a guarantee takes claimed room of others only when nothing else is left, because the others would
    /// have to stop more work for themselves.
    fn place_or_claim(
        &mut self,
        waiting: Waiting,
        free: &mut Rooms,
        reserved: &IndexSet<AgentId>,
        now: Duration,
    ) -> bool {
        let nothing = IndexSet::new();
        let reserved = if self.may_use_reserve(waiting, now) {
            &nothing
        } else {
            reserved
        };
        let respects: &[Respect] = if waiting.guaranteed {
            &[Respect::All, Respect::Guaranteed]
        } else {
            &[Respect::All]
        };
        let mut outlooks = Vec::new();
        for respect in respects {
            let Some(outlook) = self.outlook(waiting, *respect, free, reserved, now) else {
                return false;
            };
            if let Some(chosen) = self.choose(waiting, &outlook, now) {
                take(free, &chosen, outlook.room);
                self.claims.shift_remove(&(waiting.job, waiting.unit));
                self.place(waiting.job, waiting.unit, &chosen, now);
                return true;
            }
            outlooks.push(outlook);
        }
        if waiting.priority == GUARANTEED_PRIORITY {
            for outlook in &outlooks {
                if self.make_room(waiting, outlook, free, now) {
                    break;
                }
            }
        }
        false
    }

    /// Chooses workers with room for a unit, or those that were claimed for it.
    fn choose(&self, waiting: Waiting, outlook: &Outlook, now: Duration) -> Option<Assignment> {
        let job = self.jobs.get(&waiting.job)?;
        let unit = job.units.get(&waiting.unit)?;
        self.fit(job, (waiting.unit, unit), &outlook.candidates, now)
            .or_else(|| outlook.own_claim.clone())
    }

    fn place(&mut self, id: JobId, unit_id: UnitId, chosen: &Assignment, now: Duration) {
        let run = self.next_run();
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let room = room_of(job.step(unit_id));
        let Some(unit) = job.units.get_mut(&unit_id) else {
            return;
        };
        unit.phase = Phase::Active;
        unit.run = run;
        unit.open = unit.tasks;
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
                let placement = Placement::order(id, unit_id, run, room, now);
                worker.placements.insert(task, placement);
                index += 1;
            }
        }
        log::info!(
            target: "limpethook",
            job:% = format_args!("{id:016x}"), occurrence = unit_id.occurrence, step = unit_id.step, first = unit_id.first,
            run = run, workers:? = chosen, waited_ms = now.saturating_sub(ready_at).as_millis(),
            expected_ms = job.step_time(unit_id).as_millis(), queue:% = job.spec.queue;
            "unit_placed"
        );
    }
}

fn take(free: &mut Rooms, chosen: &Assignment, room: Room) {
    for (agent, tasks) in chosen {
        if let Some(free) = free.get_mut(agent) {
            *free = free.minus(room.scaled(*tasks));
        }
    }
}
