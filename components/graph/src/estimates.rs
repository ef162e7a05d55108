//! Run time estimates of tasks, learned from completed runs.

use std::time::Duration;

use indexmap::IndexMap;
use model::{MAX_DURATION, QueueId};

use crate::job::Phase;
use crate::placement::{Placement, Running};
use crate::scheduler::Scheduler;

/// Weight of the declared run time, as a number of completed runs, so that the first runs of a queue do not dominate
/// the estimate.
const DECLARED_WEIGHT: f64 = 2.0;
/// Prior slope of the regression of actual on declared run times, both in logarithms. It is low because estimates by
/// clients are inaccurate.
const PRIOR_SLOPE: f64 = 0.25;
/// Weight of the prior slope: it counts as this many runs whose declared times deviate from the mean by a factor of e.
const PRIOR_SLOPE_WEIGHT: f64 = 4.0;
/// Lower bound of run times, which keeps their logarithms bounded.
const MIN_RUN_TIME: Duration = Duration::from_millis(10);

/// Sums over the completed runs of a queue, of run times as logarithms of seconds.
#[derive(Debug, Default)]
struct RunStatistics {
    count: f64,
    declared_sum: f64,
    actual_sum: f64,
    declared_squared_sum: f64,
    product_sum: f64,
}

/// Estimates run times from the declared and actual run times of each queue.
///
/// Tasks of one queue take similar times, while declared times are off by up to a factor of ten. The estimate is
/// therefore the mean of the queue, adjusted to the declared time as far as the two have correlated.
#[derive(Debug, Default)]
pub(crate) struct Estimates(IndexMap<QueueId, RunStatistics>);

impl Estimates {
    /// Adds a completed run.
    pub(crate) fn observe(&mut self, queue: &QueueId, declared: Duration, actual: Duration) {
        let (declared, actual) = (log_seconds(declared), log_seconds(actual));
        let runs = self.0.entry(queue.clone()).or_default();
        runs.count += 1.0;
        runs.declared_sum += declared;
        runs.actual_sum += actual;
        runs.declared_squared_sum += declared * declared;
        runs.product_sum += declared * actual;
    }

    /// Returns the number of completed runs of a queue.
    pub(crate) fn completed_runs(&self, queue: &QueueId) -> f64 {
        self.0.get(queue).map_or(0.0, |runs| runs.count)
    }

    /// Returns the expected run time of a task of a queue; the declared time if no run has completed.
    pub(crate) fn expected(&self, queue: &QueueId, declared: Duration) -> Duration {
        let Some(runs) = self.0.get(queue) else {
            return declared;
        };
        let declared = log_seconds(declared);
        let (mean_declared, mean_actual) =
            (runs.declared_sum / runs.count, runs.actual_sum / runs.count);
        let declared_deviations =
            (runs.declared_squared_sum - runs.count * mean_declared * mean_declared).max(0.0);
        let co_deviations = runs.product_sum - runs.count * mean_declared * mean_actual;
        let slope = (co_deviations + PRIOR_SLOPE * PRIOR_SLOPE_WEIGHT)
            / (declared_deviations + PRIOR_SLOPE_WEIGHT);
        let learned = mean_actual + slope.clamp(0.0, 1.0) * (declared - mean_declared);
        let weight = runs.count / (runs.count + DECLARED_WEIGHT);
        let seconds = (weight * learned + (1.0 - weight) * declared).exp();
        Duration::from_secs_f64(seconds.min(MAX_DURATION.as_secs_f64()))
    }
}

fn log_seconds(time: Duration) -> f64 {
    time.max(MIN_RUN_TIME).as_secs_f64().ln()
}

impl Scheduler {
    /// Adds the run time of a completed run, if this owner placed it and it did not resume from a checkpoint.
    pub(crate) fn record_run_time(&mut self, placement: &Placement<Running>, now: Duration) {
        let Some(job) = self.jobs.get(&placement.job) else {
            return;
        };
        let Some(unit) = job.units.get(&placement.unit) else {
            return;
        };
        let step = job.step(placement.unit);
        let run_number = placement.task_run.run;
        let is_full_run = unit.start_checkpoint.is_empty() && self.is_own_run(run_number);
        // The first completed member completes its gang, and the run times of the others are not counted.
        let is_first = unit.phase() == Phase::Active && unit.run_number == run_number;
        if step.long_running || !is_full_run || !is_first {
            return;
        }
        let queue = job.spec.queue.clone();
        let run_time = now.saturating_sub(placement.state.started_at);
        self.estimates.observe(&queue, step.expected, run_time);
        self.relearned_queues.insert(queue);
    }

    /// Updates the expected run times of the jobs in queues with new estimates.
    pub(crate) fn update_expected_times(&mut self) {
        let queues = std::mem::take(&mut self.relearned_queues);
        let jobs = self.jobs.values_mut();
        for job in jobs.filter(|job| job.end.is_none() && queues.contains(&job.spec.queue)) {
            job.update_expected_times(&self.estimates);
        }
    }
}
