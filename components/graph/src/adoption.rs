//! A new owner learns what runs before it starts what may run already.

use std::time::Duration;

use model::{AgentId, Room, RunReport, RunStatus, TaskId};

use crate::fit::resources_per_task;
use crate::job::Phase;
use crate::placement::Placement;
use crate::scheduler::Scheduler;
use crate::worker::OrphanRun;

impl Scheduler {
    /// Takes a run that this owner did not order: it is adopted if the unit has no newer run, and stopped otherwise.
    pub(crate) fn handle_unknown_run(
        &mut self,
        agent: &AgentId,
        report: &RunReport,
        now: Duration,
    ) {
        let run = report.run;
        let (percent, checkpoint) = match &report.status {
            RunStatus::Refused(_) | RunStatus::Gone => return,
            RunStatus::Starting => (0, ""),
            RunStatus::Running {
                percent,
                checkpoint,
                ..
            } => (*percent, &**checkpoint),
        };
        if !self.adopt(agent, run.task, run.run, now) {
            let room = self.task_resources(run.task);
            if let Some(worker) = self.workers.get_mut(agent) {
                let stray = OrphanRun {
                    sent_at: None,
                    resources: room,
                };
                worker.orphan_runs.entry(run).or_insert(stray);
            }
            return;
        }
        let worker = self.workers.get_mut(agent);
        let Some(placement) = worker.and_then(|worker| worker.placements.get_mut(&run.task)) else {
            return;
        };
        let owner = placement.unit_key();
        *placement = placement.clone().with_progress(now, percent, false);
        self.record_progress(agent, owner, run.task, percent, checkpoint, now);
    }

    fn task_resources(&self, task: TaskId) -> Option<Room> {
        let unit = self.unit_of(task)?;
        Some(resources_per_task(self.jobs.get(&task.job)?.step(unit)))
    }

    fn adopt(&mut self, agent: &AgentId, task: TaskId, run: u64, now: Duration) -> bool {
        let Some(unit_id) = self.unit_of(task) else {
            return false;
        };
        let Some(worker) = self.workers.get_mut(agent) else {
            return false;
        };
        if worker.placements.contains_key(&task) {
            return false;
        }
        let Some(job) = self.jobs.get_mut(&task.job).filter(|job| job.end.is_none()) else {
            return false;
        };
        let held = job.awaiting_adoption;
        let room = resources_per_task(job.step(unit_id));
        let Some(unit) = job.units.get_mut(&unit_id) else {
            return false;
        };
        let current = match unit.phase {
            Phase::Waiting => held && unit.run <= run,
            Phase::Active => unit.run == run && unit.open_runs < unit.tasks,
            Phase::Done => false,
        };
        if !current {
            return false;
        }
        unit.phase = Phase::Active;
        unit.run = run;
        unit.open_runs += 1;
        unit.placed_at = now;
        let run = model::TaskRun::new(task, run);
        let placement = Placement::new(task.job, unit_id, run, room, now);
        worker.placements.insert(task, placement);
        log::info!(target: "limpethook", task:% = task, run = run.run, agent:% = agent; "run_adopted");
        true
    }

    /// Notes that the runs of an agent are known, or that it holds none.
    pub(crate) fn mark_heard(&mut self, agent: &AgentId, now: Duration) {
        if self.unheard.shift_remove(agent) {
            self.end_adoption(now);
        }
    }

    /// Releases the jobs of earlier owners once all agents were heard, or the leases of the others have lapsed.
    pub fn end_adoption(&mut self, now: Duration) {
        let Some(until) = self.adoption_deadline else {
            return;
        };
        if !self.unheard.is_empty() && now < until {
            return;
        }
        log::info!(
            target: "limpethook",
            epoch = self.epoch, jobs = self.jobs.len(), unheard = self.unheard.len();
            "adoption_ended"
        );
        self.adoption_deadline = None;
        self.unheard.clear();
        let mut partial = Vec::new();
        for job in self.jobs.values_mut() {
            job.awaiting_adoption = false;
            for (id, unit) in &job.units {
                if unit.phase == Phase::Active && unit.open_runs < unit.tasks {
                    partial.push((job.id, *id));
                }
            }
        }
        for (job, unit) in partial {
            self.stop_unit(job, unit);
        }
    }
}
