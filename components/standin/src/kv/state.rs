//! The state of the key-value service: a state machine without I/O or access to a clock.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Bound;
use std::time::{Duration, Instant};

use bytes::Bytes;
use indexmap::IndexMap;
use model::Revision;
use store::{Change, Entry, Expect, Key, LeaseId, PutOutcome};

/// Limits the memory used by the history, because a change can contain a value of up to 1 MB.
const MAX_HISTORY_BYTES: usize = 64 * 1024 * 1024;

/// A write refers to a lease that does not exist.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct UnknownLease;

/// The history no longer contains the changes after the revision that a watch starts from.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Compacted;

struct Lease {
    ttl: Duration,
    expires: Instant,
    keys: BTreeSet<Key>,
}

/// The keys, the leases, and the history of changes.
pub(crate) struct KvState {
    revision: Revision,
    entries: BTreeMap<Key, Entry>,
    leases: IndexMap<LeaseId, Lease>,
    last_lease_id: LeaseId,
    history: VecDeque<Change>,
    max_history_len: usize,
    history_bytes: usize,
    /// The revision of the newest change that was removed from the history.
    compacted_revision: Revision,
}

impl KvState {
    pub(crate) fn new(max_history_len: usize) -> Self {
        Self {
            revision: 0,
            entries: BTreeMap::new(),
            leases: IndexMap::new(),
            last_lease_id: 0,
            history: VecDeque::new(),
            max_history_len,
            history_bytes: 0,
            compacted_revision: 0,
        }
    }

    pub(crate) fn revision(&self) -> Revision {
        self.revision
    }

    pub(crate) fn get(&self, key: &str) -> Option<&Entry> {
        self.entries.get(key)
    }

    pub(crate) fn list(&self, prefix: &str) -> Vec<Change> {
        self.entries
            .range::<str, _>((Bound::Included(prefix), Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(_, entry)| Change::Put(entry.clone()))
            .collect()
    }

    pub(crate) fn put(
        &mut self,
        key: &str,
        value: Bytes,
        expect: Expect,
        lease: Option<LeaseId>,
    ) -> Result<PutOutcome, UnknownLease> {
        if lease.is_some_and(|id| !self.leases.contains_key(&id)) {
            return Err(UnknownLease);
        }
        if let Some(conflict) = self.check_expectation(key, expect) {
            return Ok(conflict);
        }
        self.detach_from_lease(key);
        if let Some(attached) = lease.and_then(|id| self.leases.get_mut(&id)) {
            attached.keys.insert(key.into());
        }
        self.revision += 1;
        let entry = Entry {
            key: key.into(),
            value,
            revision: self.revision,
            lease,
        };
        self.entries.insert(key.into(), entry.clone());
        Ok(self.append_to_history(Change::Put(entry)))
    }

    pub(crate) fn delete(&mut self, key: &str, expect: Expect) -> PutOutcome {
        if let Some(conflict) = self.check_expectation(key, expect) {
            return conflict;
        }
        if !self.entries.contains_key(key) {
            let revision = self.revision;
            return PutOutcome::Written { revision };
        }
        self.detach_from_lease(key);
        self.entries.remove(key);
        self.revision += 1;
        self.append_to_history(Change::Deleted {
            key: key.into(),
            revision: self.revision,
        })
    }

    /// Returns the changes under a prefix after a revision.
    pub(crate) fn changes(&self, prefix: &str, after: Revision) -> Result<Vec<Change>, Compacted> {
        // A revision above the current one comes from before a restart of the service, which begins again at 0.
        if after < self.compacted_revision || after > self.revision {
            return Err(Compacted);
        }
        let first = self
            .history
            .partition_point(|change| change.revision() <= after);
        let changes = self.history.range(first..);
        Ok(changes
            .filter(|change| change_key(change).starts_with(prefix))
            .cloned()
            .collect())
    }

    pub(crate) fn grant(&mut self, ttl: Duration, now: Instant) -> LeaseId {
        self.last_lease_id += 1;
        let lease = Lease {
            ttl,
            expires: now + ttl,
            keys: BTreeSet::new(),
        };
        self.leases.insert(self.last_lease_id, lease);
        self.last_lease_id
    }

    pub(crate) fn renew(&mut self, id: LeaseId, now: Instant) -> bool {
        match self.leases.get_mut(&id) {
            Some(lease) if now < lease.expires => {
                lease.expires = now + lease.ttl;
                true
            }
            _ => false,
        }
    }

    /// Revokes a lease and deletes its keys; returns whether the lease existed.
    pub(crate) fn revoke(&mut self, id: LeaseId) -> bool {
        let Some(lease) = self.leases.swap_remove(&id) else {
            return false;
        };
        for key in lease.keys {
            self.delete(&key, Expect::Any);
        }
        true
    }

    /// Revokes all expired leases.
    pub(crate) fn expire_leases(&mut self, now: Instant) {
        let expired: Vec<LeaseId> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.revoke(id);
        }
    }

    /// Returns the conflict if the current revision of a key does not match what the write expects.
    fn check_expectation(&self, key: &str, expect: Expect) -> Option<PutOutcome> {
        let current = self.entries.get(key).map(|entry| entry.revision);
        let holds = match expect {
            Expect::Any => true,
            Expect::Absent => current.is_none(),
            Expect::Revision(revision) => current == Some(revision),
        };
        (!holds).then_some(PutOutcome::Conflict { current })
    }

    /// Removes a key from its lease, if it has one.
    fn detach_from_lease(&mut self, key: &str) {
        let id = self.entries.get(key).and_then(|entry| entry.lease);
        if let Some(lease) = id.and_then(|id| self.leases.get_mut(&id)) {
            lease.keys.remove(key);
        }
    }

    fn append_to_history(&mut self, change: Change) -> PutOutcome {
        let revision = change.revision();
        self.history_bytes += change_size(&change);
        self.history.push_back(change);
        while self.history.len() > self.max_history_len || self.history_bytes > MAX_HISTORY_BYTES {
            let Some(oldest) = self.history.pop_front() else {
                break;
            };
            self.history_bytes -= change_size(&oldest);
            self.compacted_revision = oldest.revision();
        }
        PutOutcome::Written { revision }
    }
}

fn change_size(change: &Change) -> usize {
    match change {
        Change::Put(entry) => entry.key.len() + entry.value.len(),
        Change::Deleted { key, .. } => key.len(),
    }
}

fn change_key(change: &Change) -> &str {
    match change {
        Change::Put(entry) => &entry.key,
        Change::Deleted { key, .. } => key,
    }
}
