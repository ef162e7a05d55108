//! An owner that takes over from earlier ones, which kept records of placements or did not.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cell::{Configuration, Entry, EntrySettings};
use common::{MemoryStore, SECRET, accepted_job, accepted_record, entry_settings, free_addr};
use model::{AcceptedJob, JobId, ResourceVector, TaskRun, WorkerReport};
use store::{KvStore, Precondition};
use tokio_util::sync::CancellationToken;
use wire::{Call, Key, Peers, Reply};

type TestResult = std::result::Result<(), Box<dyn std::error::Error>>;

const TIMEOUT: Duration = Duration::from_secs(10);
/// Time in which the owner of these tests starts a job that waits for nothing.
const TIME_TO_START: Duration = Duration::from_secs(2);
/// Nonce of the earlier owner.
const NONCE: u64 = 7;
const ONE_TASK: ResourceVector = ResourceVector {
    accelerators: 0,
    millicores: 1_000,
    memory_mb: 1_000,
};

/// An owner that took over; the agent `w1` reports to it, and the agent `lost` does not.
struct TakenOver {
    store: Arc<MemoryStore>,
    entry: Arc<Entry>,
    peers: Peers,
    shutdown: CancellationToken,
}

impl TakenOver {
    /// Starts the owner beside the record of recent owners and the records of placements; each of the jobs has one task.
    async fn start(
        recent_owners: &[u8],
        jobs: &[JobId],
        placements: &[(JobId, &str)],
    ) -> std::result::Result<Self, Box<dyn std::error::Error>> {
        let store = Arc::new(MemoryStore::default());
        put(&store, "limpethook/recent-owners", recent_owners).await;
        let roster = postcard::to_stdvec(&["lost", "w1"].as_slice())?;
        put(&store, "limpethook/roster", &roster).await;
        for id in jobs {
            let key = format!("limpethook/jobs/{id:016x}");
            put(&store, &key, &accepted_record(job())).await;
        }
        for (id, agent) in placements {
            let agents = postcard::to_stdvec(&[agent].as_slice())?;
            put(&store, &placements_key(*id), &agents).await;
        }
        let settings = EntrySettings {
            entry: "entry".into(),
            ..entry_settings()
        };
        let shutdown = CancellationToken::new();
        let shared = Arc::clone(&store) as Arc<dyn store::TransactionStore>;
        let decode = |_: &[u8]| Ok(Configuration::default());
        let entry = Entry::start(settings, shared, None, decode, SECRET, shutdown.clone()).await;
        Ok(Self {
            store,
            entry: entry.map_err(|report| report.to_string())?,
            peers: Peers::new(Key::from_secret(SECRET)),
            shutdown,
        })
    }

    /// Reports an idle worker until a task is started on it or the time has passed; returns the runs to start.
    async fn starts(&self, limit: Duration) -> Vec<TaskRun> {
        let deadline = cell::clock::boot_now() + limit;
        while cell::clock::boot_now() < deadline {
            let epoch = self.entry.owned_epoch().unwrap_or(0);
            let call = Call::Report(Box::new(idle_report(epoch)));
            let reply = self.peers.call(self.entry.settings.addr, &call, TIMEOUT);
            if let Ok(Reply::Instructions(instructions)) = reply.await
                && !instructions.starts.is_empty()
            {
                return instructions.starts.iter().map(|start| start.run).collect();
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Vec::new()
    }

    /// Returns the agents that the stored record of a job names.
    async fn recorded(&self, id: JobId) -> Vec<String> {
        let found = self.store.get(&placements_key(id)).await;
        let found = found.ok().flatten();
        found
            .and_then(|found| postcard::from_bytes(&found.value).ok())
            .unwrap_or_default()
    }
}

impl Drop for TakenOver {
    fn drop(&mut self) {
        self.shutdown.cancel();
    }
}

async fn put(store: &MemoryStore, key: &str, value: &[u8]) {
    let value = bytes::Bytes::copy_from_slice(value);
    let written = store.put(key, value, Precondition::Any, None).await;
    assert!(written.is_ok(), "{key}");
}

fn placements_key(id: JobId) -> String {
    format!("limpethook/placements/{id:016x}")
}

fn job() -> AcceptedJob {
    accepted_job(ONE_TASK)
}

fn idle_report(epoch: u64) -> WorkerReport {
    WorkerReport {
        agent: "w1".into(),
        name: "worker-w1".into(),
        service: "optics".into(),
        incarnation: Some(1),
        capacity: ONE_TASK,
        labels: vec!["a".into(), "r1".into()],
        draining: None,
        absent: false,
        confirmed_epoch: epoch,
        owner_epoch: epoch,
        complete: true,
        lists_complete: true,
        runs: Vec::new(),
        ends: Vec::new(),
        crashes: Vec::new(),
        sent_at: cell::clock::boot_now(),
        data_centre: Box::default(),
        cold_remaining: Duration::ZERO,
    }
}

/// The earlier owner as all versions store it.
fn earlier_owners() -> Vec<(&'static str, SocketAddr, u64)> {
    vec![("earlier", free_addr(), NONCE)]
}

/// Guards against an owner that starts what may run on an agent that it has not heard, because the earlier owner, of a version
/// that kept no records of placements, left none.
#[tokio::test(flavor = "multi_thread")]
async fn takeover_from_earlier_version_waits_for_all() -> TestResult {
    let recent = postcard::to_stdvec(&earlier_owners())?;
    let owner = TakenOver::start(&recent, &[7], &[]).await?;
    assert_eq!(owner.starts(TIME_TO_START).await, []);
    Ok(())
}

/// Guards against an owner that holds jobs for an agent on which they have no runs, and one that starts those that have.
#[tokio::test(flavor = "multi_thread")]
async fn takeover_holds_jobs_recorded_on_lost_agent() -> TestResult {
    let recent = postcard::to_stdvec(&(earlier_owners(), vec![NONCE]))?;
    let placements = [(7, "lost"), (8, "w1")];
    let owner = TakenOver::start(&recent, &[7, 8], &placements).await?;
    let starts = owner.starts(TIME_TO_START).await;
    let started: Vec<JobId> = starts.iter().map(|run| run.task.job).collect();
    assert_eq!(started, [8]);
    Ok(())
}

/// Guards against a start that the next owner does not learn of: the store names the agent before the start is ordered.
#[tokio::test(flavor = "multi_thread")]
async fn takeover_records_agent_before_start() -> TestResult {
    let recent = postcard::to_stdvec(&(earlier_owners(), vec![NONCE]))?;
    let owner = TakenOver::start(&recent, &[7], &[]).await?;
    let starts = owner.starts(TIME_TO_START).await;
    assert_eq!(starts.len(), 1);
    assert_eq!(owner.recorded(7).await, ["w1"]);
    Ok(())
}

/// Guards against records of ended jobs that stay in the store for good: a write without an answer was carried out after the
/// end of its job had been stored.
#[tokio::test(flavor = "multi_thread")]
async fn takeover_removes_records_of_ended_jobs() -> TestResult {
    let recent = postcard::to_stdvec(&(earlier_owners(), vec![NONCE]))?;
    let owner = TakenOver::start(&recent, &[], &[(9, "w1")]).await?;
    let removed = async {
        while !owner.recorded(9).await.is_empty() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, removed).await?;
    Ok(())
}
