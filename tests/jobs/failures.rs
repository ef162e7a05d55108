//! Jobs during failures of processes and of the store.

use std::time::Duration;

use harness::jobs::{Cluster, JOB_TIMEOUT, gang, submission};
use harness::{Result, Submission};
use reqwest::Method;
use serde_json::json;

/// Guards against a second run or a lost outcome when the owner is killed while jobs are running.
#[tokio::test(flavor = "multi_thread")]
async fn owner_killed_keeps_running_jobs() -> Result<()> {
    let mut cluster = Cluster::start(2, 3).await?;
    let (owner, other) = cluster.owner_and_other().await?;
    let mut ids = Vec::new();
    for idempotent in [true, false] {
        for job in [
            submission(json!({"run_ms": 6000})),
            gang(json!({"run_ms": 6000})),
        ] {
            let job = Submission {
                idempotent: Some(idempotent),
                // Two of these gangs fit into the rack, so that both run concurrently.
                shape: job
                    .shape
                    .map(|_| json!({"tasks": 8, "accelerators": 1, "adjacency": "rack"})),
                ..job
            };
            ids.push(cluster.submit_accepted(other, &job).await?);
        }
    }
    for id in &ids {
        cluster.wait_until_run(other, id).await?;
    }
    // Needs all accelerators, so it waits until the running gangs have ended.
    let whole_cell = Submission {
        shape: Some(json!({"tasks": 24, "accelerators": 1, "adjacency": "rack"})),
        ..submission(json!({"run_ms": 1}))
    };
    let queued = cluster.submit_accepted(other, &whole_cell).await?;
    ids.push(queued.clone());
    let name = format!("entry-{owner}");
    cluster.deployment.entries[&*name].kill()?;
    for id in &ids {
        let body = cluster
            .wait_for(other, id, &["answered", "refused"])
            .await?;
        assert_eq!(body["state"], "answered", "{body}");
        assert_eq!(cluster.result(other, id).await?.status(), 200);
        assert_eq!(
            cluster.runs(id).await?,
            1,
            "job {id} did not run exactly once"
        );
        // Reservations that are refused because of running gangs do not count as attempts, but a start that times out
        // does.
        let attempts = if *id == queued { 1..=5 } else { 1..=1 };
        assert!(
            attempts.contains(&body["attempt"].as_u64().unwrap_or_default()),
            "{body}"
        );
    }
    Ok(())
}

/// Guards against a wrong verdict when the agent is killed while it runs jobs: only the idempotent job may run again.
#[tokio::test(flavor = "multi_thread")]
async fn agent_killed_repeats_only_idempotent_jobs() -> Result<()> {
    let mut cluster = Cluster::start(1, 1).await?;
    let job = |idempotent| Submission {
        idempotent: Some(idempotent),
        ..submission(json!({"run_ms": 3000}))
    };
    let idempotent_id = cluster.submit_accepted(0, &job(true)).await?;
    let non_idempotent_id = cluster.submit_accepted(0, &job(false)).await?;
    cluster.wait_until_run(0, &idempotent_id).await?;
    cluster.wait_until_run(0, &non_idempotent_id).await?;
    cluster.deployment.agents["agent-0"].kill()?;
    cluster.deployment.restart("agent-0")?;
    let body = cluster
        .wait_for(0, &non_idempotent_id, &["answered", "refused"])
        .await?;
    assert_eq!(body["verdict"], "may_have_run", "{body}");
    let body = cluster
        .wait_for(0, &idempotent_id, &["answered", "refused"])
        .await?;
    assert_eq!(
        (&body["state"], &body["attempt"]),
        (&json!("answered"), &json!(2)),
        "{body}"
    );
    assert_eq!(
        (
            cluster.runs(&idempotent_id).await?,
            cluster.runs(&non_idempotent_id).await?
        ),
        (2, 1)
    );
    Ok(())
}

/// Guards against a job that is given up because its agent is silent for longer than 10 s, although the agent is only paused
/// and has the answer afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn agent_frozen_keeps_non_idempotent_job() -> Result<()> {
    let cluster = Cluster::start(1, 1).await?;
    let job = Submission {
        idempotent: Some(false),
        ..submission(json!({"run_ms": 1000}))
    };
    let id = cluster.submit_accepted(0, &job).await?;
    cluster.wait_until_run(0, &id).await?;
    cluster.deployment.agents["agent-0"].signal("STOP")?;
    let frozen = tokio::time::Instant::now();
    while frozen.elapsed() < Duration::from_secs(25) {
        let body = cluster.state(0, &id).await?;
        assert_eq!(body["state"], "running", "{body}");
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    cluster.deployment.agents["agent-0"].signal("CONT")?;
    let body = cluster.wait_for(0, &id, &["answered", "refused"]).await?;
    assert_eq!(body["state"], "answered", "{body}");
    assert_eq!(cluster.runs(&id).await?, 1);
    Ok(())
}

/// Guards against a job that stays without an outcome until its deadline although the process of its agent has ended, or
/// although it was cancelled.
#[tokio::test(flavor = "multi_thread")]
async fn agent_lost_ends_non_idempotent_job() -> Result<()> {
    let mut cluster = Cluster::start(1, 2).await?;
    let job = Submission {
        idempotent: Some(false),
        timeout_ms: Some(600_000),
        ..submission(json!({"run_ms": 1000}))
    };
    for kill in [true, false] {
        let id = cluster.submit_accepted(0, &job).await?;
        cluster.wait_until_run(0, &id).await?;
        let mut holder = None;
        for number in 0..2 {
            let runs = cluster.deployment.runs_at(number).await?;
            if runs.keys().any(|run| id.ends_with(&**run)) {
                holder = Some(format!("agent-{number}"));
            }
        }
        let holder = holder.ok_or("no endpoint runs the job")?;
        if kill {
            cluster.deployment.kill(&holder)?;
        } else {
            cluster.deployment.signal(&holder, "STOP")?;
            let cancelled = cluster.call_as("faro", 0, Method::DELETE, &id).await?;
            assert!(cancelled.status().is_success());
        }
        let body = cluster.wait_for(0, &id, &["answered", "refused"]).await?;
        assert_eq!(body["verdict"], "may_have_run", "{body}");
    }
    Ok(())
}

/// Guards against a lost outcome or a second run when the agent and the owner are shut down while a job is running.
#[tokio::test(flavor = "multi_thread")]
async fn shutdown_hands_over_running_job() -> Result<()> {
    let mut cluster = Cluster::start(2, 1).await?;
    let (owner, other) = cluster.owner_and_other().await?;
    let id = cluster
        .submit_accepted(other, &submission(json!({"run_ms": 4000})))
        .await?;
    cluster.wait_until_run(other, &id).await?;
    for name in ["agent-0".into(), format!("entry-{owner}")] {
        let agents = &cluster.deployment.agents;
        let process = agents
            .get(&*name)
            .or(cluster.deployment.entries.get(&*name));
        process.ok_or("process")?.signal("TERM")?;
    }
    let agent = &mut cluster.deployment.agents["agent-0"];
    assert!(agent.wait(JOB_TIMEOUT).await?.success());
    let body = cluster
        .wait_for(other, &id, &["answered", "refused"])
        .await?;
    assert_eq!(body["state"], "answered", "{body}");
    assert_eq!(cluster.runs(&id).await?, 1);
    Ok(())
}

/// Guards against a lost or wrong outcome because of an outage of the store, and against a second outcome from an owner
/// that is resumed after another entry took over.
#[tokio::test(flavor = "multi_thread")]
async fn store_outage_and_frozen_owner_keep_one_outcome() -> Result<()> {
    let cluster = Cluster::start(2, 1).await?;
    let (owner, other) = cluster.owner_and_other().await?;
    let id = cluster
        .submit_accepted(other, &submission(json!({"run_ms": 1500})))
        .await?;
    cluster.wait_until_run(other, &id).await?;
    cluster.set_store_faults(&json!({"outage": "hang"})).await?;
    tokio::time::sleep(Duration::from_secs(3)).await;
    cluster.set_store_faults(&json!({})).await?;
    cluster.wait_for(other, &id, &["answered"]).await?;

    let second = cluster
        .submit_accepted(other, &submission(json!({"run_ms": 2000})))
        .await?;
    cluster.wait_until_run(other, &second).await?;
    let process = &cluster.deployment.entries[&*format!("entry-{owner}")];
    process.signal("STOP")?;
    let body = cluster
        .wait_for(other, &second, &["answered", "refused"])
        .await;
    process.signal("CONT")?;
    assert_eq!(body?["state"], "answered");
    tokio::time::sleep(Duration::from_secs(1)).await;
    for id in [&id, &second] {
        let body = cluster.state(other, id).await?;
        assert_eq!(
            (&body["state"], cluster.runs(id).await?),
            (&json!("answered"), 1)
        );
    }
    Ok(())
}
