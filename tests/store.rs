//! The key-value service fails while synchronous requests go on.

use std::time::Duration;

use harness::fixtures::{gang, one_region, request, with_idempotency_key};
use harness::{Deployment, LoadGenerator, OutcomeSummary, Programs, Result};
use serde_json::{Value, json};

/// How long the store is away.
const OUTAGE: Duration = Duration::from_secs(10);
/// How long the load goes on after the store is back: the lease of the owner (3 s), a takeover and the wait for agents.
const AFTERMATH: Duration = Duration::from_secs(7);

/// Runs a load of short requests and gangs under a fault of the store and expects an answer to each.
async fn serve_under(faults: &[Value], each: Duration, aftermath: Duration) -> Result<()> {
    let deployment = Deployment::start(&one_region(2, 3), &Programs::locate()?).await?;
    let load = LoadGenerator::start(&deployment.entry_urls, 10, |number| {
        let submission = match number % 5 {
            0 => gang(6, json!({"run_ms": 300})),
            _ => request(json!({"run_ms": 30})),
        };
        with_idempotency_key(submission, number)
    })?;
    tokio::time::sleep(Duration::from_secs(1)).await;
    for fault in faults {
        deployment.set_store_faults(fault.clone()).await?;
        tokio::time::sleep(each).await;
    }
    deployment.clear_store_faults().await?;
    tokio::time::sleep(aftermath).await;
    let finished = load.finish().await;
    let tally = OutcomeSummary::new(&finished, &deployment.runs().await?);
    println!("store {faults:?}: {tally}");
    assert!(tally.is_consistent(), "{tally:?}");
    assert_eq!(tally.answered, finished.len(), "{tally}");
    let gangs = finished.iter().filter(|one| one.submission.shape.is_some());
    let longest = gangs.map(|one| one.outcome.elapsed).max();
    println!("longest gang request: {longest:?}");
    Ok(())
}

/// Guards against synchronous requests that need the store, and against a takeover after its return that loses work.
#[tokio::test(flavor = "multi_thread")]
async fn outage_keeps_requests() -> Result<()> {
    serve_under(&[json!({"outage": "refuse"})], OUTAGE, AFTERMATH).await
}

/// Guards against parts that wait without bound for a store that does not answer.
#[tokio::test(flavor = "multi_thread")]
async fn outage_without_answers_keeps_requests() -> Result<()> {
    serve_under(&[json!({"outage": "hang"})], OUTAGE, AFTERMATH).await
}

/// Guards against a slow store and lost answers that reach the request path.
#[tokio::test(flavor = "multi_thread")]
async fn slow_store_keeps_requests() -> Result<()> {
    let faults = [
        json!({"slow_ms": 800}),
        json!({"lost_answers": {"share": 0.5, "seed": 7}}),
        json!({"slow_ms": 300, "lost_answers": {}}),
    ];
    serve_under(&faults, Duration::from_secs(3), Duration::from_secs(1)).await
}

/// Guards against an entry that does not serve, or serves without accounts, when it starts during an outage.
#[tokio::test(flavor = "multi_thread")]
async fn outage_lets_entry_restart() -> Result<()> {
    let mut deployment = Deployment::start(&one_region(2, 2), &Programs::locate()?).await?;
    let view = deployment.owner(&deployment.entry_urls[0]).await?;
    let entries: Vec<Box<str>> = deployment.entries.keys().cloned().collect();
    let other = entries.into_iter().find(|id| *id != view.owner);
    let other = other.ok_or("no second entry")?;
    deployment
        .set_store_faults(json!({"outage": "refuse"}))
        .await?;
    deployment.kill(&other)?;
    deployment.restart(&other)?;
    deployment.wait_until_ready().await?;
    let url = deployment.entry_url(&other)?.to_owned();
    let caller = harness::Caller::new()?;
    for submission in [
        request(json!({"run_ms": 1})),
        gang(8, json!({"run_ms": 50})),
    ] {
        let outcome = caller.submit(&url, &submission).await;
        assert!(outcome.is_answered(), "{outcome:?}");
    }
    Ok(())
}
