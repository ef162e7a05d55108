//! The path of a job from its submission to its end.

use std::time::Duration;

use platform_standin::{Client, Result, StoreFaults, TaskBody};
use reqwest::{Method, StatusCode};

use crate::system;

const LIMIT: Duration = Duration::from_secs(20);

/// Guards against a job whose steps or gangs do not come to their end on real processes.
#[tokio::test(flavor = "multi_thread")]
async fn job_completes() -> Result<()> {
    let system = system("job_completes", 2, 4).await?;
    let client = system.client()?;
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
        assert_eq!(client.outcome("batch", id, LIMIT).await, "completed");
    }
    assert_eq!(system.checker.start_count(), 17);
    assert_eq!(system.checker.violations(), Vec::<String>::new());
    Ok(())
}

/// Guards against a client that asks as soon as the work is done, is told that the job still runs, and comes back a pause later.
#[tokio::test(flavor = "multi_thread")]
async fn state_waits_for_end_on_its_way() -> Result<()> {
    const JOBS: u64 = 10;
    let system = system("state_waits_for_end_on_its_way", 2, 2).await?;
    let client = system.client()?;
    let body = TaskBody {
        run_ms: 200,
        gpu: 1,
        ..TaskBody::default()
    };
    system.store.set_faults(StoreFaults {
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
        while !system.checker.is_done(&task) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let path = format!("/batch/{id}");
        let entry = usize::try_from(number)?;
        let answer = client.call(entry, Method::GET, &path, None).await;
        completed += u64::from(answer.is_some_and(|(_, body)| body["state"] == "completed"));
        assert_eq!(client.outcome("batch", &id, LIMIT).await, "completed");
    }
    // A busy machine may delay an end for longer than an answer waits.
    assert!(completed * 2 > JOBS, "{completed} of {JOBS}");
    Ok(())
}

/// Guards against a job that runs forever because all its runs fail.
#[tokio::test(flavor = "multi_thread")]
async fn job_fails_after_its_attempts() -> Result<()> {
    let system = system("job_fails_after_its_attempts", 1, 2).await?;
    let client = system.client()?;
    let body = TaskBody {
        run_ms: 50,
        gpu: 1,
        fail: true,
        ..TaskBody::default()
    };
    let id = "00000000000000b1";
    client.submit("batch", id, &Client::job(1, 1, &body)).await;
    assert_eq!(client.outcome("batch", id, LIMIT).await, "failed");
    assert_eq!(system.checker.start_count(), 3);
    Ok(())
}

/// Guards against refusals with a wrong status, and against answers about jobs that do not exist.
#[tokio::test(flavor = "multi_thread")]
async fn call_refused_with_its_reason() -> Result<()> {
    let system = system("call_refused_with_its_reason", 1, 1).await?;
    let client = system.client()?;
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
        let answer = client.call(0, method, path, None).await;
        let (status, _) = answer.ok_or("no answer")?;
        assert_eq!(status, expected, "{path}");
    }
    Ok(())
}

/// Guards against a job that runs although its cancellation came before its creation was known.
#[tokio::test(flavor = "multi_thread")]
async fn cancel_wins_over_later_creation() -> Result<()> {
    let system = system("cancel_wins_over_later_creation", 2, 1).await?;
    let client = system.client()?;
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
    assert_eq!(client.outcome("batch", id, LIMIT).await, "cancelled");
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(!system.checker.has_started(id));
    Ok(())
}

/// Guards against a second run of a job whose submission is repeated during and after its run.
#[tokio::test(flavor = "multi_thread")]
async fn submit_repeated_runs_once() -> Result<()> {
    let system = system("submit_repeated_runs_once", 2, 2).await?;
    let client = system.client()?;
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
    assert_eq!(client.outcome("batch", id, LIMIT).await, "completed");
    assert_eq!(client.submit("batch", id, &body).await, (true, false));
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(system.checker.start_count(), 1);
    Ok(())
}
