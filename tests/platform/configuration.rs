//! The configuration by which an entry handles requests beside pauses and silent connections.

use std::time::{Duration, Instant};

use platform_standin::{Deployment, ProxyMode, Result, Target};
use reqwest::{Method, StatusCode};
use serde_json::json;

use crate::start_deployment;

/// The bound in the settings of the deployment.
const BOUND: Duration = Duration::from_secs(4);
const ENTRY: Target = Target::Entry(0);
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Writes a configuration in which the token of the client is withdrawn.
fn withdraw_token(deployment: &Deployment) {
    let document = json!({"version": 900, "limits": {"maxBodyBytes": 262_144},
        "routes": [{"name": "batch", "host": "queues.example", "prefix": "/batch/", "service": "optics",
            "timeoutMs": 3000, "targetDurationMs": 1000, "priority": 1, "maxAttempts": 3, "stretch": 3.0}],
        "tenants": [{"name": "faro", "apiKeys": ["another token"], "guaranteed": {"gpu": 8}}]});
    deployment.store.put("op/config", &document);
}

async fn status(deployment: &Deployment) -> Result<Option<StatusCode>> {
    let client = deployment.client()?;
    let path = "/batch/00000000000000c1";
    let answer = client.call(0, Method::GET, path, None).await;
    Ok(answer.map(|(status, _)| status))
}

/// Waits until the entry handles requests of the client, whose job does not exist.
async fn wait_until_configured(deployment: &Deployment) -> Result<()> {
    let deadline = Instant::now() + START_TIMEOUT;
    while status(deployment).await? != Some(StatusCode::GONE) {
        assert!(Instant::now() < deadline, "the entry is configured");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Ok(())
}

/// Guards against a paused process that answers its first requests by a configuration that was replaced during the pause.
#[tokio::test(flavor = "multi_thread")]
async fn request_after_pause_is_handled_by_newest_configuration() -> Result<()> {
    let name = "request_after_pause_is_handled_by_newest_configuration";
    let mut deployment = start_deployment(name, 1, 1).await?;
    wait_until_configured(&deployment).await?;
    deployment.signal(ENTRY, "STOP")?;
    deployment.store_proxy(ENTRY).set_mode(ProxyMode::Reset);
    withdraw_token(&deployment);
    tokio::time::sleep(BOUND + Duration::from_millis(500)).await;
    deployment.store_proxy(ENTRY).set_mode(ProxyMode::Pass);
    deployment.signal(ENTRY, "CONT")?;
    assert_eq!(status(&deployment).await?, Some(StatusCode::UNAUTHORIZED));
    Ok(())
}

/// Guards against a withdrawn token that stays valid because all open connections to the store have gone silent while new ones
/// work, on an entry without peers.
#[tokio::test(flavor = "multi_thread")]
async fn change_beside_silent_connections_is_applied() -> Result<()> {
    let name = "change_beside_silent_connections_is_applied";
    let deployment = start_deployment(name, 1, 1).await?;
    wait_until_configured(&deployment).await?;
    deployment.store_proxy(ENTRY).stall_open_connections();
    withdraw_token(&deployment);
    let deadline = Instant::now() + BOUND;
    while status(&deployment).await? != Some(StatusCode::UNAUTHORIZED) {
        assert!(Instant::now() < deadline, "the token is withdrawn in time");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}

/// Guards against entries that call the store without a pause after its history was compacted.
#[tokio::test(flavor = "multi_thread")]
async fn compaction_causes_few_calls() -> Result<()> {
    let deployment = start_deployment("compaction_causes_few_calls", 1, 1).await?;
    wait_until_configured(&deployment).await?;
    deployment.store.put("other/key", &json!({}));
    deployment.store.compact();
    // The watches that wait at this time end.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = deployment.store.call_count();
    tokio::time::sleep(Duration::from_secs(2)).await;
    let calls = deployment.store.call_count() - before;
    assert!(calls < 40, "{calls} calls in two seconds");
    Ok(())
}
