//! The lists of runs in the replies to polls: the worker's own word for what runs and what has ended.

use std::time::Duration;

use model::{EndReport, Epoch, Incarnation, TaskRun};

use crate::agent::state::{OUTCOME_RETENTION, OrderState, State};
use crate::agent::worker_client::{ListedRun, PollReply};

/// Maximum number of outcomes of orders that are kept; each is part of the reports. A repeated order whose outcome is not known is
/// sent again, and the worker refuses it if the run has ended.
const MAX_OUTCOMES: usize = 2048;

/// What came of the reply to a poll.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct PollOutcome {
    /// Whether the reply tells which process of the worker answers now.
    pub(crate) accepted: bool,
    /// Whether there are changes to report to the owner.
    pub(crate) has_changes: bool,
}

impl State {
    /// Applies the reply to a poll that was sent at `requested_at`.
    pub(crate) fn apply_poll(
        &mut self,
        reply: PollReply,
        epoch: Epoch,
        requested_at: Duration,
        now: Duration,
    ) -> PollOutcome {
        let Some(incarnation) = self.replying_incarnation(&reply) else {
            return PollOutcome::default();
        };
        if self.is_outdated(incarnation, requested_at) {
            log::info!(
                target: "limpethook",
                incarnation = incarnation, known = self.incarnation.unwrap_or(0);
                "poll_reply_ignored"
            );
            self.request_probe(now);
            return PollOutcome::default();
        }
        if self.is_overtaken(&reply, incarnation, requested_at) {
            if self.confirmed_epoch < epoch {
                self.request_probe(now);
            }
            return PollOutcome::default();
        }
        let has_changes = self.apply_latest_reply(reply, incarnation, epoch, requested_at, now);
        PollOutcome {
            accepted: true,
            has_changes,
        }
    }

    /// Returns the incarnation that gave a reply. A worker that states none has the number 0, as in its announcements; a
    /// rejected call of an unknown process tells nothing.
    fn replying_incarnation(&self, reply: &PollReply) -> Option<Incarnation> {
        let known = reply.incarnation.or(self.incarnation);
        known.or_else(|| (!reply.fenced).then_some(0))
    }

    /// Returns whether a reply is from before what is known: the worker was found absent after its poll was sent, or another
    /// incarnation answered meanwhile. The order of calls tells which process is the later one; the start times of
    /// processes don't, because the clock of day may go back.
    fn is_outdated(&self, incarnation: Incarnation, requested_at: Duration) -> bool {
        let is_other = self.incarnation.is_some_and(|own| own != incarnation);
        self.absent_since.is_some_and(|since| requested_at < since)
            || (is_other && requested_at < self.last_reply_at)
    }

    /// Returns whether a list from later, by the clock of the worker, is known. A fenced reply holds no list.
    fn is_overtaken(
        &self,
        reply: &PollReply,
        incarnation: Incarnation,
        requested_at: Duration,
    ) -> bool {
        self.incarnation == Some(incarnation)
            && self.newest_list.is_some_and(|(clock, received_at)| {
                requested_at < received_at && reply.clock <= clock
            })
    }

    fn apply_latest_reply(
        &mut self,
        reply: PollReply,
        incarnation: Incarnation,
        epoch: Epoch,
        requested_at: Duration,
        now: Duration,
    ) -> bool {
        if self.incarnation != Some(incarnation) {
            let running = reply.runs.iter().map(|listed| listed.run);
            let ended = reply.ends.iter().map(|end| end.run);
            let found: Vec<TaskRun> = running.chain(ended).collect();
            self.begin(incarnation, &found, now);
        }
        let returned = self.absent_since.take().is_some();
        self.refused_connections = 0;
        self.sightings.record_answer(now);
        self.last_reply_at = now;
        if requested_at >= self.poll_failed_at {
            self.clock_sample = Some((reply.clock, now));
        }
        let described = self.apply_candidates(incarnation, requested_at, now) || returned;
        if reply.fenced {
            return described;
        }
        self.apply_lists(reply, epoch, requested_at, now) || described
    }

    fn apply_lists(
        &mut self,
        reply: PollReply,
        epoch: Epoch,
        requested_at: Duration,
        now: Duration,
    ) -> bool {
        let last = |ends: &[EndReport]| ends.last().map(|end| end.sequence);
        let has_changes = self.confirmed_epoch < epoch
            || reply.complete != self.lists_complete
            || reply.ends.len() != self.ends.len()
            || last(&reply.ends) != last(&self.ends);
        self.confirmed_epoch = self.confirmed_epoch.max(epoch);
        self.last_poll_at = self.last_poll_at.max(Some(requested_at));
        self.newest_list = Some((reply.clock, now));
        let known = self.listed_runs();
        let run_appeared = reply.runs.iter().any(|listed| !known.contains(&listed.run));
        if reply.complete {
            self.sightings.record_listed(&reply.runs, requested_at, now);
        } else {
            self.sightings.record_incomplete(&reply.runs, now);
        }
        let unlisted = self.runs_kept_beside(&reply);
        self.listed = reply.runs;
        self.listed.extend(unlisted);
        self.ends = reply.ends;
        self.lists_complete = reply.complete;
        let outcome_reached = self.lists_complete && self.reconcile_orders(requested_at, now);
        self.forget_outcomes(now);
        let trial_ended = self.end_trials();
        has_changes || outcome_reached || run_appeared || trial_ended
    }

    /// Returns the runs that were listed before and that an incomplete list may have left out.
    fn runs_kept_beside(&self, reply: &PollReply) -> Vec<ListedRun> {
        if reply.complete {
            return Vec::new();
        }
        let is_named = |run: TaskRun| {
            reply.runs.iter().any(|listed| listed.run == run)
                || reply.ends.iter().any(|end| end.run == run)
        };
        let unlisted = self.listed.iter().filter(|listed| !is_named(listed.run));
        unlisted.cloned().collect()
    }

    /// Reconciles the orders with complete lists; returns whether an order reached its outcome.
    fn reconcile_orders(&mut self, requested_at: Duration, now: Duration) -> bool {
        let mut outcome_reached = false;
        let (listed_runs, ended_runs) = (self.listed_runs(), self.ended_runs());
        for (run, (order, changed_at)) in &mut self.orders {
            let known_at = match order {
                OrderState::Stopped(at) => *at,
                OrderState::Started => *changed_at,
                _ => continue,
            };
            let is_named = listed_runs.contains(run) || ended_runs.contains(run);
            if known_at <= requested_at && !is_named {
                *order = OrderState::Gone;
                *changed_at = now;
                outcome_reached = true;
            }
        }
        outcome_reached
    }

    /// Forgets the outcomes of orders after a while. A started run that no list names stays until a complete list has shown
    /// that it is gone.
    fn forget_outcomes(&mut self, now: Duration) {
        let (listed_runs, ended_runs) = (self.listed_runs(), self.ended_runs());
        let is_final = |run: &TaskRun, order: &OrderState| {
            let is_final = match order {
                OrderState::Refused(_) | OrderState::Gone => true,
                OrderState::Started => ended_runs.contains(run),
                _ => false,
            };
            is_final && !listed_runs.contains(run)
        };
        let finals = self.orders.iter();
        let finals = finals.filter(|(run, (order, _))| is_final(run, order));
        // The first ones are the oldest.
        let mut excess = finals.count().saturating_sub(MAX_OUTCOMES);
        self.orders.retain(|run, (order, changed_at)| {
            if !is_final(run, order) {
                return true;
            }
            let is_excess = excess > 0;
            excess = excess.saturating_sub(1);
            !is_excess && now < *changed_at + OUTCOME_RETENTION
        });
    }
}
