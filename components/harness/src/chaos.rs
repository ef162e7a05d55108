//! Random failures of a deployment, from a seed.

use std::time::{Duration, Instant};

use fastrand::Rng;
use serde_json::{Value, json};

use crate::Result;
use crate::deployment::Deployment;

/// Failures that are in effect at the same time.
const MAX_ACTIVE: usize = 3;
/// Bounds of the pause before the next failure, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 100..900;
/// Bounds of the time for which a failure lasts, in milliseconds; leases of 1 to 3 s lie between them.
const LASTS_MS: std::ops::Range<u64> = 300..5000;

/// A failure with its target.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Failure {
    /// A process is killed and started again.
    Kill(Box<str>),
    /// A process is stopped and continues.
    Freeze(Box<str>),
    /// The store has these faults.
    Store(Value),
    /// A worker has these faults.
    Worker(Box<str>, Value),
    /// An endpoint has these faults.
    Endpoint(usize, Value),
}

impl Failure {
    fn hits_same(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Kill(a) | Self::Freeze(a), Self::Kill(b) | Self::Freeze(b))
            | (Self::Worker(a, _), Self::Worker(b, _)) => a == b,
            (Self::Endpoint(a, _), Self::Endpoint(b, _)) => a == b,
            (Self::Store(_), Self::Store(_)) => true,
            _ => false,
        }
    }
}

/// Starts and ends failures at random.
#[derive(Debug)]
pub struct Chaos {
    rng: Rng,
    active: Vec<(Instant, Failure)>,
    count: usize,
}

impl Chaos {
    /// Creates failures that follow from a seed and from the time.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: Rng::with_seed(seed),
            active: Vec::new(),
            count: 0,
        }
    }

    /// Returns how many failures have begun.
    pub fn count(&self) -> usize {
        self.count
    }

    /// Begins and ends failures for a while, and then ends all.
    pub async fn run(&mut self, deployment: &mut Deployment, time: Duration) -> Result<()> {
        let end = Instant::now() + time;
        while Instant::now() < end {
            self.end_due(deployment, Instant::now()).await?;
            let failure = self.choose(deployment);
            let busy = self
                .active
                .iter()
                .any(|(_, other)| other.hits_same(&failure));
            if self.active.len() < MAX_ACTIVE && !busy {
                begin(deployment, &failure).await?;
                self.count += 1;
                let lasts = Duration::from_millis(self.rng.u64(LASTS_MS));
                self.active.push((Instant::now() + lasts, failure));
            }
            tokio::time::sleep(Duration::from_millis(self.rng.u64(PAUSE_MS))).await;
        }
        self.end_due(deployment, end + time + LASTS_LIMIT).await
    }

    async fn end_due(&mut self, deployment: &mut Deployment, now: Instant) -> Result<()> {
        for (_, failure) in self.active.extract_if(.., |(until, _)| *until <= now) {
            undo(deployment, &failure).await?;
        }
        Ok(())
    }

    fn choose(&mut self, deployment: &Deployment) -> Failure {
        let rng = &mut self.rng;
        let number = rng.usize(..deployment.agents.len());
        let process: Box<str> = if rng.u8(..10) < 4 {
            format!("entry-{}", rng.usize(..deployment.entries.len())).into()
        } else {
            format!("agent-{number}").into()
        };
        let worker = || format!("caribe-worker-{number}").into();
        match rng.u8(..10) {
            0..3 => Failure::Kill(process),
            3..6 => Failure::Freeze(process),
            6 => Failure::Store(json!({"outage": "refuse"})),
            7 => Failure::Store(json!({"slow_ms": 300, "lost_answers": {"share": 0.5, "seed": 1}})),
            8 => Failure::Worker(worker(), json!({"vanish": "cut_off"})),
            _ => {
                let answers = ["close_after", "truncate", "foreign"];
                let answer = answers[rng.usize(..answers.len())];
                Failure::Endpoint(number, json!({"answer": answer, "selection": {"count": 2}}))
            }
        }
    }
}

/// Longer than any failure lasts.
const LASTS_LIMIT: Duration = Duration::from_secs(10);

async fn begin(deployment: &mut Deployment, failure: &Failure) -> Result<()> {
    match failure {
        Failure::Kill(name) => deployment.kill(name),
        Failure::Freeze(name) => deployment.signal(name, "STOP"),
        Failure::Store(faults) => deployment.fault_store(faults.clone()).await,
        Failure::Worker(worker, faults) => deployment.fault_worker(worker, faults.clone()).await,
        Failure::Endpoint(number, faults) => {
            deployment.fault_endpoint(*number, faults.clone()).await
        }
    }
}

async fn undo(deployment: &mut Deployment, failure: &Failure) -> Result<()> {
    match failure {
        Failure::Kill(name) => deployment.restart(name),
        Failure::Freeze(name) => deployment.signal(name, "CONT"),
        Failure::Store(_) => deployment.heal_store().await,
        Failure::Worker(worker, _) => deployment.fault_worker(worker, json!({})).await,
        Failure::Endpoint(number, _) => deployment.fault_endpoint(*number, json!({})).await,
    }
}
