//! Decides from the unexplained failures whether a job or a worker is at fault.

use indexmap::IndexSet;
use model::{JobId, WorkerId};

use super::ledger::{Failure, Ledger};

/// Failures on this many distinct workers condemn a job.
pub(crate) const CONDEMNING_WORKERS: usize = 3;

/// Failures of this many distinct jobs quarantine a worker.
pub(crate) const QUARANTINING_JOBS: usize = 3;

/// A job is condemned after this many failures even if its gangs overlap: in a small cell all large gangs share workers,
/// and the job would otherwise be tried without end.
const MAX_JOB_FAILURES: usize = 6;

/// A job is condemned after this many failures even if quarantined workers explain them: a burst of jobs that fail
/// everywhere can put good workers in quarantine, and those would then excuse the jobs without end.
const MAX_JOB_TRIES: usize = 12;

/// Workers that always fail together are quarantined together after failures of this many distinct jobs; the probes
/// then tell them apart.
const TIE_JOBS: usize = 6;

/// A larger set of workers that fail together is left alone, because its quarantine could take most of a small cell.
const MAX_TIE: usize = 3;

/// Returns the reason why a job is at fault, if it is.
///
/// `at_fault` tells the workers in quarantine; the job is not charged for failures in which one of them is suspect.
pub(crate) fn job_fault(
    ledger: &Ledger,
    job: JobId,
    at_fault: impl Fn(&str) -> bool,
) -> Option<Box<str>> {
    let explained = |failure: &&Failure| failure.suspects.iter().any(|worker| at_fault(worker));
    let charges: Vec<_> = ledger.of_job(job).filter(|f| !explained(f)).collect();
    if has_disjoint(&charges, CONDEMNING_WORKERS) {
        let reason = format!("failed on {CONDEMNING_WORKERS} gangs without a common worker");
        return Some(reason.into());
    }
    let count = ledger.of_job(job).count();
    let ends = charges.len() >= MAX_JOB_FAILURES || count >= MAX_JOB_TRIES;
    ends.then(|| format!("failed {count} times").into())
}

/// Returns whether `count` of the failures share no worker; the list is short, so all choices are tried.
fn has_disjoint(failures: &[&Failure], count: usize) -> bool {
    if count == 0 {
        return true;
    }
    failures.iter().enumerate().any(|(index, first)| {
        let later = failures[index + 1..].iter();
        let apart: Vec<_> = later.filter(|f| disjoint(first, f)).copied().collect();
        apart.len() + 1 >= count && has_disjoint(&apart, count - 1)
    })
}

fn disjoint(a: &Failure, b: &Failure) -> bool {
    common(&a.workers, &b.workers).is_empty()
}

/// The workers found at fault and the jobs whose failures show it.
pub(crate) struct WorkerFault {
    pub(crate) workers: Vec<WorkerId>,
    pub(crate) evidence: IndexSet<JobId>,
}

/// Returns the workers at fault if this worker is suspect in enough failures.
///
/// Failures in which a worker of `at_fault` is suspect are explained by that worker and do not count.
pub(crate) fn worker_fault(
    ledger: &Ledger,
    worker: &str,
    at_fault: impl Fn(&str) -> bool,
) -> Option<WorkerFault> {
    let explained = |failure: &&Failure| failure.suspects.iter().any(|other| at_fault(other));
    let charges = || ledger.of_worker(worker).filter(|f| !explained(f));
    let evidence: IndexSet<JobId> = charges().map(|failure| failure.job).collect();
    if evidence.len() < QUARANTINING_JOBS {
        return None;
    }
    let smallest = charges().min_by_key(|failure| failure.suspects.len())?;
    let workers = charges().fold(smallest.suspects.clone(), |shared, failure| {
        common(&shared, &failure.suspects)
    });
    let tie = evidence.len() >= TIE_JOBS && workers.len() <= MAX_TIE;
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
