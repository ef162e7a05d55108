//! What a decision costs callers: the value at stake of a job, and what it loses by waiting longer or by a stop.
//!
//! A job that ends within its objective has its full value, one that ends within three times its objective has part of it, and a
//! later one has none. Values have no unit but are comparable between jobs, so that one ordering decides which work waits,
//! which is stopped and which is not begun. All of this is computed without I/O from the expected times that are left.

use std::fmt;
use std::time::Duration;

use indexmap::IndexMap;
use model::{QueueId, ResourceVector};

use crate::fit::resources_per_task;
use crate::job::Job;

/// Value of a mean job of the first, the second and the third priority, as callers weigh them.
const PRIORITY_VALUES: [f64; 3] = [4.0, 3.0, 1.0];
/// Share of the value of a mean job that each job has whatever its work; the rest is in proportion to its work.
const FIXED_VALUE_SHARE: f64 = 0.3;
/// Multiple of the mean work of its queue from which a job gains no more value.
const MAX_RELATIVE_WORK: f64 = 4.0;
/// Multiple of the objective up to which a late job has part of its value.
const WORTHLESS_OBJECTIVES: u32 = 3;
/// Shares of its value that a job has just after its objective, and just before it becomes worthless.
const LATE_SHARES: [f64; 2] = [0.5, 0.2];
/// Mean time by which jobs end later than expected. With 0.2 s, 2 s and 5 s, the load tests served less value.
const MEAN_ERROR: Duration = Duration::from_secs(1);
/// Weight of a new job in the mean size of the jobs of its queue.
const SIZE_WEIGHT: f64 = 0.02;
/// Processor time that counts as much as one accelerator when costs are compared.
const MILLICORES_PER_ACCELERATOR: f64 = 8_000.0;

/// Converts resources to accelerators; eight cores count as one accelerator.
pub(crate) fn accelerator_equivalents(resources: ResourceVector) -> f64 {
    f64::from(resources.accelerators) + f64::from(resources.millicores) / MILLICORES_PER_ACCELERATOR
}

/// Returns the accelerator equivalents of all tasks of a job, as if they all ran in parallel.
fn job_size(job: &Job) -> f64 {
    let steps = job.spec.graph.steps.iter();
    steps
        .map(|step| f64::from(step.tasks) * accelerator_equivalents(resources_per_task(step)))
        .sum()
}

/// Mean size of the recent jobs of each queue.
///
/// The work of a job relative to others of its queue is taken from its size: run times within a queue are similar, while
/// declared ones are off by up to a factor of ten.
#[derive(Debug, Default)]
pub(crate) struct QueueSizes(IndexMap<QueueId, f64>);

impl QueueSizes {
    /// Adds a job.
    pub(crate) fn record(&mut self, job: &Job) {
        let size = job_size(job);
        let mean = self.0.entry(job.spec.queue.clone()).or_insert(size);
        *mean += SIZE_WEIGHT * (size - *mean);
    }

    /// Returns the size of a job relative to the mean of its queue.
    fn relative_size(&self, job: &Job, size: f64) -> f64 {
        let mean = self.0.get(&job.spec.queue).copied().unwrap_or(size);
        if mean > 0.0 { size / mean } else { 1.0 }
    }
}

/// Whether a job can still end in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Prospect {
    /// Within its objective.
    InTime,
    /// Within three times its objective.
    Late,
    /// Not before it is worthless to its caller.
    Worthless,
}

impl fmt::Display for Prospect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::InTime => "in_time",
            Self::Late => "late",
            Self::Worthless => "worthless",
        })
    }
}

/// What the caller of a job gains by its end, depending on when it ends.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Stake {
    /// The value of an end in time.
    value: f64,
    /// Expected work of all tasks in accelerator seconds.
    work: f64,
    accepted_at: Duration,
    objective: Duration,
    /// Whether the value does not depend on the time after acceptance: a recurring job or one with tasks that last.
    is_timeless: bool,
}

impl Stake {
    /// Returns the stake of a job.
    pub(crate) fn of(job: &Job, sizes: &QueueSizes) -> Self {
        let size = job_size(job);
        let relative = sizes.relative_size(job, size).min(MAX_RELATIVE_WORK);
        let steps = job.spec.graph.steps.iter();
        Self {
            value: priority_value(job.policy.priority)
                * (FIXED_VALUE_SHARE + (1.0 - FIXED_VALUE_SHARE) * relative),
            work: job.work(),
            accepted_at: job.accepted_at,
            objective: job.objective(),
            is_timeless: job.spec.graph.recurrence.is_some()
                || steps.clone().any(|step| step.long_running),
        }
    }

    /// Returns whether the job is in time if it ends at a time.
    pub(crate) fn prospect(&self, end: Duration) -> Prospect {
        let took = end.saturating_sub(self.accepted_at);
        if self.is_timeless || took <= self.objective {
            Prospect::InTime
        } else if took <= self.objective * WORTHLESS_OBJECTIVES {
            Prospect::Late
        } else {
            Prospect::Worthless
        }
    }

    /// Returns from when the job is worthless to its caller, if ever.
    pub(crate) fn worthless_at(&self) -> Option<Duration> {
        let worthless_at = self.accepted_at + self.objective * WORTHLESS_OBJECTIVES;
        (!self.is_timeless).then_some(worthless_at)
    }

    /// Returns the value of an end at a time.
    pub(crate) fn value_at(&self, end: Duration) -> f64 {
        match self.prospect(end) {
            Prospect::InTime => self.value,
            Prospect::Late => {
                let late = end.saturating_sub(self.accepted_at + self.objective);
                let share = late.div_duration_f64(self.objective * (WORTHLESS_OBJECTIVES - 1));
                self.value * (LATE_SHARES[0] + (LATE_SHARES[1] - LATE_SHARES[0]) * share)
            }
            Prospect::Worthless => 0.0,
        }
    }

    /// Returns the expected loss if the end is delayed from one time to another. Both are uncertain: an end may be later than
    /// expected by a time of which [`MEAN_ERROR`] is the mean.
    pub(crate) fn loss(&self, end: Duration, later: Duration) -> f64 {
        self.expected_value(end) - self.expected_value(later.max(end))
    }

    /// Returns the expected value of an end that may be later than a time.
    fn expected_value(&self, end: Duration) -> f64 {
        if self.is_timeless {
            return self.value;
        }
        let chance_until = |limit: Duration| {
            let slack = (self.accepted_at + limit).saturating_sub(end);
            1.0 - (-slack.div_duration_f64(MEAN_ERROR)).exp()
        };
        let late_value = self.value * (LATE_SHARES[0] + LATE_SHARES[1]) / 2.0;
        let in_time = chance_until(self.objective);
        let late = chance_until(self.objective * WORTHLESS_OBJECTIVES) - in_time;
        in_time * self.value + late * late_value
    }

    /// Returns the value of a unit of its work, by which work that is lost and has to be repeated counts.
    pub(crate) fn value_per_work(&self) -> f64 {
        self.value / self.work.max(f64::EPSILON)
    }
}

fn priority_value(priority: u32) -> f64 {
    let index = (priority as usize).min(PRIORITY_VALUES.len() - 1);
    PRIORITY_VALUES[index] / f64::from(priority.max(2) - 1)
}
