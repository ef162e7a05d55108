//! The owner of a cell dies, freezes or leaves while gangs run.

use std::time::Duration;

use harness::audit::{overcommitted, partial_gangs};
use harness::fixtures::{gang, idempotent, one_region, request, with_idempotency_key};
use harness::{
    Caller, Deployment, LoadGenerator, Outcome, OutcomeSummary, Programs, Result, Submission,
    wait_until,
};
use serde_json::json;
use tokio::task::JoinHandle;

/// From the end of an owner to the first gang of the next one: the store lease (3 s), the takeover and the wait for
/// announcements (2 s), with a margin.
const TAKEOVER_LIMIT: Duration = Duration::from_secs(8);
/// How long a test waits for something that has no bound in the requirements.
const SOON: Duration = Duration::from_secs(5);

struct Scene {
    deployment: Deployment,
    caller: Caller,
    owner: Box<str>,
    /// The URL of an entry that is not the owner.
    url: Box<str>,
    epoch: u64,
}

impl Scene {
    async fn start(agents: usize) -> Result<Self> {
        let deployment = Deployment::start(&one_region(2, agents), &Programs::locate()?).await?;
        let view = deployment.owner(&deployment.entry_urls[0]).await?;
        let other = deployment.entries.keys().find(|id| **id != view.owner);
        let other = other.ok_or("no second entry")?.clone();
        Ok(Self {
            url: deployment.entry_url(&other)?.into(),
            caller: Caller::new()?,
            owner: view.owner,
            epoch: view.epoch,
            deployment,
        })
    }

    fn submit(&self, submission: Submission) -> JoinHandle<Outcome> {
        let (caller, url) = (self.caller.clone(), self.url.clone());
        tokio::spawn(async move { caller.submit(&url, &submission).await })
    }

    /// Checks that no gang ran partially, no worker was used twice and no request ran twice.
    async fn check(&self) -> Result<()> {
        let tasks = self.deployment.tasks().await?;
        let now = tasks.iter().filter_map(|t| t.end_us).max().unwrap_or(0);
        assert_eq!(partial_gangs(&tasks, now), [], "no gang runs partially");
        assert_eq!(overcommitted(&tasks, 8), [], "no worker is used twice");
        let runs = self.deployment.runs().await?;
        assert!(runs.values().all(|count| *count == 1), "{runs:?}");
        Ok(())
    }
}

/// Guards against running gangs that die with their owner, and a new owner that gives their capacity away.
#[tokio::test(flavor = "multi_thread")]
async fn takeover_keeps_gangs_of_killed_owner() -> Result<()> {
    let mut scene = Scene::start(2).await?;
    let running = scene.submit(gang(12, json!({"run_ms": 9000})));
    scene.deployment.wait_for_tasks(12, SOON).await?;
    let owner = scene.owner.clone();
    scene.deployment.kill(&owner)?;
    // Needs the capacity of the running gang, so it must wait for its end.
    let waiting = scene.submit(gang(8, json!({"run_ms": 100})));
    let view = scene
        .deployment
        .wait_for_epoch(&scene.url, scene.epoch, TAKEOVER_LIMIT)
        .await?;
    assert_eq!(view.epoch, scene.epoch + 1);
    let small = scene.submit(gang(4, json!({"run_ms": 100}))).await?;
    assert!(small.is_answered(), "{small:?}");
    assert!(small.elapsed < TAKEOVER_LIMIT, "{small:?}");
    assert!(!running.is_finished(), "the free capacity is used at once");
    let running = running.await?;
    assert!(running.is_answered(), "{running:?}");
    let waiting = waiting.await?;
    assert!(waiting.is_answered(), "{waiting:?}");
    scene.check().await
}

/// Guards against an old owner that wakes up and still starts, stops or doubles work.
#[tokio::test(flavor = "multi_thread")]
async fn takeover_fences_frozen_owner() -> Result<()> {
    let mut scene = Scene::start(2).await?;
    let running = scene.submit(gang(12, json!({"run_ms": 12_000})));
    scene.deployment.wait_for_tasks(12, SOON).await?;
    // These wait in the queue of the owner that freezes.
    let waiting: Vec<_> = (0..3)
        .map(|_| scene.submit(gang(8, json!({"run_ms": 100}))))
        .collect();
    tokio::time::sleep(Duration::from_millis(200)).await;
    let owner = scene.owner.clone();
    scene.deployment.signal(&owner, "STOP")?;
    let url = scene.url.clone();
    scene
        .deployment
        .wait_for_epoch(&url, scene.epoch, TAKEOVER_LIMIT)
        .await?;
    let small = scene.submit(gang(4, json!({"run_ms": 100}))).await?;
    assert!(small.is_answered(), "{small:?}");
    scene.deployment.signal(&owner, "CONT")?;
    assert!(running.await?.is_answered());
    for waiting in waiting {
        let outcome = waiting.await?;
        assert!(outcome.is_answered(), "{outcome:?}");
    }
    let old_url = scene.deployment.entry_url(&owner)?.to_owned();
    let seen = scene.deployment.owner(&old_url).await?;
    assert_eq!(
        seen.epoch,
        scene.epoch + 1,
        "the old owner follows the new one"
    );
    scene.check().await
}

/// Guards against a leaving owner whose agents find its successor late, and against requests cut off by the change.
#[tokio::test(flavor = "multi_thread")]
async fn takeover_is_quick_after_drain() -> Result<()> {
    let mut scene = Scene::start(2).await?;
    let running = scene.submit(gang(8, json!({"run_ms": 6000})));
    scene.deployment.wait_for_tasks(8, SOON).await?;
    let owner = scene.owner.clone();
    scene.deployment.signal(&owner, "TERM")?;
    let next = scene.submit(gang(8, json!({"run_ms": 100}))).await?;
    assert!(next.is_answered(), "{next:?}");
    assert!(next.elapsed < Duration::from_secs(5), "{next:?}");
    assert!(running.await?.is_answered());
    let process = scene.deployment.process_mut(&owner)?;
    assert!(process.wait(SOON).await?.success());
    scene.check().await
}

/// Guards against short requests that fail because a new owner does not know the endpoints yet.
#[tokio::test(flavor = "multi_thread")]
async fn takeover_keeps_short_requests() -> Result<()> {
    let mut scene = Scene::start(2).await?;
    let owner = scene.owner.clone();
    scene.deployment.kill(&owner)?;
    let started = std::time::Instant::now();
    while started.elapsed() < TAKEOVER_LIMIT {
        let outcome = scene.submit(request(json!({"run_ms": 1}))).await?;
        assert!(outcome.is_answered(), "{outcome:?}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    Ok(())
}

/// Guards against gangs and agents that are lost when no entry is left for a while.
#[tokio::test(flavor = "multi_thread")]
async fn takeover_recovers_after_all_entries_died() -> Result<()> {
    let mut scene = Scene::start(2).await?;
    let cut_off = scene.submit(idempotent(gang(12, json!({"run_ms": 60_000}))));
    scene.deployment.wait_for_tasks(12, SOON).await?;
    for entry in ["entry-0", "entry-1"] {
        scene.deployment.kill(entry)?;
    }
    assert_eq!(&*cut_off.await?.kind, "connection_broke");
    // Its caller and its entry are gone, so the gang ends.
    scene.deployment.wait_for_tasks(0, SOON).await?;
    for entry in ["entry-0", "entry-1"] {
        scene.deployment.restart(entry)?;
    }
    scene.deployment.wait_until_ready().await?;
    let next = scene.submit(gang(16, json!({"run_ms": 100}))).await?;
    assert!(next.is_answered(), "{next:?}");
    assert!(next.elapsed < TAKEOVER_LIMIT, "{next:?}");
    let view = scene.deployment.owner(&scene.url).await?;
    assert!(view.epoch > scene.epoch);
    scene.check().await
}

/// Guards against requests that a leaving entry cuts off, and against an entry that never ends.
#[tokio::test(flavor = "multi_thread")]
async fn drain_entry_under_load() -> Result<()> {
    let mut scene = Scene::start(2).await?;
    let load = LoadGenerator::start(&scene.deployment.entry_urls, 16, |number| {
        let submission = match number % 4 {
            0 => gang(2, json!({"run_ms": 300})),
            _ => request(json!({"run_ms": 100})),
        };
        with_idempotency_key(submission, number)
    })?;
    let warm = async || {
        let runs = scene.deployment.runs().await;
        runs.is_ok_and(|runs| runs.len() > 100)
    };
    wait_until("the load runs", SOON, warm).await?;
    let owner = scene.owner.clone();
    scene.deployment.signal(&owner, "TERM")?;
    let status = scene.deployment.process_mut(&owner)?.wait(SOON).await;
    // The load goes on at the other entry, which takes the ownership over.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let finished = load.finish().await;
    let tally = OutcomeSummary::new(&finished, &scene.deployment.runs().await?);
    println!("entry drain: {tally}");
    assert!(status?.success(), "the entry ends with exit code 0");
    assert!(tally.is_consistent(), "{tally:?}");
    let refused = tally.kinds.get("draining").copied().unwrap_or(0);
    let known = tally.answered + tally.not_connected + refused;
    assert_eq!(known, finished.len(), "nothing is cut off: {tally}");
    Ok(())
}
