//! The failures that are not explained yet, indexed by job and by suspected worker.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use model::{JobId, WorkerId};

/// Failures are forgotten after a day: a healthy worker that runs many jobs meets some failing ones over time.
const FAILURE_TERM: Duration = Duration::from_hours(24);

/// Failures that are kept; the oldest is dropped.
const MAX_FAILURES: usize = 4096;

/// Failures in which one worker stays suspect; this bounds the cost of judging it.
const MAX_FAILURES_PER_WORKER: usize = 16;

/// A failed task or gang.
#[derive(Debug)]
pub(crate) struct Failure {
    pub(crate) job: JobId,
    /// All workers of the gang, sorted.
    pub(crate) workers: Box<[WorkerId]>,
    /// The workers that may be at fault, sorted.
    pub(crate) suspects: Vec<WorkerId>,
    at: Instant,
}

type FailureId = u64;

#[derive(Debug, Default)]
pub(crate) struct Ledger {
    failures: BTreeMap<FailureId, Failure>,
    next: FailureId,
    by_job: IndexMap<JobId, Vec<FailureId>>,
    by_worker: IndexMap<WorkerId, Vec<FailureId>>,
}

impl Ledger {
    /// Adds a failure whose workers are sorted and distinct.
    pub(crate) fn add(&mut self, job: JobId, workers: &[WorkerId], now: Instant) {
        let id = self.next;
        self.next += 1;
        self.by_job.entry(job).or_default().push(id);
        for worker in workers {
            self.by_worker.entry(worker.clone()).or_default().push(id);
        }
        let failure = Failure {
            job,
            workers: workers.into(),
            suspects: workers.to_vec(),
            at: now,
        };
        self.failures.insert(id, failure);
        for worker in workers {
            self.bound_worker(worker);
        }
        if self.failures.len() > MAX_FAILURES {
            self.remove_first();
        }
    }

    pub(crate) fn expire(&mut self, now: Instant) {
        let old = |failure: &Failure| now.saturating_duration_since(failure.at) > FAILURE_TERM;
        while self.failures.values().next().is_some_and(old) {
            self.remove_first();
        }
    }

    /// Returns the failures of a job.
    pub(crate) fn of_job(&self, job: JobId) -> impl Iterator<Item = &Failure> {
        let ids = self.by_job.get(&job).into_iter().flatten();
        ids.filter_map(|id| self.failures.get(id))
    }

    /// Returns the failures in which a worker is suspect.
    pub(crate) fn of_worker(&self, worker: &str) -> impl Iterator<Item = &Failure> {
        let ids = self.by_worker.get(worker).into_iter().flatten();
        ids.filter_map(|id| self.failures.get(id))
    }

    /// Removes all failures of a job.
    pub(crate) fn forget_job(&mut self, job: JobId) {
        for id in self.by_job.get(&job).cloned().unwrap_or_default() {
            self.remove(id);
        }
    }

    /// Removes all failures in which a worker is suspect.
    pub(crate) fn forget_worker(&mut self, worker: &str) {
        for id in self.by_worker.get(worker).cloned().unwrap_or_default() {
            self.remove(id);
        }
    }

    /// Removes a worker from the suspects of all failures; their jobs stay charged.
    pub(crate) fn clear_worker(&mut self, worker: &str) {
        for id in self.by_worker.swap_remove(worker).unwrap_or_default() {
            self.unsuspect(id, worker);
        }
    }

    /// Returns the workers that are suspect in some failure.
    pub(crate) fn suspects(&self) -> Vec<WorkerId> {
        self.by_worker.keys().cloned().collect()
    }

    fn bound_worker(&mut self, worker: &str) {
        let Some(ids) = self.by_worker.get_mut(worker) else {
            return;
        };
        if ids.len() > MAX_FAILURES_PER_WORKER {
            let oldest = ids.remove(0);
            self.unsuspect(oldest, worker);
        }
    }

    fn unsuspect(&mut self, id: FailureId, worker: &str) {
        if let Some(failure) = self.failures.get_mut(&id) {
            failure.suspects.retain(|suspect| **suspect != *worker);
        }
    }

    fn remove_first(&mut self) {
        if let Some(id) = self.failures.keys().next().copied() {
            self.remove(id);
        }
    }

    fn remove(&mut self, id: FailureId) {
        let Some(failure) = self.failures.remove(&id) else {
            return;
        };
        drop_id(&mut self.by_job, &failure.job, id);
        for worker in &failure.suspects {
            drop_id(&mut self.by_worker, worker, id);
        }
    }
}

fn drop_id<K: std::hash::Hash + Eq>(
    index: &mut IndexMap<K, Vec<FailureId>>,
    key: &K,
    id: FailureId,
) {
    let Some(ids) = index.get_mut(key) else {
        return;
    };
    ids.retain(|other| *other != id);
    if ids.is_empty() {
        index.swap_remove(key);
    }
}
