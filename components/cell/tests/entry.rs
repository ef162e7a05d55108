//! An entry whose store returns odd entries, and whose controllers panic.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use cell::{Configuration, Entry, EntrySettings};
use common::{MemoryStore, SECRET, accepted_job, accepted_record, entry_settings, free_addr};
use errors::{Error, ErrorKind, Result};
use graph::{Progress, UnitProgress};
use model::{
    AcceptedJob, Instructions, JobEnd, JobState, Refusal, ResourceVector, RunReport, RunStatus,
    WorkerReport,
};
use store::{KvStore, Precondition};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use wire::{Call, CellView, Key, Leader, Peers, Reply, Server};

const CONFIGURATION_KEY: &str = "operator/configuration";
const TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Resources of a task that fills a worker.
const ONE_TASK: ResourceVector = ResourceVector {
    accelerators: 0,
    millicores: 1_000,
    memory_mb: 1_000,
};

/// Set while decoding a configuration panics.
static DECODE_PANICS: AtomicBool = AtomicBool::new(false);

/// Decodes a configuration whose value is its version.
fn decode(value: &[u8]) -> Result<Configuration> {
    assert!(!DECODE_PANICS.load(Ordering::Acquire), "injected panic");
    let text = std::str::from_utf8(value).unwrap_or_default();
    let version = text
        .parse()
        .map_err(|e| Error::not_run(ErrorKind::Corrupt, format!("not a version: {e}")).report())?;
    Ok(Configuration {
        version,
        ..Configuration::default()
    })
}

async fn start_entry(
    store: &Arc<MemoryStore>,
    seeds: Vec<SocketAddr>,
) -> Result<(Arc<Entry>, CancellationToken)> {
    start_entry_with_share(store, "entry", 1.0, seeds).await
}

async fn start_entry_with_share(
    store: &Arc<MemoryStore>,
    name: &str,
    processor_share: f64,
    seeds: Vec<SocketAddr>,
) -> Result<(Arc<Entry>, CancellationToken)> {
    let settings = EntrySettings {
        entry: name.into(),
        processor_share,
        seeds,
        ..entry_settings()
    };
    let shutdown = CancellationToken::new();
    let store = Arc::clone(store) as Arc<dyn store::TransactionStore>;
    let entry = Entry::start(settings, store, None, decode, SECRET, shutdown.clone()).await?;
    Ok((entry, shutdown))
}

async fn put(store: &MemoryStore, key: &str, value: &[u8]) -> Result<()> {
    let value = bytes::Bytes::copy_from_slice(value);
    store.put(key, value, Precondition::Any, None).await?;
    Ok(())
}

async fn wait_until(condition: impl Fn() -> bool) {
    let fulfilled = async {
        while !condition() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(TIMEOUT, fulfilled)
        .await
        .expect("condition in time");
}

fn job() -> AcceptedJob {
    accepted_job(ResourceVector::default())
}

/// Guards against a configuration controller that stops following the store after a panic.
#[tokio::test(flavor = "multi_thread")]
async fn configuration_survives_panic() -> Result<()> {
    let store = Arc::new(MemoryStore::default());
    put(&store, CONFIGURATION_KEY, b"1").await?;
    let (entry, shutdown) = start_entry(&store, Vec::new()).await?;
    wait_until(|| entry.board.configuration.load().version == 1).await;
    DECODE_PANICS.store(true, Ordering::Release);
    put(&store, CONFIGURATION_KEY, b"2").await?;
    tokio::time::sleep(Duration::from_millis(300)).await;
    DECODE_PANICS.store(false, Ordering::Release);
    wait_until(|| entry.board.configuration.load().version == 2).await;
    shutdown.cancel();
    Ok(())
}

/// Guards against entries of other writers among those of the cell that stop an entry from following the owner, or an owner
/// from starting: unreadable values, and jobs with sizes and times that overflow.
#[tokio::test(flavor = "multi_thread")]
async fn owner_skips_odd_records() -> Result<()> {
    let store = Arc::new(MemoryStore::default());
    put(&store, CONFIGURATION_KEY, b"1").await?;
    let nested = vec![b'['; 100_000];
    put(&store, "limpethook/cell/entries/odd", &nested).await?;
    put(&store, "limpethook/cell/unknown", b"\xff\xfe").await?;
    put(&store, "limpethook/jobs/00000000000000aa", &nested).await?;
    put(&store, "limpethook/jobs/not-a-job", b"").await?;
    put(&store, "limpethook/progress/00000000000000aa", &nested).await?;
    let mut endless = job();
    endless.graph.steps[0].tasks = u32::MAX;
    let mut overflowing = job();
    overflowing.graph.steps[0].expected = Duration::MAX;
    overflowing.policy.stretch = f64::NAN;
    for (id, job) in [("ab", endless), ("ac", overflowing)] {
        let key = format!("limpethook/jobs/00000000000000{id}");
        put(&store, &key, &common::accepted_record(job)).await?;
    }
    let (entry, shutdown) = start_entry(&store, Vec::new()).await?;
    wait_until(|| entry.owned_epoch().is_some()).await;
    entry.submit(7, job(), TIMEOUT).await?;
    let knows = || {
        entry
            .job_states()
            .is_ok_and(|states| states.jobs.contains_key(&7))
    };
    wait_until(knows).await;
    assert_eq!(entry.job_state(7).await?, Some(JobState::Queued));
    shutdown.cancel();
    Ok(())
}

fn idle_worker() -> WorkerReport {
    WorkerReport {
        agent: "w1".into(),
        name: "worker-w1".into(),
        service: "optics".into(),
        incarnation: Some(1),
        capacity: ResourceVector {
            accelerators: 1,
            millicores: 1_000,
            memory_mb: 1_000,
        },
        labels: vec!["a".into(), "r1".into()],
        draining: None,
        absent: false,
        confirmed_epoch: 0,
        owner_epoch: 0,
        complete: false,
        lists_complete: true,
        runs: Vec::new(),
        ends: Vec::new(),
        crashes: Vec::new(),
        sent_at: Duration::ZERO,
        data_centre: Box::default(),
        cold_remaining: Duration::ZERO,
    }
}

/// Sends a report to the owner and returns the instructions.
async fn report(peers: &Peers, entry: &Entry, report: &WorkerReport) -> Result<Instructions> {
    let mut report = report.clone();
    report.sent_at = cell::clock::boot_now();
    let call = Call::Report(Box::new(report));
    match peers.call(entry.settings.addr, &call, TIMEOUT).await? {
        Reply::Instructions(instructions) => Ok(*instructions),
        other => panic!("unexpected reply: {other:?}"),
    }
}

/// Guards against runs that the owner takes for ended without a trace in the metrics, by which on-call engineers find why a
/// task was placed again.
#[tokio::test(flavor = "multi_thread")]
async fn metrics_count_removed_runs() -> Result<()> {
    let store = Arc::new(MemoryStore::default());
    put(&store, CONFIGURATION_KEY, b"1").await?;
    let (entry, shutdown) = start_entry(&store, Vec::new()).await?;
    wait_until(|| entry.owned_epoch().is_some()).await;
    entry.submit(7, job(), TIMEOUT).await?;
    let peers = Peers::new(Key::from_secret(SECRET));
    let mut worker = idle_worker();
    worker.confirmed_epoch = entry.owned_epoch().unwrap_or(0);
    let start = loop {
        let instructions = report(&peers, &entry, &worker).await?;
        if let Some(start) = instructions.starts.first() {
            break start.run;
        }
    };
    worker.runs.push(RunReport {
        run: start,
        status: RunStatus::Refused(Refusal::NoRoom),
    });
    report(&peers, &entry, &worker).await?;
    let removed = || entry.metrics.runs_removed.with_label_values(&["refused"]);
    wait_until(|| removed().get() == 1).await;
    shutdown.cancel();
    Ok(())
}

/// Starts another entry that cannot reach the store and has this version of the configuration, and counts the submissions
/// that it is asked to store.
async fn start_cut_off_entry(
    version: u64,
    delay: Duration,
) -> std::io::Result<(SocketAddr, Arc<AtomicUsize>)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    let submissions: Arc<AtomicUsize> = Arc::default();
    let counter = Arc::clone(&submissions);
    let answer = move |_, call| {
        let counter = Arc::clone(&counter);
        async move {
            match call {
                Call::Submit(_) => {
                    counter.fetch_add(1, Ordering::Relaxed);
                    Err(Error::not_run(ErrorKind::Unavailable, "the store is down").report())
                }
                Call::ConfigurationAfter(after) => {
                    tokio::time::sleep(delay).await;
                    let configuration = Configuration {
                        version,
                        ..Configuration::default()
                    };
                    let encoded = postcard::to_stdvec(&configuration).unwrap_or_default();
                    let newer = (version > after).then_some((version, encoded));
                    Ok(Reply::Configuration(newer))
                }
                Call::ConfigurationState => {
                    tokio::time::sleep(delay).await;
                    let age = Duration::from_mins(1);
                    Ok(Reply::ConfigurationState(Some((version, Some(age)))))
                }
                Call::ConfigurationDocument(after) => {
                    let configuration = Configuration {
                        version,
                        ..Configuration::default()
                    };
                    let encoded = postcard::to_stdvec(&configuration).unwrap_or_default();
                    let newer = (version > after).then_some((version, encoded));
                    Ok(Reply::ConfigurationDocument(newer))
                }
                _ => Ok(Reply::CellView(CellView::default())),
            }
        }
    };
    let server = Server::new(listener, Key::from_secret(SECRET));
    tokio::spawn(server.serve(answer, CancellationToken::new()));
    Ok((addr, submissions))
}

/// Guards against refusals that are late because each submission asks the other entries again, although none of them could
/// reach the store a moment ago.
#[tokio::test(flavor = "multi_thread")]
async fn submit_in_outage_is_refused_at_once() -> std::result::Result<(), Box<dyn std::error::Error>>
{
    let store = Arc::new(MemoryStore::default());
    let put = put(&store, CONFIGURATION_KEY, b"1").await;
    assert!(put.is_ok());
    let (other, submissions) = start_cut_off_entry(1, Duration::ZERO).await?;
    let started = start_entry(&store, vec![other]).await;
    let (entry, shutdown) = started.map_err(|report| report.to_string())?;
    wait_until(|| entry.owned_epoch().is_some()).await;
    store.is_down.store(true, Ordering::Release);
    let refused = async |id| {
        let refused = entry.submit(id, job(), TIMEOUT).await;
        let error = refused.expect_err("the store is down");
        let error = error.current_context();
        assert!(error.retry_after.is_some(), "{error:?}");
        assert_eq!(error.verdict, errors::Verdict::NotRun);
    };
    refused(1).await;
    let asked = submissions.load(Ordering::Relaxed);
    assert!(asked > 0, "the other entry is asked first");
    for id in 2..8 {
        refused(id).await;
    }
    assert_eq!(submissions.load(Ordering::Relaxed), asked);
    shutdown.cancel();
    Ok(())
}

/// Guards against a weak machine that acquires the cell, whose owner needs the most processor time, beside a strong one.
#[tokio::test(flavor = "multi_thread")]
async fn ownership_goes_to_stronger_entry() -> Result<()> {
    let store = Arc::new(MemoryStore::default());
    put(&store, CONFIGURATION_KEY, b"1").await?;
    let owns = |entry: &Entry| entry.owned_epoch().is_some();
    let (first, shutdown_first) = start_entry_with_share(&store, "first", 0.5, Vec::new()).await?;
    wait_until(|| owns(&first)).await;
    let (weak, shutdown_weak) = start_entry_with_share(&store, "weak", 0.12, Vec::new()).await?;
    let (strong, shutdown_strong) =
        start_entry_with_share(&store, "strong", 0.5, Vec::new()).await?;
    tokio::time::sleep(Duration::from_millis(300)).await;
    shutdown_first.cancel();
    wait_until(|| owns(&weak) || owns(&strong)).await;
    assert!(owns(&strong) && !owns(&weak));
    shutdown_weak.cancel();
    shutdown_strong.cancel();
    Ok(())
}

/// Guards against a token that has been withdrawn and is accepted again after a restart: an entry that starts while the
/// store is away takes the newest configuration of all other entries, not that of the first one to answer.
#[tokio::test(flavor = "multi_thread")]
async fn restart_in_outage_takes_newest_configuration()
-> std::result::Result<(), Box<dyn std::error::Error>> {
    let store = Arc::new(MemoryStore::default());
    store.is_down.store(true, Ordering::Release);
    let mut seeds = Vec::new();
    for _ in 0..9 {
        seeds.push(start_cut_off_entry(3, Duration::ZERO).await?.0);
    }
    let late = Duration::from_millis(100);
    seeds.push(start_cut_off_entry(9, late).await?.0);
    let started = start_entry(&store, seeds).await;
    let (entry, shutdown) = started.map_err(|report| report.to_string())?;
    let mut changes = entry.board.configuration.changes();
    let version = tokio::time::timeout(TIMEOUT, async {
        while entry.board.configuration.load().version == 0 {
            changes.changed().await?;
        }
        Ok::<u64, Box<dyn std::error::Error>>(entry.board.configuration.load().version)
    });
    assert_eq!(version.await??, 9);
    shutdown.cancel();
    Ok(())
}

/// Guards against a cell without an owner while all entries shut down during a rolling restart: the last one goes on until
/// another one has started.
#[tokio::test(flavor = "multi_thread")]
async fn ownership_is_kept_until_successor_starts() -> Result<()> {
    let store = Arc::new(MemoryStore::default());
    put(&store, CONFIGURATION_KEY, b"1").await?;
    let owns = |entry: &Entry| entry.owned_epoch().is_some();
    let (last, shutdown_last) = start_entry_with_share(&store, "last", 1.0, Vec::new()).await?;
    wait_until(|| owns(&last)).await;
    shutdown_last.cancel();
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(owns(&last), "no other entry can take over");
    let (next, shutdown_next) = start_entry_with_share(&store, "next", 1.0, Vec::new()).await?;
    let handed_over = tokio::time::timeout(Duration::from_secs(1), async {
        while !owns(&next) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    });
    assert!(handed_over.await.is_ok(), "the successor owns the cell");
    shutdown_next.cancel();
    Ok(())
}

/// Guards against running tasks again after an upgrade: the progress records of earlier versions hold no crashes of workers.
#[tokio::test(flavor = "multi_thread")]
async fn load_reads_progress_without_crashes() -> std::result::Result<(), Box<dyn std::error::Error>>
{
    let store = Arc::new(MemoryStore::default());
    put(&store, CONFIGURATION_KEY, b"1").await?;
    let done = UnitProgress {
        occurrence: 0,
        step: 0,
        first: 0,
        done: true,
        failed_runs: Vec::new(),
        checkpoint: Box::default(),
    };
    let earlier = postcard::to_stdvec(&vec![done.clone()])?;
    put(
        &store,
        "limpethook/jobs/0000000000000007",
        &accepted_record(job()),
    )
    .await?;
    put(&store, "limpethook/progress/0000000000000007", &earlier).await?;
    let current = postcard::to_stdvec(&Progress {
        units: vec![done],
        crashes: Vec::new(),
    })?;
    put(
        &store,
        "limpethook/jobs/0000000000000008",
        &accepted_record(job()),
    )
    .await?;
    put(&store, "limpethook/progress/0000000000000008", &current).await?;
    let (entry, shutdown) = start_entry(&store, Vec::new()).await?;
    let is_completed = |id| {
        let states = entry.job_states();
        let completed = JobState::Ended(JobEnd::Completed);
        states.is_ok_and(|states| states.jobs.get(&id) == Some(&completed))
    };
    wait_until(|| is_completed(7) && is_completed(8)).await;
    shutdown.cancel();
    Ok(())
}

/// Returns the report of an agent about a worker with room for one task.
fn worker_report(epoch: u64, absent: bool, sent_at: Duration) -> WorkerReport {
    WorkerReport {
        agent: "w1".into(),
        name: "worker".into(),
        service: "optics".into(),
        incarnation: Some(1),
        capacity: ONE_TASK,
        labels: vec!["a".into(), "r1".into()],
        draining: None,
        absent,
        confirmed_epoch: epoch,
        owner_epoch: epoch,
        complete: true,
        lists_complete: true,
        runs: Vec::new(),
        ends: Vec::new(),
        crashes: Vec::new(),
        sent_at,
        data_centre: Box::default(),
        cold_remaining: Duration::ZERO,
    }
}

/// Guards against a task that is started on a worker that the stored roster lacks, so that the next owner does not wait for its
/// agent and starts the task elsewhere: the worker was absent, and came back while the roster without it was being written.
#[tokio::test(flavor = "multi_thread")]
async fn report_waits_while_agent_leaves_roster()
-> std::result::Result<(), Box<dyn std::error::Error>> {
    let store = Arc::new(MemoryStore::default());
    assert!(put(&store, CONFIGURATION_KEY, b"1").await.is_ok());
    let mut waiting = job();
    waiting.graph.steps[0].resources = ONE_TASK;
    let key = "limpethook/jobs/0000000000000007";
    assert!(put(&store, key, &accepted_record(waiting)).await.is_ok());
    let started = start_entry(&store, Vec::new()).await;
    let (entry, shutdown) = started.map_err(|report| report.to_string())?;
    wait_until(|| entry.owned_epoch().is_some()).await;
    let epoch = entry.owned_epoch().unwrap_or(0);
    let peers = Peers::new(Key::from_secret(SECRET));
    let send = async |report: WorkerReport, timeout| {
        let call = Call::Report(Box::new(report));
        match peers.call(entry.settings.addr, &call, timeout).await {
            Ok(Reply::Instructions(instructions)) => Some(instructions.starts.len()),
            _ => None,
        }
    };
    let report = |absent, seconds| worker_report(epoch, absent, Duration::from_secs(seconds));
    let draining = WorkerReport {
        draining: Some(TIMEOUT),
        ..report(false, 1)
    };
    assert_eq!(send(draining, TIMEOUT).await, Some(0));
    store.is_down.store(true, Ordering::Release);
    let absent = send(report(true, 2), TIMEOUT).await;
    assert_eq!(absent, Some(0));
    let unwritten = send(report(false, 3), Duration::from_millis(1_500)).await;
    assert_eq!(unwritten, None, "the roster is not written");
    store.is_down.store(false, Ordering::Release);
    let written = send(report(false, 4), TIMEOUT).await;
    assert_eq!(written, Some(1));
    let roster = store.get("limpethook/roster").await;
    let roster = roster
        .map_err(|report| report.to_string())?
        .expect("a roster");
    let agents: Vec<String> = postcard::from_bytes(&roster.value)?;
    assert_eq!(agents, vec!["w1"]);
    shutdown.cancel();
    Ok(())
}

/// Guards against an owner that lets agents renew leases after it has promised a later owner not to: the promise was given while
/// it was still loading its jobs, so that nothing ended. The later owner counts the leases as lapsed one lease after the promise.
#[tokio::test(flavor = "multi_thread")]
async fn announcement_keeps_earlier_owner_from_answering() -> Result<()> {
    let store = Arc::new(MemoryStore::default());
    put(&store, CONFIGURATION_KEY, b"1").await?;
    let (entry, shutdown) = start_entry(&store, Vec::new()).await?;
    wait_until(|| entry.owned_epoch().is_some()).await;
    let epoch = entry.owned_epoch().unwrap_or(0);
    let peers = Peers::new(Key::from_secret(SECRET));
    // The entry acquires the cell again, with an epoch below this one.
    let announcement = Call::LeaderElected(Leader {
        entry: "later".into(),
        addr: free_addr(),
        epoch: epoch + 1_000_000,
    });
    let addr = entry.settings.addr;
    peers.call(addr, &announcement, TIMEOUT).await?;
    let mut answered = 0;
    for beat in 0..100 {
        let report = worker_report(epoch, false, POLL_INTERVAL * beat);
        let call = Call::Report(Box::new(report));
        let reply = peers.call(addr, &call, POLL_INTERVAL * 5).await;
        answered += u32::from(matches!(reply, Ok(Reply::Instructions(_))));
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    assert_eq!(answered, 0);
    shutdown.cancel();
    Ok(())
}
