//! A store that interferes with the first write of a caller.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use errors::{Error, ErrorKind, Result};
use model::Revision;
use store::{Entry, Expect, HttpStore, KvStore, LeaseId, Listing, PutOutcome, Watched};

/// What happens to the first write.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum First {
    /// Another writer replaces the value at once.
    Replaced,
    /// It never arrives, and the caller cannot know that.
    NeverArrives,
}

/// A store in front of the real adapter.
pub(crate) struct Interfering {
    inner: HttpStore,
    first: First,
    done: AtomicBool,
}

impl Interfering {
    /// Interferes with the next write only.
    pub(crate) fn new(inner: HttpStore, first: First) -> Self {
        let done = AtomicBool::new(false);
        Self { inner, first, done }
    }
}

#[async_trait]
impl KvStore for Interfering {
    async fn put(
        &self,
        key: &str,
        value: Bytes,
        expect: Expect,
        lease: Option<LeaseId>,
    ) -> Result<PutOutcome> {
        let done = self.done.swap(true, Ordering::AcqRel);
        if !done && self.first == First::NeverArrives {
            return Err(Error::may_have_run(ErrorKind::Unavailable, "lost").report());
        }
        let outcome = self.inner.put(key, value, expect, lease).await;
        if !done {
            let other = Bytes::from_static(b"other");
            self.inner.put(key, other, Expect::Any, None).await?;
        }
        outcome
    }

    async fn get(&self, key: &str) -> Result<Option<Entry>> {
        self.inner.get(key).await
    }

    async fn list(&self, prefix: &str) -> Result<Listing> {
        self.inner.list(prefix).await
    }

    async fn delete(&self, key: &str, expect: Expect) -> Result<PutOutcome> {
        self.inner.delete(key, expect).await
    }

    async fn watch(&self, prefix: &str, after: Revision, wait: Duration) -> Result<Watched> {
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
