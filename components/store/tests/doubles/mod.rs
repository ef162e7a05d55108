//! A key-value store that injects a fault into the first write.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use errors::{Error, ErrorKind, Result};
use model::Revision;
use store::{
    HttpStore, KvPair, KvStore, LeaseId, Listing, Precondition, WatchOutcome, WriteOutcome,
};

/// The fault of the first write.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum WriteFault {
    /// Another client overwrites the value right after the write.
    Overwritten,
    /// The write does not reach the store, but its error says that it may have run.
    Dropped,
}

/// Forwards calls to an HTTP store.
pub(crate) struct FaultyStore {
    inner: HttpStore,
    fault: WriteFault,
    injected: AtomicBool,
}

impl FaultyStore {
    pub(crate) fn new(inner: HttpStore, fault: WriteFault) -> Self {
        Self {
            inner,
            fault,
            injected: AtomicBool::new(false),
        }
    }
}

#[async_trait]
impl KvStore for FaultyStore {
    async fn put(
        &self,
        key: &str,
        value: Bytes,
        precondition: Precondition,
        lease: Option<LeaseId>,
    ) -> Result<WriteOutcome> {
        let injected = self.injected.swap(true, Ordering::AcqRel);
        if !injected && self.fault == WriteFault::Dropped {
            return Err(Error::may_have_run(ErrorKind::Unavailable, "lost").report());
        }
        let outcome = self.inner.put(key, value, precondition, lease).await;
        if !injected {
            let other = Bytes::from_static(b"other");
            self.inner.put(key, other, Precondition::Any, None).await?;
        }
        outcome
    }

    async fn get(&self, key: &str) -> Result<Option<KvPair>> {
        self.inner.get(key).await
    }

    async fn list(&self, prefix: &str) -> Result<Listing> {
        self.inner.list(prefix).await
    }

    async fn delete(&self, key: &str, precondition: Precondition) -> Result<WriteOutcome> {
        self.inner.delete(key, precondition).await
    }

    async fn watch(&self, prefix: &str, after: Revision, wait: Duration) -> Result<WatchOutcome> {
        self.inner.watch(prefix, after, wait).await
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId> {
        self.inner.grant_lease(ttl).await
    }

    async fn renew_lease(&self, id: LeaseId) -> Result<bool> {
        self.inner.renew_lease(id).await
    }

    async fn revoke_lease(&self, id: LeaseId) -> Result<()> {
        self.inner.revoke_lease(id).await
    }
}
