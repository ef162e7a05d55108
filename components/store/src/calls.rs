//! Counters of calls to the key-value service by kind.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::{Deserialize, Serialize};

/// The kind of a call.
#[derive(Debug, Clone, Copy)]
pub enum CallKind {
    /// Reads a key.
    Get,
    /// Lists the keys under a prefix.
    List,
    /// Writes a key.
    Put,
    /// Deletes a key.
    Delete,
    /// Waits for changes.
    Watch,
    /// Grants, renews or revokes a lease.
    Lease,
}

/// The number of calls by kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Reads of a key.
    pub get: u64,
    /// Lists of the keys under a prefix.
    pub list: u64,
    /// Writes.
    pub put: u64,
    /// Deletes.
    pub delete: u64,
    /// Watches; each call counts once, however long it waits.
    pub watch: u64,
    /// Grants, renewals and revocations of leases.
    pub lease: u64,
}

impl CallCounts {
    /// Returns each count with the name of its kind.
    pub fn by_kind(&self) -> [(&'static str, u64); 6] {
        [
            ("get", self.get),
            ("list", self.list),
            ("put", self.put),
            ("delete", self.delete),
            ("watch", self.watch),
            ("lease", self.lease),
        ]
    }
}

/// Counters of calls by kind.
#[derive(Debug, Default)]
pub struct CallCounters {
    get: AtomicU64,
    list: AtomicU64,
    put: AtomicU64,
    delete: AtomicU64,
    watch: AtomicU64,
    lease: AtomicU64,
}

impl CallCounters {
    /// Counts one call.
    pub fn add(&self, kind: CallKind) {
        let counter = match kind {
            CallKind::Get => &self.get,
            CallKind::List => &self.list,
            CallKind::Put => &self.put,
            CallKind::Delete => &self.delete,
            CallKind::Watch => &self.watch,
            CallKind::Lease => &self.lease,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of calls so far.
    pub fn counts(&self) -> CallCounts {
        CallCounts {
            get: self.get.load(Ordering::Relaxed),
            list: self.list.load(Ordering::Relaxed),
            put: self.put.load(Ordering::Relaxed),
            delete: self.delete.load(Ordering::Relaxed),
            watch: self.watch.load(Ordering::Relaxed),
            lease: self.lease.load(Ordering::Relaxed),
        }
    }
}
