//! The record of each job: submitted, started, and its one outcome.

use std::time::Duration;

use errors::Error;
use indexmap::IndexMap;
use model::{Job, JobId, JobOutcome, Queued};

use crate::report::Fault;
use crate::trace::{Expect, Submit};

/// How a report names the outcome of an answered job.
pub(crate) const ANSWERED: &str = "answered";

/// What a replay knows about a job in one state.
#[derive(Debug, Clone)]
pub(crate) struct Record<'a, S> {
    /// The line of the trace that submitted the job.
    pub(crate) line: usize,
    pub(crate) submit: &'a Submit,
    pub(crate) submitted: Duration,
    pub(crate) first_start: Option<Duration>,
    pub(crate) starts: u32,
    /// Starts that continued from a checkpoint.
    pub(crate) continued: u32,
    /// Run time saved by checkpoints.
    pub(crate) done: Duration,
    pub(crate) cancelled: bool,
    /// Whether the guarantee of the account covered the job when it was submitted.
    pub(crate) covered: bool,
    /// Whether other work was stopped while the covered job waited.
    pub(crate) reclaimed: bool,
    pub(crate) state: S,
}

/// The job has no outcome yet.
#[derive(Debug, Clone)]
pub(crate) struct Open;

/// The job has its outcome.
#[derive(Debug, Clone)]
pub(crate) struct Closed {
    pub(crate) outcome: JobOutcome,
    pub(crate) at: Duration,
}

impl<'a> Record<'a, Open> {
    pub(crate) fn new(line: usize, submit: &'a Submit, submitted: Duration, covered: bool) -> Self {
        Self {
            line,
            submit,
            submitted,
            first_start: None,
            starts: 0,
            continued: 0,
            done: Duration::ZERO,
            cancelled: false,
            covered,
            reclaimed: false,
            state: Open,
        }
    }

    fn close(self, outcome: JobOutcome, at: Duration) -> Record<'a, Closed> {
        Record {
            line: self.line,
            submit: self.submit,
            submitted: self.submitted,
            first_start: self.first_start,
            starts: self.starts,
            continued: self.continued,
            done: self.done,
            cancelled: self.cancelled,
            covered: self.covered,
            reclaimed: self.reclaimed,
            state: Closed { outcome, at },
        }
    }
}

/// All jobs of a run, one map for each state.
#[derive(Debug, Default)]
pub(crate) struct Jobs<'a> {
    pub(crate) open: IndexMap<JobId, Record<'a, Open>>,
    pub(crate) closed: IndexMap<JobId, Record<'a, Closed>>,
    pub(crate) faults: Vec<Fault>,
}

impl Jobs<'_> {
    /// Records a start and reports a second run of a non-idempotent job.
    ///
    /// A continuation from a checkpoint is not a second run; a restart after the loss of a member is one, because the
    /// work since the last checkpoint runs again.
    pub(crate) fn start(&mut self, id: JobId, at: Duration) {
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

    /// Saves the progress of a stopped job that can checkpoint.
    pub(crate) fn checkpoint(&mut self, id: JobId, ran: Duration) {
        if let Some(job) = self.open.get_mut(&id)
            && job.submit.stoppable
        {
            job.done += ran;
            job.continued += 1;
        }
    }

    /// Closes a job and compares the outcome with the stated one.
    pub(crate) fn close(&mut self, id: JobId, outcome: JobOutcome, at: Duration) {
        let Some(job) = self.open.shift_remove(&id) else {
            let line = self.closed.get(&id).map_or(0, |job| job.line);
            let message = format!("a job got a second outcome: {}", describe(&outcome));
            self.faults.push(Fault::new(line, at, &message));
            return;
        };
        if !agrees(job.submit.expect.as_ref(), &outcome) {
            let message = format!(
                "job {}: expected {:?}, got {}",
                job.submit.job,
                job.submit.expect,
                describe(&outcome)
            );
            self.faults.push(Fault::new(job.line, at, &message));
        }
        self.closed.insert(id, job.close(outcome, at));
    }

    /// Marks the covered jobs that wait while other work is stopped for a guarantee.
    pub(crate) fn mark_reclaim(&mut self, queued: &IndexMap<JobId, std::sync::Arc<Job<Queued>>>) {
        for id in queued.keys() {
            if let Some(job) = self.open.get_mut(id)
                && job.first_start.is_none()
            {
                job.reclaimed |= job.covered;
            }
        }
    }

    /// Reports the jobs that have no outcome at the end of the run.
    pub(crate) fn report_open(&mut self, at: Duration) {
        for job in self.open.values() {
            let message = format!("job {} has no outcome", job.submit.job);
            self.faults.push(Fault::new(job.line, at, &message));
        }
    }
}

fn agrees(expect: Option<&Expect>, outcome: &JobOutcome) -> bool {
    match (expect, outcome) {
        (None | Some(Expect::Either), _) | (Some(Expect::Answered), JobOutcome::Answered) => true,
        (Some(Expect::Refused { verdict, kind }), JobOutcome::Refused(error)) => {
            verdict.is_none_or(|verdict| verdict == error.verdict)
                && kind.is_none_or(|kind| kind == error.kind)
        }
        _ => false,
    }
}

pub(crate) fn describe(outcome: &JobOutcome) -> String {
    match outcome {
        JobOutcome::Answered => ANSWERED.into(),
        JobOutcome::Refused(Error { verdict, kind, .. }) => format!("refused ({verdict}, {kind})"),
    }
}
