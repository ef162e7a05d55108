//! Random faults, generated from a seed, while clients submit, cancel and query jobs.
//!
//! `SOAK_SEEDS` sets the seeds, separated by commas, and `SOAK_SECONDS` the duration of the faults for each seed. Seeds
//! that failed in the past are listed in `REGRESSION_SEEDS` with the cause.

use std::time::{Duration, Instant};

use fastrand::Rng;
use platform_standin::{Client, Deployment, ProxyMode, Result, StoreFaults, Target, TaskBody};

use crate::start_deployment;

/// Seeds of the short run.
///
/// 120 and 132: a start in flight reached the next incarnation of its worker after the task had been started elsewhere.
/// 408: the same after a stop that was refused. Later, a job was given up because tasks of others crashed its workers.
const REGRESSION_SEEDS: [u64; 4] = [1, 120, 132, 408];
/// Duration of the faults in the short run.
const FAULT_SECONDS: u64 = 8;
const ENTRIES: usize = 3;
const AGENTS: usize = 4;
/// Time after the last fault in which all jobs must end.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(45);
/// Maximum number of faults that are active at the same time.
const MAX_ACTIVE_FAULTS: usize = 3;
/// One in this many jobs has a task that crashes each worker that starts it.
const DEADLY_JOB_INTERVAL: u8 = 20;
/// Interval at which crashed workers are started again while jobs end.
const RESTART_INTERVAL: Duration = Duration::from_millis(500);

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

#[expect(
    clippy::struct_excessive_bools,
    reason = "independent properties of a submission"
)]
struct SubmittedJob {
    id: String,
    queue: &'static str,
    fails: bool,
    cancelled: bool,
    accepted: bool,
    refused: bool,
}

/// Guards against violated invariants when faults overlap.
#[tokio::test(flavor = "multi_thread")]
async fn soak_keeps_invariants() -> Result<()> {
    let seeds = std::env::var("SOAK_SEEDS").ok();
    let seeds: Vec<u64> = match seeds {
        Some(seeds) => seeds
            .split(',')
            .filter_map(|seed| seed.parse().ok())
            .collect(),
        None => REGRESSION_SEEDS.to_vec(),
    };
    let seconds = std::env::var("SOAK_SECONDS").ok();
    let seconds = seconds
        .and_then(|seconds| seconds.parse().ok())
        .unwrap_or(FAULT_SECONDS);
    for seed in seeds {
        run_seed(seed, Duration::from_secs(seconds))
            .await
            .map_err(|e| format!("seed {seed}: {e}"))?;
    }
    Ok(())
}

async fn run_seed(seed: u64, fault_duration: Duration) -> Result<()> {
    let mut deployment = start_deployment(&format!("soak-{seed}"), ENTRIES, AGENTS).await?;
    let client = deployment.client()?;
    let end = Instant::now() + fault_duration;
    let submitting = tokio::spawn(submit_all(
        client.clone(),
        deployment.checker.clone(),
        seed,
        end,
    ));
    let mut rng = Rng::with_seed(seed);
    let mut active: Vec<(Instant, ActiveFault)> = Vec::new();
    while Instant::now() < end {
        tokio::time::sleep(Duration::from_millis(rng.u64(100..700))).await;
        end_expired_faults(&mut deployment, &mut active, Instant::now()).await?;
        restart_crashed_workers(&mut deployment).await?;
        if active.len() < MAX_ACTIVE_FAULTS {
            let lasts = Duration::from_millis(rng.u64(300..4_000));
            let fault = inject_random_fault(&mut deployment, &mut rng, &active).await?;
            active.extend(fault.map(|fault| (Instant::now() + lasts, fault)));
        }
    }
    end_expired_faults(
        &mut deployment,
        &mut active,
        Instant::now() + Duration::from_mins(1),
    )
    .await?;
    let jobs = submitting.await?;
    let deadline = Instant::now() + SETTLE_TIMEOUT;
    for job in &jobs {
        check_job(&mut deployment, &client, job, deadline).await?;
    }
    let violations = deployment.checker.violations();
    println!(
        "seed {seed}: {} jobs, {} starts",
        jobs.len(),
        deployment.checker.start_count()
    );
    if violations.is_empty() {
        return Ok(());
    }
    Err(format!("violated invariants: {violations:?}").into())
}

async fn submit_all(
    client: Client,
    checker: platform_standin::InvariantChecker,
    seed: u64,
    end: Instant,
) -> Vec<SubmittedJob> {
    let mut rng = Rng::with_seed(seed ^ 0x5eed);
    // A generator of its own, so that the other choices of a seed stay as they were.
    let mut deadly_rng = Rng::with_seed(seed ^ 0xdead);
    let mut running = Vec::new();
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let id = format!("{:016x}", (seed << 20) + number);
        let gang = rng.u8(..3) == 0;
        let tasks = rng.u32(1..6);
        let steps = if gang { 1 } else { rng.u32(1..3) };
        let body = TaskBody {
            run_ms: rng.u64(100..2_500),
            gang: if gang { tasks as usize } else { 0 },
            deadly: (deadly_rng.u8(..DEADLY_JOB_INTERVAL) == 0).then_some(0),
            fail: rng.u8(..12) == 0,
            gpu: rng.u32(1..4),
            predecessors: if steps > 1 { tasks } else { 0 },
        };
        let queue = if rng.u8(..3) == 0 { "urgent" } else { "batch" };
        let cancel_after_submit = rng.u8(..8) == 0;
        let (client, checker) = (client.clone(), checker.clone());
        running.push(tokio::spawn(async move {
            let job = Client::job(steps, tasks, &body);
            let (accepted, refused) = client.submit(queue, &id, &job).await;
            let mut cancelled = false;
            if cancel_after_submit {
                cancelled = cancel(&client, queue, &id).await;
                if cancelled {
                    checker.record_cancellation(&id);
                }
            }
            SubmittedJob {
                id,
                queue,
                fails: body.fail || body.deadly.is_some(),
                cancelled,
                accepted,
                refused,
            }
        }));
        tokio::time::sleep(Duration::from_millis(rng.u64(50..400))).await;
    }
    let mut jobs = Vec::new();
    for job in running {
        jobs.extend(job.await);
    }
    jobs
}

async fn cancel(client: &Client, queue: &str, id: &str) -> bool {
    let path = format!("/{queue}/{id}");
    for attempt in 0..10 {
        let answer = client
            .call(attempt, reqwest::Method::DELETE, &path, None)
            .await;
        let confirmed = |(status, _): (reqwest::StatusCode, _)| {
            status.is_success() || status == reqwest::StatusCode::GONE
        };
        if answer.is_some_and(confirmed) {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    false
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
            deployment
                .store
                .set_faults(faults[rng.usize(..faults.len())]);
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
            let index = rng.usize(..AGENTS);
            deployment.workers[index].delay_orders(0.4);
            Some(ActiveFault::DelayedOrders(index))
        }
        7 => {
            let index = rng.usize(..AGENTS);
            deployment.workers[index].drop_responses(0.4);
            Some(ActiveFault::DroppedResponses(index))
        }
        8 => {
            let index = rng.usize(..AGENTS);
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

/// Starts new incarnations of the workers that a task has crashed.
async fn restart_crashed_workers(deployment: &mut Deployment) -> Result<()> {
    for index in 0..deployment.workers.len() {
        if !deployment.workers[index].is_up() {
            deployment.restart_worker(index).await?;
        }
    }
    Ok(())
}

async fn check_job(
    deployment: &mut Deployment,
    client: &Client,
    job: &SubmittedJob,
    deadline: Instant,
) -> Result<()> {
    if job.refused && deployment.checker.has_started(&job.id) {
        return Err(format!("{} was refused and has started", job.id).into());
    }
    if !job.accepted {
        return Ok(());
    }
    let deadline = deadline.max(Instant::now() + Duration::from_secs(1));
    let mut outcome = String::new();
    while !matches!(&*outcome, "completed" | "failed" | "cancelled") && Instant::now() < deadline {
        restart_crashed_workers(deployment).await?;
        outcome = client.outcome(job.queue, &job.id, RESTART_INTERVAL).await;
    }
    let expected = match &*outcome {
        "cancelled" => job.cancelled,
        "failed" => job.fails,
        "completed" => !job.fails,
        _ => false,
    };
    if expected {
        return Ok(());
    }
    Err(format!("{} ended as {outcome}", job.id).into())
}
