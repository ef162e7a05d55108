//! Run times of tasks, learned from runs that were done.

use std::time::Duration;

use indexmap::IndexMap;
use model::{MAX_TIME, QueueId};

use crate::job::Phase;
use crate::placement::{Run, Running};
use crate::scheduler::Scheduler;

/// The declared run time counts as much as this many runs, so that the first runs of a queue do not decide alone.
const DECLARED_WEIGHT: f64 = 2.0;
/// The slope of actual over declared run times, both as logarithms, while there are few runs: clients' estimates say little.
const PRIOR_SLOPE: f64 = 0.25;
/// The prior slope counts as much as this many runs with a spread of one in the logarithm.
const PRIOR_SLOPE_WEIGHT: f64 = 4.0;
/// Run times below this count as this long.
const MIN_RUN_TIME: Duration = Duration::from_millis(10);

/// Sums over the runs of a queue, of logarithms of seconds.
#[derive(Debug, Default)]
struct RunStatistics {
    count: f64,
    declared_sum: f64,
    actual_sum: f64,
    declared_squared_sum: f64,
    product_sum: f64,
}

/// Declared and actual run times by queue.
///
/// Tasks of one queue take similar times, while declared ones are off by up to a factor of ten; so the expectation is the
/// mean of the queue, and follows the declared time as far as it has proved to say something.
#[derive(Debug, Default)]
pub(crate) struct Estimates(IndexMap<QueueId, RunStatistics>);

impl Estimates {
    /// Notes a run that was done.
    pub(crate) fn observe(&mut self, queue: &QueueId, declared: Duration, actual: Duration) {
        let (declared, actual) = (log_seconds(declared), log_seconds(actual));
        let runs = self.0.entry(queue.clone()).or_default();
        runs.count += 1.0;
        runs.declared_sum += declared;
        runs.actual_sum += actual;
        runs.declared_squared_sum += declared * declared;
        runs.product_sum += declared * actual;
    }

    /// Returns the time that a task of a queue is expected to take.
    pub(crate) fn expected(&self, queue: &QueueId, declared: Duration) -> Duration {
        let Some(runs) = self.0.get(queue) else {
            return declared;
        };
        let declared = log_seconds(declared);
        let (mean_declared, mean_actual) =
            (runs.declared_sum / runs.count, runs.actual_sum / runs.count);
        let spread =
            (runs.declared_squared_sum - runs.count * mean_declared * mean_declared).max(0.0);
        let common = runs.product_sum - runs.count * mean_declared * mean_actual;
        let slope = (common + PRIOR_SLOPE * PRIOR_SLOPE_WEIGHT) / (spread + PRIOR_SLOPE_WEIGHT);
        let learned = mean_actual + slope.clamp(0.0, 1.0) * (declared - mean_declared);
        let weight = runs.count / (runs.count + DECLARED_WEIGHT);
        let seconds = (weight * learned + (1.0 - weight) * declared).exp();
        Duration::from_secs_f64(seconds.min(MAX_TIME.as_secs_f64()))
    }
}

fn log_seconds(time: Duration) -> f64 {
    time.max(MIN_RUN_TIME).as_secs_f64().ln()
}

impl Scheduler {
    /// Learns from a run that is done, if this owner saw all of it and it did all of the work.
    pub(crate) fn record_run_time(&mut self, run: &Run<Running>, now: Duration) {
        let Some(job) = self.jobs.get(&run.job) else {
            return;
        };
        let Some(unit) = job.units.get(&run.unit) else {
            return;
        };
        let step = job.step(run.unit);
        let whole = unit.start_checkpoint.is_empty() && self.is_own_run(run.id.run);
        // The members of a gang end together, and one of them stands for all.
        let first = unit.phase == Phase::Active && unit.run == run.id.run;
        if step.lasting || !whole || !first {
            return;
        }
        let queue = job.spec.queue.clone();
        let took = now.saturating_sub(run.state.started_at);
        self.estimates.observe(&queue, step.expected, took);
        let jobs = self.jobs.values_mut();
        for job in jobs.filter(|job| job.end.is_none() && job.spec.queue == queue) {
            job.update_expected_times(&self.estimates);
        }
    }
}
