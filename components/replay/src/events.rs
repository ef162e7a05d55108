//! Handles scheduled events and translates them to events for the decision code.

use std::sync::Arc;
use std::time::Duration;

use errors::{Error, ErrorKind};
use model::{Gang, GangId, JobOutcome, Request, Running, WorkerId};
use placement::Event;

use crate::engine::Replay;
use crate::event_queue::ScheduledEvent;
use crate::execution::{Execution, RunOutcome};
use crate::guarantee_check::covered;
use crate::jobs::JobRecord;
use crate::learner::{FinishedRun, RunEnd};
use crate::membership::EPOCH;
use crate::trace::{Submit, TraceEvent, job_id};

/// The timeout of all requests; it is longer than any trace, because traces record no deadlines.
const REQUEST_TIMEOUT: Duration = Duration::from_hours(24 * 365);

impl<'a> Replay<'a> {
    pub(crate) fn handle_event(
        &mut self,
        scheduled: ScheduledEvent,
        at: Duration,
    ) -> Option<Event> {
        match scheduled {
            ScheduledEvent::TraceLine(index) => self.handle_trace_line(index, at),
            ScheduledEvent::ReservationReply(gang) => self.answer_reservation(gang, at),
            ScheduledEvent::ReservationExpiry(gang) => self.expire_reservation(gang),
            ScheduledEvent::GangEnd(gang) => {
                let run = self.platform.end_gang(gang, at)?;
                Some(self.record_end(&run, at))
            }
            ScheduledEvent::MembershipChange => {
                self.publish_membership(at);
                Some(Event::MembershipChanged)
            }
            ScheduledEvent::Tick => {
                self.tick_pending = false;
                Some(Event::Tick)
            }
        }
    }

    fn handle_trace_line(&mut self, index: usize, at: Duration) -> Option<Event> {
        let trace = self.trace;
        match &trace.lines[index].event {
            // Line numbers start at 1, and line 1 is the header.
            TraceEvent::Submit(submit) => Some(self.submit_job(index + 2, submit, at)),
            TraceEvent::Cancel { job } => {
                let id = job_id(*job);
                if let Some(job) = self.jobs.open.get_mut(&id) {
                    job.cancelled = true;
                }
                Some(Event::Cancelled(id))
            }
            TraceEvent::WorkerLost { worker } => {
                for (gang, ends) in self.platform.lose_worker(worker, at) {
                    self.event_queue
                        .schedule(ends, ScheduledEvent::GangEnd(gang));
                }
                self.event_queue.schedule(
                    at + self.options.detection_delay,
                    ScheduledEvent::MembershipChange,
                );
                None
            }
            TraceEvent::WorkerBack { worker } => {
                self.platform.repair_worker(worker);
                self.publish_membership(at);
                Some(Event::MembershipChanged)
            }
            TraceEvent::WorkerFails { worker } => {
                for (gang, ends) in self.platform.fail_worker(worker, at) {
                    self.event_queue
                        .schedule(ends, ScheduledEvent::GangEnd(gang));
                }
                None
            }
        }
    }

    fn submit_job(&mut self, line: usize, submit: &'a Submit, at: Duration) -> Event {
        let id = job_id(submit.job);
        let covered = covered(&self.board, submit);
        self.jobs
            .open
            .insert(id, JobRecord::new(line, submit, at, covered));
        Event::Submitted(Arc::new(request(submit)))
    }

    fn answer_reservation(&mut self, id: GangId, at: Duration) -> Option<Event> {
        let gang = self.platform.pending_reservation(id)?;
        if self.platform.lost_member(&gang.members).is_some() {
            self.event_queue.schedule(
                at + self.options.reservation_term,
                ScheduledEvent::ReservationExpiry(id),
            );
            return None;
        }
        self.platform.take_pending_reservation(id)?;
        Some(Event::Reserved {
            gang: id,
            epoch: EPOCH,
        })
    }

    fn expire_reservation(&mut self, id: GangId) -> Option<Event> {
        let gang = self.platform.take_pending_reservation(id)?;
        let agent = self
            .platform
            .lost_member(&gang.members)
            .map_or_else(|| gang.members[0].agent.clone(), |m| m.agent.clone());
        Some(Event::ReservationRefused {
            gang: id,
            agent,
            error: Error::not_run(
                ErrorKind::Unavailable,
                "the agent did not answer the reservation request",
            ),
        })
    }

    fn record_end(&mut self, run: &Execution<RunOutcome>, at: Duration) -> Event {
        let id = run.gang.job;
        if let Some(job) = self.jobs.open.get(&id) {
            let request = request(job.submit);
            let finished = FinishedRun {
                request: &request,
                workers: worker_ids(&run.gang),
                ran: at.saturating_sub(run.started),
                end: run_end(&run.state),
            };
            self.learner.record(&self.board, finished, self.origin + at);
        }
        if run.state == RunOutcome::Answered {
            self.jobs.close(id, JobOutcome::Answered, at);
        }
        Event::Ended {
            gang: run.gang.id,
            end: run.state.gang_end(),
        }
    }
}

/// Returns the request of a submitted job.
fn request(submit: &Submit) -> Request {
    Request {
        id: job_id(submit.job),
        account: submit.account.clone(),
        service: submit.service.clone(),
        shape: Some(submit.shape),
        idempotent: submit.idempotent,
        stoppable: submit.stoppable,
        timeout: REQUEST_TIMEOUT,
        declared_run_time: submit.declared_ms.map(Duration::from_millis),
    }
}

/// Returns the ids of the workers of a gang.
pub(crate) fn worker_ids(gang: &Gang<Running>) -> Vec<WorkerId> {
    gang.members
        .iter()
        .map(|member| member.worker.clone())
        .collect()
}

fn run_end(outcome: &RunOutcome) -> RunEnd {
    match outcome {
        RunOutcome::Answered => RunEnd::Answered,
        RunOutcome::Failed(worker) => RunEnd::Failed(worker.clone()),
        RunOutcome::MemberLost | RunOutcome::Stopped(_) => RunEnd::Interrupted,
    }
}
