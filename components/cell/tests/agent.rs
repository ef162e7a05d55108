//! Orders of an agent whose worker restarts.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use cell::AgentSettings;
use cell::agent::{
    AgentHandle, Announcement, EntryDirectory, ListedRun, PollReply, PollRequest, StartReply,
    StartRequest, WorkerClient, WorkerNotice,
};
use errors::{Error, ErrorKind, Result};
use model::{
    Incarnation, Instructions, ResourceVector, RunStatus, StartOrder, TaskId, TaskRun, WorkerReport,
};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use wire::{Call, CellView, Key, Leader, Reply, Server};

const SECRET: &str = "agent test";
const EPOCH: u64 = 7;
/// Covers several attempts: the agent repeats a start within half a second.
const SEVERAL_ATTEMPTS: Duration = Duration::from_secs(2);
const REPORT_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A worker that answers no start and refuses each stop.
#[derive(Default)]
struct UnresponsiveWorker {
    incarnation: Mutex<Incarnation>,
    starts: AtomicUsize,
    stops: AtomicUsize,
    /// Number of the next polls that panic.
    panics: AtomicUsize,
    /// Number of polls that were answered and allowed the worker to wait, of which one always is in progress.
    regular_polls: AtomicUsize,
}

#[async_trait]
impl WorkerClient for UnresponsiveWorker {
    async fn start(
        &self,
        _name: &str,
        _request: &StartRequest,
        timeout: Duration,
    ) -> Result<StartReply> {
        self.starts.fetch_add(1, Ordering::Relaxed);
        tokio::time::sleep(timeout).await;
        Err(Error::may_have_run(ErrorKind::Timeout, "the worker did not answer").report())
    }

    async fn stop(&self, _run: TaskRun, _epoch: u64, _timeout: Duration) -> Result<()> {
        self.stops.fetch_add(1, Ordering::Relaxed);
        Err(Error::not_run(ErrorKind::Unavailable, "the worker refused the stop").report())
    }

    async fn poll(&self, request: &PollRequest, _timeout: Duration) -> Result<PollReply> {
        let panics = self.panics.load(Ordering::Relaxed);
        self.panics
            .store(panics.saturating_sub(1), Ordering::Relaxed);
        assert!(panics == 0, "injected panic");
        tokio::time::sleep(request.wait.unwrap_or_default().min(POLL_INTERVAL)).await;
        if request.wait.is_some() {
            self.regular_polls.fetch_add(1, Ordering::Relaxed);
        }
        Ok(PollReply {
            incarnation: Some(*self.incarnation.lock().expect("lock is not poisoned")),
            clock: Duration::from_secs(1),
            fenced: false,
            runs: Vec::new(),
            ends: Vec::new(),
        })
    }
}

/// A worker that starts everything, and that can be taken down and up again.
#[derive(Default)]
struct SteadyWorker {
    incarnation: AtomicU64,
    is_down: AtomicBool,
    runs: Mutex<Vec<TaskRun>>,
    /// Number of polls that did not allow the worker to wait.
    immediate_polls: AtomicUsize,
}

impl SteadyWorker {
    fn check(&self) -> Result<()> {
        if self.is_down.load(Ordering::Relaxed) {
            return Err(Error::not_run(ErrorKind::NotFound, "connection refused").report());
        }
        Ok(())
    }
}

#[async_trait]
impl WorkerClient for SteadyWorker {
    async fn start(
        &self,
        _name: &str,
        request: &StartRequest,
        _timeout: Duration,
    ) -> Result<StartReply> {
        self.check()?;
        let mut runs = self.runs.lock().expect("lock is not poisoned");
        runs.push(request.run);
        Ok(StartReply::Yes)
    }

    async fn stop(&self, _run: TaskRun, _epoch: u64, _timeout: Duration) -> Result<()> {
        self.check()
    }

    async fn poll(&self, request: &PollRequest, _timeout: Duration) -> Result<PollReply> {
        self.check()?;
        if request.wait.is_none() {
            self.immediate_polls.fetch_add(1, Ordering::Relaxed);
        }
        let end = tokio::time::Instant::now() + request.wait.unwrap_or_default();
        while tokio::time::Instant::now() < end {
            tokio::time::sleep(POLL_INTERVAL).await;
            self.check()?;
        }
        let runs = self.runs.lock().expect("lock is not poisoned");
        let listed = runs.iter().map(|run| ListedRun {
            run: *run,
            checkpoint: Box::default(),
            percent: 0,
        });
        Ok(PollReply {
            incarnation: Some(self.incarnation.load(Ordering::Relaxed)),
            clock: Duration::from_secs(1),
            fenced: false,
            runs: listed.collect(),
            ends: Vec::new(),
        })
    }
}

struct NoDirectory;

#[async_trait]
impl EntryDirectory for NoDirectory {
    async fn entries(&self) -> Result<Vec<SocketAddr>> {
        Ok(Vec::new())
    }
}

#[derive(Default)]
struct OwnerState {
    /// The owner that calls for the state of the cell return; this one if not set.
    leader: Option<Leader>,
    /// Whether reports get no reply.
    silent: bool,
    starts: VecDeque<StartOrder>,
    stops: VecDeque<TaskRun>,
    /// Crashes that are confirmed with each reply.
    stored_crashes: Vec<Incarnation>,
    reports: Vec<WorkerReport>,
}

/// An owner that records reports and sends the orders of the test.
struct Owner {
    addr: SocketAddr,
    state: Arc<Mutex<OwnerState>>,
}

impl Owner {
    async fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let state: Arc<Mutex<OwnerState>> = Arc::default();
        let shared = Arc::clone(&state);
        let handler = move |_, call| answer(addr, Arc::clone(&shared), call);
        let server = Server::new(listener, Key::from_secret(SECRET));
        tokio::spawn(server.serve(handler, CancellationToken::new()));
        Ok(Self { addr, state })
    }

    fn update(&self, update: impl FnOnce(&mut OwnerState)) {
        update(&mut self.state.lock().expect("lock is not poisoned"));
    }

    /// Waits for a report that satisfies `matches`.
    async fn reported(&self, matches: impl Fn(&WorkerReport) -> bool) -> WorkerReport {
        let found = async {
            loop {
                let state = Arc::clone(&self.state);
                let last = state
                    .lock()
                    .expect("lock is not poisoned")
                    .reports
                    .last()
                    .cloned();
                if let Some(report) = last.filter(&matches) {
                    return report;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        tokio::time::timeout(REPORT_TIMEOUT, found)
            .await
            .expect("matching report in time")
    }
}

async fn answer(addr: SocketAddr, state: Arc<Mutex<OwnerState>>, call: Call) -> Result<Reply> {
    let own = Leader {
        entry: "entry".into(),
        addr,
        epoch: EPOCH,
    };
    let view = |leader| {
        Ok(Reply::CellView(CellView {
            leader: Some(leader),
            entries: vec![addr],
        }))
    };
    let leader = || {
        let state = state.lock().expect("lock is not poisoned");
        state.leader.clone().unwrap_or_else(|| own.clone())
    };
    let report = match call {
        Call::Report(report) => report,
        Call::CellViewAfter(epoch) => {
            while leader().epoch <= epoch {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            return view(leader());
        }
        _ => return view(leader()),
    };
    let silent = state.lock().expect("lock is not poisoned").silent;
    if silent {
        std::future::pending::<()>().await;
    }
    tokio::time::sleep(POLL_INTERVAL).await;
    let epoch = leader().epoch;
    let mut state = state.lock().expect("lock is not poisoned");
    let instructions = Instructions {
        epoch,
        report_sent_at: report.sent_at,
        incarnation: report.incarnation,
        acknowledged: 0,
        bodies: Vec::new(),
        starts: state.starts.drain(..).collect(),
        stops: state.stops.drain(..).collect(),
        stored_crashes: state.stored_crashes.clone(),
    };
    state.reports.push(*report);
    Ok(Reply::Instructions(Box::new(instructions)))
}

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
    let settings = AgentSettings {
        agent: "agent".into(),
        service: "optics".into(),
        seeds: vec![owner.addr],
        max_lease: Duration::from_secs(6),
    };
    let shutdown = CancellationToken::new();
    let client = Arc::clone(&worker) as Arc<dyn WorkerClient>;
    let directory = Arc::new(NoDirectory);
    let (handle, ended) = cell::agent::start(settings, client, directory, SECRET, shutdown.clone());
    handle
        .notify(announcement(1))
        .await
        .expect("agent is running");
    owner
        .reported(|report| report.confirmed_epoch == EPOCH)
        .await;
    owner.update(|state| {
        state.starts.push_back(StartOrder {
            run: run(),
            checkpoint: Box::default(),
            approval: None,
            repeated: false,
            trial: false,
        });
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
        seeds: vec![entry.addr],
        max_lease: Duration::from_secs(6),
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
        seeds: vec![owner.addr],
        max_lease: Duration::from_secs(6),
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

/// Starts an agent beside a steady worker, which has started one run on trial.
async fn start_with_trial(
    owner: &Owner,
    worker: &Arc<SteadyWorker>,
    shutdown: &CancellationToken,
) -> (AgentHandle, tokio::task::JoinHandle<()>) {
    worker.incarnation.store(1, Ordering::Relaxed);
    let settings = AgentSettings {
        agent: "agent".into(),
        service: "optics".into(),
        seeds: vec![owner.addr],
        max_lease: Duration::from_secs(6),
    };
    let client = Arc::clone(worker) as Arc<dyn WorkerClient>;
    let directory = Arc::new(NoDirectory);
    let (handle, ended) = cell::agent::start(settings, client, directory, SECRET, shutdown.clone());
    handle
        .notify(announcement(1))
        .await
        .expect("agent is running");
    owner
        .reported(|report| report.confirmed_epoch == EPOCH)
        .await;
    owner.update(|state| {
        state.starts.push_back(StartOrder {
            run: run(),
            checkpoint: Box::default(),
            approval: None,
            repeated: false,
            trial: true,
        });
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
