//! Detects and stops runs without progress, and starts without an answer.

use std::time::Duration;

use model::JobId;

use crate::job::{Job, UnitId};
use crate::placement::{AnyPlacement, Placement, Running};
use crate::scheduler::{Scheduler, lapse_after};

/// Minimum time without progress after which a run counts as hanging. It allows for the interval between reports, which
/// is one second, and for restoring a checkpoint, which takes a fraction of a second.
const MIN_HANG_TIMEOUT: Duration = Duration::from_secs(4);
/// A run counts as hanging if its progress does not change for the time that this many percentage points are expected
/// to take.
const HANG_PERCENTAGE_POINTS: f64 = 4.0;
/// Maximum age of the latest report of a worker for its runs to count as hanging. Without new reports, the runs may
/// still make progress.
const MAX_REPORT_AGE: Duration = Duration::from_secs(1);

impl Scheduler {
    /// Stops runs without progress and quarantines their workers.
    pub(crate) fn stop_hanging_runs(&mut self, now: Duration) {
        let mut hanging = Vec::new();
        for worker in self.workers.values() {
            if now.saturating_sub(worker.last_report_at) > MAX_REPORT_AGE {
                continue;
            }
            for placement in worker.placements.values() {
                let AnyPlacement::Running(placement) = placement else {
                    continue;
                };
                let Some(job) = self.jobs.get(&placement.job) else {
                    continue;
                };
                let (id, unit_id, state) = (placement.job, placement.unit, &placement.state);
                let stalled = now.saturating_sub(state.progressed_at);
                if !job.step(unit_id).long_running && stalled > self.hang_timeout(job, placement) {
                    hanging.push((worker.agent.clone(), id, unit_id, state.percent));
                }
            }
        }
        for (agent, id, unit_id, percent) in hanging {
            log::warn!(
                target: "limpethook",
                job:% = format_args!("{id:016x}"), step = unit_id.step, first = unit_id.first, agent:% = agent, percent = percent;
                "run_hangs"
            );
            if let Some(worker) = self.workers.get_mut(&agent) {
                worker.quarantine(now);
            }
            self.record_hang(id, unit_id);
            self.stop_unit(id, unit_id);
        }
    }

    /// Stops the units of starts that a worker which reports has not answered for as long as a lease. A worker that is silent
    /// for that long is lost. The unit is placed again once the worker has said that the run can't begin.
    pub(crate) fn stop_unanswered_starts(&mut self, now: Duration) {
        let limit = lapse_after(self.settings.max_lease);
        let mut unanswered = Vec::new();
        for worker in self.workers.values() {
            for placement in worker.placements.values() {
                // One that waits for its record was not ordered.
                let is_ordered = matches!(
                    placement,
                    AnyPlacement::Starting(starting) if starting.state.sent_at.is_some()
                );
                if is_ordered && now > placement.placed_at() + limit {
                    unanswered.push((worker.agent.clone(), placement.unit_key()));
                }
            }
        }
        for (agent, (id, unit)) in unanswered {
            log::warn!(
                target: "limpethook",
                job:% = format_args!("{id:016x}"), step = unit.step, first = unit.first, agent:% = agent;
                "start_given_up"
            );
            self.stop_unit(id, unit);
        }
    }

    /// Returns how long a run may go without progress.
    ///
    /// The expected run time may be far too short. Therefore the time per percentage point is the expected one on a
    /// slow rack or the actual one so far, whichever is longer, and each run of the unit that was stopped as hanging
    /// doubles the timeout.
    fn hang_timeout(&self, job: &Job, placement: &Placement<Running>) -> Duration {
        let expected_per_percent = job
            .expected_task_time(placement.unit)
            .mul_f64(self.settings.slowdown.max(1.0))
            / 100;
        let state = &placement.state;
        let progress_time = state.progressed_at.saturating_sub(state.started_at);
        let actual_per_percent = progress_time.checked_div(state.percent).unwrap_or_default();
        let unit = job.units.get(&placement.unit);
        let hang_count = unit.map_or(0, |unit| unit.hang_count);
        let timeout = expected_per_percent
            .max(actual_per_percent)
            .mul_f64(HANG_PERCENTAGE_POINTS)
            .max(MIN_HANG_TIMEOUT);
        timeout.saturating_mul(2_u32.saturating_pow(hang_count))
    }

    fn record_hang(&mut self, id: JobId, unit_id: UnitId) {
        let job = self.jobs.get_mut(&id);
        if let Some(unit) = job.and_then(|job| job.units.get_mut(&unit_id)) {
            unit.hang_count = unit.hang_count.saturating_add(1);
        }
    }
}
