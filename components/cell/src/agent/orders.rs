//! Orders of the owner to the worker: starts and stops.

use std::sync::Arc;
use std::time::Duration;

use errors::{Result, Verdict};
use model::{Refusal, StartOrder, TaskRun};
use tokio_util::sync::CancellationToken;

use crate::agent::actor::{Actor, Event};
use crate::agent::runner::{Runner, Start, Started};
use crate::agent::state::Order;
use crate::clock::boot_now;

/// The longest wait for the answer to a start: members of a gang wait for each other for a few seconds only.
const START_TIMEOUT: Duration = Duration::from_millis(450);
/// The longest wait for the answer to a stop.
const STOP_TIMEOUT: Duration = Duration::from_millis(600);
/// Tries of a start before the owner has to decide again.
const START_TRIES: u32 = 3;
/// Pause before an order without an answer is sent again.
const ORDER_RETRY: Duration = Duration::from_millis(80);

/// What became of the tries of a start.
pub(super) struct StartOutcome {
    started: Result<Started>,
    /// Whether a try was not answered, so that it may still be carried out.
    unanswered: bool,
}

impl Actor {
    pub(super) fn start(&mut self, order: StartOrder, body: Box<str>) {
        let known = self.state.orders.get(&order.run);
        let unanswered = match known.map(|(order, _)| order) {
            None => order.repeated,
            Some(Order::Unanswered) => true,
            Some(_) => {
                self.news = true;
                return;
            }
        };
        let now = boot_now();
        if self.state.is_draining() && unanswered {
            self.stop(order.run);
            return;
        }
        if self.state.is_draining() {
            let refused = Order::Refused(Refusal::Unhealthy);
            self.state.orders.insert(order.run, (refused, now));
            self.news = true;
            return;
        }
        let Some(until) = self.state.lease_end(now) else {
            return;
        };
        let given_up = self.state.begin_tries(order.run, now);
        let start = Start {
            run: order.run,
            body,
            checkpoint: order.checkpoint,
            approval: order.approval,
            until,
            epoch: self.state.epoch,
        };
        let name = self.state.name.clone();
        let runner = Arc::clone(&self.runner);
        let tx = self.tx.clone();
        tokio::spawn(async move {
            let mut outcome = start_until_answered(&*runner, &name, &start, &given_up).await;
            outcome.unanswered |= unanswered;
            // The agent has ended if nobody takes the event.
            let _ = tx.send(Event::Started(start.run, outcome)).await;
        });
    }

    pub(super) fn take_started(&mut self, run: TaskRun, outcome: StartOutcome) {
        self.news = true;
        let now = boot_now();
        match outcome.started {
            Ok(started) => {
                log::info!(
                    target: "limpethook",
                    task:% = run.task, run = run.run, outcome:? = started, unanswered = outcome.unanswered;
                    "start_answered"
                );
                self.state.started(run, Some(started), now);
                let may_come = outcome.unanswered
                    && matches!(started, Started::Refused(refusal) if refusal != Refusal::Outdated);
                if started == Started::Refused(Refusal::Outdated) {
                    self.hold(None, true);
                }
                if may_come {
                    // A try without an answer may still be carried out; a stop refuses it from then on.
                    self.stop(run);
                }
            }
            Err(report) => {
                log::warn!(
                    target: "limpethook",
                    task:% = run.task, run = run.run, error:% = report.current_context();
                    "start_unanswered"
                );
                self.state.started(run, None, now);
            }
        }
    }

    pub(super) fn stop(&mut self, run: TaskRun) {
        let now = boot_now();
        match self.state.orders.get(&run) {
            Some((Order::Stopping | Order::Stopped(_), _)) => return,
            Some((Order::Gone, _)) => {
                self.news = true;
                return;
            }
            _ => {}
        }
        self.state.give_up_tries(run);
        self.state.orders.insert(run, (Order::Stopping, now));
        let runner = Arc::clone(&self.runner);
        let epoch = self.state.epoch;
        let tx = self.tx.clone();
        tokio::spawn(async move {
            let stopped = runner.stop(run, epoch, STOP_TIMEOUT).await;
            // The agent has ended if nobody takes the event.
            let _ = tx.send(Event::Stopped(run, stopped)).await;
        });
    }

    pub(super) fn take_stopped(&mut self, run: TaskRun, stopped: Result<()>) {
        if !matches!(self.state.orders.get(&run), Some((Order::Stopping, _))) {
            // The worker has begun another life, in which the stop refuses nothing.
            return;
        }
        match stopped {
            Ok(()) => {
                log::info!(target: "limpethook", task:% = run.task, run = run.run; "stop_answered");
                let stopped = Order::Stopped(boot_now());
                self.state.orders.insert(run, (stopped, boot_now()));
                self.hold(None, true);
            }
            Err(report) => {
                log::warn!(target: "limpethook", task:% = run.task, run = run.run, error:% = report.current_context(); "stop_unanswered");
                // The owner sends the stop again; until then the run may be there.
                let unanswered = (Order::Unanswered, boot_now());
                self.state.orders.insert(run, unanswered);
            }
        }
    }
}

/// Sends a start until it is answered or given up; a repeat finds the run if an earlier one was carried out.
async fn start_until_answered(
    runner: &dyn Runner,
    name: &str,
    start: &Start,
    given_up: &CancellationToken,
) -> StartOutcome {
    let mut tries = 1;
    let mut unanswered = false;
    loop {
        let started = runner.start(name, start, START_TIMEOUT).await;
        let verdict = started
            .as_ref()
            .err()
            .map(|report| report.current_context().verdict);
        unanswered |= verdict.is_some_and(|verdict| verdict != Verdict::NotRun);
        if verdict.is_some() && tries < START_TRIES {
            tokio::time::sleep(ORDER_RETRY).await;
            if !given_up.is_cancelled() {
                tries += 1;
                continue;
            }
        }
        return StartOutcome {
            started,
            unanswered,
        };
    }
}
