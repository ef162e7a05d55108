//! Endpoints that send invalid or late responses, or none.

use std::time::Duration;

use harness::fixtures::{gang, idempotent, one_region, request, with_idempotency_key};
use harness::{Caller, CompletedRequest, Deployment, OutcomeSummary, Programs, Result, Submission};
use serde_json::{Value, json};

/// Requests of one batch. With two endpoints, about half of them reach the faulty one.
const BATCH_SIZE: u64 = 24;
/// Timeout of requests that can reach an endpoint that does not respond.
const SHORT_TIMEOUT_MS: u64 = 1500;

struct Fixture {
    deployment: Deployment,
    caller: Caller,
    next_number: u64,
}

impl Fixture {
    async fn start(agents: usize) -> Result<Self> {
        let plan = one_region(1, agents);
        Ok(Self {
            deployment: Deployment::start(&plan, &Programs::locate()?).await?,
            caller: Caller::new()?,
            next_number: 0,
        })
    }

    /// Submits a batch of requests concurrently and waits for all outcomes.
    async fn submit_batch(
        &mut self,
        make_submission: impl Fn() -> Submission,
    ) -> Result<Vec<CompletedRequest>> {
        let mut tasks = tokio::task::JoinSet::new();
        for _ in 0..BATCH_SIZE {
            self.next_number += 1;
            let submission = with_idempotency_key(make_submission(), self.next_number);
            let (caller, url) = (self.caller.clone(), self.deployment.entry_urls[0].clone());
            tasks.spawn(async move {
                let outcome = caller.submit(&url, &submission).await;
                CompletedRequest {
                    submission,
                    outcome,
                }
            });
        }
        Ok(tasks.join_all().await)
    }

    async fn summarize(
        &self,
        name: &str,
        completed: &[CompletedRequest],
    ) -> Result<OutcomeSummary> {
        let summary = OutcomeSummary::new(completed, &self.deployment.runs().await?);
        println!("{name}: {summary}");
        assert!(summary.is_consistent(), "{name}: {summary:?}");
        Ok(summary)
    }

    /// Checks the verdicts of non-idempotent requests. If the fault makes the endpoint hang, requests in its queue can
    /// time out with the verdict `not_run`.
    async fn check_non_idempotent(&mut self, fault: Value, hangs: bool) -> Result<()> {
        self.deployment
            .set_endpoint_faults(0, fault.clone())
            .await?;
        let non_idempotent = || Submission {
            idempotent: Some(false),
            timeout_ms: Some(SHORT_TIMEOUT_MS),
            ..request(json!({"run_ms": 20}))
        };
        let completed = self.submit_batch(non_idempotent).await?;
        let summary = self
            .summarize(&format!("non-idempotent {fault}"), &completed)
            .await?;
        assert!(
            summary.may_have_run + summary.ran > 0,
            "the fault had no effect: {summary}"
        );
        assert!(
            summary.answered > 0,
            "the other endpoint did not respond: {summary}"
        );
        if !hangs {
            assert_eq!(summary.not_run, 0, "requests were rejected: {summary}");
        }
        Ok(())
    }
}

/// Guards against truncated, foreign or duplicate responses and wrong verdicts when an endpoint closes the connection
/// or sends an invalid response.
#[tokio::test(flavor = "multi_thread")]
async fn answer_faults_return_correct_verdicts() -> Result<()> {
    let mut fixture = Fixture::start(2).await?;
    for fault in ["close_before", "close_after", "truncate", "foreign"] {
        fixture
            .check_non_idempotent(json!({"answer": fault}), false)
            .await?;
    }
    fixture.deployment.set_endpoint_faults(0, json!({})).await?;
    let completed = fixture
        .submit_batch(|| request(json!({"run_ms": 5})))
        .await?;
    let summary = fixture.summarize("after the fault", &completed).await?;
    assert_eq!(summary.answered, completed.len(), "{summary}");
    Ok(())
}

/// Guards against callers that wait indefinitely, or receive a truncated response, when an endpoint stops in the middle
/// of a response.
#[tokio::test(flavor = "multi_thread")]
async fn wrong_length_ends_with_timeout() -> Result<()> {
    let mut fixture = Fixture::start(2).await?;
    fixture
        .check_non_idempotent(json!({"answer": "wrong_length"}), true)
        .await
}

/// Guards against callers that wait indefinitely for a frozen endpoint, and against late responses that are delivered
/// to other requests.
#[tokio::test(flavor = "multi_thread")]
async fn freeze_ends_with_timeout() -> Result<()> {
    let mut fixture = Fixture::start(2).await?;
    fixture
        .check_non_idempotent(json!({"freeze": true}), true)
        .await?;
    fixture.deployment.set_endpoint_faults(0, json!({})).await?;
    // The requests that timed out may run now. Their responses must not be delivered to any caller.
    let completed = fixture
        .submit_batch(|| request(json!({"run_ms": 5})))
        .await?;
    let summary = fixture.summarize("after the freeze", &completed).await?;
    assert_eq!(summary.answered, completed.len(), "{summary}");
    Ok(())
}

/// Guards against idempotent requests that fail because of one faulty endpoint although others are available.
#[tokio::test(flavor = "multi_thread")]
async fn answer_faults_retry_idempotent_requests() -> Result<()> {
    let mut fixture = Fixture::start(3).await?;
    for fault in ["close_after", "truncate"] {
        let selection = json!({"count": 3});
        let fault = json!({"answer": fault, "selection": selection});
        fixture
            .deployment
            .set_endpoint_faults(0, fault.clone())
            .await?;
        let completed = fixture
            .submit_batch(|| idempotent(request(json!({"run_ms": 10}))))
            .await?;
        let summary = fixture
            .summarize(&format!("idempotent {fault}"), &completed)
            .await?;
        assert_eq!(summary.answered, completed.len(), "{summary}");
    }
    Ok(())
}

/// Guards against a gang that keeps its workers after its endpoint failed.
#[tokio::test(flavor = "multi_thread")]
async fn answer_faults_stop_gangs() -> Result<()> {
    let mut fixture = Fixture::start(2).await?;
    for number in 0..2 {
        let fault = json!({"answer": "close_after"});
        fixture
            .deployment
            .set_endpoint_faults(number, fault)
            .await?;
    }
    let completed = fixture
        .submit_batch(|| gang(4, json!({"run_ms": 20})))
        .await?;
    let summary = fixture.summarize("gangs", &completed).await?;
    assert_eq!(summary.answered, 0, "{summary}");
    fixture
        .deployment
        .wait_for_tasks(
            0,
            harness::audit::GANG_LEASE_TERM + Duration::from_millis(500),
        )
        .await?;
    Ok(())
}
