//! Jobs of the clients during a soak, and the check of how they end.

use std::ops::Range;
use std::time::{Duration, Instant};

use fastrand::Rng;
use platform_standin::{Client, Deployment, InvariantChecker, Result, TaskBody};

/// One in this many jobs has a task that crashes each worker that starts it.
const DEADLY_JOB_INTERVAL: u8 = 20;
/// Interval at which crashed workers are started again while jobs end.
const RESTART_INTERVAL: Duration = Duration::from_millis(500);
/// Accelerators of a worker.
const WORKER_ACCELERATORS: u32 = 8;

#[expect(
    clippy::struct_excessive_bools,
    reason = "independent properties of a submission"
)]
pub(super) struct SubmittedJob {
    id: String,
    queue: &'static str,
    fails: bool,
    cancelled: bool,
    accepted: bool,
    refused: bool,
}

/// When jobs are submitted.
#[derive(Debug, Clone)]
pub(super) struct Submissions {
    /// Range of the interval between jobs in milliseconds.
    pub(super) interval_ms: Range<u64>,
    /// End of the jobs that crash their workers.
    pub(super) crashes_end: Instant,
    pub(super) end: Instant,
}

/// Submits random jobs, and cancels some of them.
pub(super) async fn submit_all(
    client: Client,
    checker: InvariantChecker,
    seed: u64,
    submissions: Submissions,
) -> Vec<SubmittedJob> {
    let mut rng = Rng::with_seed(seed ^ 0x5eed);
    // A generator of its own, so that the other choices of a seed stay as they were.
    let mut deadly_rng = Rng::with_seed(seed ^ 0xdead);
    let mut running = Vec::new();
    let mut number = 0;
    while Instant::now() < submissions.end {
        number += 1;
        let id = format!("{:016x}", (seed << 20) + number);
        let gang = rng.u8(..3) == 0;
        let tasks = rng.u32(1..6);
        let steps = if gang { 1 } else { rng.u32(1..3) };
        let is_deadly = deadly_rng.u8(..DEADLY_JOB_INTERVAL) == 0;
        let body = TaskBody {
            run_ms: rng.u64(100..2_500),
            gang: if gang { tasks as usize } else { 0 },
            deadly: (is_deadly && Instant::now() < submissions.crashes_end).then_some(0),
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
        tokio::time::sleep(Duration::from_millis(
            rng.u64(submissions.interval_ms.clone()),
        ))
        .await;
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

/// Checks that a job ends by the deadline and in an allowed way.
pub(super) async fn check_job(
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
    let outcome = outcome_until(deployment, client, (job.queue, &job.id), deadline).await?;
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

/// Queries a job, given by queue and id, until it has ended or the deadline has passed; returns its last state.
async fn outcome_until(
    deployment: &mut Deployment,
    client: &Client,
    (queue, id): (&str, &str),
    deadline: Instant,
) -> Result<String> {
    let mut outcome = String::new();
    while !matches!(&*outcome, "completed" | "failed" | "cancelled") && Instant::now() < deadline {
        deployment.restart_crashed_workers().await?;
        outcome = client.outcome(queue, id, RESTART_INTERVAL).await;
    }
    Ok(outcome)
}

/// Checks that all workers are used: a gang that needs all their accelerators completes by the deadline.
pub(super) async fn check_all_workers_used(
    deployment: &mut Deployment,
    client: &Client,
    seed: u64,
    deadline: Instant,
) -> Result<()> {
    let tasks = deployment.workers.len();
    let body = TaskBody {
        run_ms: 500,
        gpu: WORKER_ACCELERATORS,
        gang: tasks,
        ..TaskBody::default()
    };
    let id = format!("{:016x}", (seed << 20) + 0xf_ffff);
    let job = Client::job(1, u32::try_from(tasks)?, &body);
    if !client.submit("urgent", &id, &job).await.0 {
        return Err(format!("{id} on all workers was not accepted").into());
    }
    let outcome = outcome_until(deployment, client, ("urgent", &id), deadline).await?;
    if outcome == "completed" {
        return Ok(());
    }
    Err(format!("a worker is not used any more: {id} on all workers is {outcome}").into())
}
