//! Orders of an agent whose worker ends and begins another life.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use cell::AgentSettings;
use cell::agent::{Announcement, EntryDirectory, Held, Hold, Runner, Start, Started, Told};
use errors::{Error, ErrorKind, Result};
use model::{
    Incarnation, Instructions, Room, RunStatus, StartOrder, TaskId, TaskRun, WorkerReport,
};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use wire::{Call, CellView, Key, Leader, Reply, Server};

const SECRET: &str = "agent test";
const EPOCH: u64 = 7;
/// The agent tries a start again within half a second.
const SEVERAL_TRIES: Duration = Duration::from_secs(2);
const LIMIT: Duration = Duration::from_secs(10);
const POLL: Duration = Duration::from_millis(20);

/// A worker that answers no start and refuses each stop.
#[derive(Default)]
struct DyingWorker {
    incarnation: Mutex<Incarnation>,
    starts: AtomicUsize,
    stops: AtomicUsize,
}

#[async_trait]
impl Runner for DyingWorker {
    async fn start(&self, _name: &str, _start: &Start, limit: Duration) -> Result<Started> {
        self.starts.fetch_add(1, Ordering::Relaxed);
        tokio::time::sleep(limit).await;
        Err(Error::may_have_run(ErrorKind::Timeout, "no answer").report())
    }

    async fn stop(&self, _run: TaskRun, _epoch: u64, _limit: Duration) -> Result<()> {
        self.stops.fetch_add(1, Ordering::Relaxed);
        Err(Error::not_run(ErrorKind::Unavailable, "refused").report())
    }

    async fn hold(&self, hold: &Hold, _limit: Duration) -> Result<Held> {
        tokio::time::sleep(hold.wait.unwrap_or_default().min(POLL)).await;
        Ok(Held {
            incarnation: Some(*self.incarnation.lock().expect("no panic with the lock")),
            clock: Duration::from_secs(1),
            fenced: false,
            runs: Vec::new(),
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
struct Orders {
    starts: VecDeque<StartOrder>,
    stops: VecDeque<TaskRun>,
    reports: Vec<WorkerReport>,
}

/// An owner that records reports and hands out the orders of the test.
struct Owner {
    addr: SocketAddr,
    orders: Arc<Mutex<Orders>>,
}

impl Owner {
    async fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let orders: Arc<Mutex<Orders>> = Arc::default();
        let shared = Arc::clone(&orders);
        let handler = move |_, call| answer(addr, Arc::clone(&shared), call);
        let server = Server::new(listener, Key::from_secret(SECRET));
        tokio::spawn(server.serve(handler, CancellationToken::new()));
        Ok(Self { addr, orders })
    }

    fn order(&self, order: impl FnOnce(&mut Orders)) {
        order(&mut self.orders.lock().expect("no panic with the lock"));
    }

    /// Waits for a report that `matches`.
    async fn reported(&self, matches: impl Fn(&WorkerReport) -> bool) -> WorkerReport {
        let found = async {
            loop {
                let orders = Arc::clone(&self.orders);
                let last = orders
                    .lock()
                    .expect("no panic with the lock")
                    .reports
                    .last()
                    .cloned();
                if let Some(report) = last.filter(&matches) {
                    return report;
                }
                tokio::time::sleep(POLL).await;
            }
        };
        tokio::time::timeout(LIMIT, found)
            .await
            .expect("a report in time")
    }
}

async fn answer(addr: SocketAddr, orders: Arc<Mutex<Orders>>, call: Call) -> Result<Reply> {
    let Call::Report(report) = call else {
        return Ok(Reply::CellView(CellView {
            leader: Some(Leader {
                entry: "entry".into(),
                addr,
                epoch: EPOCH,
            }),
            entries: vec![addr],
        }));
    };
    tokio::time::sleep(POLL).await;
    let mut orders = orders.lock().expect("no panic with the lock");
    let instructions = Instructions {
        epoch: EPOCH,
        echo: report.sent_at,
        incarnation: report.incarnation,
        acknowledged: 0,
        bodies: Vec::new(),
        starts: orders.starts.drain(..).collect(),
        stops: orders.stops.drain(..).collect(),
    };
    orders.reports.push(*report);
    Ok(Reply::Instructions(Box::new(instructions)))
}

fn announcement(incarnation: Incarnation) -> Told {
    Told::Announced(Announcement {
        name: "worker".into(),
        incarnation,
        sequence: 1,
        service: "optics".into(),
        room: Room {
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

/// Guards against a task that runs twice: a stop was refused while its start was still tried, the agent dropped the order at the
/// next life of the worker, the owner started the task elsewhere, and a further try reached that life. Found by soak seed 408.
#[tokio::test(flavor = "multi_thread")]
async fn begin_keeps_start_in_progress_after_refused_stop()
-> std::result::Result<(), Box<dyn std::error::Error>> {
    let owner = Owner::start().await?;
    let worker = Arc::new(DyingWorker::default());
    *worker.incarnation.lock().expect("no panic with the lock") = 1;
    let settings = AgentSettings {
        agent: "agent".into(),
        service: "optics".into(),
        seeds: vec![owner.addr],
        max_lease: Duration::from_secs(6),
    };
    let leaving = CancellationToken::new();
    let runner = Arc::clone(&worker) as Arc<dyn Runner>;
    let directory = Arc::new(NoDirectory);
    let (handle, ended) = cell::agent::start(settings, runner, directory, SECRET, leaving.clone());
    handle.tell(announcement(1)).await.expect("the agent runs");
    owner.reported(|report| report.fenced == EPOCH).await;
    owner.order(|orders| {
        orders.starts.push_back(StartOrder {
            run: run(),
            checkpoint: Box::default(),
            approval: None,
            repeated: false,
        });
    });
    owner.reported(is_open).await;
    owner.order(|orders| orders.stops.push_back(run()));
    while worker.stops.load(Ordering::Relaxed) == 0 {
        tokio::time::sleep(POLL).await;
    }
    tokio::time::sleep(2 * POLL).await;
    *worker.incarnation.lock().expect("no panic with the lock") = 2;
    handle.tell(announcement(2)).await.expect("the agent runs");
    let report = owner.reported(|report| report.incarnation == Some(2)).await;
    assert!(is_open(&report), "{:?}", report.runs);
    let tries = worker.starts.load(Ordering::Relaxed);
    tokio::time::sleep(SEVERAL_TRIES).await;
    assert_eq!(
        worker.starts.load(Ordering::Relaxed),
        tries,
        "tries after the stop"
    );
    leaving.cancel();
    ended.await?;
    Ok(())
}
