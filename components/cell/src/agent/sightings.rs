//! Records when the worker was known to run each of its runs, so that a crash can be attributed to one of them.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use model::{CrashedRun, TaskRun};

use crate::agent::worker_client::ListedRun;

/// What is known of the runs of one incarnation of the worker.
#[derive(Debug, Default)]
pub(crate) struct Sightings {
    /// When each run was first known to exist: at the answer to its start, or when it was first listed.
    first_seen: IndexMap<TaskRun, Duration>,
    /// When the worker last answered a call.
    last_answer_at: Duration,
}

impl Sightings {
    /// Records that the worker answered a call.
    pub(crate) fn record_answer(&mut self, now: Duration) {
        self.last_answer_at = self.last_answer_at.max(now);
    }

    /// Records that the worker confirmed a start.
    pub(crate) fn record_start(&mut self, run: TaskRun, now: Duration) {
        self.first_seen.entry(run).or_insert(now);
    }

    /// Records the runs that the worker listed in the reply to a poll. Runs that were known before the poll was sent and
    /// are not listed have ended.
    pub(crate) fn record_listed(
        &mut self,
        listed: &[ListedRun],
        requested_at: Duration,
        now: Duration,
    ) {
        let runs: IndexSet<TaskRun> = listed.iter().map(|listed| listed.run).collect();
        self.first_seen
            .retain(|run, seen_at| runs.contains(run) || *seen_at >= requested_at);
        for listed in listed {
            self.record_start(listed.run, now);
        }
    }

    /// Records the runs of an incomplete list, which does not show what has ended.
    pub(crate) fn record_incomplete(&mut self, listed: &[ListedRun], now: Duration) {
        for listed in listed {
            self.record_start(listed.run, now);
        }
    }

    /// Returns how long a run is known to have lived, or `None` if it is not known to have started.
    pub(crate) fn survived(&self, run: TaskRun) -> Option<Duration> {
        let seen_at = self.first_seen.get(&run)?;
        Some(self.last_answer_at.saturating_sub(*seen_at))
    }

    /// Returns the runs that a crash of the worker ended: those known to have started, and the `unanswered` ones, whose
    /// start may have been carried out.
    pub(crate) fn crashed_runs(&self, unanswered: &[TaskRun]) -> Vec<CrashedRun> {
        let started = self.first_seen.keys().copied();
        let unanswered = unanswered.iter().copied();
        let unanswered = unanswered.filter(|run| !self.first_seen.contains_key(run));
        let crashed = started.chain(unanswered).map(|run| CrashedRun {
            run,
            survived: self.survived(run),
        });
        crashed.collect()
    }
}
