//! Requests from a caller through an entry and an agent to an endpoint, in separate processes.

use harness::fixtures::{TOKEN, one_region};
use harness::{Caller, Deployment, Programs, Result, Submission};
use serde_json::json;

fn submission(body: serde_json::Value) -> Submission {
    Submission {
        service: "workshop".into(),
        account: "faro".into(),
        token: TOKEN.into(),
        timeout_ms: Some(10_000),
        body,
        ..Submission::default()
    }
}

/// Guards against requests that are not answered, with and without a gang.
#[tokio::test(flavor = "multi_thread")]
async fn submit_answers_requests_with_and_without_gang() -> Result<()> {
    let deployment = Deployment::start(&one_region(1, 3), &Programs::locate()?).await?;
    let caller = Caller::new()?;
    let url = &deployment.entry_urls[0];

    let without_gang = caller.submit(url, &submission(json!({"run_ms": 5}))).await;
    assert!(without_gang.is_answered(), "{without_gang:?}");

    let gang = Submission {
        shape: Some(
            json!({"tasks": 16, "accelerators": 1, "cores": 2, "memory_mb": 512, "adjacency": "rack"}),
        ),
        ..submission(json!({"run_ms": 300}))
    };
    let outcome = caller.submit(url, &gang).await;
    assert!(outcome.is_answered(), "{outcome:?}");
    let tasks = deployment
        .read_control(&format!("{}/control/tasks", deployment.workers_url))
        .await?;
    let started = tasks.as_array().map_or(0, Vec::len);
    assert_eq!(
        started, 16,
        "not every task of the gang was started: {tasks}"
    );
    Ok(())
}

/// Guards against invalid input that is not rejected with the verdict `not_run` and the matching error kind.
#[tokio::test(flavor = "multi_thread")]
async fn submit_refuses_invalid_input() -> Result<()> {
    let deployment = Deployment::start(&one_region(1, 1), &Programs::locate()?).await?;
    let caller = Caller::new()?;
    let url = &deployment.entry_urls[0];
    let valid = submission(json!({}));
    let cases = [
        (
            Submission {
                token: "wrong".into(),
                ..valid.clone()
            },
            "unauthenticated",
        ),
        (
            Submission {
                account: "nobody".into(),
                ..valid.clone()
            },
            "unauthenticated",
        ),
        (
            Submission {
                service: "none".into(),
                ..valid.clone()
            },
            "not_found",
        ),
        (
            Submission {
                shape: Some(json!({"tasks": 0})),
                ..valid.clone()
            },
            "invalid_request",
        ),
        (
            Submission {
                shape: Some(json!({"tasks": 128, "accelerators": 8})),
                ..valid.clone()
            },
            "infeasible",
        ),
        (
            Submission {
                timeout_ms: Some(0),
                ..valid.clone()
            },
            "invalid_request",
        ),
    ];
    for (invalid, kind) in cases {
        let outcome = caller.submit(url, &invalid).await;
        assert_eq!(
            (&*outcome.verdict, &*outcome.kind),
            ("not_run", kind),
            "{invalid:?}"
        );
    }
    Ok(())
}
