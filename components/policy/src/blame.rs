//! Attribution of failures to jobs and workers.
//!
//! - Most failures are caused by the job itself, so a failure first counts against its job: three failures on gangs
//!   without a common worker (for single tasks: on three distinct workers) make the job faulty. Failures of a faulty
//!   job count against no worker, and a quarantine that was based on them ends.
//! - A failure also makes its workers suspects. If the failed worker is known, it is the only suspect. Otherwise each
//!   member of the gang is a weak suspect: a worker is at fault only if it is the one common suspect of all unexplained
//!   failures that involve it, and these come from three distinct jobs. As gangs vary, the intersection shrinks to the
//!   faulty worker, because its healthy neighbours are missing from some of the gangs.
//! - A success clears a worker as a suspect, which also narrows the failures of its gangs to the other members.
//! - A failure that involves a quarantined worker is explained by it and counts neither against its job nor against the
//!   other members.
//! - At most half of the workers are in quarantine: if more appear to fail, the jobs are the more likely cause.

mod attribution;
mod failure_log;
mod quarantine;

use std::collections::HashSet;
use std::time::Instant;

use board::{Blame, Board};
use indexmap::IndexMap;
use model::{JobId, WorkerId};

use attribution::{QUARANTINE_JOBS, WorkerFault, job_fault, worker_fault};
use failure_log::FailureLog;
use quarantine::QuarantineRecord;

/// Maximum number of faulty jobs on the board; the oldest is evicted.
const MAX_FAULTY_JOBS: usize = 4096;

/// Maximum number of jobs whose failed workers are on the board; the oldest is evicted.
const MAX_FAILED_JOBS: usize = 4096;

/// An event of a job on its workers.
#[derive(Debug, Clone)]
pub struct Observation {
    /// The job.
    pub job: JobId,
    /// The workers of its gang.
    pub workers: Vec<WorkerId>,
    /// The event.
    pub event: TaskEvent,
}

/// An event of the tasks of a gang.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TaskEvent {
    /// The tasks started; on a quarantined worker they are a probe.
    Started,
    /// The tasks succeeded.
    Succeeded,
    /// The gang failed.
    Failed {
        /// The worker that failed first, if known.
        failed_worker: Option<WorkerId>,
    },
}

/// Writes the blame section.
#[derive(Debug, Default)]
pub struct BlameController {
    failures: FailureLog,
    quarantines: IndexMap<WorkerId, QuarantineRecord>,
    blame: Blame,
    changed: bool,
    worker_count: usize,
}

/// Returns whether a job may be placed on a worker.
///
/// A worker in quarantine accepts only probes that are due, and an unproven worker only idempotent jobs.
pub fn may_use_worker(blame: &Blame, worker: &str, idempotent: bool, now: Instant) -> bool {
    match blame.quarantined.get(worker) {
        Some(quarantine) => idempotent && now >= quarantine.next_probe,
        None => idempotent || blame.proven.contains(worker),
    }
}

impl BlameController {
    /// Applies observations in order; each batch publishes the section at most once.
    pub fn observe(&mut self, board: &Board, observations: &[Observation], now: Instant) {
        self.failures.expire(now);
        let membership = board.membership.load();
        let agents = membership.agents.values();
        self.worker_count = agents.map(|agent| agent.workers.len()).sum();
        for observation in observations {
            self.apply(observation, now);
        }
        self.publish(board);
    }

    /// Removes the state of workers that left the membership; a quarantine persists over a short absence.
    pub fn retain_members(&mut self, board: &Board, now: Instant) {
        let membership = board.membership.load();
        let agents = membership.agents.values();
        let present: HashSet<&str> = agents
            .flat_map(|agent| agent.workers.iter().map(|worker| &*worker.id))
            .collect();
        let proven = self.blame.proven.len();
        self.blame
            .proven
            .retain(|worker| present.contains(&**worker));
        self.changed |= proven != self.blame.proven.len();
        for worker in self.failures.suspects() {
            if !present.contains(&*worker) && !self.quarantines.contains_key(&worker) {
                self.failures.clear_worker(&worker);
            }
        }
        self.end_absent_quarantines(&present, now);
        self.publish(board);
    }

    fn publish(&mut self, board: &Board) {
        if std::mem::take(&mut self.changed) {
            board.blame.publish(self.blame.clone());
        }
    }

    fn apply(&mut self, observation: &Observation, now: Instant) {
        match &observation.event {
            TaskEvent::Started => self.start_probes(observation, now),
            TaskEvent::Succeeded => {
                self.changed |= self
                    .blame
                    .failed_on
                    .shift_remove(&observation.job)
                    .is_some();
                self.clear_workers(&observation.workers);
            }
            TaskEvent::Failed { failed_worker } => {
                if let Some(worker) = failed_worker {
                    self.record_failed_on(observation.job, worker);
                }
                let suspects = match failed_worker {
                    Some(worker) => std::slice::from_ref(worker),
                    None => &observation.workers,
                };
                self.record_failure(observation.job, suspects.to_vec(), now);
            }
        }
    }

    fn record_failed_on(&mut self, job: JobId, worker: &WorkerId) {
        let failed_on = &mut self.blame.failed_on;
        self.changed |= failed_on.entry(job).or_default().insert(worker.clone());
        if failed_on.len() > MAX_FAILED_JOBS {
            failed_on.shift_remove_index(0);
        }
    }

    fn clear_workers(&mut self, workers: &[WorkerId]) {
        for worker in workers {
            if self.quarantines.contains_key(worker) {
                // The worker caused these failures, so they are removed and do not count against the jobs.
                self.failures.remove_worker(worker);
                self.end_quarantine(worker);
            } else {
                self.failures.clear_worker(worker);
            }
            if !self.blame.proven.contains(worker) {
                self.blame.proven.insert(worker.clone());
                self.changed = true;
            }
        }
    }

    fn record_failure(&mut self, job: JobId, mut workers: Vec<WorkerId>, now: Instant) {
        if workers.is_empty() || self.blame.faulty_jobs.contains_key(&job) {
            return;
        }
        workers.sort_unstable();
        workers.dedup();
        self.failures.add(job, &workers, now);
        self.fail_probes(job, &workers, now);
        let is_quarantined = |worker: &str| self.quarantines.contains_key(worker);
        if let Some(reason) = job_fault(&self.failures, job, is_quarantined) {
            return self.mark_faulty(job, reason);
        }
        for worker in &workers {
            let is_quarantined = |other: &str| self.quarantines.contains_key(other);
            let fault = worker_fault(&self.failures, worker, is_quarantined);
            if let Some(fault) = fault.filter(|fault| self.may_quarantine(fault)) {
                self.quarantine(&fault, now);
            }
        }
    }

    /// Returns whether at most half of the workers would be in quarantine; an unknown membership sets no limit.
    fn may_quarantine(&self, fault: &WorkerFault) -> bool {
        let count = self.quarantines.len() + fault.workers.len();
        self.worker_count == 0 || count <= self.worker_count / 2
    }

    fn mark_faulty(&mut self, job: JobId, reason: Box<str>) {
        self.failures.remove_job(job);
        self.blame.failed_on.shift_remove(&job);
        self.blame.faulty_jobs.insert(job, reason);
        if self.blame.faulty_jobs.len() > MAX_FAULTY_JOBS {
            self.blame.faulty_jobs.shift_remove_index(0);
        }
        self.changed = true;
        for worker in self.drop_evidence(job) {
            self.end_quarantine(&worker);
        }
    }

    /// Removes a faulty job from the evidence and returns the workers whose quarantine no longer has enough evidence.
    fn drop_evidence(&mut self, job: JobId) -> Vec<WorkerId> {
        let weakened = self.quarantines.iter_mut().filter_map(|(worker, record)| {
            let dropped = record.evidence.swap_remove(&job);
            let enough = record.evidence.len() >= QUARANTINE_JOBS;
            (dropped && !enough).then(|| worker.clone())
        });
        weakened.collect()
    }

    fn quarantine(&mut self, fault: &WorkerFault, now: Instant) {
        for worker in &fault.workers {
            let record = QuarantineRecord::new(fault.evidence.clone());
            let quarantine = record.begin(now);
            self.quarantines.insert(worker.clone(), record);
            self.blame.quarantined.insert(worker.clone(), quarantine);
        }
        self.changed = true;
    }

    fn end_quarantine(&mut self, worker: &str) {
        self.quarantines.swap_remove(worker);
        self.blame.quarantined.shift_remove(worker);
        self.changed = true;
    }
}
