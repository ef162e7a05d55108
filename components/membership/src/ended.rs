//! Gangs that ended at an agent, recorded so that late or repeated messages cannot start them again.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use model::GangId;

/// Minimum time for which an ended gang stays recorded; no message is expected to arrive later than this.
pub(crate) const ENDED_RETENTION: Duration = Duration::from_mins(10);

/// Maximum number of recorded gangs; at the limit the agent refuses new reservations.
pub(crate) const ENDED_LIMIT: usize = 65_536;

/// Ended gangs in two generations; the older one is dropped as a whole, so that no time is stored for each gang.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct EndedGangs {
    current: BTreeSet<GangId>,
    previous: BTreeSet<GangId>,
    generation_start: Instant,
}

impl EndedGangs {
    pub(crate) fn start(now: Instant) -> Self {
        Self {
            current: BTreeSet::new(),
            previous: BTreeSet::new(),
            generation_start: now,
        }
    }

    pub(crate) fn contains(&self, gang: GangId) -> bool {
        self.current.contains(&gang) || self.previous.contains(&gang)
    }

    pub(crate) fn is_full(&self) -> bool {
        self.current.len() + self.previous.len() >= ENDED_LIMIT
    }

    /// Records the end of a gang and returns false if it was already recorded.
    pub(crate) fn insert(&mut self, gang: GangId) -> bool {
        !self.contains(gang) && self.current.insert(gang)
    }

    /// Starts a new generation every `ENDED_RETENTION` and drops the one before the previous.
    pub(crate) fn rotate(&mut self, now: Instant) {
        if now < self.generation_start + ENDED_RETENTION {
            return;
        }
        self.previous = std::mem::take(&mut self.current);
        self.generation_start = now;
    }
}
