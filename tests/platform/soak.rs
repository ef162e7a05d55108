//! Random faults from a seed while clients submit, cancel and ask.
//!
//! `SOAK_SEEDS` names the seeds, separated by commas, and `SOAK_SECONDS` how long faults go on for each. Seeds that once
//! failed stay in `KEPT_SEEDS` with their cause.

use std::time::{Duration, Instant};

use fastrand::Rng;
use platform_standin::{Client, Deployment, ProxyMode, Result, StoreFaults, Target, TaskBody};

use crate::system;

/// Seeds of the short run.
///
/// 120 and 132: a start on its way reached the next life of its worker after the task was started elsewhere. 408: the same
/// after a stop that was refused.
const KEPT_SEEDS: [u64; 4] = [1, 120, 132, 408];
/// How long faults go on in the short run.
const SECONDS: u64 = 8;
const ENTRIES: usize = 3;
const AGENTS: usize = 4;
/// All jobs have to come to their end within this time after the last fault.
const SETTLE: Duration = Duration::from_secs(45);
/// Faults that may be in effect at once.
const MAX_ACTIVE: usize = 3;

/// A fault that ends at a time.
enum Active {
    Paused(Target),
    Killed(Target),
    Leaving(Target),
    Store,
    StorePath(Target),
    Orders(usize),
    Answers(usize),
}

#[expect(
    clippy::struct_excessive_bools,
    reason = "each is an outcome of its own"
)]
struct Submitted {
    id: String,
    queue: &'static str,
    fails: bool,
    cancelled: bool,
    accepted: bool,
    refused: bool,
}

/// Guards against promises that break when faults overlap.
#[tokio::test(flavor = "multi_thread")]
async fn soak_keeps_promises() -> Result<()> {
    let seeds = std::env::var("SOAK_SEEDS").ok();
    let seeds: Vec<u64> = match seeds {
        Some(seeds) => seeds
            .split(',')
            .filter_map(|seed| seed.parse().ok())
            .collect(),
        None => KEPT_SEEDS.to_vec(),
    };
    let seconds = std::env::var("SOAK_SECONDS").ok();
    let seconds = seconds
        .and_then(|seconds| seconds.parse().ok())
        .unwrap_or(SECONDS);
    for seed in seeds {
        play(seed, Duration::from_secs(seconds))
            .await
            .map_err(|e| format!("seed {seed}: {e}"))?;
    }
    Ok(())
}

async fn play(seed: u64, faults_for: Duration) -> Result<()> {
    let mut system = system(&format!("soak-{seed}"), ENTRIES, AGENTS).await?;
    let client = system.client()?;
    let until = Instant::now() + faults_for;
    let submitting = tokio::spawn(submit_all(
        client.clone(),
        system.checker.clone(),
        seed,
        until,
    ));
    let mut rng = Rng::with_seed(seed);
    let mut active: Vec<(Instant, Active)> = Vec::new();
    while Instant::now() < until {
        tokio::time::sleep(Duration::from_millis(rng.u64(100..700))).await;
        end_due(&mut system, &mut active, Instant::now()).await?;
        if active.len() < MAX_ACTIVE {
            let lasts = Duration::from_millis(rng.u64(300..4_000));
            let fault = begin(&mut system, &mut rng, &active).await?;
            active.extend(fault.map(|fault| (Instant::now() + lasts, fault)));
        }
    }
    end_due(
        &mut system,
        &mut active,
        Instant::now() + Duration::from_mins(1),
    )
    .await?;
    let jobs = submitting.await?;
    let settled = Instant::now() + SETTLE;
    for job in &jobs {
        check(&system, &client, job, settled).await?;
    }
    let broken = system.checker.violations();
    println!(
        "seed {seed}: {} jobs, {} starts",
        jobs.len(),
        system.checker.start_count()
    );
    if broken.is_empty() {
        return Ok(());
    }
    Err(format!("broken promises: {broken:?}").into())
}

async fn submit_all(
    client: Client,
    checker: platform_standin::InvariantChecker,
    seed: u64,
    until: Instant,
) -> Vec<Submitted> {
    let mut rng = Rng::with_seed(seed ^ 0x5eed);
    let mut running = Vec::new();
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        let id = format!("{:016x}", (seed << 20) + number);
        let gang = rng.u8(..3) == 0;
        let tasks = rng.u32(1..6);
        let steps = if gang { 1 } else { rng.u32(1..3) };
        let body = TaskBody {
            run_ms: rng.u64(100..2_500),
            gang: if gang { tasks as usize } else { 0 },
            fail: rng.u8(..12) == 0,
            gpu: rng.u32(1..4),
            predecessors: if steps > 1 { tasks } else { 0 },
        };
        let queue = if rng.u8(..3) == 0 { "urgent" } else { "batch" };
        let cancels = rng.u8(..8) == 0;
        let (client, checker) = (client.clone(), checker.clone());
        running.push(tokio::spawn(async move {
            let job = Client::job(steps, tasks, &body);
            let (accepted, refused) = client.submit(queue, &id, &job).await;
            let mut cancelled = false;
            if cancels {
                cancelled = cancel(&client, queue, &id).await;
                if cancelled {
                    checker.record_cancellation(&id);
                }
            }
            Submitted {
                id,
                queue,
                fails: body.fail,
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

/// Begins a fault, unless its target has one already.
async fn begin(
    system: &mut Deployment,
    rng: &mut Rng,
    active: &[(Instant, Active)],
) -> Result<Option<Active>> {
    let targets = system.targets();
    let target = targets[rng.usize(..targets.len())];
    let busy = active.iter().any(|(_, fault)| match fault {
        Active::Paused(other) | Active::Killed(other) | Active::Leaving(other) => *other == target,
        _ => false,
    });
    let store_busy = active
        .iter()
        .any(|(_, fault)| matches!(fault, Active::Store));
    Ok(match rng.u8(..10) {
        0 if !busy => {
            system.signal(target, "STOP")?;
            Some(Active::Paused(target))
        }
        1 | 2 if !busy => {
            system.kill(target);
            Some(Active::Killed(target))
        }
        3 if !busy => {
            system.signal(target, "TERM")?;
            Some(Active::Leaving(target))
        }
        4 if !store_busy => {
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
            system.store.set_faults(faults[rng.usize(..faults.len())]);
            Some(Active::Store)
        }
        5 => {
            let modes = [
                ProxyMode::Reset,
                ProxyMode::Silent,
                ProxyMode::OneWay,
                ProxyMode::Delay(Duration::from_millis(100)),
            ];
            system
                .store_proxy(target)
                .set_mode(modes[rng.usize(..modes.len())]);
            Some(Active::StorePath(target))
        }
        6 => {
            let index = rng.usize(..AGENTS);
            system.workers[index].delay_orders(0.4);
            Some(Active::Orders(index))
        }
        7 => {
            let index = rng.usize(..AGENTS);
            system.workers[index].drop_responses(0.4);
            Some(Active::Answers(index))
        }
        8 => {
            system.restart_worker(rng.usize(..AGENTS)).await?;
            None
        }
        _ => {
            system.store.compact();
            system.publish_configuration();
            None
        }
    })
}

async fn end_due(
    system: &mut Deployment,
    active: &mut Vec<(Instant, Active)>,
    now: Instant,
) -> Result<()> {
    let (due, left) = std::mem::take(active)
        .into_iter()
        .partition(|(until, _)| *until <= now);
    *active = left;
    for (_, fault) in due {
        match fault {
            Active::Paused(target) => system.signal(target, "CONT")?,
            Active::Killed(target) => system.launch(target)?,
            Active::Leaving(target) => {
                system.wait(target, Duration::from_secs(8)).await?;
                system.launch(target)?;
            }
            Active::Store => system.store.set_faults(StoreFaults::default()),
            Active::StorePath(target) => system.store_proxy(target).set_mode(ProxyMode::Pass),
            Active::Orders(index) => system.workers[index].delay_orders(0.0),
            Active::Answers(index) => system.workers[index].drop_responses(0.0),
        }
    }
    Ok(())
}

async fn check(
    system: &Deployment,
    client: &Client,
    job: &Submitted,
    settled: Instant,
) -> Result<()> {
    if job.refused && system.checker.has_started(&job.id) {
        return Err(format!("{} was refused and has started", job.id).into());
    }
    if !job.accepted {
        return Ok(());
    }
    let limit = settled.saturating_duration_since(Instant::now());
    let limit = limit.max(Duration::from_secs(1));
    let outcome = client.outcome(job.queue, &job.id, limit).await;
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
