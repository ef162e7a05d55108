//! What proves that nothing runs on the worker any more: the end of its process, or the end of all its leases.

use std::time::Duration;

use graph::lapse_after;

use crate::agent::sightings::Sightings;
use crate::agent::state::{OrderState, State};

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

    /// Returns when everything that the worker ran has ended, unless it answers a poll before or gets another renewal. The
    /// worker shortens a longer lease to the maximum, which covers leases from an earlier process of this agent, and those
    /// that the clock of a previous process of the worker had measured.
    pub(crate) fn lapse_at(&self) -> Duration {
        let longest = lapse_after(self.settings.max_lease);
        let answered_at = self.last_reply_at.max(self.started_at);
        self.leases_expire_at.max(answered_at + longest)
    }

    /// Returns whether the end of the leases has to be awaited: the worker does not answer and is not known to be absent.
    pub(crate) fn awaits_lapse(&self) -> bool {
        !self.is_answering() && self.absent_since.is_none()
    }

    /// Records that all leases have lapsed while the worker answered no poll; returns whether that is so. A lapse is no
    /// crash: it blames no run.
    pub(crate) fn record_lapse(&mut self, now: Duration) -> bool {
        if !self.awaits_lapse() || now <= self.lapse_at() {
            return false;
        }
        log::warn!(
            target: "limpethook",
            incarnation = self.incarnation.unwrap_or(0), listed = self.listed.len(),
            unanswered_ms = now.saturating_sub(self.last_reply_at.max(self.started_at)).as_millis();
            "leases_lapsed"
        );
        self.sightings = Sightings::default();
        self.trials.clear();
        for (order, changed_at) in self.orders.values_mut() {
            // The worker refuses a start after the end of its lease.
            if *order == OrderState::Unanswered {
                (*order, *changed_at) = (OrderState::Gone, now);
            }
        }
        self.record_absence(now);
        true
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
