//! Detects and stops runs without progress.

use std::time::Duration;

use model::JobId;

use crate::job::{Job, UnitId};
use crate::placement::{Placement, Run, Running};
use crate::scheduler::Scheduler;

/// Minimum time without progress after which a run counts as hanging: reports arrive every second, and restoring a
/// checkpoint takes a fraction of a second.
const MIN_HANG_TIMEOUT: Duration = Duration::from_secs(4);
/// A run counts as hanging if it makes no progress for the expected time of this many percent.
const HANG_PERCENTS: f64 = 4.0;
/// Maximum age of a report for judging progress: the runs of a silent agent may still progress.
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
                let Placement::Running(run) = placement else {
                    continue;
                };
                let Some(job) = self.jobs.get(&run.job) else {
                    continue;
                };
                let stalled = now.saturating_sub(run.state.progressed_at);
                if !job.step(run.unit).long_running && stalled > self.hang_timeout(job, run) {
                    hanging.push((worker.agent.clone(), run.job, run.unit, run.state.percent));
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

    /// Returns how long a run may go without progress.
    ///
    /// The expected run time may be far too short, so the pace of the run itself counts as well, and each run of the
    /// unit that was stopped as hanging doubles the timeout.
    fn hang_timeout(&self, job: &Job, run: &Run<Running>) -> Duration {
        let expected = job
            .expected_step_time(run.unit)
            .mul_f64(self.limits.slowdown.max(1.0))
            / 100;
        let pace = run.state.progressed_at.saturating_sub(run.state.started_at);
        let pace = pace.checked_div(run.state.percent).unwrap_or_default();
        let hangs = job.units.get(&run.unit).map_or(0, |unit| unit.hang_count);
        let timeout = expected
            .max(pace)
            .mul_f64(HANG_PERCENTS)
            .max(MIN_HANG_TIMEOUT);
        timeout.saturating_mul(2_u32.saturating_pow(hangs))
    }

    fn record_hang(&mut self, id: JobId, unit_id: UnitId) {
        let job = self.jobs.get_mut(&id);
        if let Some(unit) = job.and_then(|job| job.units.get_mut(&unit_id)) {
            unit.hang_count = unit.hang_count.saturating_add(1);
        }
    }
}
