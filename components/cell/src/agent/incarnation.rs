//! Incarnations of the worker: what the agent knows is true of one process of the worker, and another one may answer the
//! next call before the agent learns of it.

use std::sync::Arc;
use std::time::Duration;

use model::{Incarnation, ResourceVector, StartOrder, TaskRun};
use tokio_util::sync::CancellationToken;

use crate::agent::Announcement;
use crate::agent::sightings::Sightings;
use crate::agent::state::{DeferredStart, OUTCOME_RETENTION, OrderState, State};

/// Maximum number of rejected names that are kept.
const MAX_REJECTED_NAMES: usize = 16;
/// Maximum number of other services that are logged.
const MAX_LOGGED_SERVICES: usize = 16;

impl State {
    /// Applies an announcement; returns whether the owner has to learn of a change.
    ///
    /// It describes the worker only if a poll has named its incarnation; otherwise it asks for a poll. One that names another
    /// service names no worker to use.
    pub(crate) fn apply_announcement(&mut self, announcement: Announcement, now: Duration) -> bool {
        if !self.is_own_service(&announcement) {
            return false;
        }
        if self.incarnation != Some(announcement.incarnation) {
            self.candidates.insert(announcement, now);
            return false;
        }
        announcement.sequence > self.sequence
            && self.is_own_name(&announcement)
            && self.describe(announcement, now)
    }

    /// Returns whether an announcement of the present process names the worker as the ones before, because a process keeps its
    /// name. The first one may have another sender; then the worker rejects its name.
    fn is_own_name(&self, announcement: &Announcement) -> bool {
        let is_own = !self.rejected_names.contains(&announcement.name)
            && (self.sequence == 0 || self.name == announcement.name);
        if !is_own {
            log::warn!(
                target: "limpethook",
                worker:% = self.name, announced:% = announcement.name, sequence = announcement.sequence;
                "announcement_of_other_name"
            );
        }
        is_own
    }

    /// Records that the worker rejected a call because of the name that it stated. Whoever announced it, the next announcement
    /// under another name counts, whatever its number.
    pub(crate) fn reject_name(&mut self, name: &str) {
        if *self.name != *name || name.is_empty() {
            return;
        }
        log::warn!(target: "limpethook", worker = name; "name_rejected");
        if self.rejected_names.len() >= MAX_REJECTED_NAMES {
            self.rejected_names.shift_remove_index(0);
        }
        self.rejected_names.insert(name.into());
        self.name = Box::default();
        self.sequence = 0;
    }

    /// Returns whether an announcement names the configured service; logs each other service once.
    fn is_own_service(&mut self, announcement: &Announcement) -> bool {
        let (own, announced) = (&self.settings.service, &announcement.service);
        if own.is_empty() || own == announced {
            return true;
        }
        if self.unknown_services.len() < MAX_LOGGED_SERVICES
            && self.unknown_services.insert(announced.clone())
        {
            log::warn!(
                target: "limpethook",
                worker:% = announcement.name, service:% = announced, configured:% = own;
                "announcement_of_other_service"
            );
        }
        false
    }

    /// Asks for a poll.
    pub(crate) fn request_probe(&mut self, now: Duration) {
        self.probe_requested_at = self.probe_requested_at.max(Some(now));
    }

    /// Returns whether a poll is needed in between the regular ones.
    pub(crate) fn awaits_probe(&self) -> bool {
        self.probe_requested_at.is_some() || !self.candidates.is_empty()
    }

    /// Adopts what the present incarnation says of itself; returns whether the owner has to learn of a change.
    fn describe(&mut self, announcement: Announcement, now: Duration) -> bool {
        let before = (self.capacity, self.is_draining());
        self.sequence = announcement.sequence;
        self.name = announcement.name;
        self.service = announcement.service;
        self.capacity = announcement.capacity;
        self.labels = announcement.labels;
        self.leaves_at = announcement.draining.map(|left| now + left);
        self.cold_until = now + announcement.cold_remaining;
        before != (self.capacity, self.is_draining())
    }

    /// Resets the state because the worker has another incarnation than before.
    ///
    /// The agent learns of a new incarnation only some time after it began, and the answer to a start does not tell which
    /// incarnation gave it. What the previous incarnation is not known to have run is kept until a poll shows whether the
    /// new one runs it. `found` are the runs that the new one is known to have.
    pub(super) fn begin(&mut self, incarnation: Incarnation, found: &[TaskRun], now: Duration) {
        self.record_crash(found);
        log::info!(
            target: "limpethook",
            incarnation = incarnation, before = self.incarnation.unwrap_or(0),
            listed = self.listed.len(), found = found.len();
            "worker_began"
        );
        if self.incarnation.is_some() {
            // The capacity of a new incarnation is not known before it announces itself.
            self.capacity = ResourceVector::default();
        }
        self.incarnation = Some(incarnation);
        self.sequence = 0;
        self.rejected_names.clear();
        self.confirmed_epoch = 0;
        self.acknowledged = 0;
        self.clock_sample = None;
        self.last_poll_at = None;
        self.newest_list = None;
        self.lists_complete = false;
        self.refused_connections = 0;
        self.start_retries
            .values()
            .for_each(CancellationToken::cancel);
        self.unanswered_starts
            .retain(|_, since| now < *since + OUTCOME_RETENTION);
        let (listed, ended) = (self.listed_runs(), self.ended_runs());
        self.orders.retain(|run, (order, _)| {
            // An attempt in flight may reach the new incarnation, even if the run was stopped in the previous one.
            if self.start_retries.contains_key(run) {
                *order = OrderState::Starting;
                return true;
            }
            *order == OrderState::Started && !listed.contains(run) && !ended.contains(run)
        });
        self.stray_starts = self.unanswered_starts.keys().copied().collect();
        for run in &self.stray_starts {
            let unanswered = (OrderState::Unanswered, now);
            self.orders.entry(*run).or_insert(unanswered);
        }
        if !self.orders.is_empty() {
            log::info!(
                target: "limpethook",
                incarnation = incarnation, runs = self.orders.len(), unanswered = self.stray_starts.len();
                "runs_unlocated"
            );
        }
        // The owner addressed these starts to the previous incarnation.
        self.deferred_starts.clear();
        self.listed.clear();
        self.ends.clear();
        self.leaving = false;
        self.leaves_at = None;
        self.cold_until = Duration::ZERO;
        self.sightings = Sightings::default();
        self.crashed = false;
        self.trials.clear();
    }

    /// Applies the announcement of the incarnation that answered a poll, and drops those that the poll contradicts.
    pub(super) fn apply_candidates(
        &mut self,
        polled: Incarnation,
        requested_at: Duration,
        now: Duration,
    ) -> bool {
        self.probe_requested_at
            .take_if(|needed_since| *needed_since <= requested_at);
        let own = self.candidates.take(polled);
        self.candidates.drop_contradicted(requested_at, polled);
        own.is_some_and(|own| own.sequence > self.sequence && self.describe(own, now))
    }

    /// Takes the runs that the current incarnation has to reject, once a poll has shown that it does not run them.
    pub(crate) fn take_stray_starts(&mut self) -> Vec<TaskRun> {
        if self.last_poll_at.is_none() || !self.lists_complete {
            return Vec::new();
        }
        let mut runs = std::mem::take(&mut self.stray_starts);
        let listed = self.listed_runs();
        runs.retain(|run| !listed.contains(run));
        runs
    }

    /// Records that a poll was not answered. That proves nothing about the process that answered before, but another one may
    /// answer the next call: until then, nothing is started, and no lease is renewed and no end acknowledged by what the
    /// previous one has told.
    pub(crate) fn record_failed_poll(&mut self, now: Duration) {
        self.poll_failed_at = now;
        self.clock_sample = None;
    }

    /// Returns whether the worker answered the latest poll.
    pub(crate) fn is_answering(&self) -> bool {
        self.clock_sample.is_some()
    }

    /// Returns whether the incarnation that the next call reaches is the one that is known.
    pub(crate) fn knows_incarnation(&self) -> bool {
        self.is_answering() && self.candidates.is_empty()
    }

    /// Keeps a start until a poll shows which incarnation it reaches. A start on a worker that was reported as absent is
    /// dropped, because the owner places the task elsewhere.
    pub(crate) fn defer_start(
        &mut self,
        order: StartOrder,
        body: Arc<str>,
        expires_at: Duration,
        now: Duration,
    ) {
        if self.absent_since.is_some() {
            return;
        }
        let run = order.run;
        let deferred = DeferredStart {
            order,
            body,
            received_at: now,
            expires_at,
        };
        self.deferred_starts.insert(run, deferred);
    }

    /// Takes the starts that waited for a poll which was sent at `requested_at`. Announcements that arrived since don't hold
    /// them up: other senders may announce all the time. Starts whose orders are no longer valid are dropped; the owner repeats
    /// its orders every 0.6 s while they are wanted.
    pub(crate) fn take_deferred_starts(
        &mut self,
        requested_at: Duration,
        now: Duration,
    ) -> Vec<DeferredStart> {
        self.deferred_starts
            .retain(|_, start| now <= start.expires_at);
        let all = self.candidates.is_empty();
        let is_due =
            |_: &TaskRun, start: &mut DeferredStart| all || start.received_at <= requested_at;
        let due = self.deferred_starts.extract_if(.., is_due);
        due.map(|(_, start)| start).collect()
    }

    /// Forgets a start that waits for a poll.
    pub(crate) fn forget_deferred_start(&mut self, run: TaskRun) {
        self.deferred_starts.swap_remove(&run);
    }
}
