//! A key-value service in memory, and settings of an entry.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use cell::EntrySettings;
use errors::{Error, ErrorKind, Result};
use graph::SchedulerSettings;
use indexmap::IndexMap;
use model::{AcceptedJob, JobEnd, JobGraph, QueueId, QueuePolicy, ResourceVector, Revision, Step};
use serde::Serialize;
use store::{
    Change, CommitOutcome, KvPair, KvStore, LeaseId, Listing, Precondition, Transaction,
    TransactionStore, WatchOutcome, WriteOutcome,
};
use tokio::sync::Notify;

pub(crate) const SECRET: &str = "entry test";

/// The key-value service. Leases never expire, and the whole history is kept.
#[derive(Debug, Default)]
pub(crate) struct MemoryStore {
    state: Mutex<State>,
    changed: Notify,
    /// Whether all calls are refused.
    pub(crate) is_down: AtomicBool,
    /// Whether transactions without changes, which only read, are refused.
    pub(crate) refuses_checks: AtomicBool,
    /// Whether renewals find that their lease has lapsed.
    pub(crate) leases_lapsed: AtomicBool,
    /// Whether renewals are refused.
    pub(crate) refuses_renewals: AtomicBool,
    /// Time that such transactions take, in milliseconds.
    pub(crate) check_ms: AtomicU64,
}

#[derive(Debug, Default)]
struct State {
    revision: Revision,
    pairs: IndexMap<Box<str>, KvPair>,
    history: Vec<Change>,
    leases: LeaseId,
}

/// The stored form of a job, which other versions of the program also write.
#[derive(Serialize)]
enum JobRecord {
    Accepted(AcceptedJob),
    #[expect(dead_code, reason = "the tests write accepted jobs only")]
    Ended {
        queue: QueueId,
        end: JobEnd,
    },
}

/// Returns a job of one task that takes a second.
pub(crate) fn accepted_job(resources: ResourceVector) -> AcceptedJob {
    AcceptedJob {
        account: "faro".into(),
        queue: "batch".into(),
        policy: QueuePolicy {
            service: "optics".into(),
            priority: 1,
            max_attempts: 3,
            stretch: 3.0,
            target: Duration::from_secs(1),
            needs_approval: false,
        },
        graph: JobGraph {
            body: "body".into(),
            steps: vec![Step {
                tasks: 1,
                resources,
                expected: Duration::from_secs(1),
                ..Step::default()
            }],
            recurrence: None,
        },
        accepted_at: cell::clock::wall_now(),
    }
}

pub(crate) fn accepted_record(job: AcceptedJob) -> Vec<u8> {
    postcard::to_stdvec(&JobRecord::Accepted(job)).expect("the job is encodable")
}

pub(crate) fn scheduler_settings() -> SchedulerSettings {
    SchedulerSettings {
        max_lease: Duration::from_secs(6),
        max_stop_time: Duration::from_millis(900),
        restore_time: Duration::from_millis(600),
        slowdown: 3.0,
        store_outage_grace: Duration::from_secs(9),
    }
}

/// Returns the settings of an entry on a free address, for a deployment without evacuations.
pub(crate) fn entry_settings() -> EntrySettings {
    let addr = free_addr();
    EntrySettings {
        entry: format!("entry-{}", addr.port()).into(),
        addr,
        processor_share: 1.0,
        seeds: Vec::new(),
        configuration_key: "operator/configuration".into(),
        evacuations: None,
        configuration_bound: Duration::from_millis(2_500),
        scheduler: scheduler_settings(),
        retention: Duration::from_mins(2),
        min_store_lease: Duration::from_secs(1),
        handover_time: Duration::from_secs(5),
    }
}

/// Returns a loopback address with a free port.
pub(crate) fn free_addr() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("loopback is available");
    listener.local_addr().expect("the listener has an address")
}

impl State {
    fn revision_of(&self, key: &str) -> Revision {
        self.pairs.get(key).map_or(0, |pair| pair.revision)
    }
}

impl MemoryStore {
    fn check_up(&self) -> Result<()> {
        if self.is_down.load(Ordering::Acquire) {
            return Err(Error::not_run(ErrorKind::Unavailable, "the store is down").report());
        }
        Ok(())
    }
}

#[async_trait]
impl KvStore for MemoryStore {
    async fn get(&self, key: &str) -> Result<Option<KvPair>> {
        self.check_up()?;
        let state = self.state.lock().expect("lock is not poisoned");
        Ok(state.pairs.get(key).cloned())
    }

    async fn list(&self, prefix: &str) -> Result<Listing> {
        self.check_up()?;
        let state = self.state.lock().expect("lock is not poisoned");
        let pairs = state.pairs.values();
        Ok(Listing {
            pairs: pairs
                .filter(|pair| pair.key.starts_with(prefix))
                .cloned()
                .collect(),
            revision: state.revision,
        })
    }

    async fn put(
        &self,
        key: &str,
        value: Bytes,
        _precondition: Precondition,
        lease: Option<LeaseId>,
    ) -> Result<WriteOutcome> {
        let transaction = Transaction {
            puts: vec![(key.into(), value, lease)],
            ..Transaction::default()
        };
        match self.commit(&transaction).await? {
            CommitOutcome::Written { revision } => Ok(WriteOutcome::Written { revision }),
            _ => Ok(WriteOutcome::Conflict { current: None }),
        }
    }

    async fn delete(&self, key: &str, _precondition: Precondition) -> Result<WriteOutcome> {
        let transaction = Transaction {
            deletes: vec![key.into()],
            ..Transaction::default()
        };
        self.commit(&transaction).await?;
        Ok(WriteOutcome::Conflict { current: None })
    }

    async fn watch(&self, prefix: &str, after: Revision, wait: Duration) -> Result<WatchOutcome> {
        self.check_up()?;
        let found = async {
            loop {
                let changed = self.changed.notified();
                {
                    let state = self.state.lock().expect("lock is not poisoned");
                    let matches = |change: &&Change| match change {
                        Change::Put(pair) => pair.revision > after && pair.key.starts_with(prefix),
                        Change::Deleted { key, revision } => {
                            *revision > after && key.starts_with(prefix)
                        }
                    };
                    let found: Vec<Change> =
                        state.history.iter().filter(matches).cloned().collect();
                    if !found.is_empty() {
                        return (found, state.revision);
                    }
                }
                changed.await;
            }
        };
        let found = tokio::time::timeout(wait, found).await;
        let (changes, revision) = found.unwrap_or((Vec::new(), after));
        Ok(WatchOutcome::Changes { changes, revision })
    }

    async fn grant_lease(&self, _ttl: Duration) -> Result<LeaseId> {
        self.check_up()?;
        let mut state = self.state.lock().expect("lock is not poisoned");
        state.leases += 1;
        Ok(state.leases)
    }

    async fn renew_lease(&self, _id: LeaseId) -> Result<bool> {
        if self.refuses_renewals.load(Ordering::Acquire) {
            return Err(Error::not_run(ErrorKind::Unavailable, "the store is down").report());
        }
        Ok(!self.leases_lapsed.load(Ordering::Acquire))
    }

    async fn revoke_lease(&self, id: LeaseId) -> Result<()> {
        let deletes = {
            let state = self.state.lock().expect("lock is not poisoned");
            let pairs = state.pairs.values();
            let attached = pairs.filter(|pair| pair.lease == Some(id));
            attached.map(|pair| pair.key.clone()).collect()
        };
        let transaction = Transaction {
            deletes,
            ..Transaction::default()
        };
        self.commit(&transaction).await?;
        Ok(())
    }
}

#[async_trait]
impl TransactionStore for MemoryStore {
    async fn commit(&self, transaction: &Transaction) -> Result<CommitOutcome> {
        self.check_up()?;
        let is_check = transaction.puts.is_empty() && transaction.deletes.is_empty();
        if is_check && self.refuses_checks.load(Ordering::Acquire) {
            return Err(Error::not_run(ErrorKind::Timeout, "the check is not answered").report());
        }
        if is_check {
            let delay = self.check_ms.load(Ordering::Acquire);
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
        let mut state = self.state.lock().expect("lock is not poisoned");
        let mut expected = transaction.preconditions.iter();
        if expected.any(|(key, revision)| state.revision_of(key) != *revision) {
            let keys = transaction.preconditions.iter();
            let current = keys.filter_map(|(key, _)| state.pairs.get(key).cloned());
            return Ok(CommitOutcome::Conflict {
                current: current.collect(),
            });
        }
        if is_check {
            let revision = state.revision;
            return Ok(CommitOutcome::Written { revision });
        }
        state.revision += 1;
        let revision = state.revision;
        for (key, value, lease) in &transaction.puts {
            let pair = KvPair {
                key: key.clone(),
                value: value.clone(),
                revision,
                lease: *lease,
            };
            state.pairs.insert(key.clone(), pair.clone());
            state.history.push(Change::Put(pair));
        }
        for key in &transaction.deletes {
            if state.pairs.shift_remove(key).is_some() {
                let key = key.clone();
                state.history.push(Change::Deleted { key, revision });
            }
        }
        self.changed.notify_waiters();
        Ok(CommitOutcome::Written { revision })
    }
}
