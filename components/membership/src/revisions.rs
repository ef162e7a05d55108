//! Configuration revisions: a section is applied only if its revision is higher than the applied one.
//!
//! VMs have no disks, so a process that applied a revision which no other process has would fall back to an older one
//! if it restarted during a store outage. A process therefore first sends a section to its peers, which hold it, and
//! applies it once every peer holds it or is unreachable and at least one peer holds it. `HighestRevision` is answered
//! from the revisions that a process holds, not from those that it has applied.

use std::collections::{BTreeMap, BTreeSet};

use model::{Revision, SectionName};

/// Identifies a process that holds sections for this one.
pub type PeerId = Box<str>;

/// The revisions of the sections that a process holds and of those that it has applied.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Revisions {
    held: BTreeMap<SectionName, Revision>,
    applied: BTreeMap<SectionName, Revision>,
}

impl Revisions {
    /// Records that the process holds a section from a peer or the store; returns whether its revision is higher.
    pub fn hold(&mut self, section: &str, revision: Revision) -> bool {
        raise(&mut self.held, section, revision)
    }

    /// Records that a section is applied; returns false if its revision is not higher and it must be ignored.
    pub fn admit(&mut self, section: &str, revision: Revision) -> bool {
        self.hold(section, revision);
        raise(&mut self.applied, section, revision)
    }

    /// Returns the applied revision of a section, 0 if it was never applied.
    pub fn applied(&self, section: &str) -> Revision {
        self.applied.get(section).copied().unwrap_or(0)
    }

    /// Returns the highest applied revision.
    pub fn highest(&self) -> Revision {
        self.applied.values().copied().max().unwrap_or(0)
    }

    /// Returns the revision of each section that is held, for `HighestRevision`.
    pub fn held(&self) -> impl Iterator<Item = (&SectionName, Revision)> {
        self.held.iter().map(|(name, revision)| (name, *revision))
    }

    /// Returns the sections that are held at a higher revision than the applied one.
    pub fn pending(&self) -> BTreeMap<SectionName, Revision> {
        let pending = self
            .held()
            .filter(|(name, revision)| *revision > self.applied(name));
        pending
            .map(|(name, revision)| (name.clone(), revision))
            .collect()
    }
}

/// Sections that are being sent to the peers and are not applied yet.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct StagedSections {
    sections: BTreeMap<SectionName, Revision>,
    pending_peers: BTreeSet<PeerId>,
    /// Whether a peer holds the sections, or there are no peers.
    replicated: bool,
}

impl StagedSections {
    /// Stages the sections that `revisions` holds and has not applied.
    pub fn new(revisions: &Revisions, peers: impl IntoIterator<Item = PeerId>) -> Self {
        let pending_peers: BTreeSet<_> = peers.into_iter().collect();
        Self {
            sections: revisions.pending(),
            replicated: pending_peers.is_empty(),
            pending_peers,
        }
    }

    /// Returns the sections to send.
    pub fn sections(&self) -> &BTreeMap<SectionName, Revision> {
        &self.sections
    }

    /// Returns the peers that have not answered.
    pub fn pending_peers(&self) -> impl Iterator<Item = &PeerId> {
        self.pending_peers.iter()
    }

    /// Records that a peer holds these revisions or higher ones, which its answer lists.
    ///
    /// The caller first holds the revisions in the answer, because the peer may have been unreachable during recovery.
    pub fn record_held(&mut self, peer: &str) {
        self.replicated |= self.pending_peers.remove(peer);
    }

    /// Records that a peer is unreachable.
    pub fn record_unreachable(&mut self, peer: &str) {
        self.pending_peers.remove(peer);
    }

    /// Applies the sections if no peer is pending and returns those with a higher revision; otherwise returns `self`.
    ///
    /// If no peer was reachable, or the process now holds newer sections than the staged ones, the caller stages again.
    pub fn apply(self, revisions: &mut Revisions) -> Result<Vec<SectionName>, Self> {
        let complete = self.sections == revisions.pending();
        if !self.replicated || !complete || !self.pending_peers.is_empty() {
            return Err(self);
        }
        let updated = self.sections.into_iter().filter_map(|(name, revision)| {
            let higher = revisions.admit(&name, revision);
            higher.then_some(name)
        });
        Ok(updated.collect())
    }
}

/// The recovery of a process that has started and asks its peers for the sections that they hold.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Recovery {
    revisions: Revisions,
    pending_peers: BTreeSet<PeerId>,
    answered: bool,
}

impl Recovery {
    /// Starts a recovery that asks every known peer.
    pub fn start(peers: impl IntoIterator<Item = PeerId>) -> Self {
        Self {
            revisions: Revisions::default(),
            pending_peers: peers.into_iter().collect(),
            answered: false,
        }
    }

    /// Records that the process holds a section from the store or a peer.
    pub fn hold(&mut self, section: &str, revision: Revision) {
        self.revisions.hold(section, revision);
    }

    /// Records that all sections that a peer holds have arrived.
    pub fn record_answered(&mut self, peer: &str) {
        self.pending_peers.remove(peer);
        self.answered = true;
    }

    /// Records that a peer is unreachable or is itself recovering.
    pub fn record_unreachable(&mut self, peer: &str) {
        self.pending_peers.remove(peer);
    }

    /// Records that all sections in the store have arrived; no peer holds a higher revision.
    pub fn record_store_read(&mut self) {
        self.pending_peers.clear();
        self.answered = true;
    }

    /// Returns the held revisions if the store or every reachable peer has answered; otherwise returns `self`.
    ///
    /// The process serves after it has staged and applied these sections.
    pub fn finish(self) -> Result<Revisions, Self> {
        if self.answered && self.pending_peers.is_empty() {
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
