//! What proves that nothing runs on the worker any more: the end of its process.

use std::time::Duration;

use crate::agent::state::State;

/// Number of consecutive refused regular polls after which the worker process counts as gone, and its runs with it.
const ABSENT_AFTER_REFUSALS: u32 = 2;

impl State {
    /// Records that a regular poll was refused: nothing listens at the address of the worker. A regular poll is sent only
    /// after the one before has ended, so that none is open at a process that lives on; extra polls don't count, because a
    /// regular one may be open beside them.
    pub(crate) fn record_refused_connection(&mut self, now: Duration) {
        self.refused_connections = self.refused_connections.saturating_add(1);
        if self.refused_connections >= ABSENT_AFTER_REFUSALS && self.absent_since.is_none() {
            self.record_crash(&[]);
            self.record_absence(now);
        }
    }

    /// Records that a regular poll failed in another way, which proves nothing.
    pub(crate) fn record_unanswered_poll(&mut self) {
        self.refused_connections = 0;
    }

    fn record_absence(&mut self, now: Duration) {
        self.absent_since = Some(now);
        // The owner places these tasks elsewhere once it learns that the worker is absent.
        self.deferred_starts.clear();
    }

    /// Returns whether nothing can be running on the worker any more.
    pub(super) fn is_absent(&self, now: Duration) -> bool {
        let lapsed = self.leases_expire_at > Duration::ZERO
            && now > self.leases_expire_at
            && self.listed.is_empty();
        self.absent_since.is_some() || (self.leaving && lapsed)
    }
}
