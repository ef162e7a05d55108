//! What proves that nothing runs on the worker any more: the end of its process, or the end of all its leases.

use std::time::Duration;

use graph::lapse_after;
use model::Refusal;

use crate::agent::sightings::Sightings;
use crate::agent::state::{OrderState, State};

/// Number of consecutive refused regular polls after which the worker counts as refusing connections.
const REFUSING_AFTER: u32 = 2;

impl State {
    /// Records that a regular poll was refused: nothing accepts connections at the address of the worker.
    ///
    /// That proves the end of a process that was draining and has sent its departure, or whose announced time has passed. Another
    /// process may have closed its listener, or something on the way may refuse in its place, so that its runs count as gone
    /// only when their leases have lapsed.
    pub(crate) fn record_refused_connection(&mut self, now: Duration) {
        self.refused_connections = self.refused_connections.saturating_add(1);
        if !self.is_refusing() || self.absent_since.is_some() {
            return;
        }
        self.refuse_deferred_starts(now);
        let has_left = self.leaves_at.is_some_and(|leaves_at| now >= leaves_at);
        if self.leaving || has_left {
            self.record_absence(now);
        }
    }

    /// Returns whether nothing accepts connections at the address of the worker.
    pub(crate) fn is_refusing(&self) -> bool {
        self.refused_connections >= REFUSING_AFTER
    }

    /// Refuses the starts that wait for a poll and were never sent, so that the owner places the tasks elsewhere.
    pub(crate) fn refuse_deferred_starts(&mut self, now: Duration) {
        let (orders, unanswered) = (&mut self.orders, &self.unanswered_starts);
        self.deferred_starts.retain(|run, start| {
            if start.order.repeated || unanswered.contains_key(run) || orders.contains_key(run) {
                return true;
            }
            let refused = OrderState::Refused(Refusal::Unhealthy);
            orders.insert(*run, (refused, now));
            false
        });
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

    /// Records that all leases have lapsed while the worker answered no poll; returns whether that is so. A worker that has
    /// refused connections until then has crashed; the silence of another one blames no run.
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
        if self.is_refusing() {
            self.record_crash(&[]);
        }
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
