//! Life cycle of a job from its submission to its end.

use std::time::Duration;

use platform_standin::{Client, Result, StoreFaults, TaskBody};
use reqwest::{Method, StatusCode};

use crate::start_deployment;

const OUTCOME_TIMEOUT: Duration = Duration::from_secs(20);

/// Guards against a job whose steps or gangs do not complete.
#[tokio::test(flavor = "multi_thread")]
async fn job_completes() -> Result<()> {
    let deployment = start_deployment("job_completes", 2, 4).await?;
    let client = deployment.client()?;
    let steps = TaskBody {
        run_ms: 100,
        gpu: 1,
        predecessors: 6,
        ..TaskBody::default()
    };
    let gang = TaskBody {
        run_ms: 150,
        gpu: 4,
        gang: 5,
        ..TaskBody::default()
    };
    for (id, body) in [
        ("00000000000000a1", Client::job(2, 6, &steps)),
        ("00000000000000a2", Client::job(1, 5, &gang)),
    ] {
        assert_eq!(client.submit("batch", id, &body).await, (true, false));
        assert_eq!(
            client.outcome("batch", id, OUTCOME_TIMEOUT).await,
            "completed"
        );
    }
    assert_eq!(deployment.checker.start_count(), 17);
    assert_eq!(deployment.checker.violations(), Vec::<String>::new());
    Ok(())
}

/// Guards against a client that queries a job right after its task has ended, receives the state `running`, and learns
/// of the completion only with its next query. The first query must wait for the pending end of the task.
#[tokio::test(flavor = "multi_thread")]
async fn state_waits_for_pending_end() -> Result<()> {
    const JOBS: u64 = 10;
    let deployment = start_deployment("state_waits_for_pending_end", 2, 2).await?;
    let client = deployment.client()?;
    let body = TaskBody {
        run_ms: 200,
        gpu: 1,
        ..TaskBody::default()
    };
    deployment.store.set_faults(StoreFaults {
        delay: Duration::from_millis(40),
        ..StoreFaults::default()
    });
    let mut completed = 0;
    for number in 0..JOBS {
        let id = format!("{:016x}", 0xb300 + number);
        assert!(
            client
                .submit("batch", &id, &Client::job(1, 1, &body))
                .await
                .0
        );
        let task = format!("{id}.0.0.0");
        while !deployment.checker.is_done(&task) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let path = format!("/batch/{id}");
        let entry = usize::try_from(number)?;
        let response = client.call(entry, Method::GET, &path, None).await;
        completed += u64::from(response.is_some_and(|(_, body)| body["state"] == "completed"));
        assert_eq!(
            client.outcome("batch", &id, OUTCOME_TIMEOUT).await,
            "completed"
        );
    }
    // On a busy machine, an end can be delayed for longer than a query waits.
    assert!(completed * 2 > JOBS, "{completed} of {JOBS}");
    Ok(())
}

/// Guards against a job that is retried indefinitely because all its runs fail.
#[tokio::test(flavor = "multi_thread")]
async fn job_fails_after_max_attempts() -> Result<()> {
    let deployment = start_deployment("job_fails_after_max_attempts", 1, 2).await?;
    let client = deployment.client()?;
    let body = TaskBody {
        run_ms: 50,
        gpu: 1,
        fail: true,
        ..TaskBody::default()
    };
    let id = "00000000000000b1";
    client.submit("batch", id, &Client::job(1, 1, &body)).await;
    assert_eq!(client.outcome("batch", id, OUTCOME_TIMEOUT).await, "failed");
    assert_eq!(deployment.checker.start_count(), 3);
    Ok(())
}

/// Guards against rejections with a wrong status, and against a wrong status for jobs that do not exist.
#[tokio::test(flavor = "multi_thread")]
async fn call_refused_with_status() -> Result<()> {
    let deployment = start_deployment("call_refused_with_status", 1, 1).await?;
    let client = deployment.client()?;
    let calls = [
        (
            Method::GET,
            "/nowhere/00000000000000c1",
            StatusCode::NOT_FOUND,
        ),
        (Method::GET, "/batch/00000000000000c1", StatusCode::GONE),
        (Method::DELETE, "/batch/00000000000000c1", StatusCode::GONE),
        (
            Method::POST,
            "/batch/00000000000000c2",
            StatusCode::BAD_REQUEST,
        ),
        (Method::GET, "/batch/", StatusCode::OK),
    ];
    for (method, path, expected) in calls {
        let response = client.call(0, method, path, None).await;
        let (status, _) = response.ok_or("no response")?;
        assert_eq!(status, expected, "{path}");
    }
    Ok(())
}

/// Guards against a job that runs although its cancellation arrived before its creation.
#[tokio::test(flavor = "multi_thread")]
async fn cancel_wins_over_later_creation() -> Result<()> {
    let deployment = start_deployment("cancel_wins_over_later_creation", 2, 1).await?;
    let client = deployment.client()?;
    let id = "00000000000000d1";
    client
        .call(0, Method::DELETE, &format!("/batch/{id}"), None)
        .await;
    let body = TaskBody {
        run_ms: 50,
        gpu: 1,
        ..TaskBody::default()
    };
    client.submit("batch", id, &Client::job(1, 1, &body)).await;
    assert_eq!(
        client.outcome("batch", id, OUTCOME_TIMEOUT).await,
        "cancelled"
    );
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(!deployment.checker.has_started(id));
    Ok(())
}

/// Guards against a second run of a job that is submitted again during and after its run.
#[tokio::test(flavor = "multi_thread")]
async fn submit_repeated_runs_once() -> Result<()> {
    let deployment = start_deployment("submit_repeated_runs_once", 2, 2).await?;
    let client = deployment.client()?;
    let id = "00000000000000e1";
    let body = TaskBody {
        run_ms: 200,
        gpu: 1,
        ..TaskBody::default()
    };
    let body = Client::job(1, 1, &body);
    for _ in 0..3 {
        assert_eq!(client.submit("batch", id, &body).await, (true, false));
    }
    assert_eq!(
        client.outcome("batch", id, OUTCOME_TIMEOUT).await,
        "completed"
    );
    assert_eq!(client.submit("batch", id, &body).await, (true, false));
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(deployment.checker.start_count(), 1);
    Ok(())
}
