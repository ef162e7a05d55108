//! A client of the key-value service in memory whose answers about the configuration can be disturbed.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use errors::{Error, ErrorKind, Result};
use model::Revision;
use store::{
    Change, CheckOutcome, CommitOutcome, Key, KvPair, KvStore, LeaseId, Listing, Precondition,
    Transaction, TransactionStore, WatchOutcome, WriteOutcome,
};

use crate::CONFIGURATION_KEY;
use crate::common::MemoryStore;

/// Time that each call takes.
const LATENCY: Duration = Duration::from_millis(1);
/// Added to the wait of a watch to get its timeout, as the platform's client does.
const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_secs(1);
/// Timeout of a read, as that of the platform's client.
const READ_TIMEOUT: Duration = Duration::from_millis(1_200);

/// What happens to a change that a watch of the configuration would return.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WatchFault {
    None,
    /// The watch returns a later revision without the change.
    MissesChanges,
    /// The watch returns a value that cannot be decoded.
    GarblesValues,
    /// The watch is never answered.
    Silent,
    /// The connection of the watch is closed.
    Closed,
}

/// One entry's client of a store that it shares with other entries.
#[derive(Debug)]
pub(crate) struct FaultyStore {
    inner: Arc<MemoryStore>,
    watch_fault: Mutex<WatchFault>,
    /// Whether no read and no watch is answered.
    pub(crate) is_silent: AtomicBool,
    /// Time that each check of the configuration takes, in milliseconds.
    pub(crate) check_ms: AtomicU64,
    /// Whether the watches of all other keys return later revisions without the changes.
    pub(crate) misses_others: AtomicBool,
    /// Watches from an earlier revision are answered as compacted.
    pub(crate) compacted: Mutex<Revision>,
    /// Number of reads and watches of the configuration.
    pub(crate) calls: AtomicUsize,
}

impl FaultyStore {
    pub(crate) fn new(inner: &Arc<MemoryStore>) -> Arc<Self> {
        Arc::new(Self {
            inner: Arc::clone(inner),
            watch_fault: Mutex::new(WatchFault::None),
            is_silent: AtomicBool::new(false),
            check_ms: AtomicU64::new(0),
            misses_others: AtomicBool::new(false),
            compacted: Mutex::new(0),
            calls: AtomicUsize::new(0),
        })
    }

    pub(crate) fn set_watch_fault(&self, fault: WatchFault) {
        *self.watch_fault.lock().expect("lock is not poisoned") = fault;
    }

    async fn check_silent(&self, timeout: Duration) -> Result<()> {
        tokio::time::sleep(LATENCY).await;
        if self.is_silent.load(Ordering::Acquire) {
            return Err(time_out(timeout).await);
        }
        Ok(())
    }
}

async fn time_out(timeout: Duration) -> error_stack::Report<Error> {
    tokio::time::sleep(timeout).await;
    Error::not_run(ErrorKind::Timeout, "timed out waiting for the response").report()
}

fn garbled(change: Change) -> Change {
    match change {
        Change::Put(pair) => Change::Put(KvPair {
            value: Bytes::from_static(b"\xff"),
            ..pair
        }),
        deleted @ Change::Deleted { .. } => deleted,
    }
}

#[async_trait]
impl KvStore for FaultyStore {
    async fn get(&self, key: &str) -> Result<Option<KvPair>> {
        self.check_silent(READ_TIMEOUT).await?;
        self.calls.fetch_add(1, Ordering::Relaxed);
        self.inner.get(key).await
    }

    async fn list(&self, prefix: &str) -> Result<Listing> {
        self.check_silent(READ_TIMEOUT).await?;
        if prefix == CONFIGURATION_KEY {
            self.calls.fetch_add(1, Ordering::Relaxed);
        }
        self.inner.list(prefix).await
    }

    async fn put(
        &self,
        key: &str,
        value: Bytes,
        precondition: Precondition,
        lease: Option<LeaseId>,
    ) -> Result<WriteOutcome> {
        self.check_silent(READ_TIMEOUT).await?;
        self.inner.put(key, value, precondition, lease).await
    }

    async fn delete(&self, key: &str, precondition: Precondition) -> Result<WriteOutcome> {
        self.check_silent(READ_TIMEOUT).await?;
        self.inner.delete(key, precondition).await
    }

    async fn watch(&self, prefix: &str, after: Revision, wait: Duration) -> Result<WatchOutcome> {
        self.check_silent(wait + WATCH_TIMEOUT_MARGIN).await?;
        if prefix != CONFIGURATION_KEY {
            let mut outcome = self.inner.watch(prefix, after, wait).await?;
            if self.misses_others.load(Ordering::Acquire)
                && let WatchOutcome::Changes { changes, .. } = &mut outcome
            {
                changes.clear();
            }
            return Ok(outcome);
        }
        self.calls.fetch_add(1, Ordering::Relaxed);
        let compacted = *self.compacted.lock().expect("lock is not poisoned");
        if after < compacted {
            return Ok(WatchOutcome::Compacted {
                revision: compacted,
            });
        }
        let outcome = self.inner.watch(prefix, after, wait).await?;
        self.check_silent(WATCH_TIMEOUT_MARGIN).await?;
        let WatchOutcome::Changes { changes, revision } = outcome else {
            return Ok(outcome);
        };
        let fault = *self.watch_fault.lock().expect("lock is not poisoned");
        let changes = match fault {
            _ if changes.is_empty() => changes,
            WatchFault::None => changes,
            WatchFault::MissesChanges => Vec::new(),
            WatchFault::GarblesValues => changes.into_iter().map(garbled).collect(),
            WatchFault::Silent => return Err(time_out(wait + WATCH_TIMEOUT_MARGIN).await),
            WatchFault::Closed => {
                let error = Error::not_run(ErrorKind::Unavailable, "connection closed");
                return Err(error.report());
            }
        };
        Ok(WatchOutcome::Changes { changes, revision })
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId> {
        self.check_silent(READ_TIMEOUT).await?;
        self.inner.grant_lease(ttl).await
    }

    async fn renew_lease(&self, id: LeaseId) -> Result<bool> {
        self.check_silent(READ_TIMEOUT).await?;
        self.inner.renew_lease(id).await
    }

    async fn revoke_lease(&self, id: LeaseId) -> Result<()> {
        self.check_silent(READ_TIMEOUT).await?;
        self.inner.revoke_lease(id).await
    }
}

#[async_trait]
impl TransactionStore for FaultyStore {
    async fn commit(&self, transaction: &Transaction) -> Result<CommitOutcome> {
        self.check_silent(READ_TIMEOUT).await?;
        self.inner.commit(transaction).await
    }

    async fn read_if_changed(
        &self,
        known: &[(Key, Revision)],
        timeout: Duration,
    ) -> Result<CheckOutcome> {
        self.check_silent(timeout).await?;
        self.calls.fetch_add(1, Ordering::Relaxed);
        let delay = self.check_ms.load(Ordering::Acquire);
        tokio::time::sleep(Duration::from_millis(delay)).await;
        self.inner.read_if_changed(known, timeout).await
    }
}
