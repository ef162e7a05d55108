//! What entries state about a cell while its owner changes. They state what an owner knows, or that nobody knows it at present; nothing reads
//! as if the cell were empty.

use std::time::Duration;

use harness::fixtures::{one_region, with_idempotency_key};
use harness::jobs::{Cluster, submission};
use harness::{Caller, Deployment, Programs, Result, wait_until};
use serde_json::json;

const AGENTS: usize = 2;
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);
/// Limit of the jobs without an outcome in a cell.
const QUEUE_LIMIT: u32 = 3;

/// A cell with two entries, the second of which doesn't own it.
struct Fixture {
    cluster: Cluster,
    other: usize,
}

impl Fixture {
    async fn start() -> Result<Self> {
        let mut plan = one_region(2, AGENTS);
        plan.document.policy.queue_limit = QUEUE_LIMIT;
        let cluster = Cluster {
            deployment: Deployment::start(&plan, &Programs::locate()?).await?,
            caller: Caller::new()?,
        };
        let (_, other) = cluster.owner_and_other().await?;
        Ok(Self { cluster, other })
    }
}

/// Guards against a refusal for a job that was accepted before and runs: its submission is repeated while the cell is full.
#[tokio::test(flavor = "multi_thread")]
async fn repeated_submission_in_full_cell_returns_job() -> Result<()> {
    let fixture = Fixture::start().await?;
    let keyed = with_idempotency_key(submission(json!({"run_ms": 60_000})), 1);
    let id = fixture
        .cluster
        .submit_accepted(fixture.other, &keyed)
        .await?;
    let long = submission(json!({"run_ms": 60_000}));
    for _ in 1..QUEUE_LIMIT {
        fixture
            .cluster
            .submit_accepted(fixture.other, &long)
            .await?;
    }
    wait_until("the cell is full", WAIT_TIMEOUT, async || {
        let res = fixture.cluster.submit(fixture.other, &long).await;
        res.is_ok_and(|res| res.status() == 503)
    })
    .await?;
    let again = fixture
        .cluster
        .submit_accepted(fixture.other, &keyed)
        .await?;
    assert_eq!(again, id);
    Ok(())
}
