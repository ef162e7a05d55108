//! Gangs that ended at an agent, so that late or repeated messages cannot revive them.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use model::GangId;

/// How long an ended gang is remembered at least; no message is expected to arrive later than this.
pub(crate) const ENDED_RETENTION: Duration = Duration::from_mins(10);

/// How many ended gangs are remembered; at the limit the agent takes no further reservations.
pub(crate) const ENDED_LIMIT: usize = 65_536;

/// Ended gangs in two generations; the older one is dropped as a whole, so that no time is kept for each gang.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Ended {
    current: BTreeSet<GangId>,
    previous: BTreeSet<GangId>,
    since: Instant,
}

impl Ended {
    pub(crate) fn start(now: Instant) -> Self {
        Self {
            current: BTreeSet::new(),
            previous: BTreeSet::new(),
            since: now,
        }
    }

    pub(crate) fn contains(&self, gang: GangId) -> bool {
        self.current.contains(&gang) || self.previous.contains(&gang)
    }

    pub(crate) fn is_full(&self) -> bool {
        self.current.len() + self.previous.len() >= ENDED_LIMIT
    }

    /// Records an end and returns false if the gang had ended before.
    pub(crate) fn insert(&mut self, gang: GangId) -> bool {
        !self.contains(gang) && self.current.insert(gang)
    }

    /// Begins a new generation after each retention and forgets the one before the last.
    pub(crate) fn forget(&mut self, now: Instant) {
        if now < self.since + ENDED_RETENTION {
            return;
        }
        self.previous = std::mem::take(&mut self.current);
        self.since = now;
    }
}
