//! The owner and the evacuations in the store.

mod common;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use cell::{Configuration, Entry, EntrySettings, EvacuationSettings};
use common::{MemoryStore, SECRET, accepted_job, accepted_record, entry_settings};
use errors::Result;
use model::{AcceptedJob, Instructions, ResourceVector, RunReport, RunStatus, WorkerReport};
use store::{KvStore, Precondition};
use tokio_util::sync::CancellationToken;
use wire::{Call, Key, Peers, Reply};

const BOUND: Duration = Duration::from_secs(5);
const TIMEOUT: Duration = Duration::from_secs(10);
const PREFIX: &str = "operator/evacuate/";

/// A worker of two tasks in the data centre `east`, under the owner of an entry.
struct Cell {
    store: Arc<MemoryStore>,
    entry: Arc<Entry>,
    peers: Peers,
    shutdown: CancellationToken,
}

impl Drop for Cell {
    fn drop(&mut self) {
        self.shutdown.cancel();
    }
}

fn job() -> AcceptedJob {
    accepted_job(task_resources())
}

fn task_resources() -> ResourceVector {
    ResourceVector {
        accelerators: 0,
        millicores: 1_000,
        memory_mb: 1_000,
    }
}

async fn evacuate(store: &MemoryStore, data_centre: &str) -> Result<()> {
    let key = format!("{PREFIX}{data_centre}");
    let value = Bytes::from_static(b"{}");
    store.put(&key, value, Precondition::Any, None).await?;
    Ok(())
}

/// Stores the record of an accepted job.
async fn put_job(store: &MemoryStore, id: u64) -> Result<()> {
    let key = format!("limpethook/jobs/{id:016x}");
    let record = Bytes::from(accepted_record(job()));
    store.put(&key, record, Precondition::Any, None).await?;
    Ok(())
}

impl Cell {
    async fn start(store: Arc<MemoryStore>) -> Result<Self> {
        let key = "operator/configuration";
        let value = Bytes::from_static(b"1");
        store.put(key, value, Precondition::Any, None).await?;
        let settings = EntrySettings {
            evacuations: Some(EvacuationSettings {
                key_prefix: PREFIX.into(),
                data_centres: vec!["east".into(), "west".into()],
                bound: BOUND,
            }),
            ..entry_settings()
        };
        let decode = |_: &[u8]| {
            Ok(Configuration {
                version: 1,
                ..Configuration::default()
            })
        };
        let shutdown = CancellationToken::new();
        let client = Arc::clone(&store) as Arc<dyn store::TransactionStore>;
        let entry = Entry::start(settings, client, None, decode, SECRET, shutdown.clone()).await?;
        let cell = Self {
            store,
            entry,
            peers: Peers::new(Key::from_secret(SECRET)),
            shutdown,
        };
        cell.wait_until(|| cell.epoch() > 0).await;
        Ok(cell)
    }

    fn epoch(&self) -> u64 {
        self.entry.owned_epoch().unwrap_or(0)
    }

    /// Returns the number of workers in evacuated data centres by the metrics of the owner.
    fn evacuated_workers(&self) -> Option<i64> {
        let metrics = self.entry.owner_metrics().ok()?;
        let unlabelled: [&str; 0] = [];
        let evacuated = metrics.evacuated_workers.with_label_values(&unlabelled);
        Some(evacuated.get())
    }

    async fn wait_until(&self, condition: impl Fn() -> bool) {
        let fulfilled = async {
            while !condition() {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        let waited = tokio::time::timeout(TIMEOUT, fulfilled).await;
        waited.expect("condition in time");
    }

    /// Sends a report of the idle worker and returns the instructions.
    async fn report(&self) -> Result<Instructions> {
        self.send(self.idle_report()).await
    }

    fn idle_report(&self) -> WorkerReport {
        WorkerReport {
            agent: "w1".into(),
            name: "worker".into(),
            service: "optics".into(),
            incarnation: Some(1),
            capacity: task_resources().saturating_mul(2),
            labels: vec!["a".into(), "r1".into()],
            draining: None,
            absent: false,
            confirmed_epoch: self.epoch(),
            owner_epoch: self.epoch(),
            complete: true,
            lists_complete: true,
            runs: Vec::new(),
            ends: Vec::new(),
            crashes: Vec::new(),
            sent_at: cell::clock::boot_now(),
            data_centre: "east".into(),
            cold_remaining: Duration::ZERO,
        }
    }

    async fn send(&self, report: WorkerReport) -> Result<Instructions> {
        let call = Call::Report(Box::new(report));
        let addr = self.entry.settings.addr;
        match self.peers.call(addr, &call, TIMEOUT).await? {
            Reply::Instructions(instructions) => Ok(*instructions),
            other => panic!("unexpected reply: {other:?}"),
        }
    }

    /// Returns whether the worker gets a task within so many reports, each of which waits up to a second.
    async fn starts_within(&self, reports: u32) -> Result<bool> {
        for _ in 0..reports {
            if !self.report().await?.starts.is_empty() {
                return Ok(true);
            }
        }
        Ok(false)
    }
}

/// Guards against an owner that starts tasks before it knows of an evacuation that was stored before its election.
#[tokio::test(flavor = "multi_thread")]
async fn new_owner_knows_earlier_evacuation() -> Result<()> {
    let store = Arc::new(MemoryStore::default());
    evacuate(&store, "east").await?;
    put_job(&store, 7).await?;
    let cell = Cell::start(store).await?;
    assert!(!cell.starts_within(3).await?);
    assert_eq!(cell.evacuated_workers(), Some(1));
    Ok(())
}

/// Guards against an evacuation that takes effect too late, and against one that stays in effect after it was taken back.
#[tokio::test(flavor = "multi_thread")]
async fn evacuation_follows_store() -> Result<()> {
    let cell = Cell::start(Arc::new(MemoryStore::default())).await?;
    cell.entry.submit(7, job(), TIMEOUT).await?;
    assert!(cell.starts_within(5).await?);
    evacuate(&cell.store, "east").await?;
    cell.report().await?;
    cell.wait_until(|| cell.evacuated_workers() == Some(1))
        .await;
    cell.entry.submit(8, job(), TIMEOUT).await?;
    assert!(!cell.starts_within(3).await?);
    let key = format!("{PREFIX}east");
    cell.store.delete(&key, Precondition::Any).await?;
    assert!(cell.starts_within(5).await?);
    Ok(())
}

/// Guards against an evacuation of another data centre that stops this one.
#[tokio::test(flavor = "multi_thread")]
async fn evacuation_of_other_data_centre_leaves_worker() -> Result<()> {
    let store = Arc::new(MemoryStore::default());
    evacuate(&store, "west").await?;
    let cell = Cell::start(store).await?;
    cell.entry.submit(7, job(), TIMEOUT).await?;
    assert!(cell.starts_within(5).await?);
    Ok(())
}

/// Guards against an owner that starts tasks although it could not read the evacuations for longer than their bound, and against
/// one that does not go on once the store answers.
#[tokio::test(flavor = "multi_thread")]
async fn owner_starts_nothing_without_recent_read() -> Result<()> {
    let cell = Cell::start(Arc::new(MemoryStore::default())).await?;
    assert!(!cell.starts_within(1).await?, "no job was submitted");
    cell.store.refuses_checks.store(true, Ordering::Release);
    tokio::time::sleep(BOUND).await;
    put_job(&cell.store, 7).await?;
    assert!(!cell.starts_within(2).await?);
    cell.store.refuses_checks.store(false, Ordering::Release);
    assert!(cell.starts_within(5).await?);
    Ok(())
}

/// Guards against an owner that starts nothing while the store is slow, although it keeps its lease and nothing is evacuated.
#[tokio::test(flavor = "multi_thread")]
async fn owner_starts_tasks_beside_slow_store() -> Result<()> {
    let cell = Cell::start(Arc::new(MemoryStore::default())).await?;
    assert!(!cell.starts_within(1).await?, "no job was submitted");
    let epoch = cell.epoch();
    cell.store.check_ms.store(600, Ordering::Release);
    tokio::time::sleep(BOUND).await;
    cell.entry.submit(7, job(), TIMEOUT).await?;
    assert!(cell.starts_within(4).await?);
    assert_eq!(cell.epoch(), epoch, "the ownership was kept");
    Ok(())
}

/// Guards against an owner that stops nothing on a draining worker while it cannot read the evacuations.
#[tokio::test(flavor = "multi_thread")]
async fn owner_stops_runs_before_drain_without_recent_read() -> Result<()> {
    let cell = Cell::start(Arc::new(MemoryStore::default())).await?;
    let mut long = job();
    long.graph.steps[0].expected = Duration::from_mins(1);
    cell.entry.submit(7, long, TIMEOUT).await?;
    let mut starts = Vec::new();
    while starts.is_empty() {
        starts = cell.report().await?.starts;
    }
    cell.store.refuses_checks.store(true, Ordering::Release);
    let running = RunReport {
        run: starts[0].run,
        status: RunStatus::Running {
            percent: 10,
            checkpoint: Box::default(),
            survived: Duration::from_secs(1),
        },
    };
    let silent_since = tokio::time::Instant::now();
    let mut stops = Vec::new();
    while stops.is_empty() && silent_since.elapsed() < BOUND * 2 {
        let drains = silent_since.elapsed() > BOUND;
        let report = WorkerReport {
            draining: drains.then_some(Duration::from_secs(8)),
            runs: vec![running.clone()],
            ..cell.idle_report()
        };
        stops = cell.send(report).await?.stops;
    }
    assert_eq!(stops, [starts[0].run]);
    Ok(())
}
