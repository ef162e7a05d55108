//! Requests at an agent that no longer answers.

use std::time::Duration;

use harness::fixtures::{TOKEN, one_region};
use harness::{Caller, Deployment, Outcome, Programs, Result, Submission};
use serde_json::json;

/// An agent counts as gone after 3 s of silence; its last heartbeat may be 1 s old, a sweep and the directory take a
/// few hundred milliseconds.
const DETECTION_LIMIT: Duration = Duration::from_millis(4500);
/// Time for the request to reach the endpoint.
const UNDER_WAY: Duration = Duration::from_millis(300);

/// Freezes the agent that has the request and returns the outcome.
async fn freeze_agent_of(idempotent: bool) -> Result<(Outcome, u64)> {
    let deployment = Deployment::start(&one_region(1, 2), &Programs::locate()?).await?;
    let caller = Caller::new()?;
    let submission = Submission {
        service: "workshop".into(),
        account: "faro".into(),
        token: TOKEN.into(),
        idempotent: Some(idempotent),
        timeout_ms: Some(30_000),
        body: json!({"run_ms": 1000}),
        ..Submission::default()
    };
    let freeze = async {
        tokio::time::sleep(UNDER_WAY).await;
        for (number, url) in deployment.endpoint_urls.iter().enumerate() {
            if runs(&deployment, url).await? > 0 {
                return deployment.agents[number].signal("STOP");
            }
        }
        Err("the request did not start".into())
    };
    let (outcome, frozen) = tokio::join!(
        caller.submit(&deployment.entry_urls[0], &submission),
        freeze
    );
    frozen?;
    let mut sum = 0;
    for url in &deployment.endpoint_urls {
        sum += runs(&deployment, url).await?;
    }
    Ok((outcome, sum))
}

async fn runs(deployment: &Deployment, url: &str) -> Result<u64> {
    let counts = format!("{url}/control/runs");
    let counts = deployment.read_control(&counts).await?;
    let counts = counts["runs"].as_object().ok_or("no runs")?;
    Ok(counts.values().filter_map(serde_json::Value::as_u64).sum())
}

/// Guards against an idempotent request that hangs until its deadline at a frozen agent instead of running elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_agent_idempotent_request_runs_elsewhere() -> Result<()> {
    let (outcome, runs) = freeze_agent_of(true).await?;
    assert!(outcome.is_answered(), "{outcome:?}");
    assert_eq!(runs, 2);
    assert!(outcome.elapsed < UNDER_WAY + DETECTION_LIMIT + Duration::from_secs(1));
    Ok(())
}

/// Guards against a non-idempotent request that hangs at a frozen agent or runs twice.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_agent_non_idempotent_request_may_have_run() -> Result<()> {
    let (outcome, runs) = freeze_agent_of(false).await?;
    assert_eq!(&*outcome.verdict, "may_have_run", "{outcome:?}");
    assert_eq!(runs, 1);
    assert!(outcome.elapsed < UNDER_WAY + DETECTION_LIMIT, "{outcome:?}");
    Ok(())
}
