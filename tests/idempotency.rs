//! Requests that are submitted repeatedly with the same idempotency key.

use harness::fixtures::{TOKEN, agent, one_region};
use harness::{Caller, Deployment, Outcome, Programs, Result, Submission};
use serde_json::{Value, json};
use std::time::Duration;

fn request_with_key(key: &str, body: Value) -> Submission {
    Submission {
        service: "workshop".into(),
        account: "faro".into(),
        token: TOKEN.into(),
        timeout_ms: Some(10_000),
        idempotent: Some(false),
        idempotency_key: Some(key.into()),
        body,
        ..Submission::default()
    }
}

/// Returns the total number of runs of all requests at all endpoints.
async fn total_runs(deployment: &Deployment) -> Result<u64> {
    let mut total = 0;
    for url in &deployment.endpoint_urls {
        let counts = deployment
            .read_control(&format!("{url}/control/runs"))
            .await?;
        let runs = counts["runs"].as_object().ok_or("no runs")?.values();
        total += runs.filter_map(Value::as_u64).sum::<u64>();
    }
    Ok(total)
}

fn assert_same_response(outcomes: &[Outcome]) {
    for outcome in outcomes {
        assert!(outcome.is_answered(), "{outcome:?}");
        assert_eq!(outcome.body, outcomes[0].body);
    }
}

/// Guards against a second run when a key is submitted to both entries concurrently and again later.
#[tokio::test(flavor = "multi_thread")]
async fn submit_runs_once_at_both_entries() -> Result<()> {
    let deployment = Deployment::start(&one_region(2, 3), &Programs::locate()?).await?;
    let caller = Caller::new()?;
    let request = request_with_key("order-1", json!({"run_ms": 300, "answer_bytes": 2000}));
    let urls = &deployment.entry_urls;
    let (a, b, c) = tokio::join!(
        caller.submit(&urls[0], &request),
        caller.submit(&urls[1], &request),
        caller.submit(&urls[0], &request),
    );
    let later = caller.submit(&urls[1], &request).await;
    assert_same_response(&[a, b, c, later]);
    assert_eq!(total_runs(&deployment).await?, 1);
    let other_account = Submission {
        account: "puerto".into(),
        ..request
    };
    let other = caller.submit(&urls[0], &other_account).await;
    assert!(other.is_answered(), "{other:?}");
    assert_eq!(
        total_runs(&deployment).await?,
        2,
        "the key of one account applied to another"
    );
    Ok(())
}

/// Guards against a second gang when a request with a shape is submitted repeatedly.
#[tokio::test(flavor = "multi_thread")]
async fn submit_runs_once_with_gang() -> Result<()> {
    let deployment = Deployment::start(&one_region(2, 3), &Programs::locate()?).await?;
    let caller = Caller::new()?;
    let request = Submission {
        shape: Some(json!({"tasks": 8, "accelerators": 1, "adjacency": "rack"})),
        ..request_with_key("gang-1", json!({"run_ms": 300}))
    };
    let urls = &deployment.entry_urls;
    let (a, b) = tokio::join!(
        caller.submit(&urls[0], &request),
        caller.submit(&urls[1], &request),
    );
    let later = caller.submit(&urls[1], &request).await;
    assert_same_response(&[a, b, later]);
    assert_eq!(total_runs(&deployment).await?, 1);
    let tasks = format!("{}/control/tasks", deployment.workers_url);
    let started = deployment.read_control(&tasks).await?;
    assert_eq!(started.as_array().map_or(0, Vec::len), 8, "{started}");
    Ok(())
}

/// Guards against a response to a different request: a key that is reused with other content must be rejected.
#[tokio::test(flavor = "multi_thread")]
async fn submit_refuses_key_with_other_content() -> Result<()> {
    let mut plan = one_region(2, 1);
    plan.document
        .services
        .insert("other".into(), model::Service::default());
    let deployment = Deployment::start(&plan, &Programs::locate()?).await?;
    let caller = Caller::new()?;
    let first = request_with_key("order-2", json!({"run_ms": 1}));
    let answered = caller.submit(&deployment.entry_urls[0], &first).await;
    assert!(answered.is_answered(), "{answered:?}");
    let others = [
        request_with_key("order-2", json!({"run_ms": 2})),
        Submission {
            service: "other".into(),
            ..first.clone()
        },
        Submission {
            shape: Some(json!({"tasks": 1, "accelerators": 1})),
            ..first.clone()
        },
    ];
    for other in others {
        let refused = caller.submit(&deployment.entry_urls[1], &other).await;
        assert_eq!(
            (refused.status, &*refused.verdict, &*refused.kind),
            (409, "not_run", "conflict"),
            "{other:?}"
        );
    }
    assert_eq!(total_runs(&deployment).await?, 1);
    Ok(())
}

/// Guards against a key whose first run is forgotten when the owner, which is also the entry of the request, is killed.
/// Retries must receive the responses of the first runs.
#[tokio::test(flavor = "multi_thread")]
async fn submit_attaches_after_owner_is_killed() -> Result<()> {
    let mut deployment = Deployment::start(&one_region(2, 3), &Programs::locate()?).await?;
    let caller = Caller::new()?;
    // A retry at a randomly chosen agent succeeds by chance in one of three cases, hence several requests.
    let requests: Vec<_> = (0..6)
        .map(|number| request_with_key(&format!("order-{number}"), json!({"run_ms": 1000})))
        .collect();
    let urls = deployment.entry_urls.clone();
    let owner = deployment.status(&urls[0]).await?["cells"][0]["owner"].clone();
    let owner = owner.as_str().ok_or("no owner")?;
    let survivor = usize::from(owner == "entry-0");
    let first = requests
        .iter()
        .map(|request| caller.submit(&urls[1 - survivor], request));
    let (failed, killed) = tokio::join!(futures::future::join_all(first), async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        let entry = deployment.entries.get_mut(owner).ok_or("no entry")?;
        entry.kill()
    });
    killed?;
    assert!(failed.iter().all(|o| &*o.kind == "connection_broke"));
    for request in &requests {
        let mut retried = caller.submit(&urls[survivor], request).await;
        for _ in 0..50 {
            if retried.is_answered() {
                break;
            }
            assert_eq!(&*retried.verdict, "not_run", "{retried:?}");
            tokio::time::sleep(Duration::from_millis(200)).await;
            retried = caller.submit(&urls[survivor], request).await;
        }
        assert!(retried.is_answered(), "{retried:?}");
    }
    assert_eq!(total_runs(&deployment).await?, 6);
    Ok(())
}

/// Returns the number of the agent whose endpoint runs a request.
async fn running_agent(deployment: &Deployment) -> Result<usize> {
    for number in 0..deployment.endpoint_urls.len() {
        if !deployment.runs_at(number).await?.is_empty() {
            return Ok(number);
        }
    }
    Err("no endpoint runs the request".into())
}

/// Guards against a second run of a key whose agent is frozen while the owner of the cell is replaced: the new owner hears
/// nothing of the agent, which does not prove that the run is gone.
#[tokio::test(flavor = "multi_thread")]
async fn submit_runs_once_with_frozen_agent_after_takeover() -> Result<()> {
    let mut deployment = Deployment::start(&one_region(2, 2), &Programs::locate()?).await?;
    let caller = Caller::new()?;
    let request = Submission {
        timeout_ms: Some(60_000),
        ..request_with_key("order-6", json!({"run_ms": 1000}))
    };
    let urls = deployment.entry_urls.clone();
    let owner = deployment.owner(&urls[0]).await?;
    let survivor = usize::from(&*owner.owner == "entry-0");
    let (first, frozen) = tokio::join!(caller.submit(&urls[1 - survivor], &request), async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        let agent = format!("agent-{}", running_agent(&deployment).await?);
        deployment.signal(&agent, "STOP")?;
        deployment.kill(&owner.owner)?;
        Result::Ok(agent)
    });
    let agent = frozen?;
    assert_eq!(&*first.kind, "connection_broke", "{first:?}");
    let timeout = Duration::from_secs(10);
    deployment
        .wait_for_epoch(&urls[survivor], owner.epoch, timeout)
        .await?;
    // The directory of the new owner is complete 5 s after the takeover.
    let started = std::time::Instant::now();
    while started.elapsed() < Duration::from_secs(8) {
        let retried = caller.submit(&urls[survivor], &request).await;
        assert!(!retried.is_answered(), "the request ran again: {retried:?}");
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    assert_eq!(total_runs(&deployment).await?, 1);
    deployment.signal(&agent, "CONT")?;
    let mut retried = caller.submit(&urls[survivor], &request).await;
    for _ in 0..50 {
        if retried.is_answered() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
        retried = caller.submit(&urls[survivor], &request).await;
    }
    assert!(retried.is_answered(), "{retried:?}");
    assert_eq!(total_runs(&deployment).await?, 1);
    Ok(())
}

/// Guards against a wrong verdict `not_run` when the agent of a request is killed: a retry must not run it elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn submit_reports_may_have_run_after_agent_is_killed() -> Result<()> {
    let mut plan = one_region(2, 1);
    plan.agents.push(agent("caribe", 1));
    let mut deployment = Deployment::start(&plan, &Programs::locate()?).await?;
    let caller = Caller::new()?;
    let request = request_with_key("order-4", json!({"run_ms": 3000}));
    let urls = deployment.entry_urls.clone();
    let (first, killed) = tokio::join!(caller.submit(&urls[0], &request), async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        for (number, url) in deployment.endpoint_urls.iter().enumerate() {
            let url = format!("{url}/control/runs");
            if deployment.read_control(&url).await?["runs"]
                .as_object()
                .is_some_and(|r| !r.is_empty())
            {
                let name = format!("agent-{number}");
                let agent = deployment.agents.get_mut(&*name).ok_or("no agent")?;
                return agent.kill();
            }
        }
        Err("no endpoint runs the request".into())
    });
    killed?;
    assert_eq!(&*first.verdict, "may_have_run", "{first:?}");
    let retried = caller.submit(&urls[1], &request).await;
    assert_eq!(&*retried.verdict, "may_have_run", "{retried:?}");
    assert_eq!(total_runs(&deployment).await?, 1);
    Ok(())
}

/// Guards against a wrong verdict `not_run` when an attempt ran without a response and no endpoint is left for the next
/// attempt.
#[tokio::test(flavor = "multi_thread")]
async fn submit_reports_may_have_run_without_further_endpoint() -> Result<()> {
    let deployment = Deployment::start(&one_region(1, 1), &Programs::locate()?).await?;
    let caller = Caller::new()?;
    let fault = json!({"answer": "close_after"});
    deployment.set_endpoint_faults(0, fault).await?;
    let request = Submission {
        idempotent: Some(true),
        ..request_with_key("order-5", json!({"run_ms": 20}))
    };
    let outcome = caller.submit(&deployment.entry_urls[0], &request).await;
    assert!(total_runs(&deployment).await? > 0, "{outcome:?}");
    assert_eq!(&*outcome.verdict, "may_have_run", "{outcome:?}");
    Ok(())
}
