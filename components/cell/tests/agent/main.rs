//! Agents beside a worker that restarts, and in front of an owner that changes.

mod late_answers;
mod late_starts;
mod other_senders;
mod owner;
mod restarts;
mod worker;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cell::AgentSettings;
use cell::agent::{AgentHandle, Announcement, WorkerClient, WorkerNotice};
use model::{Incarnation, ResourceVector, RunStatus, StartOrder, TaskId, TaskRun, WorkerReport};
use tokio_util::sync::CancellationToken;
use wire::Leader;

use crate::owner::{NoDirectory, Owner};
use crate::worker::{CountingWorker, SteadyWorker, UnresponsiveWorker};

const SECRET: &str = "agent test";
const EPOCH: u64 = 7;
/// Covers several attempts: the agent repeats a start within half a second.
const SEVERAL_ATTEMPTS: Duration = Duration::from_secs(2);
const REPORT_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

fn announcement(incarnation: Incarnation) -> WorkerNotice {
    WorkerNotice::Announced(Announcement {
        name: "worker".into(),
        incarnation,
        sequence: 1,
        service: "optics".into(),
        capacity: ResourceVector {
            accelerators: 8,
            millicores: 64_000,
            memory_mb: 64_000,
        },
        labels: vec!["a".into()],
        draining: None,
        cold_remaining: Duration::ZERO,
    })
}

fn run() -> TaskRun {
    let task = TaskId {
        job: 1,
        occurrence: 0,
        step: 0,
        index: 0,
    };
    TaskRun::new(task, 1)
}
fn start_order(trial: bool) -> StartOrder {
    StartOrder {
        run: run(),
        checkpoint: Box::default(),
        approval: None,
        repeated: false,
        trial,
    }
}

fn is_open(report: &WorkerReport) -> bool {
    let mut runs = report.runs.iter();
    runs.any(|open| open.run == run() && open.status == RunStatus::Starting)
}

/// Guards against a task that runs twice. After a refused stop, the agent dropped a start that was
/// still being retried when the worker restarted. The owner started the task elsewhere, and a later
/// attempt reached the new incarnation. Found by soak seed 408.
#[tokio::test(flavor = "multi_thread")]
async fn begin_keeps_start_in_progress_after_refused_stop()
-> std::result::Result<(), Box<dyn std::error::Error>> {
    let owner = Owner::start().await?;
    let worker = Arc::new(UnresponsiveWorker::default());
    *worker.incarnation.lock().expect("lock is not poisoned") = 1;
    let shutdown = CancellationToken::new();
    let client = Arc::clone(&worker) as Arc<dyn WorkerClient>;
    let (handle, ended) = start_agent(&owner, client, &shutdown).await;
    owner.update(|state| {
        state.starts.push_back(start_order(false));
    });
    owner.reported(is_open).await;
    owner.update(|state| state.stops.push_back(run()));
    while worker.stops.load(Ordering::Relaxed) == 0 {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    tokio::time::sleep(2 * POLL_INTERVAL).await;
    *worker.incarnation.lock().expect("lock is not poisoned") = 2;
    handle
        .notify(announcement(2))
        .await
        .expect("agent is running");
    let report = owner.reported(|report| report.incarnation == Some(2)).await;
    assert!(is_open(&report), "{:?}", report.runs);
    let starts = worker.starts.load(Ordering::Relaxed);
    tokio::time::sleep(SEVERAL_ATTEMPTS).await;
    assert_eq!(
        worker.starts.load(Ordering::Relaxed),
        starts,
        "starts sent after the stop"
    );
    shutdown.cancel();
    ended.await?;
    Ok(())
}

/// Guards against an agent that learns of a new owner only when its report to the previous one, which lost power, times
/// out. A new owner waits for the reports of all agents before it places the jobs that it found.
#[tokio::test(flavor = "multi_thread")]
async fn agent_reports_to_new_owner_before_timeout()
-> std::result::Result<(), Box<dyn std::error::Error>> {
    let (entry, previous, next) = (
        Owner::start().await?,
        Owner::start().await?,
        Owner::start().await?,
    );
    let leader = |owner: &Owner, epoch| Leader {
        entry: "owner".into(),
        addr: owner.addr,
        epoch,
    };
    previous.update(|state| state.silent = true);
    let first = leader(&previous, EPOCH);
    entry.update(|state| state.leader = Some(first));
    let second = leader(&next, EPOCH + 1);
    next.update(|state| state.leader = Some(second.clone()));
    let settings = AgentSettings {
        agent: "agent".into(),
        service: "optics".into(),
        data_centre: "east".into(),
        seeds: vec![entry.addr],
        max_lease: Duration::from_secs(6),
        order_validity: Some(cell::ORDER_VALIDITY),
    };
    let shutdown = CancellationToken::new();
    let client = Arc::new(UnresponsiveWorker::default()) as Arc<dyn WorkerClient>;
    let directory = Arc::new(NoDirectory);
    let (handle, ended) = cell::agent::start(settings, client, directory, SECRET, shutdown.clone());
    handle
        .notify(announcement(1))
        .await
        .expect("agent is running");
    tokio::time::sleep(Duration::from_millis(300)).await;
    entry.update(|state| state.leader = Some(second));
    let reported = next.reported(|report| report.incarnation.is_some());
    // Reports time out after 1.6 s.
    let reported = tokio::time::timeout(Duration::from_millis(800), reported).await;
    assert!(reported.is_ok(), "no report within 800 ms");
    shutdown.cancel();
    ended.await?;
    Ok(())
}

/// Guards against an agent that never polls its worker again, whose leases then lapse, after an unexpected error in one
/// poll.
#[tokio::test(flavor = "multi_thread")]
async fn agent_survives_panic_in_poll() -> std::result::Result<(), Box<dyn std::error::Error>> {
    let owner = Owner::start().await?;
    let worker = Arc::new(UnresponsiveWorker::default());
    worker.panics.store(3, Ordering::Relaxed);
    let settings = AgentSettings {
        agent: "agent".into(),
        service: "optics".into(),
        data_centre: "east".into(),
        seeds: vec![owner.addr],
        max_lease: Duration::from_secs(6),
        order_validity: Some(cell::ORDER_VALIDITY),
    };
    let shutdown = CancellationToken::new();
    let client = Arc::clone(&worker) as Arc<dyn WorkerClient>;
    let directory = Arc::new(NoDirectory);
    let (handle, ended) = cell::agent::start(settings, client, directory, SECRET, shutdown.clone());
    handle
        .notify(announcement(0))
        .await
        .expect("agent is running");
    owner
        .reported(|report| report.confirmed_epoch == EPOCH)
        .await;
    let polled = async {
        while worker.regular_polls.load(Ordering::Relaxed) < 3 {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let polled = tokio::time::timeout(REPORT_TIMEOUT, polled).await;
    assert!(polled.is_ok(), "the worker is polled no more");
    shutdown.cancel();
    ended.await?;
    Ok(())
}

/// Starts an agent beside a worker, which it reports for the first time.
async fn start_agent(
    owner: &Owner,
    client: Arc<dyn WorkerClient>,
    shutdown: &CancellationToken,
) -> (AgentHandle, tokio::task::JoinHandle<()>) {
    let settings = AgentSettings {
        agent: "agent".into(),
        service: "optics".into(),
        data_centre: "east".into(),
        seeds: vec![owner.addr],
        max_lease: Duration::from_secs(6),
        order_validity: Some(cell::ORDER_VALIDITY),
    };
    let directory = Arc::new(NoDirectory);
    let (handle, ended) = cell::agent::start(settings, client, directory, SECRET, shutdown.clone());
    handle
        .notify(announcement(1))
        .await
        .expect("agent is running");
    owner
        .reported(|report| report.confirmed_epoch == EPOCH)
        .await;
    (handle, ended)
}

/// Starts an agent beside a steady worker, which has started one run on trial.
async fn start_with_trial(
    owner: &Owner,
    worker: &Arc<SteadyWorker>,
    shutdown: &CancellationToken,
) -> (AgentHandle, tokio::task::JoinHandle<()>) {
    worker.incarnation.store(1, Ordering::Relaxed);
    let client = Arc::clone(worker) as Arc<dyn WorkerClient>;
    let (handle, ended) = start_agent(owner, client, shutdown).await;
    owner.update(|state| {
        state.starts.push_back(start_order(true));
    });
    owner.reported(|report| survived(report).is_some()).await;
    (handle, ended)
}

/// Returns how long the run is reported to have lived.
fn survived(report: &WorkerReport) -> Option<Duration> {
    let mut runs = report.runs.iter();
    runs.find_map(|found| match found.status {
        RunStatus::Running { survived, .. } if found.run == run() => Some(survived),
        _ => None,
    })
}

/// Guards against a crash that is lost with the owner: the agent reports it until it is stored, also after the worker has
/// come back.
#[tokio::test(flavor = "multi_thread")]
async fn agent_reports_crash_until_stored() -> std::result::Result<(), Box<dyn std::error::Error>> {
    let owner = Owner::start().await?;
    let worker = Arc::new(SteadyWorker::default());
    let shutdown = CancellationToken::new();
    let (_handle, ended) = start_with_trial(&owner, &worker, &shutdown).await;
    worker.is_down.store(true, Ordering::Relaxed);
    let report = owner.reported(|report| report.absent).await;
    assert_eq!(report.crashes.len(), 1);
    assert_eq!(report.crashes[0].incarnation, 1);
    let crashed = &report.crashes[0].runs;
    assert_eq!(crashed.len(), 1);
    assert_eq!(crashed[0].run, run());
    assert!(crashed[0].survived.is_some(), "the start was answered");
    worker.runs.lock().expect("lock is not poisoned").clear();
    worker.incarnation.store(2, Ordering::Relaxed);
    worker.is_down.store(false, Ordering::Relaxed);
    let report = owner.reported(|report| report.incarnation == Some(2)).await;
    assert_eq!(report.crashes.len(), 1, "not stored yet");
    owner.update(|state| state.stored_crashes.push(1));
    owner.reported(|report| report.crashes.is_empty()).await;
    shutdown.cancel();
    ended.await?;
    Ok(())
}

/// Guards against a trial that lasts until the next regular poll, while other tasks wait for the worker.
#[tokio::test(flavor = "multi_thread")]
async fn agent_reports_survival_of_trial() -> std::result::Result<(), Box<dyn std::error::Error>> {
    let owner = Owner::start().await?;
    let worker = Arc::new(SteadyWorker::default());
    let shutdown = CancellationToken::new();
    let (_handle, ended) = start_with_trial(&owner, &worker, &shutdown).await;
    // Regular polls let the worker wait for a second.
    let polls = worker.immediate_polls.load(Ordering::Relaxed);
    let polled = async {
        while worker.immediate_polls.load(Ordering::Relaxed) == polls {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let polled = tokio::time::timeout(REPORT_TIMEOUT, polled).await;
    assert!(polled.is_ok(), "the worker is not polled for the trial");
    let has_survived = |report: &WorkerReport| survived(report) >= Some(graph::PROBATION);
    owner.reported(has_survived).await;
    shutdown.cancel();
    ended.await?;
    Ok(())
}

/// Guards against an agent that opens a connection to its worker for each of many starts at once.
#[tokio::test(flavor = "multi_thread")]
async fn agent_sends_few_starts_at_a_time() -> std::result::Result<(), Box<dyn std::error::Error>> {
    const ORDERS: u32 = 500;
    let owner = Owner::start().await?;
    let worker = Arc::new(CountingWorker::default());
    let shutdown = CancellationToken::new();
    let client = Arc::clone(&worker) as Arc<dyn WorkerClient>;
    let (_handle, ended) = start_agent(&owner, client, &shutdown).await;
    owner.update(|state| {
        for index in 0..ORDERS {
            let task = TaskId {
                index,
                ..run().task
            };
            state.starts.push_back(StartOrder {
                run: TaskRun::new(task, 1),
                ..start_order(false)
            });
        }
    });
    while worker.started.load(Ordering::Relaxed) < ORDERS as usize {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let most = worker.most_at_once.load(Ordering::Relaxed);
    assert!(most <= 16, "{most} starts at once");
    shutdown.cancel();
    ended.await?;
    Ok(())
}
