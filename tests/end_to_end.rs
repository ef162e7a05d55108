//! Requests through separate processes, from a caller to an endpoint and back.

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

/// Guards against a break anywhere between a caller and an endpoint, with and without a gang.
#[tokio::test(flavor = "multi_thread")]
async fn submit_answers_short_and_gang_requests() -> Result<()> {
    let deployment = Deployment::start(&one_region(1, 3), &Programs::locate()?).await?;
    let caller = Caller::new()?;
    let url = &deployment.entry_urls[0];

    let short = caller.submit(url, &submission(json!({"run_ms": 5}))).await;
    assert!(short.is_answered(), "{short:?}");

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
    assert_eq!(started, 16, "every task of the gang runs: {tasks}");
    Ok(())
}

/// Guards against unclear errors: each bad input is refused with the verdict "not run".
#[tokio::test(flavor = "multi_thread")]
async fn submit_refuses_bad_input() -> Result<()> {
    let deployment = Deployment::start(&one_region(1, 1), &Programs::locate()?).await?;
    let caller = Caller::new()?;
    let url = &deployment.entry_urls[0];
    let good = submission(json!({}));
    let cases = [
        (
            Submission {
                token: "wrong".into(),
                ..good.clone()
            },
            "unauthenticated",
        ),
        (
            Submission {
                account: "nobody".into(),
                ..good.clone()
            },
            "unauthenticated",
        ),
        (
            Submission {
                service: "none".into(),
                ..good.clone()
            },
            "not_found",
        ),
        (
            Submission {
                shape: Some(json!({"tasks": 0})),
                ..good.clone()
            },
            "invalid_request",
        ),
        (
            Submission {
                shape: Some(json!({"tasks": 128, "accelerators": 8})),
                ..good.clone()
            },
            "infeasible",
        ),
        (
            Submission {
                timeout_ms: Some(0),
                ..good.clone()
            },
            "invalid_request",
        ),
    ];
    for (bad, kind) in cases {
        let outcome = caller.submit(url, &bad).await;
        assert_eq!(
            (&*outcome.verdict, &*outcome.kind),
            ("not_run", kind),
            "{bad:?}"
        );
    }
    Ok(())
}
