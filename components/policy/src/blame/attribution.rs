//! Decides from the unexplained failures whether a job or a worker is at fault.

use indexmap::IndexSet;
use model::{JobId, WorkerId};

use super::failure_log::{Failure, FailureLog};

/// Number of failures on gangs without a common worker that make a job faulty.
pub(crate) const DISJOINT_FAILURES: usize = 3;

/// Number of distinct jobs whose failures quarantine a worker.
pub(crate) const QUARANTINE_JOBS: usize = 3;

/// Number of failures that make a job faulty even if its gangs overlap: in a small cell all large gangs share workers,
/// and the job would otherwise be retried without end.
const MAX_UNEXPLAINED_FAILURES: usize = 6;

/// Number of failures that make a job faulty even if quarantined workers explain them: a burst of jobs that fail
/// everywhere can put healthy workers in quarantine, which would then explain the failures of these jobs without end.
const MAX_TOTAL_FAILURES: usize = 12;

/// Number of distinct jobs whose failures quarantine workers that always fail together; their probes then tell them
/// apart.
const TIE_JOBS: usize = 6;

/// Maximum number of workers that are quarantined together; a larger set could be most of a small cell.
const MAX_TIE_WORKERS: usize = 3;

/// Returns the reason why a job is at fault, or `None` if it is not.
///
/// Failures in which a quarantined worker is a suspect are explained by that worker and count only towards
/// `MAX_TOTAL_FAILURES`.
pub(crate) fn job_fault(
    log: &FailureLog,
    job: JobId,
    is_quarantined: impl Fn(&str) -> bool,
) -> Option<Box<str>> {
    let explained =
        |failure: &&Failure| failure.suspects.iter().any(|worker| is_quarantined(worker));
    let unexplained: Vec<_> = log.of_job(job).filter(|f| !explained(f)).collect();
    if has_disjoint(&unexplained, DISJOINT_FAILURES) {
        let reason = format!("failed on {DISJOINT_FAILURES} gangs without a common worker");
        return Some(reason.into());
    }
    let count = log.of_job(job).count();
    let at_limit = unexplained.len() >= MAX_UNEXPLAINED_FAILURES || count >= MAX_TOTAL_FAILURES;
    at_limit.then(|| format!("failed {count} times").into())
}

/// Returns whether `count` of the failures are on disjoint gangs; the list is short, so all combinations are tried.
fn has_disjoint(failures: &[&Failure], count: usize) -> bool {
    if count == 0 {
        return true;
    }
    failures.iter().enumerate().any(|(index, first)| {
        let later = failures[index + 1..].iter();
        let disjoint: Vec<_> = later.filter(|f| is_disjoint(first, f)).copied().collect();
        disjoint.len() + 1 >= count && has_disjoint(&disjoint, count - 1)
    })
}

fn is_disjoint(a: &Failure, b: &Failure) -> bool {
    common(&a.workers, &b.workers).is_empty()
}

/// Workers at fault, with the jobs whose failures are the evidence.
pub(crate) struct WorkerFault {
    pub(crate) workers: Vec<WorkerId>,
    pub(crate) evidence: IndexSet<JobId>,
}

/// Returns the workers at fault if this worker is a suspect in enough failures.
///
/// Failures in which a quarantined worker is a suspect are explained by that worker and do not count.
pub(crate) fn worker_fault(
    log: &FailureLog,
    worker: &str,
    is_quarantined: impl Fn(&str) -> bool,
) -> Option<WorkerFault> {
    let explained = |failure: &&Failure| failure.suspects.iter().any(|other| is_quarantined(other));
    let unexplained = || log.of_worker(worker).filter(|f| !explained(f));
    let evidence: IndexSet<JobId> = unexplained().map(|failure| failure.job).collect();
    if evidence.len() < QUARANTINE_JOBS {
        return None;
    }
    let smallest = unexplained().min_by_key(|failure| failure.suspects.len())?;
    let workers = unexplained().fold(smallest.suspects.clone(), |common_suspects, failure| {
        common(&common_suspects, &failure.suspects)
    });
    let tie = evidence.len() >= TIE_JOBS && workers.len() <= MAX_TIE_WORKERS;
    (workers.len() == 1 || tie).then_some(WorkerFault { workers, evidence })
}

/// Returns the common workers of two sorted lists.
fn common(a: &[WorkerId], b: &[WorkerId]) -> Vec<WorkerId> {
    let mut rest = b.iter().peekable();
    let shared = a.iter().filter(|worker| {
        while rest.next_if(|other| other < worker).is_some() {}
        rest.peek().is_some_and(|other| other == worker)
    });
    shared.cloned().collect()
}
