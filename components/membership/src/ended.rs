//! Gangs that ended at an agent, so that late or repeated messages cannot revive them.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use model::GangId;

/// How long an ended gang is remembered; no message is expected to arrive later than this.
pub(crate) const ENDED_RETENTION: Duration = Duration::from_mins(10);

/// How many ended gangs are remembered; at the limit the agent takes no further reservations.
pub(crate) const ENDED_LIMIT: usize = 65_536;

/// The gangs that ended within the retention.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(crate) struct Ended {
    at: BTreeMap<GangId, Instant>,
    order: VecDeque<GangId>,
}

impl Ended {
    pub(crate) fn contains(&self, gang: GangId) -> bool {
        self.at.contains_key(&gang)
    }

    pub(crate) fn is_full(&self) -> bool {
        self.order.len() >= ENDED_LIMIT
    }

    /// Records an end and returns false if the gang had ended before.
    pub(crate) fn insert(&mut self, gang: GangId, now: Instant) -> bool {
        if self.contains(gang) {
            return false;
        }
        self.at.insert(gang, now);
        self.order.push_back(gang);
        true
    }

    /// Forgets what ended before the retention.
    pub(crate) fn forget(&mut self, now: Instant) {
        while let Some(gang) = self.order.front() {
            if self.at[gang] + ENDED_RETENTION > now {
                break;
            }
            self.at.remove(gang);
            self.order.pop_front();
        }
    }
}
