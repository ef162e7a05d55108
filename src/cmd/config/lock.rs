//! The lock that lets one operator at a time check and write.
//!
//! Each section has its own compare-and-swap, but a check across sections holds only while no other section changes.

use std::time::{Duration, Instant};

use bytes::Bytes;
use errors::{Error, ErrorKind, Result};
use store::{ConfirmedOutcome, KvStore, LeaseId, Precondition, PutRequest, put_confirmed};

/// The key is outside the prefix of the sections, so that no process takes it for one.
const LOCK_KEY: &str = "config-lock";
/// Bounds how long a command that died keeps others waiting.
const LOCK_TERM: Duration = Duration::from_secs(5);
/// How long a command waits for others.
const WAIT_LIMIT: Duration = Duration::from_secs(15);
const WATCH_WAIT: Duration = Duration::from_secs(1);

/// The right to write sections.
pub(super) struct Lock {
    lease: LeaseId,
    until: Instant,
}

impl Lock {
    /// Waits until no other command holds the lock.
    pub(super) async fn acquire(store: &dyn KvStore) -> Result<Self> {
        let started = timer::now();
        loop {
            if let Some(lock) = Self::try_acquire(store).await? {
                return Ok(lock);
            }
            if timer::now() - started >= WAIT_LIMIT {
                let message = "another command holds the lock of the configuration";
                return Err(Error::not_run(ErrorKind::Conflict, message).report());
            }
            wait_for_release(store).await?;
        }
    }

    async fn try_acquire(store: &dyn KvStore) -> Result<Option<Self>> {
        let until = timer::now() + LOCK_TERM;
        // A lost answer costs a lease that lapses unused.
        let lease = match store.grant_lease(LOCK_TERM).await {
            Ok(lease) => lease,
            Err(_) => store
                .grant_lease(LOCK_TERM)
                .await
                .map_err(|e| not_written(&e))?,
        };
        let req = PutRequest {
            key: LOCK_KEY.into(),
            value: Bytes::from(lease.to_string()),
            precondition: Precondition::Absent,
            lease: Some(lease),
            known_revision: 0,
        };
        match put_confirmed(store, &req).await {
            Ok(ConfirmedOutcome::Written { .. }) => Ok(Some(Self { lease, until })),
            Ok(ConfirmedOutcome::Conflict { .. }) => {
                let _ = store.revoke_lease(lease).await;
                Ok(None)
            }
            Ok(ConfirmedOutcome::Unknown(error)) => Err(not_written(&error.report())),
            Err(report) => Err(not_written(&report)),
        }
    }

    /// Refuses to write once another command may hold the lock.
    pub(super) fn check(&self) -> Result<()> {
        if timer::now() < self.until {
            return Ok(());
        }
        let message = "the lock of the configuration lapsed before the write";
        Err(Error::not_run(ErrorKind::Timeout, message).report())
    }

    /// Gives the lock back; if the store does not answer, it lapses.
    pub(super) async fn release(self, store: &dyn KvStore) {
        let _ = store.revoke_lease(self.lease).await;
    }
}

/// No section is written before the lock is held, whatever became of the lock.
fn not_written(report: &error_stack::Report<Error>) -> error_stack::Report<Error> {
    let error = report.current_context();
    Error::not_run(error.kind, error.message.clone()).report()
}

async fn wait_for_release(store: &dyn KvStore) -> Result<()> {
    let listing = store.list(LOCK_KEY).await?;
    if !listing.pairs.is_empty() {
        store.watch(LOCK_KEY, listing.revision, WATCH_WAIT).await?;
    }
    Ok(())
}
