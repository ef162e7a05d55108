//! Runs that the owner takes for ended without a report of their end.

use std::fmt;
use std::time::Duration;

use indexmap::IndexMap;
use model::{AgentId, TaskId, TaskRun};

use crate::placement::AnyPlacement;
use crate::scheduler::Scheduler;

/// Maximum number of tasks in a line of the log. With the longest ids, a line keeps within the 4,096 bytes at which lines are
/// cut; the rest of the tasks would be missing from the log.
const MAX_TASKS_PER_LINE: usize = 40;

/// What the owner took as proof that a run has ended, other than the report of its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RemovalReason {
    /// The agent reported another process of the worker, which does not have the run.
    WorkerReplaced,
    /// The agent reported that nothing can be running on the worker.
    WorkerAbsent,
    /// The lease of the worker has lapsed.
    LeaseLapsed,
    /// A list of the worker lacks the run, which was reported before.
    MissingInList,
    /// The worker or its agent refused the start.
    Refused,
    /// The run was stopped before its start was carried out.
    StoppedBeforeStart,
}

impl fmt::Display for RemovalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::WorkerReplaced => "worker_replaced",
            Self::WorkerAbsent => "worker_absent",
            Self::LeaseLapsed => "lease_lapsed",
            Self::MissingInList => "missing_in_list",
            Self::Refused => "refused",
            Self::StoppedBeforeStart => "stopped_before_start",
        })
    }
}

impl Scheduler {
    /// Logs and counts the removal of a single run.
    pub(crate) fn record_removed_run(
        &mut self,
        agent: &AgentId,
        placement: &AnyPlacement,
        reason: RemovalReason,
        now: Duration,
    ) {
        let heard_at = self.workers.get(agent).map(|worker| worker.last_report_at);
        let TaskRun { task, run } = placement.task_run();
        log::info!(
            target: "limpethook",
            task:% = task, run = run, agent:% = agent, reason:% = reason, was_reported = placement.was_reported(),
            placed_ms = now.saturating_sub(placement.placed_at()).as_millis(),
            heard_ms = now.saturating_sub(heard_at.unwrap_or(now)).as_millis();
            "run_removed"
        );
        self.count_removed_runs(reason, 1);
    }

    /// Logs and counts the runs that were removed because their worker is lost; `heard_at` is when its agent last reported.
    pub(crate) fn record_lost_runs(
        &mut self,
        agent: &AgentId,
        lost: &IndexMap<TaskId, AnyPlacement>,
        reason: RemovalReason,
        heard_at: Duration,
        now: Duration,
    ) {
        for_each_line(lost, |runs| {
            log::warn!(
                target: "limpethook",
                agent:% = agent, runs = runs.len(), of = lost.len(), tasks:% = TaskList(runs), reason:% = reason,
                heard_ms = now.saturating_sub(heard_at).as_millis();
                "runs_lost"
            );
        });
        self.count_removed_runs(reason, lost.len());
    }

    fn count_removed_runs(&mut self, reason: RemovalReason, count: usize) {
        if count > 0 {
            *self.removed_runs.entry(reason).or_default() += count;
        }
    }

    /// Takes the numbers of runs that were removed since the last call.
    pub fn take_removed_runs(&mut self) -> IndexMap<RemovalReason, usize> {
        std::mem::take(&mut self.removed_runs)
    }
}

/// Logs the runs that outlive the process of their worker.
pub(crate) fn log_kept_runs(
    agent: &AgentId,
    kept: &IndexMap<TaskId, AnyPlacement>,
    reason: RemovalReason,
) {
    for_each_line(kept, |runs| {
        log::info!(
            target: "limpethook",
            agent:% = agent, runs = runs.len(), of = kept.len(), tasks:% = TaskList(runs), reason:% = reason;
            "runs_kept"
        );
    });
}

fn for_each_line(placements: &IndexMap<TaskId, AnyPlacement>, log_line: impl Fn(&[TaskRun])) {
    let runs: Vec<TaskRun> = placements.values().map(AnyPlacement::task_run).collect();
    runs.chunks(MAX_TASKS_PER_LINE).for_each(log_line);
}

/// Formats the tasks of runs for the log.
struct TaskList<'a>(&'a [TaskRun]);

impl fmt::Display for TaskList<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, TaskRun { task, run }) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(f, "{separator}{task}/{run}")?;
        }
        Ok(())
    }
}
