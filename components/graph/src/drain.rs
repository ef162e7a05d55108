//! Runs on draining workers: those that end in time go on, the others are stopped early enough to be continued elsewhere.

use std::time::Duration;

use indexmap::IndexSet;
use model::AgentId;

use crate::job::UnitKey;
use crate::placement::AnyPlacement;
use crate::scheduler::Scheduler;

/// Added to the longest stop time when runs are stopped before a drain deadline: the time to order and report the stop
/// and to start the task elsewhere.
const DRAIN_STOP_MARGIN: Duration = Duration::from_millis(500);
/// A run goes on if it is expected to end this long before the drain deadline.
const END_MARGIN: Duration = Duration::from_millis(200);
/// A run without checkpoints is stopped at once if it is expected to need at least this multiple of the remaining time.
/// Workers often stay longer than they announce, so a run that needs little more may still complete.
const HOPELESS_FACTOR: u32 = 2;

impl Scheduler {
    /// Stops the runs on draining workers that are not expected to end before the drain deadline: runs that support
    /// checkpoints early enough to take one, and those that would lose all their work as soon as that is known.
    pub(crate) fn stop_runs_before_drain(&mut self, now: Duration) {
        // The other run of a unit with a copy goes on.
        let mut stopped: IndexSet<(UnitKey, Option<AgentId>)> = IndexSet::new();
        for worker in self.workers.values() {
            let Some(deadline) = worker.drain_deadline else {
                continue;
            };
            let left = deadline.saturating_sub(now);
            let placements = worker.placements.values();
            for placement in placements.filter(|placement| !placement.is_stopping()) {
                if self.must_stop(placement, left, now) {
                    let key = placement.unit_key();
                    let only_on = self.has_copy(key).then(|| worker.agent.clone());
                    stopped.insert((key, only_on));
                }
            }
        }
        if !stopped.is_empty() {
            self.stop_where(|unit, agent| {
                stopped.contains(&(unit, None)) || stopped.contains(&(unit, Some(agent.clone())))
            });
        }
    }

    /// Returns whether a run on a worker that leaves after `left` must be stopped now.
    fn must_stop(&self, placement: &AnyPlacement, left: Duration, now: Duration) -> bool {
        let is_last_moment = left <= self.settings.max_stop_time + DRAIN_STOP_MARGIN;
        let (id, unit) = placement.unit_key();
        let Some(job) = self.jobs.get(&id) else {
            return is_last_moment;
        };
        let step = job.step(unit);
        if step.long_running {
            return is_last_moment;
        }
        let remaining = placement.remaining_time(job.expected_task_time(unit), now);
        if remaining + END_MARGIN <= left {
            return false;
        }
        let is_hopeless = !step.supports_checkpoints && remaining >= left * HOPELESS_FACTOR;
        is_last_moment || is_hopeless
    }
}
