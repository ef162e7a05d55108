//! Jobs of three classes, as the users' large deployments submit them.

use std::time::Duration;

use fastrand::Rng;
use model::{AcceptedJob, JobGraph, QueuePolicy, ResourceVector, Step};

use crate::fleet::{Arrival, Stragglers};

/// Client accounts; a few of them submit most of the jobs.
pub(crate) const ACCOUNTS: u32 = 24;

/// A class of jobs.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Class {
    pub(crate) name: &'static str,
    pub(crate) priority: u32,
    /// Jobs per second in a fleet of 160 workers.
    pub(crate) rate: f64,
    /// Mean number of tasks, which is spread exponentially.
    pub(crate) tasks: f64,
    pub(crate) max_tasks: u32,
    pub(crate) accelerators: &'static [u32],
    pub(crate) millicores: u32,
    pub(crate) memory_mb: u32,
    pub(crate) work: Duration,
    pub(crate) stretch: f64,
    pub(crate) target: Duration,
    pub(crate) max_attempts: u32,
    pub(crate) gang: bool,
    /// Share of the gangs that need a single rack.
    pub(crate) rack_sensitive: f64,
    /// Share of the jobs that support checkpoints.
    pub(crate) checkpoints: f64,
}

/// Small urgent gangs.
pub(crate) const URGENT: Class = Class {
    name: "urgent",
    priority: 0,
    rate: 3.2,
    tasks: 5.3,
    max_tasks: 32,
    accelerators: &[1, 2, 4, 8, 8],
    millicores: 7_500,
    memory_mb: 22_000,
    work: Duration::from_millis(2_500),
    stretch: 1.5,
    target: Duration::from_millis(400),
    max_attempts: 4,
    gang: true,
    rack_sensitive: 0.8,
    checkpoints: 0.0,
};

/// Large gangs of the second priority.
pub(crate) const LARGE: Class = Class {
    name: "large",
    priority: 1,
    rate: 1.0,
    tasks: 13.0,
    max_tasks: 76,
    accelerators: &[1, 2, 4, 8, 8],
    millicores: 26_000,
    memory_mb: 140_000,
    work: Duration::from_millis(8_500),
    stretch: 3.0,
    target: Duration::from_millis(1_200),
    max_attempts: 2,
    gang: true,
    rack_sensitive: 0.6,
    checkpoints: 0.45,
};

/// Many small tasks of the last priority.
pub(crate) const SMALL: Class = Class {
    name: "small",
    priority: 2,
    rate: 1.25,
    tasks: 38.0,
    max_tasks: 230,
    accelerators: &[1],
    millicores: 5_600,
    memory_mb: 29_000,
    work: Duration::from_millis(6_100),
    stretch: 3.0,
    target: Duration::from_secs(3),
    max_attempts: 4,
    gang: false,
    rack_sensitive: 0.0,
    checkpoints: 0.45,
};

impl Class {
    /// Returns the arrivals between two times at `factor` times the rate of the class.
    pub(crate) fn arrivals(
        &self,
        from: Duration,
        until: Duration,
        factor: f64,
        rng: &mut Rng,
    ) -> Vec<Arrival> {
        let mut arrivals = Vec::new();
        let mut at = from;
        loop {
            at += exponential(1.0 / (self.rate * factor), rng);
            if at >= until {
                return arrivals;
            }
            arrivals.push(self.arrival(at, rng));
        }
    }

    /// Returns a job that arrives at a time.
    pub(crate) fn arrival(&self, at: Duration, rng: &mut Rng) -> Arrival {
        let tasks = exponential(self.tasks, rng).as_secs_f64().ceil() as u32;
        let work = self.work.mul_f64(0.5 + rng.f64());
        let accelerators = self.accelerators[rng.usize(..self.accelerators.len())];
        let step = Step {
            tasks: tasks.clamp(1, self.max_tasks),
            resources: ResourceVector {
                accelerators,
                millicores: self.millicores,
                memory_mb: self.memory_mb,
            },
            expected: work.mul_f64(0.5 + rng.f64()),
            gang: self.gang,
            rack_sensitive: rng.f64() < self.rack_sensitive,
            supports_checkpoints: rng.f64() < self.checkpoints,
            ..Step::default()
        };
        let account = rng.u32(0..ACCOUNTS).min(rng.u32(0..ACCOUNTS));
        Arrival {
            deadly: false,
            stragglers: Stragglers::None,
            at,
            class: self.name,
            work,
            job: AcceptedJob {
                account: format!("account-{account}").into(),
                queue: self.name.into(),
                policy: QueuePolicy {
                    service: "optics".into(),
                    priority: self.priority,
                    max_attempts: self.max_attempts,
                    stretch: self.stretch,
                    target: self.target,
                    needs_approval: false,
                },
                graph: JobGraph {
                    body: "body".into(),
                    steps: vec![step],
                    recurrence: None,
                },
                accepted_at: Duration::ZERO,
            },
        }
    }
}

/// Returns an exponentially distributed number with a mean, as seconds.
fn exponential(mean: f64, rng: &mut Rng) -> Duration {
    Duration::from_secs_f64(-mean * (1.0 - rng.f64()).ln())
}
