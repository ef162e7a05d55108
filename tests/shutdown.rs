//! Shutdown of entries and agents by signals while requests are in progress.

use std::time::{Duration, Instant};

use harness::fixtures::{TOKEN, one_region};
use harness::{Caller, Deployment, Process, Programs, Result, Submission};
use serde_json::{Value, json};

/// Time after the second signal in which every request must receive its verdict.
const ABORT_TIMEOUT: Duration = Duration::from_secs(1);
/// Exit code of a shutdown that aborted work in progress.
const EXIT_WORK_ABORTED: i32 = 4;
/// Time after the start of an agent until it accepts reservations. A new agent refuses them for one reservation term
/// (2 s), because its previous incarnation may have granted reservations that are still valid.
const RESERVATION_DELAY: Duration = Duration::from_millis(2200);
/// Time in which the requests of a test reach the endpoint or a queue.
const REQUEST_START_DELAY: Duration = Duration::from_millis(400);

fn submission(body: Value) -> Submission {
    Submission {
        service: "workshop".into(),
        account: "faro".into(),
        token: TOKEN.into(),
        timeout_ms: Some(20_000),
        idempotent: Some(false),
        body,
        ..Submission::default()
    }
}

/// Sends two SIGTERM signals. Returns the time of the second one and the exit code.
async fn abort_process(process: &mut Process) -> Result<(Instant, Option<i32>)> {
    tokio::time::sleep(REQUEST_START_DELAY).await;
    process.signal("TERM")?;
    tokio::time::sleep(Duration::from_millis(100)).await;
    process.signal("TERM")?;
    let signal_time = Instant::now();
    let status = process.wait(ABORT_TIMEOUT + REQUEST_START_DELAY).await?;
    Ok((signal_time, status.code()))
}

/// Guards against a drain that aborts a request in progress or accepts a new one.
#[tokio::test(flavor = "multi_thread")]
async fn drain_finishes_request_in_progress() -> Result<()> {
    let mut deployment = Deployment::start(&one_region(1, 1), &Programs::locate()?).await?;
    let caller = Caller::new()?;
    let url = deployment.entry_urls[0].clone();
    let long_request = submission(json!({"run_ms": 1200}));
    let entry = &mut deployment.entries["entry-0"];
    let (in_progress, rejected) = tokio::join!(caller.submit(&url, &long_request), async {
        tokio::time::sleep(REQUEST_START_DELAY).await;
        entry.signal("TERM").ok();
        tokio::time::sleep(Duration::from_millis(100)).await;
        caller.submit(&url, &submission(json!({}))).await
    });
    assert!(in_progress.is_answered(), "{in_progress:?}");
    assert_eq!(&*rejected.verdict, "not_run", "{rejected:?}");
    let status = entry.wait(Duration::from_secs(5)).await?;
    assert_eq!(status.code(), Some(0));
    Ok(())
}

/// Guards against connections that are closed without a verdict, and against wrong verdicts, when an entry is aborted.
#[tokio::test(flavor = "multi_thread")]
async fn second_signal_ends_entry_with_verdicts() -> Result<()> {
    let mut deployment = Deployment::start(&one_region(2, 1), &Programs::locate()?).await?;
    let caller = Caller::new()?;
    // A draining owner rejects the jobs in its queue, so the other entry is shut down.
    let status = deployment.status(&deployment.entry_urls[0]).await?;
    let number = usize::from(status["cells"][0]["owner"] == "entry-0");
    let url = deployment.entry_urls[number].clone();
    tokio::time::sleep(RESERVATION_DELAY).await;
    let running = submission(json!({"run_ms": 10_000}));
    let gang = Submission {
        shape: Some(json!({"tasks": 1, "accelerators": 8})),
        // A non-idempotent gang would wait for a worker on which a task has completed successfully.
        idempotent: Some(true),
        ..running.clone()
    };
    let waiting_gang = async {
        tokio::time::sleep(REQUEST_START_DELAY / 2).await;
        let outcome = caller.submit(&url, &gang).await;
        (outcome, Instant::now())
    };
    let entry = &mut deployment.entries[number];
    let (without_gang, running_gang, waiting_gang, abort_result) = tokio::join!(
        async { (caller.submit(&url, &running).await, Instant::now()) },
        async { (caller.submit(&url, &gang).await, Instant::now()) },
        waiting_gang,
        abort_process(entry),
    );
    let (signal_time, code) = abort_result?;
    assert_eq!(code, Some(EXIT_WORK_ABORTED));
    let expected = [
        (without_gang, "may_have_run"),
        (running_gang, "may_have_run"),
        (waiting_gang, "not_run"),
    ];
    for ((outcome, completed_at), verdict) in expected {
        assert_eq!(&*outcome.verdict, verdict, "{outcome:?}");
        assert!(completed_at - signal_time < ABORT_TIMEOUT, "{outcome:?}");
    }
    Ok(())
}

/// Guards against missing responses and wrong verdicts when an agent is aborted.
#[tokio::test(flavor = "multi_thread")]
async fn second_signal_ends_agent_with_verdicts() -> Result<()> {
    let mut plan = one_region(1, 1);
    plan.agents[0].slots = 1;
    let mut deployment = Deployment::start(&plan, &Programs::locate()?).await?;
    let caller = Caller::new()?;
    let url = deployment.entry_urls[0].clone();
    let long_request = submission(json!({"run_ms": 10_000}));
    let agent = &mut deployment.agents["agent-0"];
    let (running, queued, abort_result) = tokio::join!(
        async { (caller.submit(&url, &long_request).await, Instant::now()) },
        async {
            tokio::time::sleep(REQUEST_START_DELAY / 2).await;
            (caller.submit(&url, &long_request).await, Instant::now())
        },
        abort_process(agent),
    );
    let (signal_time, code) = abort_result?;
    assert_eq!(code, Some(EXIT_WORK_ABORTED));
    for ((outcome, completed_at), verdict) in [(running, "may_have_run"), (queued, "not_run")] {
        assert_eq!(&*outcome.verdict, verdict, "{outcome:?}");
        assert!(completed_at - signal_time < ABORT_TIMEOUT, "{outcome:?}");
    }
    let url = format!("{}/control/runs", deployment.endpoint_urls[0]);
    let runs = deployment.read_control(&url).await?;
    assert_eq!(runs["runs"].as_object().map(serde_json::Map::len), Some(1));
    Ok(())
}
