//! The record of each job: its submission, starts and outcome.

use std::time::Duration;

use errors::Error;
use indexmap::IndexMap;
use model::{Job, JobId, JobOutcome, Queued};

use crate::report::Fault;
use crate::trace::{ExpectedOutcome, Submit};

/// The outcome of an answered job in a report.
pub(crate) const ANSWERED: &str = "answered";

/// A job in one state of its life cycle.
#[derive(Debug, Clone)]
pub(crate) struct JobRecord<'a, S> {
    /// The number of the trace line that submitted the job.
    pub(crate) line: usize,
    pub(crate) submit: &'a Submit,
    pub(crate) submitted_at: Duration,
    pub(crate) first_start: Option<Duration>,
    pub(crate) starts: u32,
    /// How often the job was stopped with a checkpoint.
    pub(crate) checkpoints: u32,
    /// The run time that the checkpoints preserve.
    pub(crate) checkpointed: Duration,
    pub(crate) cancelled: bool,
    /// Whether the guarantees of the account covered the job when it was submitted.
    pub(crate) covered: bool,
    /// Whether other work was stopped to reclaim guaranteed capacity while this covered job waited.
    pub(crate) waited_for_reclaim: bool,
    pub(crate) state: S,
}

/// The job has no outcome yet.
#[derive(Debug, Clone)]
pub(crate) struct Open;

/// The job has its outcome.
#[derive(Debug, Clone)]
pub(crate) struct Closed {
    pub(crate) outcome: JobOutcome,
    pub(crate) closed_at: Duration,
}

impl<'a> JobRecord<'a, Open> {
    pub(crate) fn new(
        line: usize,
        submit: &'a Submit,
        submitted_at: Duration,
        covered: bool,
    ) -> Self {
        Self {
            line,
            submit,
            submitted_at,
            first_start: None,
            starts: 0,
            checkpoints: 0,
            checkpointed: Duration::ZERO,
            cancelled: false,
            covered,
            waited_for_reclaim: false,
            state: Open,
        }
    }

    fn close(self, outcome: JobOutcome, closed_at: Duration) -> JobRecord<'a, Closed> {
        JobRecord {
            line: self.line,
            submit: self.submit,
            submitted_at: self.submitted_at,
            first_start: self.first_start,
            starts: self.starts,
            checkpoints: self.checkpoints,
            checkpointed: self.checkpointed,
            cancelled: self.cancelled,
            covered: self.covered,
            waited_for_reclaim: self.waited_for_reclaim,
            state: Closed { outcome, closed_at },
        }
    }
}

/// All jobs of a replay, in one map for each state.
#[derive(Debug, Default)]
pub(crate) struct Jobs<'a> {
    pub(crate) open: IndexMap<JobId, JobRecord<'a, Open>>,
    pub(crate) closed: IndexMap<JobId, JobRecord<'a, Closed>>,
    pub(crate) faults: Vec<Fault>,
}

impl Jobs<'_> {
    /// Records a start, and a fault if it is the second run of a non-idempotent job.
    ///
    /// A start that resumes from a checkpoint counts as a run, because it dispatches the request to an endpoint again.
    /// After the loss of a member, the work since the last checkpoint also runs again.
    pub(crate) fn record_start(&mut self, id: JobId, at: Duration) {
        let Some(job) = self.open.get_mut(&id) else {
            let line = self.closed.get(&id).map_or(0, |job| job.line);
            self.faults
                .push(Fault::new(line, at, "a job started after its outcome"));
            return;
        };
        job.starts += 1;
        job.first_start.get_or_insert(at);
        if !job.submit.idempotent && job.starts > 1 {
            let fault = Fault::new(job.line, at, "a non-idempotent job ran more than once");
            self.faults.push(fault);
        }
    }

    /// Preserves the progress of a stopped job if the job can checkpoint.
    pub(crate) fn record_checkpoint(&mut self, id: JobId, ran: Duration) {
        if let Some(job) = self.open.get_mut(&id)
            && job.submit.stoppable
        {
            job.checkpointed += ran;
            job.checkpoints += 1;
        }
    }

    /// Closes a job, and records a fault if its outcome differs from the expected one.
    pub(crate) fn close(&mut self, id: JobId, outcome: JobOutcome, at: Duration) {
        let Some(job) = self.open.shift_remove(&id) else {
            let line = self.closed.get(&id).map_or(0, |job| job.line);
            let message = format!("a job got a second outcome: {}", describe_outcome(&outcome));
            self.faults.push(Fault::new(line, at, &message));
            return;
        };
        if !matches_expected(job.submit.expect.as_ref(), &outcome) {
            let message = format!(
                "job {}: expected {:?}, got {}",
                job.submit.job,
                job.submit.expect,
                describe_outcome(&outcome)
            );
            self.faults.push(Fault::new(job.line, at, &message));
        }
        self.closed.insert(id, job.close(outcome, at));
    }

    /// Marks the covered jobs that wait while other work is stopped to reclaim guaranteed capacity.
    pub(crate) fn mark_waiting_for_reclaim(
        &mut self,
        queued: &IndexMap<JobId, std::sync::Arc<Job<Queued>>>,
    ) {
        for id in queued.keys() {
            if let Some(job) = self.open.get_mut(id)
                && job.first_start.is_none()
            {
                job.waited_for_reclaim |= job.covered;
            }
        }
    }

    /// Records a fault for each job that has no outcome at the end of the replay.
    pub(crate) fn record_unfinished(&mut self, at: Duration) {
        for job in self.open.values() {
            let message = format!("job {} has no outcome", job.submit.job);
            self.faults.push(Fault::new(job.line, at, &message));
        }
    }
}

fn matches_expected(expected: Option<&ExpectedOutcome>, outcome: &JobOutcome) -> bool {
    match (expected, outcome) {
        (None | Some(ExpectedOutcome::Either), _)
        | (Some(ExpectedOutcome::Answered), JobOutcome::Answered) => true,
        (Some(ExpectedOutcome::Refused { verdict, kind }), JobOutcome::Refused(error)) => {
            verdict.is_none_or(|verdict| verdict == error.verdict)
                && kind.is_none_or(|kind| kind == error.kind)
        }
        _ => false,
    }
}

pub(crate) fn describe_outcome(outcome: &JobOutcome) -> String {
    match outcome {
        JobOutcome::Answered => ANSWERED.into(),
        JobOutcome::Refused(Error { verdict, kind, .. }) => format!("refused ({verdict}, {kind})"),
    }
}
