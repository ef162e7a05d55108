//! Configuration revisions: a section is applied only when its revision rises.
//!
//! VMs have no disks, so a process that applies a revision which nobody else has seen falls back when it restarts during
//! a store outage. A process therefore first sends a section to its peers, which hold it, and applies it after each peer
//! holds it or cannot be reached, and at least one holds it. `HighestRevision` is answered from what a process holds, not from what it applied.

use std::collections::{BTreeMap, BTreeSet};

use model::{Revision, SectionName};

/// Names a process that holds sections for this one.
pub type PeerId = Box<str>;

/// The revision of each section that a process holds, and of each that it has in force.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Revisions {
    held: BTreeMap<SectionName, Revision>,
    applied: BTreeMap<SectionName, Revision>,
}

impl Revisions {
    /// Holds a section from a peer or from the store and returns whether its revision rises.
    pub fn hold(&mut self, section: &str, revision: Revision) -> bool {
        raise(&mut self.held, section, revision)
    }

    /// Records that a section is in force and returns true if its revision rises; otherwise it must be ignored.
    pub fn admit(&mut self, section: &str, revision: Revision) -> bool {
        self.hold(section, revision);
        raise(&mut self.applied, section, revision)
    }

    /// Returns the revision of a section in force, 0 if it was never applied.
    pub fn of(&self, section: &str) -> Revision {
        self.applied.get(section).copied().unwrap_or(0)
    }

    /// Returns the highest revision in force.
    pub fn highest(&self) -> Revision {
        self.applied.values().copied().max().unwrap_or(0)
    }

    /// Returns the revision of each section that is held, for `HighestRevision`.
    pub fn held(&self) -> impl Iterator<Item = (&SectionName, Revision)> {
        self.held.iter().map(|(name, revision)| (name, *revision))
    }

    /// Returns the sections that are held and not in force at that revision.
    pub fn pending(&self) -> BTreeMap<SectionName, Revision> {
        let pending = self
            .held()
            .filter(|(name, revision)| *revision > self.of(name));
        pending
            .map(|(name, revision)| (name.clone(), revision))
            .collect()
    }
}

/// Sections that are being sent to the peers and are not yet in force.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Staged {
    sections: BTreeMap<SectionName, Revision>,
    waiting: BTreeSet<PeerId>,
    safe: bool,
}

impl Staged {
    /// Stages what `revisions` holds and has not applied.
    pub fn new(revisions: &Revisions, peers: impl IntoIterator<Item = PeerId>) -> Self {
        let waiting: BTreeSet<_> = peers.into_iter().collect();
        Self {
            sections: revisions.pending(),
            safe: waiting.is_empty(),
            waiting,
        }
    }

    /// Returns the sections to send.
    pub fn sections(&self) -> &BTreeMap<SectionName, Revision> {
        &self.sections
    }

    /// Returns the peers that have not answered.
    pub fn waiting(&self) -> impl Iterator<Item = &PeerId> {
        self.waiting.iter()
    }

    /// Records that a peer holds these revisions or higher ones; its answer says what it holds.
    ///
    /// The caller first holds what the answer says: a peer that could not be asked during recovery is heard here.
    pub fn holds(&mut self, peer: &str) {
        self.safe |= self.waiting.remove(peer);
    }

    /// Records that a peer cannot be reached.
    pub fn unreachable(&mut self, peer: &str) {
        self.waiting.remove(peer);
    }

    /// Applies the sections once no peer is awaited and returns those that rose, or hands them back.
    ///
    /// If no peer could be reached, or the process holds more than was staged, the caller stages again.
    pub fn apply(self, revisions: &mut Revisions) -> Result<Vec<SectionName>, Self> {
        let complete = self.sections == revisions.pending();
        if !self.safe || !complete || !self.waiting.is_empty() {
            return Err(self);
        }
        let risen = self.sections.into_iter().filter_map(|(name, revision)| {
            let rises = revisions.admit(&name, revision);
            rises.then_some(name)
        });
        Ok(risen.collect())
    }
}

/// A process that started and asks its peers for what they hold.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Recovery {
    revisions: Revisions,
    waiting: BTreeSet<PeerId>,
    answered: bool,
}

impl Recovery {
    /// Begins to ask every known peer.
    pub fn start(peers: impl IntoIterator<Item = PeerId>) -> Self {
        Self {
            revisions: Revisions::default(),
            waiting: peers.into_iter().collect(),
            answered: false,
        }
    }

    /// Holds a section from the store or from a peer.
    pub fn hold(&mut self, section: &str, revision: Revision) {
        self.revisions.hold(section, revision);
    }

    /// Records that all sections that a peer holds have arrived.
    pub fn answered(&mut self, peer: &str) {
        self.waiting.remove(peer);
        self.answered = true;
    }

    /// Records that a peer cannot be reached or recovers itself.
    pub fn unreachable(&mut self, peer: &str) {
        self.waiting.remove(peer);
    }

    /// Records that all sections in the store have arrived; no peer holds a higher revision.
    pub fn read_store(&mut self) {
        self.waiting.clear();
        self.answered = true;
    }

    /// Returns what was collected once the store or every reachable peer answered, or hands the recovery back.
    ///
    /// The process serves after it has staged and applied these sections.
    pub fn collected(self) -> Result<Revisions, Self> {
        if self.answered && self.waiting.is_empty() {
            return Ok(self.revisions);
        }
        Err(self)
    }
}

fn raise(revisions: &mut BTreeMap<SectionName, Revision>, section: &str, to: Revision) -> bool {
    if to <= revisions.get(section).copied().unwrap_or(0) {
        return false;
    }
    revisions.insert(section.into(), to);
    true
}
