//! Adoption of runs by a new owner: jobs of earlier owners start only when no worker can still be running them.

use std::time::Duration;

use model::{AgentId, ResourceVector, RunNumber, RunReport, RunStatus, TaskId, TaskRun};

use crate::fit::resources_per_task;
use crate::job::Phase;
use crate::placement::Placement;
use crate::scheduler::Scheduler;
use crate::worker::OrphanRun;

impl Scheduler {
    /// Handles a reported run that this owner has not placed on the worker: it is adopted if the unit has no newer run,
    /// and stopped as an orphan otherwise.
    pub(crate) fn handle_unknown_run(
        &mut self,
        agent: &AgentId,
        report: &RunReport,
        now: Duration,
    ) {
        let run = report.run;
        let (percent, checkpoint) = match &report.status {
            RunStatus::Refused(_) | RunStatus::StoppedBeforeStart => return,
            RunStatus::Starting => (0, ""),
            RunStatus::Running {
                percent,
                checkpoint,
                ..
            } => (*percent, &**checkpoint),
        };
        if !self.adopt(agent, run.task, run.run, now) {
            let resources = self.task_resources(run.task);
            if let Some(worker) = self.workers.get_mut(agent) {
                let orphan = OrphanRun {
                    sent_at: None,
                    resources,
                };
                worker.orphan_runs.entry(run).or_insert(orphan);
            }
            return;
        }
        let worker = self.workers.get_mut(agent);
        let Some(placement) = worker.and_then(|worker| worker.placements.get_mut(&run.task)) else {
            return;
        };
        let unit = placement.unit_key();
        *placement = placement.clone().with_progress(now, percent, false);
        self.record_progress(agent, unit, run.task, percent, checkpoint, now);
    }

    fn task_resources(&self, task: TaskId) -> Option<ResourceVector> {
        let unit = self.unit_of(task)?;
        Some(resources_per_task(self.jobs.get(&task.job)?.step(unit)))
    }

    /// Registers the run of a task on a worker, and returns whether the unit can adopt it.
    fn adopt(&mut self, agent: &AgentId, task: TaskId, run: RunNumber, now: Duration) -> bool {
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
        let awaiting_adoption = job.awaiting_adoption;
        let resources = resources_per_task(job.step(unit_id));
        let Some(unit) = job.units.get_mut(&unit_id) else {
            return false;
        };
        let adoptable = match unit.phase {
            Phase::Waiting => awaiting_adoption && unit.run <= run,
            Phase::Active => unit.run == run && unit.open_runs < unit.tasks,
            Phase::Done => false,
        };
        if !adoptable {
            return false;
        }
        unit.phase = Phase::Active;
        unit.run = run;
        unit.open_runs += 1;
        unit.placed_at = now;
        let run = TaskRun::new(task, run);
        let placement = Placement::new(task.job, unit_id, run, resources, now);
        worker.placements.insert(task, placement);
        log::info!(target: "limpethook", task:% = task, run = run.run, agent:% = agent; "run_adopted");
        true
    }

    /// Records that the runs of an agent are known, or that it has none.
    pub(crate) fn mark_heard(&mut self, agent: &AgentId, now: Duration) {
        if self.unheard.shift_remove(agent) {
            self.end_adoption(now);
        }
    }

    /// Ends adoption once all agents have reported, or the leases of the silent ones have lapsed: the jobs of earlier
    /// owners may be placed, and gangs that were adopted only in part are stopped.
    pub fn end_adoption(&mut self, now: Duration) {
        let Some(deadline) = self.adoption_deadline else {
            return;
        };
        if !self.unheard.is_empty() && now < deadline {
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
