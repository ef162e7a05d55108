//! Processing of the ends of runs.

use std::time::Duration;

use model::{AgentId, EndReport, JobEnd, JobId, RunEnd, RunNumber, TaskId, WorkerReport};

use crate::copies::allows_copies;
use crate::job::{Phase, UnitId};
use crate::placement::AnyPlacement;
use crate::scheduler::Scheduler;

/// Delay before a failed unit is placed again.
const FAILURE_BACKOFF: Duration = Duration::from_millis(20);

impl Scheduler {
    /// Applies the reported ends that were not applied before.
    pub(crate) fn apply_ends(&mut self, report: &WorkerReport, now: Duration) {
        for end in &report.ends {
            let Some(worker) = self.workers.get_mut(&report.agent) else {
                return;
            };
            if end.sequence <= worker.last_end_sequence {
                continue;
            }
            worker.last_end_sequence = end.sequence;
            let job = self.apply_end(&report.agent, end, now);
            let unstored = job.and_then(|id| self.jobs.get(&id));
            let unstored = unstored.filter(|job| job.stored_version < job.version);
            let unstored = unstored.map(|job| (end.sequence, job.id, job.version));
            if let (Some(unstored), Some(worker)) = (unstored, self.workers.get_mut(&report.agent))
            {
                worker.unstored_ends.push(unstored);
            }
        }
    }

    /// Applies an end and returns the job that it belongs to.
    fn apply_end(&mut self, agent: &AgentId, end: &EndReport, now: Duration) -> Option<JobId> {
        self.plan_needed = true;
        let task = end.run.task;
        let worker = self.workers.get_mut(agent)?;
        worker.orphan_runs.shift_remove(&end.run);
        let known = worker.placements.get(&task);
        let was_placed = known.is_some_and(|placement| placement.task_run() == end.run);
        let placement = if was_placed {
            worker.placements.shift_remove(&task)
        } else {
            None
        };
        let unit_id = self.unit_of(task)?;
        let job = self.jobs.get_mut(&task.job)?;
        let ended = job.end.is_some();
        let long_running = job.step(unit_id).long_running;
        let allows_copies = allows_copies(job.step(unit_id));
        let unit = job.units.get_mut(&unit_id)?;
        let is_copy = was_placed && unit.is_copy(end.run.run);
        if is_copy {
            unit.make_current(end.run.run);
        }
        let has_other_run = was_placed && unit.copy.is_some();
        let is_unplaced = allows_copies && !was_placed && unit.phase() == Phase::Active;
        log::info!(
            target: "limpethook",
            task:% = task, run = end.run.run, agent:% = agent, end:? = end.end, sequence = end.sequence,
            placed = was_placed, current_run = unit.run_number, failures = unit.failures();
            "run_ended"
        );
        if let Some(placement) = placement.as_ref().filter(|run| run.was_reported())
            && end.end == RunEnd::Broken
            && let Some(worker) = self.workers.get_mut(agent)
        {
            worker.record_sound_start(placement.placed_at());
        }
        if was_placed && unit.run_number == end.run.run {
            unit.active_runs = unit.active_runs.saturating_sub(1);
        } else if end.run.run < unit.run_number || is_unplaced {
            // The late end of an earlier run, after which the unit was placed again, or of a copy that was given up. A failure
            // counts as a failed attempt. A success completes the unit, unless its task is long-running, and the remaining runs
            // are not needed any more.
            match end.end {
                RunEnd::Done if !long_running => {
                    self.complete_unit(agent, task.job, unit_id, now);
                    if allows_copies {
                        self.hold_unanswered((task.job, unit_id));
                    }
                    self.stop_unit(task.job, unit_id);
                }
                RunEnd::Failed => self.record_failed_run(agent, end, unit_id, now),
                RunEnd::Done
                | RunEnd::Stopped
                | RunEnd::Lapsed
                | RunEnd::Broken
                | RunEnd::Alone => {}
            }
            return Some(task.job);
        }
        // The end of the current run, or of one that has no placement here: it was started by an earlier owner and not
        // adopted, or it was removed when its worker was lost. All of these are applied alike.
        // The progress of the checkpoint is not known. It may be behind the one that the other run has left.
        let keeps_checkpoint = has_other_run && !unit.checkpoint.is_empty();
        if !end.checkpoint.is_empty() && unit.phase() != Phase::Done && !keeps_checkpoint {
            unit.checkpoint = end.checkpoint.clone();
        }
        match end.end {
            // One completed member completes a gang.
            RunEnd::Done => {
                if let Some(AnyPlacement::Running(placement)) = placement {
                    self.record_run_time(&placement, now);
                    self.record_step_time((task.job, unit_id), &placement.state, now);
                }
                self.complete_unit(agent, task.job, unit_id, now);
                if has_other_run {
                    self.end_copy((task.job, unit_id), is_copy);
                }
            }
            RunEnd::Failed => self.record_failed_run(agent, end, unit_id, now),
            RunEnd::Stopped | RunEnd::Lapsed | RunEnd::Broken | RunEnd::Alone if !ended => {
                self.requeue_unit(task.job, unit_id, now);
            }
            RunEnd::Stopped | RunEnd::Lapsed | RunEnd::Broken | RunEnd::Alone => {}
        }
        Some(task.job)
    }

    /// Returns the unit that a task belongs to, if its job and step are known.
    pub(crate) fn unit_of(&self, task: TaskId) -> Option<UnitId> {
        let job = self.jobs.get(&task.job)?;
        let step = job.spec.graph.steps.get(task.step as usize)?;
        Some(UnitId {
            occurrence: task.occurrence,
            step: task.step,
            first: if step.gang { 0 } else { task.index },
        })
    }

    /// Completes a unit whose task, or one member of whose gang, has completed, and its job if this was the last unit.
    /// Long-running tasks never complete; they are placed again.
    fn complete_unit(&mut self, agent: &AgentId, id: JobId, unit_id: UnitId, now: Duration) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let long_running = job.step(unit_id).long_running;
        let Some(unit) = job.units.get_mut(&unit_id) else {
            return;
        };
        if let Some(worker) = self.workers.get_mut(agent) {
            worker.record_success(unit.placed_at);
        }
        if unit.phase() == Phase::Done {
            return;
        }
        if long_running {
            self.requeue_unit(id, unit_id, now);
            return;
        }
        unit.checkpoint = Box::default();
        unit.copy = None;
        job.complete(unit_id);
        job.mark_changed();
        if job.end.is_none() && job.is_complete() {
            job.end = Some(JobEnd::Completed);
            self.status_version += 1;
            log::info!(
                target: "limpethook",
                job:% = format_args!("{id:016x}"), queue:% = job.spec.queue,
                took_ms = now.saturating_sub(job.accepted_at).as_millis(),
                objective_ms = job.objective().as_millis();
                "job_completed"
            );
        }
    }

    /// Counts a failed run once and fails the job if its attempts are used up. If it was the current run of the unit,
    /// the unit returns to waiting.
    fn record_failed_run(
        &mut self,
        agent: &AgentId,
        end: &EndReport,
        unit_id: UnitId,
        now: Duration,
    ) {
        let id = end.run.task.job;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let max_attempts = job.policy.max_attempts;
        let long_running = job.step(unit_id).long_running;
        let Some(unit) = job.units.get_mut(&unit_id) else {
            return;
        };
        if unit.phase() == Phase::Done {
            return;
        }
        if !unit.failed_runs.contains(&end.run.run) {
            unit.failed_runs.push(end.run.run);
            unit.not_before = now + FAILURE_BACKOFF;
            let exhausted = !long_running && unit.failures() >= max_attempts;
            job.mark_changed();
            if exhausted && job.end.is_none() {
                job.end = Some(JobEnd::Failed);
                self.status_version += 1;
                log::info!(
                    target: "limpethook",
                    job:% = format_args!("{id:016x}"), step = unit_id.step, max_attempts = max_attempts;
                    "job_failed"
                );
                self.stop_job(id);
            }
        }
        self.blame_worker(agent, id, unit_id, now);
        if self.run_number(id, unit_id) == Some(end.run.run) {
            self.requeue_unit(id, unit_id, now);
        }
    }

    /// Attributes the failure of a run to its worker as well, unless the job is likely to be at fault. Several members of a
    /// gang may fail in one run, each on a faulty worker.
    fn blame_worker(&mut self, agent: &AgentId, id: JobId, unit_id: UnitId, now: Duration) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.record_failed_on(unit_id, agent);
        if !job.is_likely_faulty()
            && let Some(worker) = self.workers.get_mut(agent)
        {
            worker.record_failure(id, now);
        }
    }

    fn run_number(&self, id: JobId, unit: UnitId) -> Option<RunNumber> {
        Some(self.jobs.get(&id)?.units.get(&unit)?.run_number)
    }

    /// Returns a unit to waiting after one of its runs ended without completing it, or a long-running task ended. If
    /// the unit has other runs, they are stopped first, and the unit returns to waiting with the last of their ends.
    fn requeue_unit(&mut self, id: JobId, unit_id: UnitId, now: Duration) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let unit = job.units.get_mut(&unit_id);
        let Some(unit) = unit.filter(|unit| unit.phase() == Phase::Active) else {
            return;
        };
        if unit.active_runs > 0 {
            self.stop_unit(id, unit_id);
            return;
        }
        if !unit.promote_copy() {
            job.requeue(unit_id, now);
        }
    }
}
