//! Requests at an agent that stops responding.

use std::time::Duration;

use harness::fixtures::{TOKEN, one_region};
use harness::{Caller, Deployment, Outcome, Programs, Result, Submission};
use serde_json::json;

/// Maximum time from the freeze of an agent until its requests fail. An agent counts as lost after 3 s without a
/// heartbeat. The rest is the heartbeat interval (1 s) and a few hundred milliseconds for the periodic check and the
/// directory update.
const DETECTION_TIMEOUT: Duration = Duration::from_millis(4500);
/// Time from the submission to the freeze, in which the request reaches the endpoint.
const FREEZE_DELAY: Duration = Duration::from_millis(300);

/// Submits a request, freezes the agent that runs it, and returns the outcome and the number of runs at all endpoints.
async fn submit_and_freeze_agent(idempotent: bool) -> Result<(Outcome, u64)> {
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
        tokio::time::sleep(FREEZE_DELAY).await;
        for (number, url) in deployment.endpoint_urls.iter().enumerate() {
            if count_runs(&deployment, url).await? > 0 {
                return deployment.agents[number].signal("STOP");
            }
        }
        Err("no endpoint runs the request".into())
    };
    let (outcome, frozen) = tokio::join!(
        caller.submit(&deployment.entry_urls[0], &submission),
        freeze
    );
    frozen?;
    let mut total_runs = 0;
    for url in &deployment.endpoint_urls {
        total_runs += count_runs(&deployment, url).await?;
    }
    Ok((outcome, total_runs))
}

async fn count_runs(deployment: &Deployment, url: &str) -> Result<u64> {
    let counts = format!("{url}/control/runs");
    let counts = deployment.read_control(&counts).await?;
    let counts = counts["runs"].as_object().ok_or("no runs")?;
    Ok(counts.values().filter_map(serde_json::Value::as_u64).sum())
}

/// Guards against an idempotent request that waits for a frozen agent until its deadline instead of running elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_agent_idempotent_request_runs_elsewhere() -> Result<()> {
    let (outcome, runs) = submit_and_freeze_agent(true).await?;
    assert!(outcome.is_answered(), "{outcome:?}");
    assert_eq!(runs, 2);
    assert!(outcome.elapsed < FREEZE_DELAY + DETECTION_TIMEOUT + Duration::from_secs(1));
    Ok(())
}

/// Guards against a non-idempotent request that waits for a frozen agent until its deadline, or runs twice.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_agent_non_idempotent_request_may_have_run() -> Result<()> {
    let (outcome, runs) = submit_and_freeze_agent(false).await?;
    assert_eq!(&*outcome.verdict, "may_have_run", "{outcome:?}");
    assert_eq!(runs, 1);
    assert!(
        outcome.elapsed < FREEZE_DELAY + DETECTION_TIMEOUT,
        "{outcome:?}"
    );
    Ok(())
}
