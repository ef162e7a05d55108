//! Random faults of processes, of the store and of the orders to workers.

use std::time::{Duration, Instant};

use fastrand::Rng;
use platform_standin::{Deployment, ProxyMode, Result, StoreFaults, Target};

/// Maximum number of these faults that are active at the same time.
const MAX_ACTIVE_FAULTS: usize = 3;

/// A fault that is active for a limited time.
enum ActiveFault {
    Paused(Target),
    Killed(Target),
    ShuttingDown(Target),
    FaultyStore,
    FaultyStoreProxy(Target),
    DelayedOrders(usize),
    DroppedResponses(usize),
}

/// Faults of a seed, in the order in which its generator draws them.
pub(super) struct RandomFaults {
    rng: Rng,
    active: Vec<(Instant, ActiveFault)>,
    pub(super) next_at: Instant,
}

impl RandomFaults {
    pub(super) fn new(seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let next_at = next_time(&mut rng);
        Self {
            rng,
            active: Vec::new(),
            next_at,
        }
    }

    /// Ends faults that have expired and injects another one, if it is time.
    pub(super) async fn advance(&mut self, deployment: &mut Deployment) -> Result<()> {
        if Instant::now() < self.next_at {
            return Ok(());
        }
        end_expired_faults(deployment, &mut self.active, Instant::now()).await?;
        deployment.restart_crashed_workers().await?;
        if self.active.len() < MAX_ACTIVE_FAULTS {
            let lasts = Duration::from_millis(self.rng.u64(300..4_000));
            let fault = inject_random_fault(deployment, &mut self.rng, &self.active).await?;
            self.active
                .extend(fault.map(|fault| (Instant::now() + lasts, fault)));
        }
        self.next_at = next_time(&mut self.rng);
        Ok(())
    }

    /// Ends all faults.
    pub(super) async fn end(&mut self, deployment: &mut Deployment) -> Result<()> {
        let all = Instant::now() + Duration::from_mins(1);
        end_expired_faults(deployment, &mut self.active, all).await
    }
}

fn next_time(rng: &mut Rng) -> Instant {
    Instant::now() + Duration::from_millis(rng.u64(100..700))
}

/// Injects a random fault, unless its target already has a fault of the same kind. Returns the fault if it has to be
/// ended later.
async fn inject_random_fault(
    deployment: &mut Deployment,
    rng: &mut Rng,
    active: &[(Instant, ActiveFault)],
) -> Result<Option<ActiveFault>> {
    let targets = deployment.targets();
    let target = targets[rng.usize(..targets.len())];
    let has_process_fault = active.iter().any(|(_, fault)| match fault {
        ActiveFault::Paused(other)
        | ActiveFault::Killed(other)
        | ActiveFault::ShuttingDown(other) => *other == target,
        _ => false,
    });
    let has_store_fault = active
        .iter()
        .any(|(_, fault)| matches!(fault, ActiveFault::FaultyStore));
    Ok(match rng.u8(..10) {
        0 if !has_process_fault => {
            deployment.signal(target, "STOP")?;
            Some(ActiveFault::Paused(target))
        }
        1 | 2 if !has_process_fault => {
            deployment.kill(target);
            Some(ActiveFault::Killed(target))
        }
        3 if !has_process_fault => {
            deployment.signal(target, "TERM")?;
            Some(ActiveFault::ShuttingDown(target))
        }
        4 if !has_store_fault => {
            deployment.store.set_faults(random_store_faults(rng));
            Some(ActiveFault::FaultyStore)
        }
        5 => {
            let modes = [
                ProxyMode::Reset,
                ProxyMode::Silent,
                ProxyMode::OneWay,
                ProxyMode::Delay(Duration::from_millis(100)),
            ];
            deployment
                .store_proxy(target)
                .set_mode(modes[rng.usize(..modes.len())]);
            Some(ActiveFault::FaultyStoreProxy(target))
        }
        6 => {
            let index = rng.usize(..deployment.workers.len());
            deployment.workers[index].delay_orders(0.4);
            Some(ActiveFault::DelayedOrders(index))
        }
        7 => {
            let index = rng.usize(..deployment.workers.len());
            deployment.workers[index].drop_responses(0.4);
            Some(ActiveFault::DroppedResponses(index))
        }
        8 => {
            let index = rng.usize(..deployment.workers.len());
            // A copy draws the delay, so that the plays of earlier seeds stay as they are.
            let announced_after = Duration::from_millis(rng.clone().u64(..1_500));
            deployment
                .restart_worker_announced_after(index, announced_after)
                .await?;
            None
        }
        _ => {
            deployment.store.compact();
            deployment.publish_configuration();
            None
        }
    })
}

/// Returns one kind of fault of the store.
pub(super) fn random_store_faults(rng: &mut Rng) -> StoreFaults {
    let faults = [
        StoreFaults {
            down: true,
            ..StoreFaults::default()
        },
        StoreFaults {
            silent: true,
            ..StoreFaults::default()
        },
        StoreFaults {
            drop_responses: 0.4,
            ..StoreFaults::default()
        },
        StoreFaults {
            delay: Duration::from_millis(250),
            ..StoreFaults::default()
        },
    ];
    faults[rng.usize(..faults.len())]
}

async fn end_expired_faults(
    deployment: &mut Deployment,
    active: &mut Vec<(Instant, ActiveFault)>,
    now: Instant,
) -> Result<()> {
    let (expired, left) = std::mem::take(active)
        .into_iter()
        .partition(|(end, _)| *end <= now);
    *active = left;
    for (_, fault) in expired {
        match fault {
            ActiveFault::Paused(target) => deployment.signal(target, "CONT")?,
            ActiveFault::Killed(target) => deployment.launch(target)?,
            ActiveFault::ShuttingDown(target) => {
                deployment.wait(target, Duration::from_secs(8)).await?;
                deployment.launch(target)?;
            }
            ActiveFault::FaultyStore => deployment.store.set_faults(StoreFaults::default()),
            ActiveFault::FaultyStoreProxy(target) => {
                deployment.store_proxy(target).set_mode(ProxyMode::Pass);
            }
            ActiveFault::DelayedOrders(index) => deployment.workers[index].delay_orders(0.0),
            ActiveFault::DroppedResponses(index) => deployment.workers[index].drop_responses(0.0),
        }
    }
    Ok(())
}
