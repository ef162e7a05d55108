//! Which jobs and workers are held responsible for failures.
//!
//! - Most failures are the job's own, so a failure is first held against its job: three failures on gangs that share no
//!   worker (for single tasks: on three distinct workers) condemn it. A condemned job's failures count against no
//!   worker, and a quarantine that rested on them ends.
//! - A failure also makes its workers suspect. A named culprit is the only suspect. A gang without a named culprit
//!   charges each member weakly: a worker is at fault only if it is the one common suspect of all unexplained failures
//!   that involve it, and these come from three distinct jobs. With gangs that vary, the intersection shrinks to the one
//!   bad worker, while its good neighbours are missing from some of the gangs.
//! - A success clears a worker as a suspect, which also narrows the failures of its gangs down to the others.
//! - A failure that involves a quarantined worker is explained by it and charges neither its job nor the other members.
//! - At most half of the workers are in quarantine: when more appear to fail, the jobs are the more likely cause.

mod judge;
mod ledger;
mod quarantine;

use std::collections::HashSet;
use std::time::Instant;

use board::{Blame, Board};
use indexmap::IndexMap;
use model::{JobId, WorkerId};

use judge::{QUARANTINING_JOBS, WorkerFault, job_fault, worker_fault};
use ledger::Ledger;
use quarantine::Record;

/// Condemned jobs that are kept; the oldest is dropped.
const MAX_CONDEMNED: usize = 4096;

/// Jobs whose failed workers are kept; the oldest is dropped.
const MAX_FAILED_JOBS: usize = 4096;

/// What happened to a job on its workers.
#[derive(Debug, Clone)]
pub struct Observation {
    /// The job.
    pub job: JobId,
    /// The workers of its gang.
    pub workers: Vec<WorkerId>,
    /// What happened.
    pub event: TaskEvent,
}

/// What happened to the tasks of a gang.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TaskEvent {
    /// The tasks started; on a quarantined worker this is a probe.
    Started,
    /// The tasks ended well.
    Succeeded,
    /// The gang failed; the culprit is the worker that is known to have failed first.
    Failed {
        /// The worker that failed, if known.
        culprit: Option<WorkerId>,
    },
}

/// Writes the blame section.
#[derive(Debug, Default)]
pub struct BlameController {
    ledger: Ledger,
    records: IndexMap<WorkerId, Record>,
    blame: Blame,
    changed: bool,
    fleet: usize,
}

/// Returns whether a job may be placed on a worker.
///
/// A worker in quarantine takes only probes that are due, and an unproven worker takes only idempotent work.
pub fn may_use_worker(blame: &Blame, worker: &str, idempotent: bool, now: Instant) -> bool {
    match blame.quarantined.get(worker) {
        Some(quarantine) => idempotent && now >= quarantine.next_probe,
        None => idempotent || blame.proven.contains(worker),
    }
}

impl BlameController {
    /// Takes in observations in their order; a batch publishes the section at most once.
    pub fn observe(&mut self, board: &Board, observations: &[Observation], now: Instant) {
        self.ledger.expire(now);
        let membership = board.membership.load();
        let agents = membership.agents.values();
        self.fleet = agents.map(|agent| agent.workers.len()).sum();
        for observation in observations {
            self.apply(observation, now);
        }
        self.publish(board);
    }

    /// Forgets the workers that left the membership; a quarantine outlasts a short absence.
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
        for worker in self.ledger.suspects() {
            if !present.contains(&*worker) && !self.records.contains_key(&worker) {
                self.ledger.clear_worker(&worker);
            }
        }
        self.forget_absent(&present, now);
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
            TaskEvent::Failed { culprit } => {
                if let Some(culprit) = culprit {
                    self.note_failed_on(observation.job, culprit);
                }
                let suspects = match culprit {
                    Some(culprit) => std::slice::from_ref(culprit),
                    None => &observation.workers,
                };
                self.fail(observation.job, suspects.to_vec(), now);
            }
        }
    }

    fn note_failed_on(&mut self, job: JobId, worker: &WorkerId) {
        let failed_on = &mut self.blame.failed_on;
        self.changed |= failed_on.entry(job).or_default().insert(worker.clone());
        if failed_on.len() > MAX_FAILED_JOBS {
            failed_on.shift_remove_index(0);
        }
    }

    fn clear_workers(&mut self, workers: &[WorkerId]) {
        for worker in workers {
            if self.records.contains_key(worker) {
                // The worker was at fault for these failures, so their jobs stay uncharged.
                self.ledger.forget_worker(worker);
                self.end_quarantine(worker);
            } else {
                self.ledger.clear_worker(worker);
            }
            if !self.blame.proven.contains(worker) {
                self.blame.proven.insert(worker.clone());
                self.changed = true;
            }
        }
    }

    fn fail(&mut self, job: JobId, mut workers: Vec<WorkerId>, now: Instant) {
        if workers.is_empty() || self.blame.condemned.contains_key(&job) {
            return;
        }
        workers.sort_unstable();
        workers.dedup();
        self.ledger.add(job, &workers, now);
        self.fail_probes(job, &workers, now);
        let at_fault = |worker: &str| self.records.contains_key(worker);
        if let Some(reason) = job_fault(&self.ledger, job, at_fault) {
            return self.condemn(job, reason);
        }
        for worker in &workers {
            let at_fault = |other: &str| self.records.contains_key(other);
            let fault = worker_fault(&self.ledger, worker, at_fault);
            if let Some(fault) = fault.filter(|fault| self.may_quarantine(fault)) {
                self.quarantine(&fault, now);
            }
        }
    }

    /// Without a known membership there is no share to hold.
    fn may_quarantine(&self, fault: &WorkerFault) -> bool {
        let count = self.records.len() + fault.workers.len();
        self.fleet == 0 || count <= self.fleet / 2
    }

    fn condemn(&mut self, job: JobId, reason: Box<str>) {
        self.ledger.forget_job(job);
        self.blame.failed_on.shift_remove(&job);
        self.blame.condemned.insert(job, reason);
        if self.blame.condemned.len() > MAX_CONDEMNED {
            self.blame.condemned.shift_remove_index(0);
        }
        self.changed = true;
        for worker in self.without_evidence(job) {
            self.end_quarantine(&worker);
        }
    }

    /// Drops a condemned job from the evidence and returns the workers whose quarantine no longer has enough.
    fn without_evidence(&mut self, job: JobId) -> Vec<WorkerId> {
        let weakened = self.records.iter_mut().filter_map(|(worker, record)| {
            let dropped = record.evidence.swap_remove(&job);
            let enough = record.evidence.len() >= QUARANTINING_JOBS;
            (dropped && !enough).then(|| worker.clone())
        });
        weakened.collect()
    }

    fn quarantine(&mut self, fault: &WorkerFault, now: Instant) {
        for worker in &fault.workers {
            let record = Record::new(fault.evidence.clone());
            let quarantine = record.begin(now);
            self.records.insert(worker.clone(), record);
            self.blame.quarantined.insert(worker.clone(), quarantine);
        }
        self.changed = true;
    }

    fn end_quarantine(&mut self, worker: &str) {
        self.records.swap_remove(worker);
        self.blame.quarantined.shift_remove(worker);
        self.changed = true;
    }
}
