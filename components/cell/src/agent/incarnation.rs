//! Incarnations of the worker: what the agent knows is true of one process of the worker, and another one may answer the
//! next call before the agent learns of it.

use std::time::Duration;

use indexmap::IndexMap;
use model::{Incarnation, ResourceVector, StartOrder, TaskRun};
use tokio_util::sync::CancellationToken;

use crate::agent::Announcement;
use crate::agent::sightings::Sightings;
use crate::agent::state::{ABSENT_AFTER_REFUSALS, OUTCOME_RETENTION, OrderState, State};

impl State {
    /// Applies an announcement; returns whether the owner has to learn of a change.
    ///
    /// The first announcement of a new incarnation only asks for a poll, which shows what runs there.
    pub(crate) fn apply_announcement(&mut self, announcement: Announcement, now: Duration) -> bool {
        match self.incarnation {
            Some(own) if announcement.incarnation < own => false,
            Some(own) if announcement.incarnation > own => {
                let known = self.unpolled_announcement.as_ref();
                if known.is_none_or(|(known, _)| known.incarnation <= announcement.incarnation) {
                    self.unpolled_announcement = Some((announcement, now));
                }
                false
            }
            Some(_) if announcement.sequence <= self.sequence => false,
            _ => self.describe(announcement, "announcement", now),
        }
    }

    /// Returns whether a new incarnation has announced itself that was not polled yet.
    pub(crate) fn awaits_poll(&self) -> bool {
        self.unpolled_announcement.is_some()
    }

    /// Adopts the incarnation of an announcement, and what it says; returns whether the owner has to learn of a change.
    fn describe(&mut self, announcement: Announcement, evidence: &str, now: Duration) -> bool {
        let before = (self.incarnation, self.capacity, self.is_draining());
        self.begin(announcement.incarnation, evidence, &[], now);
        self.sequence = announcement.sequence;
        self.name = announcement.name;
        self.service = announcement.service;
        self.capacity = announcement.capacity;
        self.labels = announcement.labels;
        self.leaves_at = announcement.draining.map(|left| now + left);
        before != (self.incarnation, self.capacity, self.is_draining())
    }

    /// Resets the state if the worker has another incarnation than before.
    ///
    /// The agent learns of a new incarnation only some time after it began, and the answer to a start does not tell which
    /// incarnation gave it. What the previous incarnation is not known to have run is kept until a poll shows whether the
    /// new one runs it. `evidence` says for the log what showed the change. `found` are the runs that the new one is known to
    /// have.
    pub(super) fn begin(
        &mut self,
        incarnation: Incarnation,
        evidence: &str,
        found: &[TaskRun],
        now: Duration,
    ) {
        if self.incarnation == Some(incarnation) {
            return;
        }
        self.record_crash(found);
        log::info!(
            target: "limpethook",
            incarnation = incarnation, before = self.incarnation.unwrap_or(0), evidence = evidence,
            listed = self.listed.len(), found = found.len();
            "worker_began"
        );
        if self.incarnation.is_some() {
            // The capacity of a new incarnation is not known before it announces itself.
            self.capacity = ResourceVector::default();
        }
        self.incarnation = Some(incarnation);
        self.sequence = 0;
        self.confirmed_epoch = 0;
        self.acknowledged = 0;
        self.clock_sample = None;
        self.last_poll_at = None;
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
        self.sightings = Sightings::default();
        self.crashed = false;
        self.trials.clear();
    }

    /// Applies the announcement that waited for a poll, if the incarnation that answered sent it. An announcement from before
    /// the poll whose incarnation does not answer has another sender.
    pub(super) fn apply_polled_announcement(
        &mut self,
        requested_at: Duration,
        now: Duration,
    ) -> bool {
        let own = self.incarnation;
        let polled = self
            .unpolled_announcement
            .take_if(|(announcement, received_at)| {
                Some(announcement.incarnation) <= own || requested_at >= *received_at
            });
        let Some((announcement, _)) = polled else {
            return false;
        };
        if Some(announcement.incarnation) != own {
            log::warn!(
                target: "limpethook",
                worker:% = announcement.name, service:% = announcement.service, incarnation = announcement.incarnation,
                polled = own.unwrap_or(0);
                "announcement_dropped"
            );
            return false;
        }
        self.describe(announcement, "poll", now)
    }

    /// Takes the runs that the current incarnation has to reject, once a poll has shown that it does not run them.
    pub(crate) fn take_stray_starts(&mut self) -> Vec<TaskRun> {
        if self.last_poll_at.is_none() {
            return Vec::new();
        }
        let mut runs = std::mem::take(&mut self.stray_starts);
        let listed = self.listed_runs();
        runs.retain(|run| !listed.contains(run));
        runs
    }

    /// Records that a poll was not answered. Another incarnation may answer the next one: until then, nothing is started,
    /// and no lease is renewed and no end acknowledged by what the previous one has told. Returns whether the owner has to
    /// learn of a change: a new incarnation that does not answer has ended the runs of the previous one, too.
    pub(crate) fn record_failed_poll(&mut self, now: Duration) -> bool {
        self.poll_failed_at = now;
        self.clock_sample = None;
        let announcement = self.unpolled_announcement.take();
        announcement.is_some_and(|(announcement, _)| {
            self.describe(announcement, "announcement before a failed poll", now)
        })
    }

    /// Returns whether the incarnation that the next call reaches is the one that is known.
    pub(crate) fn knows_incarnation(&self) -> bool {
        self.clock_sample.is_some() && !self.awaits_poll()
    }

    /// Returns up to which end the worker may forget ends: none while the incarnation that answers is not known, because
    /// each one numbers its ends anew.
    pub(crate) fn acknowledgeable(&self) -> u64 {
        if self.knows_incarnation() {
            self.acknowledged
        } else {
            0
        }
    }

    /// Keeps a start until a poll shows which incarnation it reaches. A start on a worker that was reported as absent is
    /// dropped, because the owner places the task elsewhere.
    pub(crate) fn defer_start(&mut self, order: StartOrder, body: Box<str>) {
        if self.refused_connections < ABSENT_AFTER_REFUSALS {
            self.deferred_starts.insert(order.run, (order, body));
        }
    }

    /// Takes the starts that waited for a poll.
    pub(crate) fn take_deferred_starts(&mut self) -> IndexMap<TaskRun, (StartOrder, Box<str>)> {
        std::mem::take(&mut self.deferred_starts)
    }

    /// Forgets a start that waits for a poll.
    pub(crate) fn forget_deferred_start(&mut self, run: TaskRun) {
        self.deferred_starts.swap_remove(&run);
    }
}
