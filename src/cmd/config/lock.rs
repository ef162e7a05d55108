//! Lock that serializes concurrent `config apply` commands.
//!
//! Each section is written with compare-and-swap, but a check across sections is valid only as long as no other section
//! changes.

use std::time::{Duration, Instant};

use bytes::Bytes;
use errors::{Error, ErrorKind, Result};
use store::{ConfirmedOutcome, KvStore, LeaseId, Precondition, PutRequest, put_confirmed};

/// Key of the lock. It is outside the prefix of the sections, so that it is not read as a section.
const LOCK_KEY: &str = "config-lock";
/// Time to live of the lock; limits how long a command that died blocks others.
const LOCK_TTL: Duration = Duration::from_secs(5);
/// Maximum time to wait for the lock.
const ACQUIRE_TIMEOUT: Duration = Duration::from_secs(15);
const WATCH_TIMEOUT: Duration = Duration::from_secs(1);

/// A held lock.
pub(super) struct Lock {
    lease: LeaseId,
    expires_at: Instant,
}

impl Lock {
    /// Acquires the lock, and waits while another command holds it.
    pub(super) async fn acquire(store: &dyn KvStore) -> Result<Self> {
        let started = timer::now();
        loop {
            if let Some(lock) = Self::try_acquire(store).await? {
                return Ok(lock);
            }
            if timer::now() - started >= ACQUIRE_TIMEOUT {
                let message = "another command holds the configuration lock";
                return Err(Error::not_run(ErrorKind::Conflict, message).report());
            }
            wait_for_release(store).await?;
        }
    }

    async fn try_acquire(store: &dyn KvStore) -> Result<Option<Self>> {
        let expires_at = timer::now() + LOCK_TTL;
        // If the response is lost, the granted lease expires unused.
        let lease = match store.grant_lease(LOCK_TTL).await {
            Ok(lease) => lease,
            Err(_) => store
                .grant_lease(LOCK_TTL)
                .await
                .map_err(|e| as_not_run(&e))?,
        };
        let req = PutRequest {
            key: LOCK_KEY.into(),
            value: Bytes::from(lease.to_string()),
            precondition: Precondition::Absent,
            lease: Some(lease),
            known_revision: 0,
        };
        match put_confirmed(store, &req).await {
            Ok(ConfirmedOutcome::Written { .. }) => Ok(Some(Self { lease, expires_at })),
            Ok(ConfirmedOutcome::Conflict { .. }) => {
                let _ = store.revoke_lease(lease).await;
                Ok(None)
            }
            Ok(ConfirmedOutcome::Unknown(error)) => Err(as_not_run(&error.report())),
            Err(report) => Err(as_not_run(&report)),
        }
    }

    /// Fails if the lock has expired, because another command may hold it.
    pub(super) fn ensure_held(&self) -> Result<()> {
        if timer::now() < self.expires_at {
            return Ok(());
        }
        let message = "the configuration lock expired before the write";
        Err(Error::not_run(ErrorKind::Timeout, message).report())
    }

    /// Releases the lock. If the store does not respond, the lock expires.
    pub(super) async fn release(self, store: &dyn KvStore) {
        let _ = store.revoke_lease(self.lease).await;
    }
}

/// Changes the verdict of an error to `not_run`: no section is written before the lock is held, even if the result of
/// acquiring it is unknown.
fn as_not_run(report: &error_stack::Report<Error>) -> error_stack::Report<Error> {
    let error = report.current_context();
    Error::not_run(error.kind, error.message.clone()).report()
}

async fn wait_for_release(store: &dyn KvStore) -> Result<()> {
    let listing = store.list(LOCK_KEY).await?;
    if !listing.pairs.is_empty() {
        store
            .watch(LOCK_KEY, listing.revision, WATCH_TIMEOUT)
            .await?;
    }
    Ok(())
}
