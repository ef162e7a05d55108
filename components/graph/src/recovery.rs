//! Recovery of a new owner: it adopts the runs that earlier owners started, and places jobs of earlier owners only once
//! no other worker can still be running them.

use std::time::Duration;

use model::{AgentId, JobId, ResourceVector, RunNumber, RunReport, RunStatus, TaskId, TaskRun};

use crate::copies::allows_copies;
use crate::fit::resources_per_task;
use crate::job::{Job, Phase};
use crate::placement::AnyPlacement;
use crate::scheduler::{Scheduler, lapse_after};
use crate::worker::{OrphanRun, Worker};

/// A wait for an agent that is longer than this is logged; most agents report to a new owner within this time.
const LOGGED_WAIT: Duration = Duration::from_secs(1);

/// What recovery waits for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RecoveryState {
    /// Number of jobs that are not placed before recovery has ended for them.
    pub jobs: usize,
    /// Number of agents whose runs are not known yet.
    pub agents: usize,
}

impl Scheduler {
    /// Returns what recovery waits for.
    pub fn recovery_state(&self) -> RecoveryState {
        if self.recovery_deadline.is_none() {
            return RecoveryState::default();
        }
        let jobs = self.jobs.values();
        RecoveryState {
            jobs: jobs.filter(|job| job.awaiting_recovery).count(),
            agents: self.pending_agents.len(),
        }
    }

    /// Takes the time that recovery took, once after it has ended.
    pub fn take_recovery_time(&mut self) -> Option<Duration> {
        self.recovery_time.take()
    }

    /// Logs the agents that recovery waits for, each once, when it has waited for a while.
    fn log_pending_agents(&mut self, deadline: Duration, now: Duration) {
        if now < self.recovery_started_at + LOGGED_WAIT
            || self.logged_waits.len() == self.pending_agents.len()
        {
            return;
        }
        for agent in &self.pending_agents {
            if self.logged_waits.contains(agent) {
                continue;
            }
            let until = deadline.max(self.lease_lapses_at(agent));
            log::warn!(
                target: "limpethook",
                agent:% = agent, jobs = self.jobs_awaiting(agent), until_ms = until.as_millis(),
                left_ms = until.saturating_sub(now).as_millis();
                "recovery_waits"
            );
        }
        self.logged_waits.clone_from(&self.pending_agents);
    }

    /// Logs the end of the wait for an agent if its begin was logged.
    fn log_wait_end(&mut self, agent: &AgentId, reason: &str, now: Duration) {
        if self.logged_waits.swap_remove(agent) {
            let waited = now.saturating_sub(self.recovery_started_at);
            log::info!(
                target: "limpethook",
                agent:% = agent, reason = reason, waited_ms = waited.as_millis();
                "recovery_wait_ended"
            );
        }
    }

    /// Returns the number of jobs that wait for an agent.
    fn jobs_awaiting(&self, agent: &AgentId) -> usize {
        let are_reliable = self.records.are_reliable();
        let jobs = self.jobs.values().filter(|job| job.awaiting_recovery);
        jobs.filter(|job| !are_reliable || job.record.contains(agent))
            .count()
    }

    /// Ends the recovery of the jobs that cannot have runs on a pending agent, as far as the records of placements are reliable.
    pub(crate) fn end_job_recoveries(&mut self) {
        if !self.records.are_reliable() {
            return;
        }
        let pending = &self.pending_agents;
        let is_recovered = |job: &&Job| job.awaiting_recovery && !job.record.names_any(pending);
        let recovered = self.jobs.values().filter(is_recovered);
        let recovered: Vec<JobId> = recovered.map(|job| job.id).collect();
        self.end_recovery_of(&recovered);
    }

    /// Allows jobs to be placed. Their gangs that were adopted only in part are stopped, because the members would wait for
    /// those that are missing.
    fn end_recovery_of(&mut self, jobs: &[JobId]) {
        let mut partial = Vec::new();
        for id in jobs {
            let Some(job) = self.jobs.get_mut(id) else {
                continue;
            };
            self.plan_needed = true;
            job.awaiting_recovery = false;
            for (unit_id, unit) in &job.units {
                if unit.phase() == Phase::Active && unit.active_runs < unit.tasks {
                    partial.push((*id, *unit_id));
                }
            }
        }
        for (job, unit) in partial {
            self.stop_unit(job, unit);
        }
    }

    /// Handles a reported run that this owner has not placed on the worker: it is adopted if its unit still needs it,
    /// and stopped as an orphan otherwise.
    pub(crate) fn handle_unknown_run(
        &mut self,
        agent: &AgentId,
        report: &RunReport,
        now: Duration,
    ) {
        let run = report.run;
        if matches!(
            report.status,
            RunStatus::Refused(_) | RunStatus::StoppedBeforeStart
        ) {
            return;
        }
        if !self.adopt_run(agent, run.task, run.run, now) {
            let resources = self.task_resources(run.task);
            if let Some(worker) = self.workers.get_mut(agent) {
                let orphan = OrphanRun {
                    sent_at: None,
                    resources,
                };
                worker.orphan_runs.entry(run).or_insert(orphan);
            }
            self.record_agent(run.task.job, agent, true, now);
            return;
        }
        // The worker has not answered a start in flight, so that its absence from a list does not prove its end.
        let RunStatus::Running {
            percent,
            checkpoint,
            survived,
        } = &report.status
        else {
            return;
        };
        let worker = self.workers.get_mut(agent);
        let Some(placement) = worker.and_then(|worker| worker.placements.get_mut(&run.task)) else {
            return;
        };
        let unit = placement.unit_key();
        *placement = placement.clone().with_progress(now, *percent, false);
        let has_survived = placement.record_survived(*survived);
        self.record_progress(agent, unit, run.task, *percent, checkpoint, now);
        if has_survived {
            self.clear_suspect(unit);
        }
    }

    fn task_resources(&self, task: TaskId) -> Option<ResourceVector> {
        let unit = self.unit_of(task)?;
        Some(resources_per_task(self.jobs.get(&task.job)?.step(unit)))
    }

    /// Adopts the run of a task on a worker if its unit still needs it, and returns whether it was adopted.
    ///
    /// This requires that the job is known and has not ended, and that the worker has no other run of the task.
    fn adopt_run(
        &mut self,
        agent: &AgentId,
        task: TaskId,
        run_number: RunNumber,
        now: Duration,
    ) -> bool {
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
        let awaiting_recovery = job.awaiting_recovery;
        let resources = resources_per_task(job.step(unit_id));
        let Some(unit) = job.units.get(&unit_id) else {
            return false;
        };
        let is_other_run = awaiting_recovery
            && allows_copies(job.step(unit_id))
            && unit.phase() == Phase::Active
            && unit.run_number != run_number
            && unit.copy.is_none();
        let is_needed = match unit.phase() {
            // During recovery, the run is adopted unless a newer run of the unit is known.
            Phase::Waiting => awaiting_recovery && unit.run_number <= run_number,
            // Another member of the same run of a gang was adopted before.
            Phase::Active if unit.run_number == run_number => unit.active_runs < unit.tasks,
            // The earlier owner had started a copy.
            Phase::Active => is_other_run,
            Phase::Done => false,
        };
        if !is_needed {
            return false;
        }
        let Some(unit) = job.activate(unit_id) else {
            return false;
        };
        if is_other_run {
            unit.adopt_copy(run_number, now);
        } else {
            if unit.active_runs == 0 {
                unit.start_checkpoint = unit.checkpoint.clone();
            }
            unit.run_number = run_number;
            unit.active_runs += 1;
            unit.placed_at = now;
        }
        let run = TaskRun::new(task, run_number);
        let placement = AnyPlacement::new(task.job, unit_id, run, resources, now);
        let placement = placement.with_trial(unit.is_suspect());
        worker
            .placements
            .insert(task, placement.with_start_sent(now));
        self.record_agent(task.job, agent, true, now);
        if is_other_run {
            self.record_adopted_copy((task.job, unit_id), agent);
        }
        log::info!(
            target: "limpethook",
            task:% = task, run = run.run, agent:% = agent, is_other_run = is_other_run;
            "run_adopted"
        );
        true
    }

    /// Records that this owner knows all runs on the worker of an agent, or that there are none.
    pub(crate) fn mark_runs_known(&mut self, agent: &AgentId, now: Duration) {
        if self.pending_agents.shift_remove(agent) {
            self.log_wait_end(agent, "heard", now);
            self.end_job_recoveries();
            self.try_end_recovery(now);
        }
    }

    /// Returns whether a lease that this owner renewed may not have lapsed yet.
    fn may_hold_lease(&self, agent: &AgentId, now: Duration) -> bool {
        let worker = self.workers.get(agent);
        worker.is_some_and(|worker| !worker.has_lapsed(self.settings.max_lease, now))
    }

    /// Returns when a lease has lapsed that this owner renewed; zero if it renewed none.
    fn lease_lapses_at(&self, agent: &AgentId) -> Duration {
        let lapses_at =
            |worker: &Worker| worker.last_renewed_at + lapse_after(self.settings.max_lease);
        self.workers.get(agent).map_or(Duration::ZERO, lapses_at)
    }

    /// Returns whether this owner renews the lease of a worker. It does not for an absent one, whose remaining runs end with
    /// the lease, and stops to do so for those whose runs are still not known when the leases that earlier owners renewed have
    /// lapsed, so that recovery ends when those leases have lapsed too.
    pub(crate) fn renews_lease(&self, agent: &AgentId, now: Duration) -> bool {
        let is_lost = self.workers.get(agent).is_some_and(|worker| worker.lost);
        let is_overdue = self.recovery_deadline.is_some_and(|at| now >= at);
        !is_lost && (!is_overdue || !self.pending_agents.contains(agent))
    }

    /// Ends the waits for the agents whose leases have lapsed.
    fn end_lapsed_waits(&mut self, now: Duration) {
        let pending = self.pending_agents.iter();
        let lapsed = pending.filter(|agent| !self.may_hold_lease(agent, now));
        let lapsed: Vec<AgentId> = lapsed.cloned().collect();
        for agent in &lapsed {
            self.pending_agents.shift_remove(agent);
            self.log_wait_end(agent, "lapsed", now);
        }
        if !lapsed.is_empty() {
            self.lapsed_agents += lapsed.len();
            self.end_job_recoveries();
        }
    }

    /// Ends recovery if the runs of all agents in the roster are known, or the leases of the other workers have lapsed;
    /// otherwise does nothing.
    ///
    /// The deadline tells when the leases have lapsed that earlier owners renewed. This owner renews leases too: those of
    /// workers that it has heard of, but whose runs it does not know.
    ///
    /// Afterwards, the jobs of earlier owners may be placed. Gangs that were adopted only in part are stopped, because
    /// their members would wait for those that are missing.
    pub fn try_end_recovery(&mut self, now: Duration) {
        let Some(deadline) = self.recovery_deadline else {
            return;
        };
        if now >= deadline {
            self.end_lapsed_waits(now);
        }
        if !self.pending_agents.is_empty() {
            self.log_pending_agents(deadline, now);
            return;
        }
        let took = now.saturating_sub(self.recovery_started_at);
        self.recovery_time = Some(took);
        log::info!(
            target: "limpethook",
            epoch = self.epoch, jobs = self.jobs.len(), unheard = self.lapsed_agents,
            took_ms = took.as_millis();
            "adoption_ended"
        );
        self.recovery_deadline = None;
        self.plan_needed = true;
        let jobs: Vec<JobId> = self.jobs.keys().copied().collect();
        self.end_recovery_of(&jobs);
    }
}
