//! Configuration revisions: a section is applied only when its revision rises.

use std::collections::{BTreeMap, BTreeSet};

use model::{Revision, SectionName};

/// The revision of each section that a process has in force.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Revisions {
    applied: BTreeMap<SectionName, Revision>,
}

impl Revisions {
    /// Records a section at a revision and returns true if the revision rises; otherwise the section must be ignored.
    pub fn admit(&mut self, section: &str, revision: Revision) -> bool {
        if revision <= self.of(section) {
            return false;
        }
        self.applied.insert(section.into(), revision);
        true
    }

    /// Returns the revision of a section, 0 if it was never seen.
    pub fn of(&self, section: &str) -> Revision {
        self.applied.get(section).copied().unwrap_or(0)
    }

    /// Returns the highest revision of all sections.
    pub fn highest(&self) -> Revision {
        self.applied.values().copied().max().unwrap_or(0)
    }

    /// Returns the revision of each section, for `HighestRevision`.
    pub fn sections(&self) -> impl Iterator<Item = (&SectionName, Revision)> {
        self.applied
            .iter()
            .map(|(name, revision)| (name, *revision))
    }
}

/// Names a process that is asked for, or told of, revisions.
pub type PeerId = Box<str>;

/// A section from the store that this process has not applied yet.
///
/// VMs have no disks, so a process that applies a revision which nobody else has seen falls back when it restarts during
/// a store outage. It therefore first passes the section on to its peers.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Staged {
    section: SectionName,
    revision: Revision,
    waiting: BTreeSet<PeerId>,
}

impl Staged {
    /// Stages a section that is being sent to `peers`.
    pub fn new(section: &str, revision: Revision, peers: impl IntoIterator<Item = PeerId>) -> Self {
        Self {
            section: section.into(),
            revision,
            waiting: peers.into_iter().collect(),
        }
    }

    /// Returns the section and its revision.
    pub fn section(&self) -> (&str, Revision) {
        (&self.section, self.revision)
    }

    /// Records that a peer has this revision or a higher one, or that it cannot be reached.
    pub fn settled(&mut self, peer: &str) {
        self.waiting.remove(peer);
    }

    /// Applies the section once every peer has it or cannot be reached, or hands it back.
    pub fn apply(self, revisions: &mut Revisions) -> Result<bool, Self> {
        if !self.waiting.is_empty() {
            return Err(self);
        }
        Ok(revisions.admit(&self.section, self.revision))
    }
}

/// A process that started and does not serve yet.
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

    /// Applies a section from the store or from a peer and returns whether its revision rises.
    pub fn admit(&mut self, section: &str, revision: Revision) -> bool {
        self.revisions.admit(section, revision)
    }

    /// Returns the revisions collected so far, which a peer that recovers too may ask for.
    pub fn revisions(&self) -> &Revisions {
        &self.revisions
    }

    /// Records that all sections of a serving peer were admitted.
    pub fn answered(&mut self, peer: &str) {
        self.waiting.remove(peer);
        self.answered = true;
    }

    /// Records that a peer cannot be reached or recovers itself.
    pub fn unreachable(&mut self, peer: &str) {
        self.waiting.remove(peer);
    }

    /// Records that all sections in the store were admitted; the store has the highest revisions.
    pub fn read_store(&mut self) {
        self.waiting.clear();
        self.answered = true;
    }

    /// Lets the process serve once the store or every reachable peer answered, or hands the recovery back.
    pub fn serve(self) -> Result<Revisions, Self> {
        if self.answered && self.waiting.is_empty() {
            return Ok(self.revisions);
        }
        Err(self)
    }
}
