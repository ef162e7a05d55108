//! Stops runs that stand still.

use std::time::Duration;

use model::JobId;

use crate::job::{Job, UnitId};
use crate::placement::{Placement, Run, Running};
use crate::scheduler::Scheduler;

/// The shortest standstill that counts as hanging: reports come each second, and a restore takes a part of one.
const MIN_HANG_TIMEOUT: Duration = Duration::from_secs(4);
/// A run hangs after it stood still for the time of this many percent of its progress.
const HANG_PERCENTS: f64 = 4.0;
/// An agent that was silent for longer says nothing about the progress of its runs.
const MAX_REPORT_AGE: Duration = Duration::from_secs(1);

impl Scheduler {
    /// Stops runs whose progress stands still, and gives their workers no new tasks for a while.
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
                let still = now.saturating_sub(run.state.progressed_at);
                if !job.step(run.unit).lasting && still > self.hang_timeout(job, run) {
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

    /// Returns how long a run may stand still.
    ///
    /// What the client expects may be far too short, so the pace of the run itself counts too, and each run of the unit that
    /// was stopped for standing still doubles the time.
    fn hang_timeout(&self, job: &Job, run: &Run<Running>) -> Duration {
        let expected = job
            .expected_step_time(run.unit)
            .mul_f64(self.limits.slowdown.max(1.0))
            / 100;
        let pace = run.state.progressed_at.saturating_sub(run.state.started_at);
        let pace = pace.checked_div(run.state.percent).unwrap_or_default();
        let hangs = job.units.get(&run.unit).map_or(0, |unit| unit.hang_count);
        let patience = expected
            .max(pace)
            .mul_f64(HANG_PERCENTS)
            .max(MIN_HANG_TIMEOUT);
        patience.saturating_mul(2_u32.saturating_pow(hangs))
    }

    fn record_hang(&mut self, id: JobId, unit_id: UnitId) {
        let job = self.jobs.get_mut(&id);
        if let Some(unit) = job.and_then(|job| job.units.get_mut(&unit_id)) {
            unit.hang_count = unit.hang_count.saturating_add(1);
        }
    }
}
