//! What entries state to callers and operators while their owner changes or is paused: what the owner knows, or that they don't know it.

use std::time::{Duration, Instant};

use platform_standin::{Client, Deployment, Port, Result, Target, TaskBody};
use reqwest::{Method, StatusCode};
use tokio::task::JoinSet;

use crate::start_deployment;

const ENTRIES: usize = 3;
/// Jobs that wait from the beginning.
const JOBS: u64 = 30;
/// Jobs that wait once more of them have been submitted while the owner is paused.
const ALL_JOBS: u64 = 90;
/// Requests that wait at the paused owner.
const REQUESTS: usize = 32;
/// Time in which another entry takes over and knows the jobs and their waits: the lease, the takeover and the shortest wait.
const TAKEOVER: Duration = Duration::from_secs(6);
const LIMIT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Submits jobs to an entry that wait for good, because no worker has so many accelerators.
async fn submit_waiting(client: &Client, entry: usize, ids: std::ops::Range<u64>) {
    let body = TaskBody {
        run_ms: 1_000,
        gpu: 64,
        ..TaskBody::default()
    };
    let body = Client::job(1, 1, &body);
    for id in ids {
        let path = format!("/batch/{id:016x}");
        let accepted = client.call(entry, Method::POST, &path, Some(&body)).await;
        let status = accepted.map(|(status, _)| status);
        assert_eq!(status, Some(StatusCode::OK));
    }
}

async fn start(name: &str) -> Result<(Deployment, Client)> {
    let deployment = start_deployment(name, ENTRIES, 1).await?;
    let client = deployment.client()?;
    submit_waiting(&client, 0, 0..JOBS).await;
    Ok((deployment, client))
}

fn index_of(entry: Target) -> usize {
    match entry {
        Target::Entry(index) | Target::Agent(index) => index,
    }
}

/// Reads a page of the port of the metrics; returns `None` if it is refused, and an error if it can't be read.
async fn read_page(deployment: &Deployment, entry: usize, path: &str) -> Result<Option<String>> {
    let addr = deployment.addr(Target::Entry(entry), Port::Metrics);
    let res = reqwest::get(format!("http://{addr}{path}")).await?;
    if res.status() == StatusCode::SERVICE_UNAVAILABLE {
        assert!(res.headers().contains_key("retry-after"));
        return Ok(None);
    }
    Ok(Some(res.error_for_status()?.text().await?))
}

/// Reads a page of all entries while their owner is killed, and passes each to `check`, which returns whether the entry states what it
/// knows; waits until one does before the loss, and again after it.
async fn read_across_takeover(
    deployment: &mut Deployment,
    path: &str,
    check: impl Fn(&str) -> bool,
) -> Result<()> {
    for _ in 0..2 {
        let deadline = Instant::now() + LIMIT;
        let mut stated = false;
        while !stated {
            assert!(Instant::now() < deadline, "no entry states {path}");
            for entry in 0..ENTRIES {
                if let Ok(Some(page)) = read_page(deployment, entry, path).await {
                    stated |= check(&page);
                }
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let owner = deployment.last_ownership()?.entry;
        deployment.kill(owner);
        let end = Instant::now() + TAKEOVER;
        while Instant::now() < end {
            for entry in 0..ENTRIES {
                if let Ok(Some(page)) = read_page(deployment, entry, path).await {
                    check(&page);
                }
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        deployment.launch(owner)?;
    }
    Ok(())
}

/// Guards against operators who read that nothing waits, at an entry that does not own the cell or from an owner that has just started.
#[tokio::test(flavor = "multi_thread")]
async fn waits_across_takeover_are_known_or_refused() -> Result<()> {
    let (mut deployment, _) = start("waits_across_takeover_are_known_or_refused").await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let check = |page: &str| {
        assert_ne!(page, "", "jobs have waited for seconds");
        true
    };
    read_across_takeover(&mut deployment, "/waits", check).await
}

/// Guards against gauges that say that no job waits or takes memory, at an entry that does not own the cell or whose owner does not know.
#[tokio::test(flavor = "multi_thread")]
async fn gauges_across_takeover_are_those_of_owner() -> Result<()> {
    let (mut deployment, _) = start("gauges_across_takeover_are_those_of_owner").await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let check = |page: &str| {
        let values = |name: &str| -> Vec<f64> {
            let lines = page.lines().filter(|line| line.starts_with(name));
            lines
                .filter_map(|line| line.rsplit(' ').next()?.parse().ok())
                .collect()
        };
        let bytes = values("limpethook_job_bytes ");
        assert!(bytes.iter().all(|bytes| *bytes > 0.0), "{bytes:?}");
        let waiting = values("limpethook_waiting_jobs{");
        let total: f64 = waiting.iter().sum();
        assert!(waiting.is_empty() || total > 0.0, "{waiting:?}");
        !waiting.is_empty()
    };
    read_across_takeover(&mut deployment, "/metrics", check).await
}

/// Guards against callers who are told how many jobs a paused owner knew, although another owner has accepted more since.
#[tokio::test(flavor = "multi_thread")]
async fn waiting_after_pause_is_current_or_refused() -> Result<()> {
    let (mut deployment, client) = start("waiting_after_pause_is_current_or_refused").await?;
    let paused = deployment.last_ownership()?;
    deployment.signal(paused.entry, "STOP")?;
    let deadline = Instant::now() + LIMIT;
    while deployment.last_ownership()?.epoch == paused.epoch {
        assert!(Instant::now() < deadline, "another entry takes over");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let owner = index_of(deployment.last_ownership()?.entry);
    submit_waiting(&client, owner, JOBS..ALL_JOBS).await;
    let mut requests = JoinSet::new();
    for _ in 0..REQUESTS {
        let client = client.clone();
        let entry = index_of(paused.entry);
        requests.spawn(async move { client.call(entry, Method::GET, "/batch/", None).await });
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    deployment.signal(paused.entry, "CONT")?;
    for (status, body) in requests.join_all().await.into_iter().flatten() {
        if status == StatusCode::OK {
            let waiting = body["waiting"].as_u64();
            assert!(waiting > Some(ALL_JOBS / 2), "{body}");
        } else {
            assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{body}");
        }
    }
    Ok(())
}
