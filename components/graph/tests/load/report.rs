//! What a run of a simulated fleet measured.

use std::time::Duration;

use indexmap::IndexMap;
use model::{AccountId, JobId, ResourceVector};

use crate::fleet::Arrival;

/// The course of one job.
#[derive(Debug, Clone)]
pub(crate) struct JobOutcome {
    pub(crate) class: &'static str,
    pub(crate) account: AccountId,
    /// Value for the caller of a mean job of the class if it completes in time.
    class_value: f64,
    /// Accelerator seconds of all its tasks.
    work: f64,
    accepted_at: Duration,
    /// Time from acceptance within which the job completes in time.
    limit: Duration,
    pub(crate) started_at: Option<Duration>,
    /// When the job ended, and whether it completed.
    pub(crate) ended: Option<(Duration, bool)>,
}

impl JobOutcome {
    pub(crate) fn new(arrival: &Arrival, accepted_at: Duration) -> Self {
        let policy = &arrival.job.policy;
        let limit = arrival.work.mul_f64(policy.stretch) + policy.target;
        let steps = arrival.job.graph.steps.iter();
        let resources = steps.map(|step| f64::from(step.tasks) * equivalents(step.resources));
        Self {
            class: arrival.class,
            account: arrival.job.account.clone(),
            class_value: [4.0, 3.0, 1.0][policy.priority as usize],
            work: resources.sum::<f64>() * arrival.work.as_secs_f64(),
            accepted_at,
            limit,
            started_at: None,
            ended: None,
        }
    }

    /// Returns the time from acceptance to the first run.
    pub(crate) fn wait(&self) -> Option<Duration> {
        Some(self.started_at?.saturating_sub(self.accepted_at))
    }

    /// Returns the share of its value that the caller got: all in time, from a half to a fifth within three times the limit,
    /// then nothing.
    fn value_share(&self) -> f64 {
        let Some((at, true)) = self.ended else {
            return 0.0;
        };
        let took = at.saturating_sub(self.accepted_at);
        match took.div_duration_f64(self.limit) {
            limits if limits <= 1.0 => 1.0,
            limits if limits <= 3.0 => 0.5 - 0.15 * (limits - 1.0),
            _ => 0.0,
        }
    }

    fn is_in_time(&self) -> bool {
        let completed = self.ended.filter(|(_, completed)| *completed);
        completed.is_some_and(|(at, _)| at.saturating_sub(self.accepted_at) <= self.limit)
    }
}

/// What a run measured.
#[derive(Debug, Default)]
pub(crate) struct LoadReport {
    pub(crate) jobs: Vec<JobOutcome>,
    /// Accelerator seconds of runs that did not complete.
    pub(crate) thrown_away: f64,
    /// Share of idle accelerators, sampled while a job waits.
    pub(crate) idle_while_waiting: Vec<f64>,
    /// When each worker joined, and how long it waited for its first run.
    pub(crate) first_runs: Vec<(Duration, Option<Duration>)>,
    /// Number of starts of each task that crashes its workers, by job.
    pub(crate) deadly_starts: IndexMap<JobId, u32>,
    pub(crate) decisions: u32,
    /// Processor time of all decisions.
    pub(crate) decision_time: Duration,
}

impl LoadReport {
    pub(crate) fn of_class<'a>(
        &'a self,
        class: &'a str,
    ) -> impl Iterator<Item = &'a JobOutcome> + 'a {
        self.jobs.iter().filter(move |job| job.class == class)
    }

    /// Returns the share of the jobs of a class that completed in time.
    pub(crate) fn share_in_time(&self, class: &str) -> f64 {
        let total = self.of_class(class).count();
        let in_time = self.of_class(class).filter(|job| job.is_in_time()).count();
        in_time as f64 / total.max(1) as f64
    }

    /// Returns the share of the value of the selected jobs that their callers got. A job counts by its class and by its work
    /// relative to the mean of its class.
    pub(crate) fn value_served(&self, selected: impl Fn(&JobOutcome) -> bool) -> f64 {
        let mut means: IndexMap<&str, (f64, f64)> = IndexMap::new();
        for job in &self.jobs {
            let (work, count) = means.entry(job.class).or_default();
            *work += job.work;
            *count += 1.0;
        }
        let (mut served, mut total) = (0.0, 0.0);
        for job in self.jobs.iter().filter(|job| selected(job)) {
            let (work, count) = means[job.class];
            let relative = (job.work * count / work).min(4.0);
            let value = job.class_value * (0.3 + 0.7 * relative);
            served += value * job.value_share();
            total += value;
        }
        served / f64::max(total, f64::MIN_POSITIVE)
    }

    /// Returns the share of the jobs of a class whose first run began within a time.
    pub(crate) fn share_started_within(&self, class: &str, time: Duration) -> f64 {
        let total = self.of_class(class).count();
        let begun = self.of_class(class).filter_map(JobOutcome::wait);
        begun.filter(|wait| *wait <= time).count() as f64 / total.max(1) as f64
    }

    /// Returns the number of jobs of a class that ended without completing.
    pub(crate) fn failed(&self, class: &str) -> usize {
        let failed = |job: &&JobOutcome| job.ended.is_some_and(|(_, completed)| !completed);
        self.of_class(class).filter(failed).count()
    }

    /// Returns the mean share of idle accelerators while a job waits.
    pub(crate) fn mean_idle_while_waiting(&self) -> f64 {
        let idle: f64 = self.idle_while_waiting.iter().sum();
        idle / self.idle_while_waiting.len().max(1) as f64
    }

    /// Prints one line for each class, and one for the fleet.
    pub(crate) fn print(&self, pattern: &str) {
        let mut classes: Vec<&str> = self.jobs.iter().map(|job| job.class).collect();
        classes.sort_unstable();
        classes.dedup();
        for class in classes {
            let mut waits: Vec<Duration> =
                self.of_class(class).filter_map(JobOutcome::wait).collect();
            waits.sort_unstable();
            let at = |share: f64| {
                let index = (waits.len().saturating_sub(1) as f64 * share) as usize;
                waits.get(index).copied().unwrap_or_default().as_millis()
            };
            println!(
                "{pattern}: {class}: {} jobs, {:.3} in time, {} failed; wait p50 {} ms, p95 {} ms, longest {} ms",
                self.of_class(class).count(),
                self.share_in_time(class),
                self.failed(class),
                at(0.5),
                at(0.95),
                at(1.0),
            );
        }
        println!(
            "{pattern}: {:.3} of the value served; {:.0} accelerator seconds thrown away; {:.2} of the accelerators idle while a job waits; \
             {} decisions of {:.0} us",
            self.value_served(|_| true),
            self.thrown_away,
            self.mean_idle_while_waiting(),
            self.decisions,
            self.decision_time.as_secs_f64() * 1e6 / f64::from(self.decisions.max(1)),
        );
    }
}

/// Converts resources to accelerators; eight cores count as one accelerator.
pub(crate) fn equivalents(resources: ResourceVector) -> f64 {
    f64::from(resources.accelerators) + f64::from(resources.millicores) / 8_000.0
}
