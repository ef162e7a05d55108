//! Interface to a key-value service with revisions, leases and watches.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use errors::Result;
use model::Revision;

/// The maximum size of a value, as enforced by the service.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// A key, such as `cells/caribe`.
pub type Key = Box<str>;
/// Identifies a lease granted by the service.
pub type LeaseId = u64;

/// A key-value pair.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvPair {
    /// The key.
    pub key: Key,
    /// The value.
    pub value: Bytes,
    /// The revision of the last write of this key.
    pub revision: Revision,
    /// The lease that the key is attached to; its expiry or revocation deletes the key.
    pub lease: Option<LeaseId>,
}

/// All keys under a prefix at one revision of the store, in key order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// The key-value pairs.
    pub pairs: Vec<KvPair>,
    /// The revision of the store, after which a watch can continue.
    pub revision: Revision,
}

/// The state that a key must be in for a write to take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precondition {
    /// The write is unconditional.
    Any,
    /// The key does not exist.
    Absent,
    /// The last write of the key has this revision.
    Revision(Revision),
}

/// The result of a put or a delete that the service responded to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The change took effect.
    Written {
        /// The revision of the change.
        revision: Revision,
    },
    /// The precondition failed; nothing changed.
    Conflict {
        /// The revision of the key, or `None` if it does not exist.
        current: Option<Revision>,
    },
}

/// A change to one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The key was written.
    Put(KvPair),
    /// The key was deleted by a client, or because its lease expired or was revoked.
    Deleted {
        /// The key.
        key: Key,
        /// The revision of the deletion.
        revision: Revision,
    },
}

impl Change {
    /// Returns the revision of the change.
    pub fn revision(&self) -> Revision {
        match self {
            Self::Put(pair) => pair.revision,
            Self::Deleted { revision, .. } => *revision,
        }
    }
}

/// The result of a watch call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchOutcome {
    /// The changes after the given revision, each once and in order; empty if the wait timed out.
    Changes {
        /// The changes.
        changes: Vec<Change>,
        /// The revision to pass to the next watch call.
        revision: Revision,
    },
    /// The history no longer reaches back to the given revision; the caller has to list the keys again.
    Compacted {
        /// The current revision of the store.
        revision: Revision,
    },
}

/// A key-value service.
///
/// Errors of reads and watches carry the verdict "not run", because these calls have no effect. Errors of writes and
/// lease calls carry "may have run" once the request was sent.
#[async_trait]
pub trait KvStore: Send + Sync {
    /// Reads a key.
    async fn get(&self, key: &str) -> Result<Option<KvPair>>;

    /// Reads all keys under a prefix.
    async fn list(&self, prefix: &str) -> Result<Listing>;

    /// Writes a key if it meets the precondition.
    async fn put(
        &self,
        key: &str,
        value: Bytes,
        precondition: Precondition,
        lease: Option<LeaseId>,
    ) -> Result<WriteOutcome>;

    /// Deletes a key if it meets the precondition; an unconditional delete of a missing key succeeds.
    async fn delete(&self, key: &str, precondition: Precondition) -> Result<WriteOutcome>;

    /// Waits up to `wait` for changes to keys under a prefix after a revision.
    async fn watch(&self, prefix: &str, after: Revision, wait: Duration) -> Result<WatchOutcome>;

    /// Grants a lease.
    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId>;

    /// Renews a lease for its full TTL; returns false if it has expired.
    async fn renew_lease(&self, id: LeaseId) -> Result<bool>;

    /// Revokes a lease and deletes its keys; an expired lease is not an error.
    async fn revoke_lease(&self, id: LeaseId) -> Result<()>;
}

/// An atomic change to several keys.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Keys with the revision that each must be at; 0 means that the key must not exist.
    pub preconditions: Vec<(Key, Revision)>,
    /// Keys to write, each with its value and the lease to attach it to.
    pub puts: Vec<(Key, Bytes, Option<LeaseId>)>,
    /// Keys to delete.
    pub deletes: Vec<Key>,
}

/// The result of a transaction that the service responded to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitOutcome {
    /// All changes took effect.
    Written {
        /// The revision of the changes.
        revision: Revision,
    },
    /// A precondition failed; nothing changed.
    Conflict {
        /// The existing keys among those with a precondition, in their current state.
        current: Vec<KvPair>,
    },
    /// One of the leases has expired; nothing changed.
    LeaseExpired,
}

/// The result of a read that depends on a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CheckOutcome {
    /// All keys still have the given revisions.
    Unchanged,
    /// A key has another revision: the existing keys among them, in their current state.
    Changed(Vec<KvPair>),
}

/// A key-value service with transactions.
#[async_trait]
pub trait TransactionStore: KvStore {
    /// Runs a transaction. An error after the request was sent is "may have run", as the transaction may still take
    /// effect later.
    async fn commit(&self, transaction: &Transaction) -> Result<CommitOutcome>;

    /// Reads the newest values of keys unless all of them have these revisions; 0 means that the key does not exist. The size
    /// of the response does not depend on the values if none has changed.
    ///
    /// Fails if no response begins within the timeout.
    async fn read_if_changed(
        &self,
        known: &[(Key, Revision)],
        _timeout: Duration,
    ) -> Result<CheckOutcome> {
        let transaction = Transaction {
            preconditions: known.to_vec(),
            ..Transaction::default()
        };
        Ok(match self.commit(&transaction).await? {
            CommitOutcome::Conflict { current } => CheckOutcome::Changed(current),
            CommitOutcome::Written { .. } | CommitOutcome::LeaseExpired => CheckOutcome::Unchanged,
        })
    }
}
