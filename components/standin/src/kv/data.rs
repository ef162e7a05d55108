//! The data of the key-value service: a state machine without I/O or clock.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Bound;
use std::time::{Duration, Instant};

use bytes::Bytes;
use indexmap::IndexMap;
use model::Revision;
use store::{Change, Entry, Expect, Key, LeaseId, PutOutcome};

/// Bounds the memory of the history, because a change may hold a value of 1 MB.
const HISTORY_BYTES: usize = 64 * 1024 * 1024;

/// The lease that a write names does not exist.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct UnknownLease;

/// The history does not reach back to the revision that a watch names.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Compacted;

struct Granted {
    ttl: Duration,
    expires: Instant,
    keys: BTreeSet<Key>,
}

pub(crate) struct Data {
    revision: Revision,
    entries: BTreeMap<Key, Entry>,
    leases: IndexMap<LeaseId, Granted>,
    last_lease: LeaseId,
    history: VecDeque<Change>,
    history_limit: usize,
    history_bytes: usize,
    /// The revision of the newest change that left the history.
    compacted: Revision,
}

impl Data {
    pub(crate) fn new(history_limit: usize) -> Self {
        Self {
            revision: 0,
            entries: BTreeMap::new(),
            leases: IndexMap::new(),
            last_lease: 0,
            history: VecDeque::new(),
            history_limit,
            history_bytes: 0,
            compacted: 0,
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
        if let Some(conflict) = self.conflict(key, expect) {
            return Ok(conflict);
        }
        self.detach(key);
        if let Some(granted) = lease.and_then(|id| self.leases.get_mut(&id)) {
            granted.keys.insert(key.into());
        }
        self.revision += 1;
        let entry = Entry {
            key: key.into(),
            value,
            revision: self.revision,
            lease,
        };
        self.entries.insert(key.into(), entry.clone());
        Ok(self.record(Change::Put(entry)))
    }

    pub(crate) fn delete(&mut self, key: &str, expect: Expect) -> PutOutcome {
        if let Some(conflict) = self.conflict(key, expect) {
            return conflict;
        }
        if !self.entries.contains_key(key) {
            let revision = self.revision;
            return PutOutcome::Written { revision };
        }
        self.detach(key);
        self.entries.remove(key);
        self.revision += 1;
        self.record(Change::Deleted {
            key: key.into(),
            revision: self.revision,
        })
    }

    /// Returns the changes under a prefix after a revision.
    pub(crate) fn changes(&self, prefix: &str, after: Revision) -> Result<Vec<Change>, Compacted> {
        // A revision from the future belongs to an earlier life of the service.
        if after < self.compacted || after > self.revision {
            return Err(Compacted);
        }
        let first = self
            .history
            .partition_point(|change| change.revision() <= after);
        let changes = self.history.range(first..);
        Ok(changes
            .filter(|change| key_of(change).starts_with(prefix))
            .cloned()
            .collect())
    }

    pub(crate) fn grant(&mut self, ttl: Duration, now: Instant) -> LeaseId {
        self.last_lease += 1;
        let granted = Granted {
            ttl,
            expires: now + ttl,
            keys: BTreeSet::new(),
        };
        self.leases.insert(self.last_lease, granted);
        self.last_lease
    }

    pub(crate) fn renew(&mut self, id: LeaseId, now: Instant) -> bool {
        match self.leases.get_mut(&id) {
            Some(granted) if now < granted.expires => {
                granted.expires = now + granted.ttl;
                true
            }
            _ => false,
        }
    }

    /// Ends a lease and deletes its keys.
    pub(crate) fn revoke(&mut self, id: LeaseId) -> bool {
        let Some(granted) = self.leases.swap_remove(&id) else {
            return false;
        };
        for key in granted.keys {
            self.delete(&key, Expect::Any);
        }
        true
    }

    /// Ends all leases that have passed their term.
    pub(crate) fn lapse(&mut self, now: Instant) {
        let lapsed: Vec<LeaseId> = self
            .leases
            .iter()
            .filter(|(_, granted)| granted.expires <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in lapsed {
            self.revoke(id);
        }
    }

    fn conflict(&self, key: &str, expect: Expect) -> Option<PutOutcome> {
        let current = self.entries.get(key).map(|entry| entry.revision);
        let met = match expect {
            Expect::Any => true,
            Expect::Absent => current.is_none(),
            Expect::Revision(revision) => current == Some(revision),
        };
        (!met).then_some(PutOutcome::Conflict { current })
    }

    /// Takes a key off its lease.
    fn detach(&mut self, key: &str) {
        let lease = self.entries.get(key).and_then(|entry| entry.lease);
        if let Some(granted) = lease.and_then(|id| self.leases.get_mut(&id)) {
            granted.keys.remove(key);
        }
    }

    fn record(&mut self, change: Change) -> PutOutcome {
        let revision = change.revision();
        self.history_bytes += size_of(&change);
        self.history.push_back(change);
        while self.history.len() > self.history_limit || self.history_bytes > HISTORY_BYTES {
            let Some(oldest) = self.history.pop_front() else {
                break;
            };
            self.history_bytes -= size_of(&oldest);
            self.compacted = oldest.revision();
        }
        PutOutcome::Written { revision }
    }
}

fn size_of(change: &Change) -> usize {
    match change {
        Change::Put(entry) => entry.key.len() + entry.value.len(),
        Change::Deleted { key, .. } => key.len(),
    }
}

fn key_of(change: &Change) -> &str {
    match change {
        Change::Put(entry) => &entry.key,
        Change::Deleted { key, .. } => key,
    }
}
