//! Processing of reports by agents about their workers.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use model::{
    AgentId, Refusal, ResourceVector, RunReport, RunStatus, TaskId, TaskRun, WorkerReport,
};

use crate::job::{Phase, UnitKey};
use crate::placement::AnyPlacement;
use crate::removals::{RemovalReason, log_kept_runs};
use crate::scheduler::{Scheduler, lapse_after};
use crate::worker::Worker;

/// Delay before a unit is placed again after a refused start.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(300);

impl Scheduler {
    /// Applies a report, unless a later one of the agent has overtaken it.
    pub fn report(&mut self, report: &WorkerReport, now: Duration) {
        let worker = self
            .workers
            .entry(report.agent.clone())
            .or_insert_with(|| Worker::new(report.agent.clone(), now));
        if is_overtaken(worker, report, self.settings.max_lease, now) {
            return;
        }
        worker.last_report_sent_at = report.sent_at;
        worker.last_report_at = now;
        if worker.lost && !report.absent && worker.is_silent(self.settings.max_lease, now) {
            // Otherwise the lapsed lease would make it lost again before the reply that begins the next one.
            worker.returned_at = Some(now);
            log::info!(target: "limpethook", agent:% = report.agent; "worker_returned");
        }
        self.apply_crashes(report, now);
        if report.incarnation.is_none() && report.absent {
            self.apply_absence_without_contact(report, now);
            return;
        }
        if report.incarnation.is_none() {
            return;
        }
        let known = self
            .workers
            .get(&report.agent)
            .map(|worker| worker.incarnation);
        if known != Some(report.incarnation) {
            self.replace_incarnation(report, now);
        }
        let Some(worker) = self.workers.get_mut(&report.agent) else {
            return;
        };
        let capacity_changed = worker.capacity != report.capacity;
        self.plan_needed |= update_description(worker, report, now);
        if capacity_changed {
            self.withdraw_starts_beyond_capacity(&report.agent);
        }
        if report.absent {
            self.apply_absence(report, now);
            return;
        }
        if report.confirmed_epoch < self.epoch {
            self.apply_unconfirmed_report(report, now);
            return;
        }
        self.apply_ends(report, now);
        self.apply_runs(report, now);
        if let Some(worker) = self.workers.get_mut(&report.agent) {
            self.plan_needed |= !worker.confirmed || !worker.runs_known;
            worker.confirmed = true;
            worker.runs_known |= report.lists_complete;
        }
        if report.lists_complete {
            self.mark_runs_known(&report.agent, now);
        }
    }

    /// Applies the report of an agent that has had no contact with a worker since it started, for longer than any lease. Runs
    /// that an earlier process of the agent had reported stay until another process answers or the lease that this owner last
    /// renewed has lapsed, too.
    fn apply_absence_without_contact(&mut self, report: &WorkerReport, now: Duration) {
        self.mark_worker_lost(&report.agent, now, RemovalReason::WorkerAbsent, |_| {
            Remainder::Run
        });
        self.mark_runs_known(&report.agent, now);
    }

    /// Applies a report about a worker that is absent. What it had has ended, but a start in flight may reach the next process,
    /// also one that an earlier owner ordered. The ends that it had listed are as true as before.
    fn apply_absence(&mut self, report: &WorkerReport, now: Duration) {
        self.apply_ends(report, now);
        for run in &report.runs {
            if run.status == RunStatus::Starting {
                self.apply_run(report, run, now);
            }
        }
        self.mark_worker_lost(
            &report.agent,
            now,
            RemovalReason::WorkerAbsent,
            may_still_start(report),
        );
        self.mark_runs_known(&report.agent, now);
    }

    /// Stops the units whose pending starts do not fit on a worker any more. Their orders may be delayed, while an agent is
    /// cut off, until the smaller capacity binds. An unknown capacity withdraws nothing.
    fn withdraw_starts_beyond_capacity(&mut self, agent: &AgentId) {
        let Some(worker) = self.workers.get(agent) else {
            return;
        };
        if worker.capacity == ResourceVector::default() {
            return;
        }
        let capacity = worker.capacity;
        for (job, unit) in worker.units_beyond_capacity() {
            log::info!(
                target: "limpethook",
                job:% = format_args!("{job:016x}"), step = unit.step, first = unit.first, agent:% = agent, capacity:? = capacity;
                "start_withdrawn"
            );
            self.stop_runs_on((job, unit), agent);
        }
    }

    /// Applies a report about a worker that has not confirmed the epoch of this owner, if it lists all runs that the
    /// worker can have. Otherwise the jobs of earlier owners would wait for a worker that does not respond. The worker
    /// gets no new tasks until it confirms.
    ///
    /// The list is complete if the worker left nothing out of it, the agent obeys this owner, so that it passes on no more
    /// orders of earlier owners, and no order sent by an earlier process of the agent can still arrive.
    fn apply_unconfirmed_report(&mut self, report: &WorkerReport, now: Duration) {
        let is_complete =
            report.complete && report.lists_complete && report.owner_epoch >= self.epoch;
        if !is_complete || !self.pending_agents.contains(&report.agent) {
            return;
        }
        log::info!(
            target: "limpethook",
            agent:% = report.agent, runs = report.runs.len(), ends = report.ends.len();
            "runs_taken_unconfirmed"
        );
        self.apply_ends(report, now);
        for run in &report.runs {
            self.apply_run(report, run, now);
        }
        self.mark_runs_known(&report.agent, now);
    }

    fn replace_incarnation(&mut self, report: &WorkerReport, now: Duration) {
        let Some(worker) = self.workers.get(&report.agent) else {
            return;
        };
        if worker.incarnation.is_some() {
            log::info!(
                target: "limpethook",
                agent:% = report.agent, before = worker.incarnation.unwrap_or(0), incarnation = report.incarnation.unwrap_or(0),
                runs = report.runs.len(), ends = report.ends.len();
                "worker_replaced"
            );
            self.mark_worker_lost(
                &report.agent,
                now,
                RemovalReason::WorkerReplaced,
                has_moved(report),
            );
        }
        if let Some(worker) = self.workers.get_mut(&report.agent) {
            worker.start_incarnation(report.incarnation);
        }
    }

    /// Marks a worker as lost and removes its runs, so that their units can be placed again.
    ///
    /// `remainder` tells what becomes of a run that may outlive the worker's process. Its task is not placed again before the
    /// agent reports that the run has ended or can no longer start.
    fn mark_worker_lost(
        &mut self,
        agent: &AgentId,
        now: Duration,
        reason: RemovalReason,
        remainder: impl Fn(&AnyPlacement) -> Remainder,
    ) {
        let Some(worker) = self.workers.get_mut(agent) else {
            return;
        };
        self.plan_needed = true;
        worker.lost = true;
        worker.confirmed = false;
        let mut lost: IndexMap<TaskId, AnyPlacement> = IndexMap::new();
        for (task, placement) in std::mem::take(&mut worker.placements) {
            match remainder(&placement) {
                Remainder::Nothing => {
                    lost.insert(task, placement);
                }
                Remainder::Run => {
                    worker.placements.insert(task, placement);
                }
                Remainder::UnwantedStart => {
                    let stopping = placement.into_unsent_stopping();
                    worker.placements.insert(task, stopping);
                }
            }
        }
        let heard_at = worker.last_report_at;
        log_kept_runs(agent, &worker.placements, reason);
        self.record_lost_runs(agent, &lost, reason, heard_at, now);
        for placement in lost.into_values() {
            self.record_run_removal(&placement, now);
        }
    }

    /// Applies the reported runs of a worker and removes those that the report no longer lists.
    ///
    /// Only a complete list proves by the absence of a run that it has ended. The worker may have cut off the end of a run.
    fn apply_runs(&mut self, report: &WorkerReport, now: Duration) {
        for run in &report.runs {
            self.apply_run(report, run, now);
        }
        let Some(worker) = self.workers.get_mut(&report.agent) else {
            return;
        };
        let listed: IndexSet<TaskRun> = report.runs.iter().map(|run| run.run).collect();
        if !report.lists_complete {
            let placements = worker.placements.values_mut();
            let left_out = placements.filter(|placement| !listed.contains(&placement.task_run()));
            left_out.for_each(|placement| placement.record_left_out(now));
            return;
        }
        // A run that was reported before and is missing now has ended without an end report.
        let missing: Vec<TaskId> = worker
            .placements
            .iter()
            .filter(|(_, placement)| matches!(placement, AnyPlacement::Running(_)))
            .filter(|(_, placement)| !listed.contains(&placement.task_run()))
            .map(|(task, _)| *task)
            .collect();
        for task in missing {
            self.remove_run(&report.agent, task, RemovalReason::MissingInList, now);
        }
        if let Some(worker) = self.workers.get_mut(&report.agent) {
            let orphans = worker.orphan_runs.len();
            // The agent repeats the outcome of an order for a while after the run has ended.
            let may_exist = |report: &&RunReport| {
                let RunReport { status, .. } = report;
                matches!(status, RunStatus::Starting | RunStatus::Running { .. })
            };
            let existing = report.runs.iter().filter(may_exist);
            let existing: IndexSet<TaskRun> = existing.map(|run| run.run).collect();
            worker
                .orphan_runs
                .retain(|orphan, _| existing.contains(orphan));
            self.plan_needed |= worker.orphan_runs.len() < orphans;
        }
    }

    fn apply_run(&mut self, report: &WorkerReport, run: &RunReport, now: Duration) {
        let agent = &report.agent;
        let Some(worker) = self.workers.get_mut(agent) else {
            return;
        };
        let task = run.run.task;
        let known = worker.placements.get_mut(&task);
        let Some(placement) = known.filter(|placement| placement.task_run() == run.run) else {
            self.handle_unknown_run(agent, run, now);
            return;
        };
        match &run.status {
            RunStatus::Running {
                percent,
                checkpoint,
                survived,
            } => {
                let unit = placement.unit_key();
                let placed_at = placement.placed_at();
                *placement = placement.clone().with_progress(now, *percent, false);
                let has_survived = placement.record_survived(*survived);
                if *percent > 0 {
                    worker.record_sound_start(placed_at);
                }
                self.record_progress(agent, unit, task, *percent, checkpoint, now);
                if has_survived {
                    self.plan_needed = true;
                    self.clear_suspect(unit);
                }
            }
            RunStatus::Refused(refusal) => self.handle_refusal(agent, task, *refusal, now),
            RunStatus::StoppedBeforeStart if report.lists_complete => {
                self.remove_run(agent, task, RemovalReason::StoppedBeforeStart, now);
            }
            // The agent concludes that a run was stopped from a list without it, which proves nothing if it is incomplete.
            RunStatus::StoppedBeforeStart | RunStatus::Starting => {}
        }
    }

    /// Records the start of the job and a new checkpoint of the unit from the report of a run.
    pub(crate) fn record_progress(
        &mut self,
        agent: &AgentId,
        unit: UnitKey,
        task: TaskId,
        percent: u32,
        checkpoint: &str,
        now: Duration,
    ) {
        let Some(job) = self.jobs.get_mut(&unit.0) else {
            return;
        };
        if !job.started {
            job.started = true;
            self.status_version += 1;
            self.start_delays.push(now.saturating_sub(job.accepted_at));
            log::info!(
                target: "limpethook",
                job:% = format_args!("{:016x}", unit.0), agent:% = agent, queue:% = job.spec.queue,
                waited_ms = now.saturating_sub(job.accepted_at).as_millis();
                "job_started"
            );
        }
        let Some(unit) = job.units.get_mut(&unit.1) else {
            return;
        };
        if checkpoint.is_empty() || *unit.checkpoint == *checkpoint {
            return;
        }
        if percent >= unit.checkpoint_percent {
            unit.checkpoint = checkpoint.into();
            unit.checkpoint_percent = percent;
            unit.clear_survived_crashes();
        }
        let worker = self.workers.get_mut(agent);
        if let Some(placement) = worker.and_then(|worker| worker.placements.get_mut(&task)) {
            *placement = placement.clone().with_progress(now, percent, true);
        }
    }

    fn handle_refusal(&mut self, agent: &AgentId, task: TaskId, refusal: Refusal, now: Duration) {
        let Some(worker) = self.workers.get_mut(agent) else {
            return;
        };
        let Some(placement) = worker.placements.get(&task) else {
            return;
        };
        let (job, unit) = placement.unit_key();
        log::warn!(
            target: "limpethook",
            task:% = task, run = placement.task_run().run, agent:% = agent, refusal:? = refusal;
            "start_refused"
        );
        if refusal == Refusal::Outdated {
            // The worker has had this run, or a later one, and lists its end.
            let stopping = placement.clone().into_stopping();
            worker.placements.insert(task, stopping);
            return;
        }
        if refusal == Refusal::Unhealthy {
            worker.quarantine(now);
        }
        self.remove_run(agent, task, RemovalReason::Refused, now);
        let unit = self
            .jobs
            .get_mut(&job)
            .and_then(|job| job.units.get_mut(&unit));
        if let Some(unit) = unit {
            unit.not_before = now + REFUSAL_BACKOFF;
        }
    }

    /// Removes a run that will get no end report: its start was refused, it was stopped before it started, or its
    /// worker no longer lists it.
    fn remove_run(&mut self, agent: &AgentId, task: TaskId, reason: RemovalReason, now: Duration) {
        let worker = self.workers.get_mut(agent);
        let removed = worker.and_then(|worker| worker.placements.shift_remove(&task));
        if let Some(placement) = removed {
            self.record_removed_run(agent, &placement, reason, now);
            self.record_run_removal(&placement, now);
        }
    }

    /// Updates the unit of a run that was removed without an end report. The other runs of the unit are stopped, and it
    /// returns to waiting once all of them have ended.
    pub(crate) fn record_run_removal(&mut self, placement: &AnyPlacement, now: Duration) {
        self.plan_needed = true;
        let (id, unit_id) = placement.unit_key();
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let Some(unit) = job.units.get_mut(&unit_id) else {
            return;
        };
        unit.make_current(placement.task_run().run);
        if unit.run_number != placement.task_run().run {
            return;
        }
        unit.active_runs = unit.active_runs.saturating_sub(1);
        if unit.phase() != Phase::Active {
            return;
        }
        if unit.active_runs == 0 {
            if !unit.promote_copy() {
                job.requeue(unit_id, now);
            }
        } else {
            self.stop_unit(id, unit_id);
        }
    }

    /// Marks the workers as lost whose leases have lapsed since the last replies to their agents, and removes what an absent
    /// worker may still have started.
    pub fn expire_leases(&mut self, now: Duration) {
        let max_lease = self.settings.max_lease;
        let workers = self.workers.values();
        let may_have_runs = |worker: &&Worker| !worker.lost || !worker.placements.is_empty();
        let lapsed = workers.filter(may_have_runs);
        let lapsed = lapsed.filter(|worker| worker.is_silent(max_lease, now));
        let lapsed: Vec<AgentId> = lapsed.map(|worker| worker.agent.clone()).collect();
        for agent in lapsed {
            // No start order can be pending, because workers refuse orders that arrive after the end of their lease.
            self.mark_worker_lost(&agent, now, RemovalReason::LeaseLapsed, |_| {
                Remainder::Nothing
            });
        }
    }
}

/// What remains of a run when the process of its worker has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Remainder {
    /// Nothing: it ended with the process.
    Nothing,
    /// The run: it began in the next process, before the agent learned of that.
    Run,
    /// A start order that may still reach the next process, which may be another kind of worker.
    UnwantedStart,
}

/// Returns what remains of the runs of a worker that is absent: starts in flight.
fn may_still_start(report: &WorkerReport) -> impl Fn(&AnyPlacement) -> Remainder {
    let listed = listed_runs(report);
    move |placement| {
        if !placement.was_reported() && listed.contains(&placement.task_run()) {
            Remainder::UnwantedStart
        } else {
            Remainder::Nothing
        }
    }
}

/// Returns what the next incarnation of a worker has of the runs of the previous one. It has what the agent lists under
/// it, also a run that was reported before: it may have begun before the agent learned of the next incarnation. It may have
/// any run if its list is incomplete, and any pending start if the agent has restarted, so that it does not know which of the
/// starts that its earlier process sent may still arrive.
fn has_moved(report: &WorkerReport) -> impl Fn(&AnyPlacement) -> Remainder {
    let listed = listed_runs(report);
    let (is_complete, knows_starts) = (report.lists_complete, report.complete);
    let starting = report.runs.iter();
    let starting = starting.filter(|listed| listed.status == RunStatus::Starting);
    let starting: IndexSet<TaskRun> = starting.map(|listed| listed.run).collect();
    move |placement| {
        let run = placement.task_run();
        let is_listed = listed.contains(&run);
        let is_pending = !placement.was_reported() && (starting.contains(&run) || !is_listed);
        if !is_listed && is_complete && (knows_starts || !is_pending) {
            Remainder::Nothing
        } else if is_pending || placement.is_stopping() {
            Remainder::UnwantedStart
        } else {
            Remainder::Run
        }
    }
}

/// Returns the runs that a report lists, or whose ends it lists.
fn listed_runs(report: &WorkerReport) -> IndexSet<TaskRun> {
    let runs = report.runs.iter().map(|listed| listed.run);
    runs.chain(report.ends.iter().map(|end| end.run)).collect()
}

/// Returns whether a later report of the same agent was applied before. An agent reports again while an earlier report is
/// in flight, which may be about an earlier incarnation of the worker.
fn is_overtaken(
    worker: &Worker,
    report: &WorkerReport,
    max_lease: Duration,
    now: Duration,
) -> bool {
    if report.sent_at >= worker.last_report_sent_at {
        return false;
    }
    // The boot clock of a machine that has taken the place of another one starts anew. A late report may be about another
    // incarnation as well, so that this needs the proof that nothing runs on the other machine any more: an agent renews a
    // lease to its longest time after it sent a report, and sent none since the latest one that arrived.
    let is_replaced = now > worker.last_report_at + lapse_after(max_lease);
    worker.incarnation == report.incarnation || !is_replaced
}

/// Updates the attributes of a worker from a report, and returns whether any changed that matters to placement.
fn update_description(worker: &mut Worker, report: &WorkerReport, now: Duration) -> bool {
    let changed = worker.capacity != report.capacity
        || worker.service != report.service
        || worker.labels != report.labels
        || worker.drain_deadline.is_some() != report.draining.is_some()
        || worker.lost != report.absent;
    if changed && !worker.service.is_empty() {
        log::info!(
            target: "limpethook",
            agent:% = report.agent, service:% = report.service, before:% = worker.service, capacity:? = report.capacity,
            draining = report.draining.is_some(), absent = report.absent;
            "worker_changed"
        );
    }
    worker.name = report.name.clone();
    worker.service = report.service.clone();
    worker.capacity = report.capacity;
    worker.labels.clone_from(&report.labels);
    worker.drain_deadline = report.draining.map(|remaining| now + remaining);
    worker.lost = report.absent;
    changed
}
