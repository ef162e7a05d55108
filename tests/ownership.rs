//! Takeover of a cell when its owner is killed, frozen or shut down while gangs are running.

use std::time::Duration;

use harness::audit::{overcommitted, partial_gangs};
use harness::fixtures::{gang, idempotent, one_region, request, with_idempotency_key};
use harness::{
    Caller, Deployment, LoadGenerator, Outcome, OutcomeSummary, Programs, Result, Submission,
    wait_until,
};
use serde_json::json;
use tokio::task::JoinHandle;

/// Maximum time from the loss of an owner until its successor starts a gang: the store lease (3 s), the takeover, the
/// wait for announcements (2 s) and a margin.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(8);
/// Timeout of waits for which the requirements set no limit.
const WAIT_TIMEOUT: Duration = Duration::from_secs(5);

struct Fixture {
    deployment: Deployment,
    caller: Caller,
    owner: Box<str>,
    /// The URL of an entry that is not the owner.
    other_url: Box<str>,
    epoch: u64,
}

impl Fixture {
    async fn start(agents: usize) -> Result<Self> {
        let deployment = Deployment::start(&one_region(2, agents), &Programs::locate()?).await?;
        let view = deployment.owner(&deployment.entry_urls[0]).await?;
        let other = deployment.entries.keys().find(|id| **id != view.owner);
        let other = other.ok_or("no second entry")?.clone();
        Ok(Self {
            other_url: deployment.entry_url(&other)?.into(),
            caller: Caller::new()?,
            owner: view.owner,
            epoch: view.epoch,
            deployment,
        })
    }

    fn spawn_submit(&self, submission: Submission) -> JoinHandle<Outcome> {
        let (caller, other_url) = (self.caller.clone(), self.other_url.clone());
        tokio::spawn(async move { caller.submit(&other_url, &submission).await })
    }

    /// Checks that no gang ran partially, no worker was overcommitted and no request ran twice.
    async fn check_invariants(&self) -> Result<()> {
        let tasks = self.deployment.tasks().await?;
        let last_end = tasks.iter().filter_map(|t| t.end_us).max().unwrap_or(0);
        assert_eq!(partial_gangs(&tasks, last_end), [], "a gang ran partially");
        assert_eq!(overcommitted(&tasks, 8), [], "a worker was overcommitted");
        let runs = self.deployment.runs().await?;
        assert!(runs.values().all(|count| *count == 1), "{runs:?}");
        Ok(())
    }
}

/// Guards against running gangs that are stopped when their owner is killed, and against a new owner that assigns their
/// capacity to other gangs.
#[tokio::test(flavor = "multi_thread")]
async fn takeover_keeps_gangs_of_killed_owner() -> Result<()> {
    let mut fixture = Fixture::start(2).await?;
    let running = fixture.spawn_submit(gang(12, json!({"run_ms": 9000})));
    fixture.deployment.wait_for_tasks(12, WAIT_TIMEOUT).await?;
    let owner = fixture.owner.clone();
    fixture.deployment.kill(&owner)?;
    // Needs the capacity of the running gang, so it must wait until that gang has ended.
    let waiting = fixture.spawn_submit(gang(8, json!({"run_ms": 100})));
    let view = fixture
        .deployment
        .wait_for_epoch(&fixture.other_url, fixture.epoch, TAKEOVER_TIMEOUT)
        .await?;
    assert_eq!(view.epoch, fixture.epoch + 1);
    let small_gang = fixture
        .spawn_submit(gang(4, json!({"run_ms": 100})))
        .await?;
    assert!(small_gang.is_answered(), "{small_gang:?}");
    assert!(small_gang.elapsed < TAKEOVER_TIMEOUT, "{small_gang:?}");
    assert!(
        !running.is_finished(),
        "the small gang did not use the free capacity"
    );
    let running = running.await?;
    assert!(running.is_answered(), "{running:?}");
    let waiting = waiting.await?;
    assert!(waiting.is_answered(), "{waiting:?}");
    fixture.check_invariants().await
}

/// Guards against a previous owner that starts, stops or duplicates work after it is resumed.
#[tokio::test(flavor = "multi_thread")]
async fn takeover_fences_frozen_owner() -> Result<()> {
    let mut fixture = Fixture::start(2).await?;
    let running = fixture.spawn_submit(gang(12, json!({"run_ms": 12_000})));
    fixture.deployment.wait_for_tasks(12, WAIT_TIMEOUT).await?;
    // These gangs wait in the queue of the owner that is frozen.
    let waiting: Vec<_> = (0..3)
        .map(|_| fixture.spawn_submit(gang(8, json!({"run_ms": 100}))))
        .collect();
    tokio::time::sleep(Duration::from_millis(200)).await;
    let owner = fixture.owner.clone();
    fixture.deployment.signal(&owner, "STOP")?;
    let other_url = fixture.other_url.clone();
    fixture
        .deployment
        .wait_for_epoch(&other_url, fixture.epoch, TAKEOVER_TIMEOUT)
        .await?;
    let small_gang = fixture
        .spawn_submit(gang(4, json!({"run_ms": 100})))
        .await?;
    assert!(small_gang.is_answered(), "{small_gang:?}");
    fixture.deployment.signal(&owner, "CONT")?;
    assert!(running.await?.is_answered());
    for waiting in waiting {
        let outcome = waiting.await?;
        assert!(outcome.is_answered(), "{outcome:?}");
    }
    let old_url = fixture.deployment.entry_url(&owner)?.to_owned();
    let view = fixture.deployment.owner(&old_url).await?;
    assert_eq!(
        view.epoch,
        fixture.epoch + 1,
        "the previous owner did not adopt the new epoch"
    );
    fixture.check_invariants().await
}

/// Guards against agents that find the successor of a draining owner late, and against requests that are aborted by the
/// handover.
#[tokio::test(flavor = "multi_thread")]
async fn takeover_is_quick_after_drain() -> Result<()> {
    let mut fixture = Fixture::start(2).await?;
    let running = fixture.spawn_submit(gang(8, json!({"run_ms": 6000})));
    fixture.deployment.wait_for_tasks(8, WAIT_TIMEOUT).await?;
    let owner = fixture.owner.clone();
    fixture.deployment.signal(&owner, "TERM")?;
    let next = fixture
        .spawn_submit(gang(8, json!({"run_ms": 100})))
        .await?;
    assert!(next.is_answered(), "{next:?}");
    assert!(next.elapsed < Duration::from_secs(5), "{next:?}");
    assert!(running.await?.is_answered());
    let process = fixture.deployment.process_mut(&owner)?;
    assert!(process.wait(WAIT_TIMEOUT).await?.success());
    fixture.check_invariants().await
}

/// Guards against requests without a gang that fail because the new owner does not know the endpoints yet.
#[tokio::test(flavor = "multi_thread")]
async fn takeover_keeps_short_requests() -> Result<()> {
    let mut fixture = Fixture::start(2).await?;
    let owner = fixture.owner.clone();
    fixture.deployment.kill(&owner)?;
    let started = std::time::Instant::now();
    while started.elapsed() < TAKEOVER_TIMEOUT {
        let outcome = fixture.spawn_submit(request(json!({"run_ms": 1}))).await?;
        assert!(outcome.is_answered(), "{outcome:?}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    Ok(())
}

/// Guards against gangs that keep running, and against agents that are not found again, when all entries are killed and
/// restarted.
#[tokio::test(flavor = "multi_thread")]
async fn takeover_recovers_after_all_entries_killed() -> Result<()> {
    let mut fixture = Fixture::start(2).await?;
    let interrupted = fixture.spawn_submit(idempotent(gang(12, json!({"run_ms": 60_000}))));
    fixture.deployment.wait_for_tasks(12, WAIT_TIMEOUT).await?;
    for entry in ["entry-0", "entry-1"] {
        fixture.deployment.kill(entry)?;
    }
    assert_eq!(&*interrupted.await?.kind, "connection_broke");
    // The gang is stopped, because the entry that was connected to its caller was killed.
    fixture.deployment.wait_for_tasks(0, WAIT_TIMEOUT).await?;
    for entry in ["entry-0", "entry-1"] {
        fixture.deployment.restart(entry)?;
    }
    fixture.deployment.wait_until_ready().await?;
    let next = fixture
        .spawn_submit(gang(16, json!({"run_ms": 100})))
        .await?;
    assert!(next.is_answered(), "{next:?}");
    assert!(next.elapsed < TAKEOVER_TIMEOUT, "{next:?}");
    let view = fixture.deployment.owner(&fixture.other_url).await?;
    assert!(view.epoch > fixture.epoch);
    fixture.check_invariants().await
}

/// Guards against requests that are aborted by a draining entry, and against an entry that does not exit.
#[tokio::test(flavor = "multi_thread")]
async fn drain_entry_under_load() -> Result<()> {
    let mut fixture = Fixture::start(2).await?;
    let load = LoadGenerator::start(&fixture.deployment.entry_urls, 16, |number| {
        let submission = match number % 4 {
            0 => gang(2, json!({"run_ms": 300})),
            _ => request(json!({"run_ms": 100})),
        };
        with_idempotency_key(submission, number)
    })?;
    let load_is_running = async || {
        let runs = fixture.deployment.runs().await;
        runs.is_ok_and(|runs| runs.len() > 100)
    };
    wait_until("the load runs", WAIT_TIMEOUT, load_is_running).await?;
    let owner = fixture.owner.clone();
    fixture.deployment.signal(&owner, "TERM")?;
    let status = fixture
        .deployment
        .process_mut(&owner)?
        .wait(WAIT_TIMEOUT)
        .await;
    // The load continues at the other entry, which takes over the ownership.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let completed = load.finish().await;
    let summary = OutcomeSummary::new(&completed, &fixture.deployment.runs().await?);
    println!("entry drain: {summary}");
    assert!(status?.success(), "the entry did not exit with code 0");
    assert!(summary.is_consistent(), "{summary:?}");
    let draining = summary.kinds.get("draining").copied().unwrap_or(0);
    let accounted_for = summary.answered + summary.not_connected + draining;
    assert_eq!(
        accounted_for,
        completed.len(),
        "requests were aborted: {summary}"
    );
    Ok(())
}
