//! The end of entries and agents by signals, with requests in progress.

use std::time::{Duration, Instant};

use harness::fixtures::{TOKEN, one_region};
use harness::{Caller, Deployment, Process, Programs, Result, Submission};
use serde_json::{Value, json};

/// Every request has its verdict within this time of the second signal.
const CUT_OFF_LIMIT: Duration = Duration::from_secs(1);
/// Exit code of a shutdown that cut off work in progress.
const CUT_OFF: i32 = 4;
/// A new agent refuses reservations for one reservation term, which an earlier life may have promised.
const FIRST_RESERVATION: Duration = Duration::from_millis(2200);
/// Time for the requests of a test to reach the endpoint or a queue.
const UNDER_WAY: Duration = Duration::from_millis(400);

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

/// Sends two signals and returns when the second one was sent, and the exit code.
async fn cut_off(process: &mut Process) -> Result<(Instant, Option<i32>)> {
    tokio::time::sleep(UNDER_WAY).await;
    process.signal("TERM")?;
    tokio::time::sleep(Duration::from_millis(100)).await;
    process.signal("TERM")?;
    let sent = Instant::now();
    let status = process.wait(CUT_OFF_LIMIT + UNDER_WAY).await?;
    Ok((sent, status.code()))
}

/// Guards against a shutdown that cuts off a request in progress or takes a new one.
#[tokio::test(flavor = "multi_thread")]
async fn drain_finishes_request_in_progress() -> Result<()> {
    let mut deployment = Deployment::start(&one_region(1, 1), &Programs::locate()?).await?;
    let caller = Caller::new()?;
    let url = deployment.entry_urls[0].clone();
    let slow = submission(json!({"run_ms": 1200}));
    let entry = &mut deployment.entries["entry-0"];
    let (answered, refused) = tokio::join!(caller.submit(&url, &slow), async {
        tokio::time::sleep(UNDER_WAY).await;
        entry.signal("TERM").ok();
        tokio::time::sleep(Duration::from_millis(100)).await;
        caller.submit(&url, &submission(json!({}))).await
    });
    assert!(answered.is_answered(), "{answered:?}");
    assert_eq!(&*refused.verdict, "not_run", "{refused:?}");
    let status = entry.wait(Duration::from_secs(5)).await?;
    assert_eq!(status.code(), Some(0));
    Ok(())
}

/// Guards against connections that break without a verdict, and against a false one, when an entry ends at once.
#[tokio::test(flavor = "multi_thread")]
async fn second_signal_ends_entry_with_verdicts() -> Result<()> {
    let mut deployment = Deployment::start(&one_region(2, 1), &Programs::locate()?).await?;
    let caller = Caller::new()?;
    // A draining owner refuses the jobs in its queue, so the other entry is ended.
    let status = deployment.status(&deployment.entry_urls[0]).await?;
    let number = usize::from(status["cells"][0]["owner"] == "entry-0");
    let url = deployment.entry_urls[number].clone();
    tokio::time::sleep(FIRST_RESERVATION).await;
    let running = submission(json!({"run_ms": 10_000}));
    let gang = Submission {
        shape: Some(json!({"tasks": 1, "accelerators": 8})),
        // A non-idempotent gang would wait for a worker on which a task ended well.
        idempotent: Some(true),
        ..running.clone()
    };
    let waiting = async {
        tokio::time::sleep(UNDER_WAY / 2).await;
        let outcome = caller.submit(&url, &gang).await;
        (outcome, Instant::now())
    };
    let entry = &mut deployment.entries[number];
    let (short, placed, waiting, cut) = tokio::join!(
        async { (caller.submit(&url, &running).await, Instant::now()) },
        async { (caller.submit(&url, &gang).await, Instant::now()) },
        waiting,
        cut_off(entry),
    );
    let (sent, code) = cut?;
    assert_eq!(code, Some(CUT_OFF));
    let expected = [
        (short, "may_have_run"),
        (placed, "may_have_run"),
        (waiting, "not_run"),
    ];
    for ((outcome, at), verdict) in expected {
        assert_eq!(&*outcome.verdict, verdict, "{outcome:?}");
        assert!(at - sent < CUT_OFF_LIMIT, "{outcome:?}");
    }
    Ok(())
}

/// Guards against replies that never come, and against a false verdict, when an agent ends at once.
#[tokio::test(flavor = "multi_thread")]
async fn second_signal_ends_agent_with_verdicts() -> Result<()> {
    let mut plan = one_region(1, 1);
    plan.agents[0].slots = 1;
    let mut deployment = Deployment::start(&plan, &Programs::locate()?).await?;
    let caller = Caller::new()?;
    let url = deployment.entry_urls[0].clone();
    let slow = submission(json!({"run_ms": 10_000}));
    let agent = &mut deployment.agents["agent-0"];
    let (running, queued, cut) = tokio::join!(
        async { (caller.submit(&url, &slow).await, Instant::now()) },
        async {
            tokio::time::sleep(UNDER_WAY / 2).await;
            (caller.submit(&url, &slow).await, Instant::now())
        },
        cut_off(agent),
    );
    let (sent, code) = cut?;
    assert_eq!(code, Some(CUT_OFF));
    for ((outcome, at), verdict) in [(running, "may_have_run"), (queued, "not_run")] {
        assert_eq!(&*outcome.verdict, verdict, "{outcome:?}");
        assert!(at - sent < CUT_OFF_LIMIT, "{outcome:?}");
    }
    let url = format!("{}/control/runs", deployment.endpoint_urls[0]);
    let runs = deployment.read_control(&url).await?;
    assert_eq!(runs["runs"].as_object().map(serde_json::Map::len), Some(1));
    Ok(())
}
