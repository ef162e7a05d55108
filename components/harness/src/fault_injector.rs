//! Injection of random faults into a deployment, from a seed.

use std::time::{Duration, Instant};

use fastrand::Rng;
use serde_json::{Value, json};

use crate::Result;
use crate::deployment::Deployment;

/// Maximum number of faults that are active at the same time.
const MAX_ACTIVE_FAULTS: usize = 3;
/// Range of the delay before the next fault, in milliseconds.
const DELAY_MS: std::ops::Range<u64> = 100..900;
/// Range of the duration of a fault, in milliseconds. Leases of 1 to 3 s lie within it, so a fault can end before or
/// after the expiry of a lease.
const FAULT_DURATION_MS: std::ops::Range<u64> = 300..5000;
/// Upper bound of the duration of any fault.
const MAX_FAULT_DURATION: Duration = Duration::from_secs(10);

/// A fault with its target.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Fault {
    /// A process is killed, and restarted at the end of the fault.
    Kill(Box<str>),
    /// A process is suspended with SIGSTOP, and resumed at the end of the fault.
    Freeze(Box<str>),
    /// The store has the given faults.
    Store(Value),
    /// A worker has the given faults.
    Worker(Box<str>, Value),
    /// An endpoint has the given faults.
    Endpoint(usize, Value),
}

impl Fault {
    fn has_same_target(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Kill(a) | Self::Freeze(a), Self::Kill(b) | Self::Freeze(b))
            | (Self::Worker(a, _), Self::Worker(b, _)) => a == b,
            (Self::Endpoint(a, _), Self::Endpoint(b, _)) => a == b,
            (Self::Store(_), Self::Store(_)) => true,
            _ => false,
        }
    }
}

/// Injects and reverts faults at random.
#[derive(Debug)]
pub struct FaultInjector {
    rng: Rng,
    active: Vec<(Instant, Fault)>,
    injected: usize,
}

impl FaultInjector {
    /// Creates an injector. The sequence of faults depends on the seed and on timing.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: Rng::with_seed(seed),
            active: Vec::new(),
            injected: 0,
        }
    }

    /// Returns the number of injected faults.
    pub fn count(&self) -> usize {
        self.injected
    }

    /// Injects and reverts faults for a duration, then reverts those that are still active.
    pub async fn run(&mut self, deployment: &mut Deployment, duration: Duration) -> Result<()> {
        let end = Instant::now() + duration;
        while Instant::now() < end {
            self.revert_due(deployment, Instant::now()).await?;
            let fault = self.pick_fault(deployment);
            let target_is_faulty = self
                .active
                .iter()
                .any(|(_, other)| other.has_same_target(&fault));
            if self.active.len() < MAX_ACTIVE_FAULTS && !target_is_faulty {
                inject(deployment, &fault).await?;
                self.injected += 1;
                let fault_duration = Duration::from_millis(self.rng.u64(FAULT_DURATION_MS));
                self.active.push((Instant::now() + fault_duration, fault));
            }
            tokio::time::sleep(Duration::from_millis(self.rng.u64(DELAY_MS))).await;
        }
        self.revert_due(deployment, end + duration + MAX_FAULT_DURATION)
            .await
    }

    async fn revert_due(&mut self, deployment: &mut Deployment, now: Instant) -> Result<()> {
        for (_, fault) in self.active.extract_if(.., |(until, _)| *until <= now) {
            revert(deployment, &fault).await?;
        }
        Ok(())
    }

    fn pick_fault(&mut self, deployment: &Deployment) -> Fault {
        let rng = &mut self.rng;
        let index = rng.usize(..deployment.agents.len());
        let process_name: Box<str> = if rng.u8(..10) < 4 {
            format!("entry-{}", rng.usize(..deployment.entries.len())).into()
        } else {
            format!("agent-{index}").into()
        };
        let worker = || format!("caribe-worker-{index}").into();
        match rng.u8(..10) {
            0..3 => Fault::Kill(process_name),
            3..6 => Fault::Freeze(process_name),
            6 => Fault::Store(json!({"outage": "refuse"})),
            7 => Fault::Store(json!({"slow_ms": 300, "lost_answers": {"share": 0.5, "seed": 1}})),
            8 => Fault::Worker(worker(), json!({"vanish": "cut_off"})),
            _ => {
                let answers = ["close_after", "truncate", "foreign"];
                let answer = answers[rng.usize(..answers.len())];
                Fault::Endpoint(index, json!({"answer": answer, "selection": {"count": 2}}))
            }
        }
    }
}

async fn inject(deployment: &mut Deployment, fault: &Fault) -> Result<()> {
    match fault {
        Fault::Kill(name) => deployment.kill(name),
        Fault::Freeze(name) => deployment.signal(name, "STOP"),
        Fault::Store(faults) => deployment.set_store_faults(faults.clone()).await,
        Fault::Worker(worker, faults) => deployment.set_worker_faults(worker, faults.clone()).await,
        Fault::Endpoint(index, faults) => {
            deployment.set_endpoint_faults(*index, faults.clone()).await
        }
    }
}

async fn revert(deployment: &mut Deployment, fault: &Fault) -> Result<()> {
    match fault {
        Fault::Kill(name) => deployment.restart(name),
        Fault::Freeze(name) => deployment.signal(name, "CONT"),
        Fault::Store(_) => deployment.clear_store_faults().await,
        Fault::Worker(worker, _) => deployment.set_worker_faults(worker, json!({})).await,
        Fault::Endpoint(index, _) => deployment.set_endpoint_faults(*index, json!({})).await,
    }
}
