//! Turns what becomes due into events for the decision code.

use std::sync::Arc;
use std::time::Duration;

use errors::{Error, ErrorKind};
use model::{Gang, GangId, JobOutcome, Request, Running, WorkerId};
use placement::Event;

use crate::engine::Replay;
use crate::execution::{Execution, RunOutcome};
use crate::guarantee_check::covered;
use crate::jobs::Record;
use crate::learn::{FinishedRun, RunEnd};
use crate::membership::EPOCH;
use crate::timeline::Due;
use crate::trace::{Submit, TraceEvent, job_id};

/// Callers of a trace set no deadline; this is longer than any trace.
const NO_DEADLINE: Duration = Duration::from_hours(24 * 365);

impl<'a> Replay<'a> {
    pub(crate) fn occur(&mut self, due: Due, at: Duration) -> Option<Event> {
        match due {
            Due::Line(index) => self.line(index, at),
            Due::Reservation(gang) => self.answer_reservation(gang, at),
            Due::ReservationTerm(gang) => self.refuse_reservation(gang),
            Due::End(gang) => {
                let run = self.platform.end(gang, at)?;
                Some(self.ended(&run, at))
            }
            Due::Membership => {
                self.publish_membership(at);
                Some(Event::MembershipChanged)
            }
            Due::Tick => {
                self.tick_pending = false;
                Some(Event::Tick)
            }
        }
    }

    fn line(&mut self, index: usize, at: Duration) -> Option<Event> {
        let trace = self.trace;
        match &trace.lines[index].event {
            // The header is line 1.
            TraceEvent::Submit(submit) => Some(self.submit(index + 2, submit, at)),
            TraceEvent::Cancel { job } => {
                let id = job_id(*job);
                if let Some(job) = self.jobs.open.get_mut(&id) {
                    job.cancelled = true;
                }
                Some(Event::Cancelled(id))
            }
            TraceEvent::WorkerLost { worker } => {
                for (gang, ends) in self.platform.lose(worker, at) {
                    self.timeline.add(ends, Due::End(gang));
                }
                self.timeline
                    .add(at + self.options.detection_delay, Due::Membership);
                None
            }
            TraceEvent::WorkerBack { worker } => {
                self.platform.repair(worker);
                self.publish_membership(at);
                Some(Event::MembershipChanged)
            }
            TraceEvent::WorkerFails { worker } => {
                for (gang, ends) in self.platform.start_failing(worker, at) {
                    self.timeline.add(ends, Due::End(gang));
                }
                None
            }
        }
    }

    fn submit(&mut self, line: usize, submit: &'a Submit, at: Duration) -> Event {
        let id = job_id(submit.job);
        let covered = covered(&self.board, submit);
        self.jobs
            .open
            .insert(id, Record::new(line, submit, at, covered));
        Event::Submitted(Arc::new(request(submit)))
    }

    fn answer_reservation(&mut self, id: GangId, at: Duration) -> Option<Event> {
        let gang = self.platform.reservation(id)?;
        if self.platform.lost_member(&gang.members).is_some() {
            self.timeline
                .add(at + self.options.reservation_term, Due::ReservationTerm(id));
            return None;
        }
        self.platform.answer_reservation(id)?;
        Some(Event::Reserved {
            gang: id,
            epoch: EPOCH,
        })
    }

    fn refuse_reservation(&mut self, id: GangId) -> Option<Event> {
        let gang = self.platform.answer_reservation(id)?;
        let agent = self
            .platform
            .lost_member(&gang.members)
            .map_or_else(|| gang.members[0].agent.clone(), |m| m.agent.clone());
        Some(Event::ReservationRefused {
            gang: id,
            agent,
            error: Error::not_run(ErrorKind::Unavailable, "the reservation was not answered"),
        })
    }

    fn ended(&mut self, run: &Execution<RunOutcome>, at: Duration) -> Event {
        let id = run.gang.job;
        if let Some(job) = self.jobs.open.get(&id) {
            let request = request(job.submit);
            let finished = FinishedRun {
                request: &request,
                workers: workers(&run.gang),
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

/// Returns the request that a line of the trace stands for.
fn request(submit: &Submit) -> Request {
    Request {
        id: job_id(submit.job),
        account: submit.account.clone(),
        service: submit.service.clone(),
        shape: Some(submit.shape),
        idempotent: submit.idempotent,
        stoppable: submit.stoppable,
        timeout: NO_DEADLINE,
        declared_run_time: submit.declared_ms.map(Duration::from_millis),
    }
}

/// Returns the workers of a gang.
pub(crate) fn workers(gang: &Gang<Running>) -> Vec<WorkerId> {
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
