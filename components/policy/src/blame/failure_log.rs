//! A log of the recent failures, indexed by job and by suspected worker.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use model::{JobId, WorkerId};

/// How long a failure is kept; over a longer time a healthy worker that runs many jobs meets several failing ones.
const FAILURE_RETENTION: Duration = Duration::from_hours(24);

/// Maximum number of failures; the oldest is evicted.
const MAX_FAILURES: usize = 4096;

/// Maximum number of failures in which one worker is a suspect, which bounds the cost of `worker_fault`.
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
pub(crate) struct FailureLog {
    failures: BTreeMap<FailureId, Failure>,
    next_id: FailureId,
    by_job: IndexMap<JobId, Vec<FailureId>>,
    by_worker: IndexMap<WorkerId, Vec<FailureId>>,
}

impl FailureLog {
    /// Adds a failure whose workers are sorted and distinct.
    pub(crate) fn add(&mut self, job: JobId, workers: &[WorkerId], now: Instant) {
        let id = self.next_id;
        self.next_id += 1;
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
            self.limit_worker_failures(worker);
        }
        if self.failures.len() > MAX_FAILURES {
            self.remove_oldest();
        }
    }

    pub(crate) fn expire(&mut self, now: Instant) {
        let old = |failure: &Failure| now.saturating_duration_since(failure.at) > FAILURE_RETENTION;
        while self.failures.values().next().is_some_and(old) {
            self.remove_oldest();
        }
    }

    /// Returns the failures of a job.
    pub(crate) fn of_job(&self, job: JobId) -> impl Iterator<Item = &Failure> {
        let ids = self.by_job.get(&job).into_iter().flatten();
        ids.filter_map(|id| self.failures.get(id))
    }

    /// Returns the failures in which a worker is a suspect.
    pub(crate) fn of_worker(&self, worker: &str) -> impl Iterator<Item = &Failure> {
        let ids = self.by_worker.get(worker).into_iter().flatten();
        ids.filter_map(|id| self.failures.get(id))
    }

    /// Removes all failures of a job.
    pub(crate) fn remove_job(&mut self, job: JobId) {
        for id in self.by_job.get(&job).cloned().unwrap_or_default() {
            self.remove(id);
        }
    }

    /// Removes all failures in which a worker is a suspect.
    pub(crate) fn remove_worker(&mut self, worker: &str) {
        for id in self.by_worker.get(worker).cloned().unwrap_or_default() {
            self.remove(id);
        }
    }

    /// Removes a worker from the suspects of all failures; the failures still count against their jobs.
    pub(crate) fn clear_worker(&mut self, worker: &str) {
        for id in self.by_worker.swap_remove(worker).unwrap_or_default() {
            self.remove_suspect(id, worker);
        }
    }

    /// Returns the workers that are suspects in any failure.
    pub(crate) fn suspects(&self) -> Vec<WorkerId> {
        self.by_worker.keys().cloned().collect()
    }

    fn limit_worker_failures(&mut self, worker: &str) {
        let Some(ids) = self.by_worker.get_mut(worker) else {
            return;
        };
        if ids.len() > MAX_FAILURES_PER_WORKER {
            let oldest = ids.remove(0);
            self.remove_suspect(oldest, worker);
        }
    }

    fn remove_suspect(&mut self, id: FailureId, worker: &str) {
        if let Some(failure) = self.failures.get_mut(&id) {
            failure.suspects.retain(|suspect| **suspect != *worker);
        }
    }

    fn remove_oldest(&mut self) {
        if let Some(id) = self.failures.keys().next().copied() {
            self.remove(id);
        }
    }

    fn remove(&mut self, id: FailureId) {
        let Some(failure) = self.failures.remove(&id) else {
            return;
        };
        remove_id(&mut self.by_job, &failure.job, id);
        for worker in &failure.suspects {
            remove_id(&mut self.by_worker, worker, id);
        }
    }
}

fn remove_id<K: std::hash::Hash + Eq>(
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
