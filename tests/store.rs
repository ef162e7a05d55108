//! Synchronous requests during faults of the key-value service.

use std::time::Duration;

use harness::fixtures::{gang, one_region, request, with_idempotency_key};
use harness::{Deployment, LoadGenerator, OutcomeSummary, Programs, Result};
use serde_json::{Value, json};

/// Duration of an outage of the store.
const OUTAGE_DURATION: Duration = Duration::from_secs(10);
/// Duration of the load after an outage: the lease of the owner (3 s), a takeover and the wait for announcements of
/// agents.
const RECOVERY_DURATION: Duration = Duration::from_secs(7);

/// Runs a load of short requests and gangs while the store has each of the faults in turn, and checks that all requests
/// are answered.
async fn serve_during(
    faults: &[Value],
    fault_duration: Duration,
    recovery: Duration,
) -> Result<()> {
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
        tokio::time::sleep(fault_duration).await;
    }
    deployment.clear_store_faults().await?;
    tokio::time::sleep(recovery).await;
    let completed = load.finish().await;
    let summary = OutcomeSummary::new(&completed, &deployment.runs().await?);
    println!("store {faults:?}: {summary}");
    assert!(summary.is_consistent(), "{summary:?}");
    assert_eq!(summary.answered, completed.len(), "{summary}");
    let gangs = completed
        .iter()
        .filter(|request| request.submission.shape.is_some());
    let longest_gang_request = gangs.map(|request| request.outcome.elapsed).max();
    println!("longest gang request: {longest_gang_request:?}");
    Ok(())
}

/// Guards against synchronous requests that depend on the store, and against a takeover after its recovery that loses
/// work.
#[tokio::test(flavor = "multi_thread")]
async fn serve_during_outage() -> Result<()> {
    serve_during(
        &[json!({"outage": "refuse"})],
        OUTAGE_DURATION,
        RECOVERY_DURATION,
    )
    .await
}

/// Guards against unbounded waits for a store that accepts calls but does not respond.
#[tokio::test(flavor = "multi_thread")]
async fn serve_during_unresponsive_store() -> Result<()> {
    serve_during(
        &[json!({"outage": "hang"})],
        OUTAGE_DURATION,
        RECOVERY_DURATION,
    )
    .await
}

/// Guards against a slow store and lost responses that affect synchronous requests.
#[tokio::test(flavor = "multi_thread")]
async fn serve_during_slow_store() -> Result<()> {
    let faults = [
        json!({"slow_ms": 800}),
        json!({"lost_answers": {"share": 0.5, "seed": 7}}),
        json!({"slow_ms": 300, "lost_answers": {}}),
    ];
    serve_during(&faults, Duration::from_secs(3), Duration::from_secs(1)).await
}

/// Guards against an entry that is restarted during an outage and does not serve, or does not know the client accounts.
#[tokio::test(flavor = "multi_thread")]
async fn restart_during_outage() -> Result<()> {
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
