//! Submission, results, cancellation and visibility of jobs.

use std::time::{Duration, Instant};

use harness::jobs::{Cluster, gang, submission};
use harness::{Result, Submission};
use reqwest::Method;
use serde_json::{Value, json};

/// Guards against a job that does not complete, with and without a gang, and against an unbounded number of store
/// calls.
#[tokio::test(flavor = "multi_thread")]
async fn submit_ends_with_complete_response() -> Result<()> {
    let cluster = Cluster::start(1, 3).await?;
    for job in [
        submission(json!({"run_ms": 100})),
        gang(json!({"run_ms": 100})),
    ] {
        let before = cluster.store_calls().await?;
        let id = cluster.submit_accepted(0, &job).await?;
        let early = cluster.result(0, &id).await?;
        assert_eq!(early.status(), 425);
        tokio::time::sleep(Duration::from_millis(1500)).await;
        let after = cluster.store_calls().await?;
        let body = cluster.wait_for(0, &id, &["answered", "refused"]).await?;
        assert_eq!(
            (&body["verdict"], &body["attempt"]),
            (&json!("ran"), &json!(1)),
            "{body}"
        );
        let result = cluster.result(0, &id).await?;
        assert_eq!(
            (
                result.status().as_u16(),
                result.headers()["limpethook-verdict"].to_str()?
            ),
            (200, "ran")
        );
        let response: Value = result.json().await?;
        assert_eq!(
            response["request"],
            id.rsplit('.').next().unwrap_or_default()
        );
        let calls = (after.0 - before.0, after.1 - before.1);
        println!("store calls of one job: {} get, {} put", calls.0, calls.1);
        assert!(calls.0 <= 6 && calls.1 <= 4, "{calls:?}");
    }
    Ok(())
}

/// Guards against the truncation of responses that exceed one value of the store, and against oversized request bodies.
#[tokio::test(flavor = "multi_thread")]
async fn submit_stores_large_answer_in_chunks() -> Result<()> {
    let cluster = Cluster::start(1, 1).await?;
    let id = cluster
        .submit_accepted(0, &submission(json!({"answer_bytes": 2_500_000})))
        .await?;
    cluster.wait_for(0, &id, &["answered"]).await?;
    let response: Value = cluster.result(0, &id).await?.json().await?;
    assert_eq!(response["filler"].as_str().map(str::len), Some(2_500_000));
    // The owner does not keep bodies over 64 KB in memory while the job waits.
    let body = json!("x".repeat(800_000));
    let large_body_id = cluster
        .submit_accepted(0, &submission(body.clone()))
        .await?;
    cluster.wait_for(0, &large_body_id, &["answered"]).await?;
    let response: Value = cluster.result(0, &large_body_id).await?.json().await?;
    let digest = blake3::hash(body.to_string().as_bytes()).to_hex();
    assert_eq!(response["digest"], digest.as_str());
    let too_large = submission(json!("x".repeat(900_001)));
    let res = cluster.submit(0, &too_large).await?;
    assert_eq!(res.status(), 413);
    Ok(())
}

/// Guards against a job that is accepted without a stored record, and against a wrong verdict, while the store is down.
#[tokio::test(flavor = "multi_thread")]
async fn submit_refuses_while_store_is_down() -> Result<()> {
    let cluster = Cluster::start(1, 1).await?;
    cluster
        .set_store_faults(&json!({"outage": "refuse"}))
        .await?;
    let res = cluster.submit(0, &submission(json!({}))).await?;
    assert_eq!(res.status(), 503);
    assert!(res.headers().contains_key("retry-after"));
    let body: Value = res.json().await?;
    assert_eq!(body["error"]["verdict"], "not_run");
    let synchronous = cluster
        .caller
        .submit(cluster.url(0), &submission(json!({})))
        .await;
    assert!(
        synchronous.is_answered(),
        "synchronous requests need the store: {synchronous:?}"
    );
    Ok(())
}

/// Guards against a second job after a lost response of the store and after a repeated submission.
#[tokio::test(flavor = "multi_thread")]
async fn submit_deduplicates_after_lost_response() -> Result<()> {
    let cluster = Cluster::start(2, 1).await?;
    let job_with_key = Submission {
        idempotency_key: Some("k-1".into()),
        ..submission(json!({"run_ms": 50}))
    };
    cluster
        .set_store_faults(&json!({"lost_answers": {"count": 3}}))
        .await?;
    let id = cluster.submit_accepted(0, &job_with_key).await?;
    cluster.set_store_faults(&json!({})).await?;
    assert_eq!(cluster.submit_accepted(1, &job_with_key).await?, id);
    cluster.wait_for(0, &id, &["answered"]).await?;
    assert_eq!(
        cluster.submit_accepted(0, &job_with_key).await?,
        id,
        "the key of an ended job was forgotten"
    );
    let other_content = Submission {
        body: json!({"run_ms": 51}),
        ..job_with_key
    };
    assert_eq!(cluster.submit(0, &other_content).await?.status(), 409);
    assert_eq!(cluster.runs(&id).await?, 1);
    Ok(())
}

/// Guards against a cancelled job that keeps running, or that runs after the verdict `not_run`, with and without a
/// gang.
#[tokio::test(flavor = "multi_thread")]
async fn cancel_ends_queued_and_running_jobs() -> Result<()> {
    let cluster = Cluster::start(1, 2).await?;
    // Both jobs need all 16 accelerators, so the second one waits.
    let running = cluster
        .submit_accepted(0, &gang(json!({"run_ms": 30_000})))
        .await?;
    cluster.wait_until_run(0, &running).await?;
    let queued = cluster
        .submit_accepted(0, &gang(json!({"run_ms": 1})))
        .await?;
    let without_gang = cluster
        .submit_accepted(0, &submission(json!({"run_ms": 30_000})))
        .await?;
    cluster.wait_until_run(0, &without_gang).await?;
    for (id, verdict) in [
        (&queued, "not_run"),
        (&running, "may_have_run"),
        (&without_gang, "may_have_run"),
    ] {
        let started = Instant::now();
        for _ in 0..2 {
            let res = cluster.call_as("faro", 0, Method::DELETE, id).await?;
            assert_eq!(res.status(), 200, "a cancellation was rejected");
        }
        let body = cluster.wait_for(0, id, &["refused", "answered"]).await?;
        println!("cancelled after {:?}: {body}", started.elapsed());
        assert_eq!(
            (&body["state"], &body["verdict"]),
            (&json!("refused"), &json!(verdict)),
            "{body}"
        );
        assert_eq!(cluster.result(0, id).await?.status(), 409);
    }
    assert_eq!(cluster.runs(&queued).await?, 0);
    let next = cluster
        .submit_accepted(0, &gang(json!({"run_ms": 1})))
        .await?;
    cluster.wait_for(0, &next, &["answered"]).await?;
    Ok(())
}

/// Guards against a client account that can read, detect or cancel a job of another account.
#[tokio::test(flavor = "multi_thread")]
async fn find_hides_jobs_of_other_accounts() -> Result<()> {
    let cluster = Cluster::start(1, 1).await?;
    let id = cluster
        .submit_accepted(0, &submission(json!({"run_ms": 500})))
        .await?;
    let unknown = format!("caribe.{}", "0".repeat(32));
    for (method, path) in [
        (Method::GET, id.clone()),
        (Method::GET, format!("{id}/result")),
        (Method::DELETE, id.clone()),
        (Method::GET, unknown),
        (Method::GET, "nonsense".into()),
    ] {
        let res = cluster.call_as("puerto", 0, method, &path).await?;
        let status = res.status();
        let body: Value = res.json().await?;
        assert_eq!(
            (status.as_u16(), &body["error"]["message"]),
            (404, &json!("there is no such job")),
            "{path}"
        );
    }
    let body = cluster.wait_for(0, &id, &["answered", "refused"]).await?;
    assert_eq!(body["state"], "answered");
    Ok(())
}
