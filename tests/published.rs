//! What entries state about a cell while its owner changes. They state what an owner knows, or that nobody knows it at present; nothing reads
//! as if the cell were empty.

use std::time::{Duration, Instant};

use harness::fixtures::{one_region, request, with_idempotency_key};
use harness::jobs::{Cluster, gang, submission};
use harness::{Caller, Deployment, Programs, Result, Submission, wait_until};
use serde_json::{Value, json};

const AGENTS: usize = 2;
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);
/// Time from the loss of an owner until its successor knows the whole cell: the lease, the takeover, the wait for announcements and for
/// agents that are late.
const TAKEOVER: Duration = Duration::from_secs(14);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Limit of the jobs without an outcome in a cell.
const QUEUE_LIMIT: u32 = 3;

/// A cell with two entries, the second of which doesn't own it.
struct Fixture {
    cluster: Cluster,
    owner: Box<str>,
    epoch: u64,
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
        let view = cluster.deployment.owner(cluster.url(0)).await?;
        let (_, other) = cluster.owner_and_other().await?;
        Ok(Self {
            cluster,
            owner: view.owner,
            epoch: view.epoch,
            other,
        })
    }

    /// Submits jobs that run for longer than a test; returns their submission.
    async fn submit_long_jobs(&self, count: u32) -> Result<Submission> {
        let long = submission(json!({"run_ms": 60_000}));
        for _ in 0..count {
            self.cluster.submit_accepted(self.other, &long).await?;
        }
        Ok(long)
    }

    fn url(&self) -> &str {
        self.cluster.url(self.other)
    }

    /// Returns the number of workers of the cell, or `None` if the entry doesn't state it.
    async fn workers(&self) -> Result<Option<usize>> {
        let url = format!("{}/v1/workers", self.url());
        let res = self.cluster.caller.http().get(url).send().await?;
        if !res.status().is_success() {
            return Ok(None);
        }
        let cells: Value = res.json().await?;
        Ok(Some(cells["caribe"].as_array().map_or(0, Vec::len)))
    }

    /// Returns the cell as the status of the entry shows it.
    async fn cell(&self) -> Result<Value> {
        let status = self.cluster.deployment.status(self.url()).await?;
        Ok(status["cells"][0].clone())
    }
}

/// Guards against a configuration whose guarantees are refused because a new owner states that its cell has no workers.
#[tokio::test(flavor = "multi_thread")]
async fn workers_across_takeover_are_complete_or_refused() -> Result<()> {
    let mut fixture = Fixture::start().await?;
    wait_until("the workers are known", WAIT_TIMEOUT, async || {
        fixture
            .workers()
            .await
            .is_ok_and(|workers| workers == Some(AGENTS))
    })
    .await?;
    let owner = fixture.owner.clone();
    fixture.cluster.deployment.kill(&owner)?;
    let end = Instant::now() + TAKEOVER;
    let mut last = None;
    while Instant::now() < end {
        last = fixture.workers().await?;
        assert!(last.is_none_or(|workers| workers == AGENTS), "{last:?}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    assert_eq!(last, Some(AGENTS), "the new owner states its workers");
    Ok(())
}

/// Guards against jobs beyond the limit of a cell, which are accepted because a new owner has not read the jobs of the cell and counts none.
#[tokio::test(flavor = "multi_thread")]
async fn queue_limit_holds_across_takeover() -> Result<()> {
    let mut fixture = Fixture::start().await?;
    let long = fixture.submit_long_jobs(QUEUE_LIMIT).await?;
    // The entry learns the number of jobs within a second.
    tokio::time::sleep(Duration::from_secs(2)).await;
    // The new owner takes longer to list the jobs than the entries need to find it.
    let slow = json!({"slow_ms": 400});
    fixture.cluster.set_store_faults(&slow).await?;
    let owner = fixture.owner.clone();
    fixture.cluster.deployment.kill(&owner)?;
    let end = Instant::now() + TAKEOVER;
    while Instant::now() < end {
        let res = fixture.cluster.submit(fixture.other, &long).await?;
        assert_eq!(res.status(), 503);
        assert!(res.headers().contains_key("retry-after"));
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

/// Guards against jobs beyond the limit of a cell, which are accepted by an entry that has just started and has not heard of its jobs.
#[tokio::test(flavor = "multi_thread")]
async fn queue_limit_holds_across_restart_of_entries() -> Result<()> {
    let mut fixture = Fixture::start().await?;
    let long = fixture.submit_long_jobs(QUEUE_LIMIT).await?;
    let entries: Vec<Box<str>> = fixture.cluster.deployment.entries.keys().cloned().collect();
    for entry in &entries {
        fixture.cluster.deployment.kill(entry)?;
    }
    for entry in &entries {
        fixture.cluster.deployment.restart(entry)?;
    }
    let end = Instant::now() + TAKEOVER;
    let mut last = None;
    while Instant::now() < end {
        // The entries refuse connections until they have started.
        if let Ok(res) = fixture.cluster.submit(fixture.other, &long).await {
            assert_eq!(res.status(), 503, "{}", res.text().await?);
            last = Some(res.text().await?);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let last = last.ok_or("no entry has started")?;
    assert!(last.contains("overloaded"), "{last}");
    Ok(())
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
    let long = fixture.submit_long_jobs(QUEUE_LIMIT - 1).await?;
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

/// Guards against operators who read that a cell runs nothing and has no free resources, because its new owner has not heard the agents.
#[tokio::test(flavor = "multi_thread")]
async fn status_across_takeover_shows_gangs_or_nothing() -> Result<()> {
    let mut fixture = Fixture::start().await?;
    let running = gang(json!({"run_ms": 60_000}));
    fixture
        .cluster
        .submit_accepted(fixture.other, &running)
        .await?;
    wait_until("the gang runs", WAIT_TIMEOUT, async || {
        fixture.cell().await.is_ok_and(|cell| cell["gangs"] == 1)
    })
    .await?;
    let owner = fixture.owner.clone();
    fixture.cluster.deployment.kill(&owner)?;
    let end = Instant::now() + TAKEOVER;
    let mut last = Value::Null;
    while Instant::now() < end {
        last = fixture.cell().await?;
        let gangs = &last["gangs"];
        assert!(gangs.is_null() || *gangs == 1, "{last}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    assert!(last["epoch"].as_u64() > Some(fixture.epoch), "{last}");
    assert_eq!(last["gangs"], 1, "{last}");
    Ok(())
}

/// Guards against requests that are refused for good after a takeover, although the cell can run them: the new owner has no workers yet.
#[tokio::test(flavor = "multi_thread")]
async fn request_across_takeover_is_served() -> Result<()> {
    let mut fixture = Fixture::start().await?;
    let owner = fixture.owner.clone();
    fixture.cluster.deployment.kill(&owner)?;
    let outcome = fixture
        .cluster
        .caller
        .submit(fixture.url(), &request(json!({"run_ms": 10})))
        .await;
    assert!(outcome.is_answered(), "{outcome:?}");
    Ok(())
}
