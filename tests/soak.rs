//! Random faults under load. Every accepted request must have exactly one outcome, and it must match the recorded runs.
//!
//! The seed is printed. `SOAK_SEED` repeats the choices of a seed, and `SOAK_SECONDS` sets the duration of the long
//! run.

use std::time::Duration;

use harness::audit::{overcommitted, partial_gangs};
use harness::fixtures::{gang, one_region, request, with_idempotency_key};
use harness::{
    Caller, Deployment, FaultInjector, LoadGenerator, OutcomeSummary, Programs, Result, Submission,
    wait_until,
};
use serde_json::json;

const SHORT_DURATION: Duration = Duration::from_secs(10);
const LONG_DURATION: Duration = Duration::from_mins(1);
/// Timeout of each request; also limits the wait for the requests in flight at the end of the load.
const REQUEST_TIMEOUT_MS: u64 = 10_000;
/// Maximum time from the end of all faults until the cell works normally. Detection of a silent process takes 3 s, a
/// takeover 3 s, and the new owner waits 2 s for announcements.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);

fn submission(number: u64) -> Submission {
    let run_ms = 20 + number * 37 % 400;
    let submission = match number % 6 {
        0 => gang(2, json!({"run_ms": run_ms})),
        1 => gang(12, json!({"run_ms": run_ms})),
        2 => gang(5, json!({"run_ms": run_ms * 4})),
        _ => request(json!({"run_ms": run_ms / 4})),
    };
    let submission = Submission {
        idempotent: Some(number % 4 < 2),
        timeout_ms: Some(REQUEST_TIMEOUT_MS),
        ..submission
    };
    with_idempotency_key(submission, number)
}

async fn soak(duration: Duration, seed: u64) -> Result<()> {
    let seed_override = std::env::var("SOAK_SEED").ok().and_then(|s| s.parse().ok());
    let seed = seed_override.unwrap_or(seed);
    println!("seed={seed} seconds={}", duration.as_secs());
    let mut deployment = Deployment::start(&one_region(2, 4), &Programs::locate()?).await?;
    let load = LoadGenerator::start(&deployment.entry_urls, 32, submission)?;
    let mut injector = FaultInjector::new(seed);
    injector.run(&mut deployment, duration).await?;
    let completed = load.finish().await;
    let summary = OutcomeSummary::new(&completed, &deployment.runs().await?);
    println!("faults={} {summary}", injector.count());

    let caller = Caller::new()?;
    let url = &deployment.entry_urls[0];
    // Workers that were unreachable may be in quarantine, which is limited to half of the workers.
    let half_of_cell = gang(16, json!({"run_ms": 20}));
    let recovered_after = wait_until(
        "half of the cell runs a gang",
        RECOVERY_TIMEOUT,
        async || caller.submit(url, &half_of_cell).await.is_answered(),
    )
    .await?;
    println!("half of the cell ran a gang {recovered_after:?} after the load");
    let tasks = deployment.tasks().await?;
    let last_end = tasks.iter().filter_map(|t| t.end_us).max().unwrap_or(0);
    let partial_tasks = partial_gangs(&tasks, last_end);
    println!("tasks={} partial={}", tasks.len(), partial_tasks.len());
    assert!(summary.is_consistent(), "{summary:?}");
    assert!(summary.answered > 0, "{summary}");
    assert_eq!(partial_tasks, [], "a gang ran partially");
    let overcommitted_tasks = overcommitted(&tasks, 8);
    println!("overcommitted={}", overcommitted_tasks.len());
    assert_eq!(overcommitted_tasks, [], "a worker was overcommitted");
    Ok(())
}

/// Guards against wrong verdicts, duplicate runs, foreign responses and partial gangs under random faults.
#[tokio::test(flavor = "multi_thread")]
async fn soak_short_run() -> Result<()> {
    soak(SHORT_DURATION, 1).await
}

/// Guards against the same errors when they occur only in a long run.
#[tokio::test(flavor = "multi_thread")]
#[ignore = "takes a minute; run with --ignored"]
async fn soak_long_run() -> Result<()> {
    let seconds = std::env::var("SOAK_SECONDS")
        .ok()
        .and_then(|s| s.parse().ok());
    let duration = seconds.map_or(LONG_DURATION, Duration::from_secs);
    soak(duration, u64::from(std::process::id())).await
}
