//! What an entry states at the beginning, at the end and after a pause of an ownership. It states what its owner knows, or that it is not
//! the owner; nothing reads as if no job waited or took room.

mod common;

use std::ops::ControlFlow;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use cell::{Configuration, Entry, EntrySettings};
use common::{MemoryStore, SECRET, accepted_job, accepted_record, entry_settings, free_addr};
use errors::ErrorKind;
use ingress::ClientBoard;
use ingress::decide::Capacity;
use model::{AcceptedJob, JobEnd, JobId, JobState, ResourceVector};
use store::{KvStore, Precondition};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;
use wire::{Call, JobAdmission, Key, Leader, Peers, Reply};

type TestResult = std::result::Result<(), Box<dyn std::error::Error>>;

const TIMEOUT: Duration = Duration::from_secs(10);
/// Enough jobs that loading them takes an owner some milliseconds, in which calls arrive.
const JOBS: JobId = 1_000;
/// Changes of owner in one test. Each begins and ends an ownership in the same process.
const CHANGES: usize = 8;
/// Callers that ask at the same time.
const CALLERS: usize = 4;
/// Longer than the lease of an owner.
const PAUSE: Duration = Duration::from_millis(2_500);
/// How many times the jobs in the store take the room for jobs.
const OVERLOAD: usize = 2;

fn job() -> AcceptedJob {
    accepted_job(ResourceVector::default())
}

/// An entry beside a store with waiting jobs, which take twice the room for jobs.
struct Cell {
    store: Arc<MemoryStore>,
    entry: Arc<Entry>,
    shutdown: CancellationToken,
}

impl Cell {
    async fn start() -> std::result::Result<Self, Box<dyn std::error::Error>> {
        let store = Arc::new(MemoryStore::default());
        for id in 0..JOBS {
            put(&store, id, accepted_record(job())).await?;
        }
        let bytes = graph::job_bytes(&job()) * usize::try_from(JOBS)?;
        let capacity = Capacity {
            jobs: bytes / OVERLOAD,
            ..Capacity::unlimited(100)
        };
        let settings = EntrySettings {
            entry: "entry".into(),
            ..entry_settings()
        };
        let shutdown = CancellationToken::new();
        let entry = Entry::start_accounted(
            settings,
            Arc::clone(&store) as Arc<dyn store::TransactionStore>,
            None,
            |_| Ok(Configuration::default()),
            SECRET,
            ClientBoard::new(capacity),
            shutdown.clone(),
        );
        Ok(Self {
            store,
            entry: entry.await.map_err(|report| report.to_string())?,
            shutdown,
        })
    }

    /// Returns the number of waiting jobs, or `None` if the entry does not state it.
    async fn waiting(&self) -> Option<u32> {
        self.entry.waiting(&"batch".into()).await.ok()
    }

    async fn wait_until_owner(&self) -> TestResult {
        let owns = async {
            while self.waiting().await.is_none() {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        };
        Ok(tokio::time::timeout(TIMEOUT, owns).await?)
    }

    /// Announces another owner to the entry, which ends its ownership and acquires the cell again.
    async fn end_ownership(&self) -> TestResult {
        let found = self.store.get("limpethook/cell/owner").await;
        let found = found.map_err(|report| report.to_string())?;
        let epoch = found.map_or(0, |found| found.revision) + 1;
        let announcement = Call::LeaderElected(Leader {
            entry: "other".into(),
            addr: free_addr(),
            epoch,
        });
        let peers = Peers::new(Key::from_secret(SECRET));
        let announced = peers.call(self.entry.settings.addr, &announcement, TIMEOUT);
        announced.await.map_err(|report| report.to_string())?;
        Ok(())
    }

    /// Sends a call to the entry over and over while its ownership begins and ends; `check` looks at each reply.
    async fn call_across_changes(
        &self,
        req: &Call,
        mut check: impl FnMut(errors::Result<Reply>) -> ControlFlow<String>,
    ) -> TestResult {
        let mut ended = 0;
        let peers = Peers::new(Key::from_secret(SECRET));
        let deadline = Instant::now() + TIMEOUT * 3;
        while ended < CHANGES {
            assert!(Instant::now() < deadline, "{ended} ownerships ended");
            let began = async {
                loop {
                    let reply = peers.call(self.entry.settings.addr, req, TIMEOUT).await;
                    if let ControlFlow::Break(problem) = check(reply) {
                        return problem;
                    }
                }
            };
            let owned = async {
                self.wait_until_owner().await?;
                tokio::time::sleep(Duration::from_millis(20)).await;
                self.end_ownership().await
            };
            tokio::select! {
                problem = began => return Err(problem.into()),
                result = owned => result?,
            }
            ended += 1;
        }
        Ok(())
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        self.shutdown.cancel();
    }
}

/// Returns the record of a completed job, which is the second variant of the stored form.
fn completed_record() -> postcard::Result<Vec<u8>> {
    postcard::to_stdvec(&(1_u8, "batch", JobEnd::Completed))
}

/// Stores the record of a job.
async fn put(store: &MemoryStore, id: JobId, record: Vec<u8>) -> TestResult {
    let key = format!("limpethook/jobs/{id:016x}");
    let written = store
        .put(&key, record.into(), Precondition::Any, None)
        .await;
    written.map_err(|report| report.to_string())?;
    Ok(())
}

/// Guards against callers that read 0 waiting jobs, because the owner has not loaded its records or its ownership ends.
#[tokio::test(flavor = "multi_thread")]
async fn waiting_across_changes_of_owner_is_known_or_refused() -> TestResult {
    let cell = Cell::start().await?;
    let req = Call::QueueWaiting("batch".into());
    let expected = u32::try_from(JOBS)?;
    let check = |reply| match reply {
        Ok(Reply::Count(count)) if count != expected => {
            ControlFlow::Break(format!("{count} waiting jobs instead of {expected}"))
        }
        _ => ControlFlow::Continue(()),
    };
    cell.call_across_changes(&req, check).await
}

/// Guards against callers that read 0 waiting jobs while an ownership ends: the owner has given up its jobs, and the entry still answers
/// for it.
#[tokio::test(flavor = "multi_thread")]
async fn waiting_at_end_of_ownership_is_known_or_refused() -> TestResult {
    let cell = Cell::start().await?;
    let expected = u32::try_from(JOBS)?;
    for _ in 0..CHANGES {
        let knows = async {
            while cell.waiting().await != Some(expected) {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        };
        tokio::time::timeout(TIMEOUT, knows).await?;
        let mut callers = JoinSet::new();
        for _ in 0..CALLERS {
            let entry = Arc::clone(&cell.entry);
            callers.spawn(async move {
                while let Ok(waiting) = entry.waiting(&"batch".into()).await {
                    if waiting != expected {
                        return Some(waiting);
                    }
                    tokio::task::yield_now().await;
                }
                None
            });
        }
        cell.end_ownership().await?;
        let stated = callers.join_all().await;
        assert!(stated.iter().all(Option::is_none), "{stated:?}");
    }
    Ok(())
}

/// Guards against jobs that are admitted beyond the room, because an owner that begins or ends counts none of its jobs.
#[tokio::test(flavor = "multi_thread")]
async fn admission_across_changes_of_owner_counts_jobs() -> TestResult {
    let cell = Cell::start().await?;
    let req = Call::AdmitJob(JobAdmission {
        id: JOBS,
        account: "faro".into(),
        bytes: 1_000,
    });
    let check = |reply| match reply {
        Ok(reply) => ControlFlow::Break(format!("a job without room is admitted: {reply:?}")),
        Err(_) => ControlFlow::Continue(()),
    };
    cell.call_across_changes(&req, check).await
}

/// Guards against callers that are told what a paused owner knew: the process goes on after another owner has taken over, and has not
/// heard of it yet.
///
/// The runtime has one thread, so that the pause stops the whole entry.
#[tokio::test]
async fn waiting_after_pause_is_refused_until_renewal() -> TestResult {
    let cell = Cell::start().await?;
    cell.wait_until_owner().await?;
    cell.store.leases_lapsed.store(true, Ordering::Release);
    std::thread::sleep(PAUSE);
    let waiting = cell.entry.waiting(&"batch".into()).await;
    let report = waiting.expect_err("another owner may have taken over");
    assert_eq!(report.current_context().kind, ErrorKind::StaleEpoch);
    Ok(())
}

/// Guards against a completed job that a paused owner shows as waiting, after another one has stored its end.
#[tokio::test]
async fn state_after_pause_is_read_from_store() -> TestResult {
    let cell = Cell::start().await?;
    cell.wait_until_owner().await?;
    cell.store.leases_lapsed.store(true, Ordering::Release);
    std::thread::sleep(PAUSE);
    put(&cell.store, 1, completed_record()?).await?;
    let state = cell.entry.job_state(1).await;
    let state = state.map_err(|report| report.to_string())?;
    assert_eq!(state, Some(JobState::Ended(JobEnd::Completed)));
    Ok(())
}

/// Guards against an owner that refuses to answer in an outage of the store, in which nobody else can own the cell.
#[tokio::test(flavor = "multi_thread")]
async fn waiting_in_outage_is_answered() -> TestResult {
    let cell = Cell::start().await?;
    cell.wait_until_owner().await?;
    cell.store.is_down.store(true, Ordering::Release);
    cell.store.refuses_renewals.store(true, Ordering::Release);
    let end = Instant::now() + PAUSE * 2;
    while Instant::now() < end {
        assert_eq!(cell.waiting().await, Some(u32::try_from(JOBS)?));
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Ok(())
}
