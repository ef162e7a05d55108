//! Polls of the worker: one regular poll at a time, and extra ones in between.

use std::fmt::Display;
use std::sync::Arc;
use std::time::Duration;

use errors::{ErrorKind, Result};
use model::Epoch;

use crate::agent::actor::{Actor, Event};
use crate::agent::worker_client::{PollReply, PollRequest};
use crate::clock::boot_now;
use crate::supervise;

/// How long the worker may delay the reply to a poll until a run ends. Each poll renews the leases.
const POLL_WAIT: Duration = Duration::from_secs(1);
/// Added to the wait of a poll to get its timeout.
const POLL_TIMEOUT_MARGIN: Duration = Duration::from_millis(500);
/// Delay after a failed poll.
const POLL_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Delay between probes, so that a sender that announces all the time causes few of them.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// What a poll was sent for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PollKind {
    /// Sent after the previous regular poll has ended.
    Regular,
    /// Sent because of an order, an owner or a trial.
    Extra,
    /// Sent to learn which incarnation answers; at most one is in flight.
    Probe,
}

/// Progress of the probes.
#[derive(Debug, Default)]
pub(super) struct Probes {
    in_flight: bool,
    /// When the latest probe was sent.
    sent_at: Option<Duration>,
    /// Whether the next probe is scheduled.
    scheduled: bool,
    /// Since when the regular poll waits for a probe.
    regular_poll_since: Option<Duration>,
}

impl Actor {
    /// Sends the regular poll. A probe goes first if it is not certain which incarnation the poll reaches, because each one
    /// numbers its ends anew.
    pub(super) fn poll_regularly(&mut self) {
        if self.state.is_answering() && !self.state.knows_incarnation() {
            self.probes.regular_poll_since = Some(boot_now());
            self.probe();
            return;
        }
        let acknowledged = self.acknowledgeable();
        self.send_regular_poll(acknowledged);
    }

    /// Polls the worker at once, in between the regular polls. An extra poll acknowledges nothing: it may reach a new
    /// incarnation while a regular one still waits for the previous one.
    pub(super) fn poll_extra(&mut self) {
        self.send_poll(None, 0, PollKind::Extra);
    }

    /// Probes which incarnation answers, if that is needed and no probe is in flight or scheduled.
    pub(super) fn probe_if_needed(&mut self) {
        let next_at = self.probes.sent_at.map(|sent_at| sent_at + PROBE_INTERVAL);
        let delay = next_at.unwrap_or_default().saturating_sub(boot_now());
        if delay.is_zero() && self.state.awaits_probe() && !self.probes.scheduled {
            self.probe();
        }
        self.schedule_probe(delay);
    }

    pub(super) fn handle_probe_due(&mut self) {
        self.probes.scheduled = false;
        self.probe_if_needed();
    }

    fn probe(&mut self) {
        if !self.probes.in_flight {
            self.probes.in_flight = true;
            self.probes.sent_at = Some(boot_now());
            self.send_poll(None, 0, PollKind::Probe);
        }
    }

    fn acknowledgeable(&self) -> u64 {
        if self.state.is_answering() {
            self.state.acknowledged
        } else {
            0
        }
    }

    fn send_regular_poll(&mut self, acknowledged: u64) {
        let wait = self.state.is_answering().then_some(POLL_WAIT);
        self.send_poll(wait, acknowledged, PollKind::Regular);
    }

    fn send_poll(&mut self, wait: Option<Duration>, acknowledged: u64, kind: PollKind) {
        let now = boot_now();
        let request = PollRequest {
            until: self.state.lease_end(now),
            epoch: self.state.epoch,
            acknowledged,
            wait,
        };
        let client = Arc::clone(&self.client);
        let tx = self.tx.clone();
        tokio::spawn(async move {
            let timeout = request.wait.unwrap_or_default() + POLL_TIMEOUT_MARGIN;
            let poll = supervise::catch_panic("poll", client.poll(&request, timeout)).await;
            let event = Event::Polled {
                result: poll.flatten(),
                epoch: request.epoch,
                requested_at: now,
                kind,
            };
            // The send fails only if the agent has ended.
            let _ = tx.send(event).await;
        });
    }

    pub(super) fn handle_poll_result(
        &mut self,
        result: Result<PollReply>,
        epoch: Epoch,
        requested_at: Duration,
        kind: PollKind,
    ) {
        let retry_delay = match result {
            Ok(reply) => self.handle_poll_reply(reply, epoch, requested_at),
            Err(report) => {
                let error = report.current_context();
                // Nothing listens at the address of the worker.
                let is_refused = error.kind == ErrorKind::NotFound;
                self.handle_failed_poll(is_refused, error, kind);
                Some(POLL_RETRY_DELAY)
            }
        };
        match kind {
            PollKind::Regular => match retry_delay {
                None => self.poll_regularly(),
                Some(delay) => self.send_after(delay, Event::PollDue),
            },
            PollKind::Extra => {}
            PollKind::Probe => self.end_probe(requested_at),
        }
        self.schedule_probe(retry_delay.unwrap_or(PROBE_INTERVAL));
    }

    /// Applies the reply to a poll; returns the delay of the next regular poll, if it has to wait.
    fn handle_poll_reply(
        &mut self,
        reply: PollReply,
        epoch: Epoch,
        requested_at: Duration,
    ) -> Option<Duration> {
        let fenced = reply.fenced;
        if fenced {
            log::warn!(target: "limpethook", epoch = epoch; "worker_rejected_epoch");
        }
        let outcome = self
            .state
            .apply_poll(reply, epoch, requested_at, boot_now());
        self.report_due |= outcome.has_changes;
        self.record_worker_result(true, &"poll answered");
        if outcome.accepted && self.state.is_answering() {
            self.resume_orders(requested_at);
        }
        fenced.then_some(POLL_RETRY_DELAY)
    }

    fn handle_failed_poll(&mut self, is_refused: bool, error: &dyn Display, kind: PollKind) {
        let now = boot_now();
        self.state.record_failed_poll(now);
        match kind {
            PollKind::Regular if is_refused => {
                self.state.record_refused_connection(now);
                self.report_due = true;
            }
            PollKind::Regular => self.state.record_unanswered_poll(),
            // A new owner waits for the confirmation, or starts wait for the incarnation of the worker, and the next regular
            // poll may take another second.
            PollKind::Extra => self.state.request_probe(now),
            PollKind::Probe => {}
        }
        self.await_lapse(now);
        self.record_worker_result(false, error);
    }

    /// Continues after a probe: sends the regular poll that waited for it. Only a probe from after that time tells which
    /// incarnation the poll reaches.
    fn end_probe(&mut self, requested_at: Duration) {
        self.probes.in_flight = false;
        let Some(since) = self.probes.regular_poll_since else {
            return;
        };
        if requested_at < since && self.state.is_answering() {
            self.probe();
            return;
        }
        self.probes.regular_poll_since = None;
        let acknowledged = self.acknowledgeable();
        self.send_regular_poll(acknowledged);
    }

    fn schedule_probe(&mut self, delay: Duration) {
        if self.state.awaits_probe() && !self.probes.scheduled && !self.probes.in_flight {
            self.probes.scheduled = true;
            self.send_after(delay, Event::ProbeDue);
        }
    }

    /// Schedules the report of the time at which all leases have lapsed while the worker does not answer.
    pub(super) fn await_lapse(&mut self, now: Duration) {
        if self.lapse_awaited || !self.state.awaits_lapse() {
            return;
        }
        self.lapse_awaited = true;
        let left = self.state.lapse_at().saturating_sub(now);
        self.send_after(left + Duration::from_millis(1), Event::LapseDue);
    }

    pub(super) fn handle_lapse_due(&mut self) {
        let now = boot_now();
        self.lapse_awaited = false;
        self.report_due |= self.state.record_lapse(now);
        self.await_lapse(now);
    }

    /// Records whether the worker answered a poll and logs changes.
    fn record_worker_result(&self, answered: bool, detail: &dyn Display) {
        let Some(change) = self.worker_availability.record(answered) else {
            return;
        };
        log::warn!(
            target: "limpethook",
            dependency = "worker", change = change, worker:% = self.state.name, detail:% = detail;
            "dependency"
        );
    }
}
