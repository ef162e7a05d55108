//! Endpoints that answer wrongly, late or not at all.

use std::time::Duration;

use harness::fixtures::{gang, idempotent, one_region, request, with_idempotency_key};
use harness::{Caller, CompletedRequest, Deployment, OutcomeSummary, Programs, Result, Submission};
use serde_json::{Value, json};

/// Requests of one round; with two endpoints about half of them meet the faulty one.
const REQUESTS: u64 = 24;
/// Timeout of requests that a frozen endpoint holds.
const SHORT_TIMEOUT_MS: u64 = 1500;

struct Scene {
    deployment: Deployment,
    caller: Caller,
    next: u64,
}

impl Scene {
    async fn start(agents: usize) -> Result<Self> {
        let plan = one_region(1, agents);
        Ok(Self {
            deployment: Deployment::start(&plan, &Programs::locate()?).await?,
            caller: Caller::new()?,
            next: 0,
        })
    }

    /// Submits requests at the same time and waits for all outcomes.
    async fn round(&mut self, make: impl Fn() -> Submission) -> Result<Vec<CompletedRequest>> {
        let mut set = tokio::task::JoinSet::new();
        for _ in 0..REQUESTS {
            self.next += 1;
            let submission = with_idempotency_key(make(), self.next);
            let (caller, url) = (self.caller.clone(), self.deployment.entry_urls[0].clone());
            set.spawn(async move {
                let outcome = caller.submit(&url, &submission).await;
                CompletedRequest {
                    submission,
                    outcome,
                }
            });
        }
        Ok(set.join_all().await)
    }

    async fn tally(&self, name: &str, finished: &[CompletedRequest]) -> Result<OutcomeSummary> {
        let tally = OutcomeSummary::new(finished, &self.deployment.runs().await?);
        println!("{name}: {tally}");
        assert!(tally.is_consistent(), "{name}: {tally:?}");
        Ok(tally)
    }

    /// Checks the verdicts of work that must not run twice; an endpoint that hangs also lets queued requests time out.
    async fn check(&mut self, fault: Value, hangs: bool) -> Result<()> {
        self.deployment
            .set_endpoint_faults(0, fault.clone())
            .await?;
        let once = || Submission {
            idempotent: Some(false),
            timeout_ms: Some(SHORT_TIMEOUT_MS),
            ..request(json!({"run_ms": 20}))
        };
        let finished = self.round(once).await?;
        let tally = self.tally(&format!("once {fault}"), &finished).await?;
        assert!(
            tally.may_have_run + tally.ran > 0,
            "the fault was met: {tally}"
        );
        assert!(tally.answered > 0, "the other endpoint answers: {tally}");
        if !hangs {
            assert_eq!(tally.not_run, 0, "nothing is refused: {tally}");
        }
        Ok(())
    }
}

/// Guards against partial, foreign or repeated answers from an endpoint that breaks off, and against wrong verdicts.
#[tokio::test(flavor = "multi_thread")]
async fn answer_faults_give_true_verdicts() -> Result<()> {
    let mut scene = Scene::start(2).await?;
    for fault in ["close_before", "close_after", "truncate", "foreign"] {
        scene.check(json!({"answer": fault}), false).await?;
    }
    scene.deployment.set_endpoint_faults(0, json!({})).await?;
    let finished = scene.round(|| request(json!({"run_ms": 5}))).await?;
    let tally = scene.tally("healed", &finished).await?;
    assert_eq!(tally.answered, finished.len(), "{tally}");
    Ok(())
}

/// Guards against callers that wait for ever, or get a part of an answer, when an endpoint hangs in the middle of it.
#[tokio::test(flavor = "multi_thread")]
async fn wrong_length_ends_with_timeout() -> Result<()> {
    let mut scene = Scene::start(2).await?;
    scene.check(json!({"answer": "wrong_length"}), true).await
}

/// Guards against callers that wait for ever for a frozen endpoint, and against late answers to other requests.
#[tokio::test(flavor = "multi_thread")]
async fn freeze_ends_with_timeout() -> Result<()> {
    let mut scene = Scene::start(2).await?;
    scene.check(json!({"freeze": true}), true).await?;
    scene.deployment.set_endpoint_faults(0, json!({})).await?;
    // The requests that were given up may run now; their answers must reach nobody.
    let finished = scene.round(|| request(json!({"run_ms": 5}))).await?;
    let tally = scene.tally("thawed", &finished).await?;
    assert_eq!(tally.answered, finished.len(), "{tally}");
    Ok(())
}

/// Guards against idempotent requests that are lost to one faulty endpoint while another one serves.
#[tokio::test(flavor = "multi_thread")]
async fn answer_faults_spare_idempotent_requests() -> Result<()> {
    let mut scene = Scene::start(3).await?;
    for fault in ["close_after", "truncate"] {
        let selection = json!({"count": 3});
        let fault = json!({"answer": fault, "selection": selection});
        scene
            .deployment
            .set_endpoint_faults(0, fault.clone())
            .await?;
        let finished = scene
            .round(|| idempotent(request(json!({"run_ms": 10}))))
            .await?;
        let tally = scene
            .tally(&format!("idempotent {fault}"), &finished)
            .await?;
        assert_eq!(tally.answered, finished.len(), "{tally}");
    }
    Ok(())
}

/// Guards against a gang that stays on its workers after its endpoint failed.
#[tokio::test(flavor = "multi_thread")]
async fn answer_faults_end_gangs() -> Result<()> {
    let mut scene = Scene::start(2).await?;
    for number in 0..2 {
        let fault = json!({"answer": "close_after"});
        scene.deployment.set_endpoint_faults(number, fault).await?;
    }
    let finished = scene.round(|| gang(4, json!({"run_ms": 20}))).await?;
    let tally = scene.tally("gangs", &finished).await?;
    assert_eq!(tally.answered, 0, "{tally}");
    scene
        .deployment
        .wait_for_tasks(
            0,
            harness::audit::GANG_LEASE_TERM + Duration::from_millis(500),
        )
        .await?;
    Ok(())
}
