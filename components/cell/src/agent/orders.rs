//! Orders of the owner to the worker: starts and stops.

use std::sync::Arc;
use std::time::Duration;

use errors::{Error, ErrorKind, Result, Verdict};
use graph::PROBATION;
use model::{Incarnation, Refusal, StartOrder, TaskRun};

use crate::agent::actor::{Actor, Event};
use crate::agent::state::OrderState;
use crate::agent::worker_client::{StartReply, StartRequest, WorkerClient};
use crate::clock::boot_now;
use crate::supervise;

/// Timeout of a start call. The members of a gang wait for each other for only a few seconds.
const START_TIMEOUT: Duration = Duration::from_millis(450);
/// Timeout of a stop call.
const STOP_TIMEOUT: Duration = Duration::from_millis(600);
/// Number of attempts to send a start before the owner has to decide again.
const MAX_START_ATTEMPTS: u32 = 3;
/// Delay before a failed start call is repeated.
const START_RETRY_DELAY: Duration = Duration::from_millis(80);

/// Result of all attempts to send a start.
pub(super) struct StartOutcome {
    /// Incarnation of the worker when the start was sent.
    sent_to: Option<Incarnation>,
    /// Name of the worker that the start stated.
    name: Box<str>,
    reply: Result<StartReply>,
    /// Whether an attempt was not answered, so that it may still be carried out.
    unanswered: bool,
}

impl Actor {
    /// Starts a task, once it is known which incarnation of the worker the start reaches.
    pub(super) fn start(&mut self, order: StartOrder, body: Arc<str>, expires_at: Duration) {
        let is_located = self.state.knows_incarnation();
        self.start_if(is_located, order, body, expires_at);
    }

    fn start_if(
        &mut self,
        is_located: bool,
        order: StartOrder,
        body: Arc<str>,
        expires_at: Duration,
    ) {
        let known = self.state.orders.get(&order.run);
        let unanswered = match known.map(|(order, _)| order) {
            None => order.repeated,
            Some(OrderState::Unanswered) => true,
            Some(_) => {
                self.report_due = true;
                return;
            }
        };
        let now = boot_now();
        if self.state.is_draining() && unanswered {
            self.stop(order.run);
            return;
        }
        if self.state.is_draining() {
            let refused = OrderState::Refused(Refusal::Unhealthy);
            self.state.orders.insert(order.run, (refused, now));
            self.report_due = true;
            return;
        }
        if !is_located {
            log::info!(target: "limpethook", task:% = order.run.task, run = order.run.run; "start_deferred");
            self.state.defer_start(order, body, expires_at, now);
            if self.state.is_refusing() {
                self.state.refuse_deferred_starts(now);
                self.report_due = true;
            }
            return;
        }
        let Some(until) = self.state.lease_end(now) else {
            return;
        };
        let retries_cancelled = self.state.begin_start(order.run, now);
        if order.trial {
            self.state.begin_trial(order.run);
        }
        let request = StartRequest {
            run: order.run,
            body,
            checkpoint: order.checkpoint,
            approval: order.approval,
            until,
            epoch: self.state.epoch,
        };
        let name = self.state.name.clone();
        let sent_to = self.state.incarnation;
        let client = Arc::clone(&self.client);
        let tx = self.tx.clone();
        let calls = Arc::clone(&self.start_calls);
        tokio::spawn(async move {
            // Fails only if the semaphore is closed, which it never is.
            let _permit = calls.acquire().await;
            let may_send = || !retries_cancelled.is_cancelled() && boot_now() <= expires_at;
            let start = send_start_with_retries(&*client, &name, &request, may_send);
            let start = supervise::catch_panic("start", start).await;
            let (reply, lost) = start.unwrap_or_else(|report| (Err(report), true));
            let outcome = StartOutcome {
                sent_to,
                name,
                reply,
                unanswered: unanswered || lost,
            };
            // The send fails only if the agent has ended.
            let _ = tx.send(Event::Started(request.run, outcome)).await;
        });
    }

    pub(super) fn handle_start_outcome(&mut self, run: TaskRun, outcome: StartOutcome) {
        self.report_due = true;
        let now = boot_now();
        if outcome.unanswered {
            self.state.record_unanswered_start(run, now);
        }
        match outcome.reply {
            Ok(reply) => {
                log::info!(
                    target: "limpethook",
                    task:% = run.task, run = run.run, outcome:? = reply, unanswered = outcome.unanswered;
                    "start_answered"
                );
                self.state.record_start_reply(run, Some(reply), now);
                if reply == StartReply::Misdirected {
                    self.state.reject_name(&outcome.name);
                }
                if reply == StartReply::Yes && self.state.is_on_trial(run) {
                    self.send_after(PROBATION, Event::TrialDue);
                }
                // The reply may come from the previous process, and another attempt may still reach the present one.
                let is_late = outcome.sent_to != self.state.incarnation;
                let is_refused =
                    matches!(reply, StartReply::Refused(refusal) if refusal != Refusal::Outdated);
                let may_still_start = outcome.unanswered && (is_refused || is_late);
                if reply == StartReply::Refused(Refusal::Outdated) {
                    self.poll_extra();
                }
                if may_still_start {
                    // An unanswered attempt may still be carried out; after a stop, the worker
                    // rejects it.
                    self.stop(run);
                }
            }
            Err(report) => {
                log::warn!(
                    target: "limpethook",
                    task:% = run.task, run = run.run, error:% = report.current_context();
                    "start_unanswered"
                );
                self.state.record_start_reply(run, None, now);
            }
        }
    }

    /// Continues after a poll that was sent at `requested_at` was answered: carries out the starts that waited for it, and
    /// rejects those that an earlier incarnation did not answer.
    pub(super) fn resume_orders(&mut self, requested_at: Duration) {
        for start in self.state.take_deferred_starts(requested_at, boot_now()) {
            self.start_if(true, start.order, start.body, start.expires_at);
        }
        for run in self.state.take_stray_starts() {
            self.stop(run);
        }
    }

    pub(super) fn stop(&mut self, run: TaskRun) {
        let now = boot_now();
        self.state.forget_deferred_start(run);
        match self.state.orders.get(&run) {
            Some((OrderState::Stopping | OrderState::Stopped(_), _)) => return,
            Some((OrderState::Gone, _)) => {
                self.report_due = true;
                return;
            }
            _ => {}
        }
        self.state.cancel_start_retries(run);
        self.state.orders.insert(run, (OrderState::Stopping, now));
        let client = Arc::clone(&self.client);
        let epoch = self.state.epoch;
        let sent_to = self.state.incarnation;
        let tx = self.tx.clone();
        let calls = Arc::clone(&self.stop_calls);
        tokio::spawn(async move {
            // Fails only if the semaphore is closed, which it never is.
            let _permit = calls.acquire().await;
            let stop = client.stop(run, epoch, STOP_TIMEOUT);
            let result = supervise::catch_panic("stop", stop).await.flatten();
            let event = Event::Stopped {
                run,
                sent_to,
                result,
            };
            // The send fails only if the agent has ended.
            let _ = tx.send(event).await;
        });
    }

    /// Records the reply to a stop that was sent to an incarnation of the worker. It says nothing of a later one, which may
    /// have got a stop of its own.
    pub(super) fn handle_stop_result(
        &mut self,
        run: TaskRun,
        sent_to: Option<Incarnation>,
        result: Result<()>,
    ) {
        let is_open = matches!(self.state.orders.get(&run), Some((OrderState::Stopping, _)));
        if !is_open || sent_to != self.state.incarnation {
            return;
        }
        match result {
            Ok(()) => {
                log::info!(target: "limpethook", task:% = run.task, run = run.run; "stop_answered");
                let stopped = OrderState::Stopped(boot_now());
                self.state.orders.insert(run, (stopped, boot_now()));
                self.poll_extra();
            }
            Err(report) => {
                log::warn!(target: "limpethook", task:% = run.task, run = run.run, error:% = report.current_context(); "stop_unanswered");
                // The owner sends the stop again; until then, the run may exist.
                let unanswered = (OrderState::Unanswered, boot_now());
                self.state.orders.insert(run, unanswered);
            }
        }
    }
}

/// Sends a start until it is answered, retries are cancelled or all attempts are used. A repeat
/// finds the run if an earlier attempt was carried out. Returns the last reply, and whether an attempt was not answered.
async fn send_start_with_retries(
    client: &dyn WorkerClient,
    name: &str,
    request: &StartRequest,
    may_send: impl Fn() -> bool,
) -> (Result<StartReply>, bool) {
    if !may_send() {
        // It was stopped, or has expired, while it waited for the starts before it.
        let message = "the start was withdrawn before it was sent";
        let withdrawn = Error::not_run(ErrorKind::Cancelled, message).report();
        return (Err(withdrawn), false);
    }
    let mut attempts = 1;
    let mut unanswered = false;
    loop {
        let reply = client.start(name, request, START_TIMEOUT).await;
        let verdict = reply
            .as_ref()
            .err()
            .map(|report| report.current_context().verdict);
        unanswered |= verdict.is_some_and(|verdict| verdict != Verdict::NotRun);
        if verdict.is_some() && attempts < MAX_START_ATTEMPTS {
            tokio::time::sleep(START_RETRY_DELAY).await;
            if may_send() {
                attempts += 1;
                continue;
            }
        }
        return (reply, unanswered);
    }
}
