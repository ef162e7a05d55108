//! Jobs for which the owner has no room, through each entry and across a change of owner.

mod common;

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cell::{Configuration, Entry, EntrySettings};
use common::{MemoryStore, SECRET, accepted_job, entry_settings};
use errors::{Error, ErrorKind, Result, Verdict};
use indexmap::IndexSet;
use ingress::ClientBoard;
use ingress::decide::{self, Capacity};
use model::{AcceptedJob, JobId, ResourceVector};
use store::{KvStore, Precondition};
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;
use wire::{Call, Key, Server};

const TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Room for jobs in the tests, about sixty of them.
const ROOM: usize = 300_000;
/// More jobs than there is room for.
const MANY: JobId = 100;
/// Other entries that are asked to store jobs.
const RELAYS: usize = 3;
/// Time that each of them takes to answer.
const RELAY_TIME: Duration = Duration::from_millis(500);

struct Cell {
    store: Arc<MemoryStore>,
    entries: Vec<(Arc<Entry>, CancellationToken)>,
}

impl Cell {
    fn new() -> Self {
        Self {
            store: Arc::default(),
            entries: Vec::new(),
        }
    }

    /// Starts an entry with this room for jobs.
    async fn start(&mut self, name: &str, room: usize) -> Result<Arc<Entry>> {
        let seeds = self.entries.iter().map(|(entry, _)| entry.settings.addr);
        let settings = EntrySettings {
            entry: name.into(),
            seeds: seeds.collect(),
            ..entry_settings()
        };
        let (entry, shutdown) = self.start_with(settings, room).await?;
        self.entries.push((Arc::clone(&entry), shutdown));
        Ok(entry)
    }

    async fn start_with(
        &self,
        settings: EntrySettings,
        room: usize,
    ) -> Result<(Arc<Entry>, CancellationToken)> {
        let capacity = Capacity {
            jobs: room,
            ..Capacity::unlimited(100)
        };
        let shutdown = CancellationToken::new();
        let store = Arc::clone(&self.store) as Arc<dyn store::TransactionStore>;
        let entry = Entry::start_accounted(
            settings,
            store,
            None,
            |_| Ok(Configuration::default()),
            SECRET,
            ClientBoard::new(capacity),
            shutdown.clone(),
        )
        .await?;
        Ok((entry, shutdown))
    }

    async fn is_stored(&self, id: JobId) -> Result<bool> {
        let key = format!("limpethook/jobs/{id:016x}");
        Ok(self.store.get(&key).await?.is_some())
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        for (_, shutdown) in &self.entries {
            shutdown.cancel();
        }
    }
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

async fn wait_until_owner(entry: &Entry) {
    wait_until(|| entry.owned_epoch().is_some()).await;
}

fn job_of(account: &str) -> AcceptedJob {
    AcceptedJob {
        account: account.into(),
        ..accepted_job(ResourceVector::default())
    }
}

/// Submits jobs until one is refused; returns its id.
async fn fill(entry: &Arc<Entry>, cell: &Cell) -> Result<JobId> {
    for id in 1..MANY {
        let Err(report) = entry.submit(id, job_of("faro"), TIMEOUT).await else {
            continue;
        };
        let error = report.current_context();
        assert_eq!(error.kind, ErrorKind::Overloaded, "{error}");
        assert_eq!(error.verdict, Verdict::NotRun);
        assert!(error.retry_after.is_some());
        assert!(!cell.is_stored(id).await?, "nothing of it is stored");
        return Ok(id);
    }
    panic!("all jobs were accepted");
}

/// Guards against a crowd that fills the memory of the owner, whose jobs are stored although they are refused, or which leaves no
/// room for others.
#[tokio::test(flavor = "multi_thread")]
async fn submit_refuses_job_without_room() -> Result<()> {
    let mut cell = Cell::new();
    let owner = cell.start("owner", ROOM).await?;
    wait_until_owner(&owner).await;
    let refused = fill(&owner, &cell).await?;
    assert!(refused > 10, "{refused}");
    owner.submit(MANY, job_of("puerto"), TIMEOUT).await?;
    // A repeated submission of an accepted job is not refused, because the job runs.
    owner.submit(1, job_of("faro"), TIMEOUT).await?;
    Ok(())
}

/// Guards against entries that store jobs although the owner has no room for them.
#[tokio::test(flavor = "multi_thread")]
async fn submit_through_other_entry_refuses_job_without_room() -> Result<()> {
    let mut cell = Cell::new();
    let owner = cell.start("owner", ROOM).await?;
    wait_until_owner(&owner).await;
    let other = cell.start("other", 2 * ROOM).await?;
    // It has to know the owner.
    while other.waiting(&"batch".into()).await.is_err() {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let refused = fill(&other, &cell).await?;
    assert!(refused > 10, "{refused}");
    other.submit(MANY, job_of("puerto"), TIMEOUT).await?;
    other.submit(1, job_of("faro"), TIMEOUT).await?;
    Ok(())
}

/// Guards against a limit that a change of owner resets.
#[tokio::test(flavor = "multi_thread")]
async fn submit_after_takeover_refuses_job_without_room() -> Result<()> {
    let mut cell = Cell::new();
    let owner = cell.start("owner", ROOM).await?;
    wait_until_owner(&owner).await;
    let other = cell.start("other", ROOM).await?;
    fill(&owner, &cell).await?;
    cell.entries[0].1.cancel();
    wait_until_owner(&other).await;
    // Ids that are stored already are accepted again.
    let refused = fill(&other, &cell).await?;
    let bytes = graph::job_bytes(&job_of("faro"));
    // The last job that is accepted leaves as much room as all of them take.
    let most = (ROOM / bytes).div_ceil(2) as JobId;
    assert!(refused <= most + 1, "{refused} beyond {most}");
    other.submit(MANY, job_of("puerto"), TIMEOUT).await
}

/// Guards against jobs that the owner reads back without counting them, here in a cell that has just started.
#[tokio::test(flavor = "multi_thread")]
async fn submit_counts_jobs_in_store() -> Result<()> {
    let mut cell = Cell::new();
    let stored = ROOM / 2 / graph::job_bytes(&job_of("faro"));
    for id in 1000..1000 + stored {
        let key = format!("limpethook/jobs/{id:016x}");
        let record = common::accepted_record(job_of("faro")).into();
        cell.store
            .put(&key, record, Precondition::Absent, None)
            .await?;
    }
    let owner = cell.start("owner", ROOM).await?;
    wait_until_owner(&owner).await;
    let refused = fill(&owner, &cell).await?;
    assert!(refused <= 3, "{refused}");
    owner.submit(MANY, job_of("puerto"), TIMEOUT).await
}

/// Starts an entry that never stores a job, and records the jobs that it is asked to store.
async fn start_relay(relayed: &Arc<Mutex<IndexSet<JobId>>>) -> Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("loopback is available");
    let addr = listener.local_addr().expect("the listener has an address");
    let relayed = Arc::clone(relayed);
    let answer = move |_, call| {
        let relayed = Arc::clone(&relayed);
        async move {
            if let Call::Submit(submission) = call {
                let mut relayed = relayed.lock().expect("lock is not poisoned");
                relayed.insert(submission.id);
            }
            tokio::time::sleep(RELAY_TIME).await;
            Err(Error::not_run(ErrorKind::Unavailable, "the store is down").report())
        }
    };
    let server = Server::new(listener, Key::from_secret(SECRET));
    tokio::spawn(server.serve(answer, CancellationToken::new()));
    Ok(addr)
}

/// Guards against entries that start while they can't reach the store, and each take the share of all of them: the members of the
/// cell are not known yet, and none were counted.
#[tokio::test(flavor = "multi_thread")]
async fn submit_before_members_are_known_takes_own_share() -> Result<()> {
    let cell = Cell::new();
    cell.store.is_down.store(true, Ordering::Release);
    let relayed = Arc::default();
    let mut seeds = Vec::new();
    for _ in 0..RELAYS {
        seeds.push(start_relay(&relayed).await?);
    }
    let settings = EntrySettings {
        seeds,
        ..entry_settings()
    };
    let (entry, shutdown) = cell.start_with(settings, ROOM).await?;
    // The first call to the store tells that it is down.
    tokio::time::sleep(RELAY_TIME).await;
    let mut submissions = JoinSet::new();
    for id in 1..MANY {
        let entry = Arc::clone(&entry);
        submissions.spawn(async move { entry.submit(id, job_of("faro"), TIMEOUT).await });
    }
    assert!(submissions.join_all().await.iter().all(Result::is_err));
    let bytes = graph::job_bytes(&job_of("faro"));
    let most = decide::unasked_bytes(ROOM, RELAYS + 1) / bytes;
    let relayed = relayed.lock().expect("lock is not poisoned").len();
    assert!((1..=most).contains(&relayed), "{relayed} beyond {most}");
    shutdown.cancel();
    Ok(())
}

/// Guards against records of cancelled jobs that were never submitted, which clients can make without number.
#[tokio::test(flavor = "multi_thread")]
async fn cancel_bounds_records_of_unknown_jobs() -> Result<()> {
    let mut cell = Cell::new();
    let owner = cell.start("owner", 20_000).await?;
    wait_until_owner(&owner).await;
    let (account, queue) = ("faro".into(), "batch".into());
    for id in 1..200 {
        let cancelled = owner.cancel(id, &account, &queue, Duration::ZERO).await;
        let Err(report) = cancelled else {
            continue;
        };
        assert_eq!(report.current_context().kind, ErrorKind::Overloaded);
        assert!(!cell.is_stored(id).await?);
        return Ok(());
    }
    panic!("all cancellations were stored");
}
