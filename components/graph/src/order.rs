//! The order in which units are placed.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use model::{AccountId, JobId};

use crate::job::{Job, UnitId};
use crate::scheduler::Scheduler;

/// The highest priority. Its jobs are urgent: they may reserve resources, preempt other jobs and use the headroom.
/// Those within the guaranteed accelerators of their client accounts are guaranteed.
pub(crate) const URGENT_PRIORITY: u32 = 0;

/// A waiting unit that is ready for placement: the steps that it depends on are done and its backoff has passed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ReadyUnit {
    pub(crate) job: JobId,
    pub(crate) unit: UnitId,
    /// Whether the job is urgent and within the guarantee of its client account.
    pub(crate) guaranteed: bool,
    /// The priority of its queue.
    pub(crate) priority: u32,
}

/// A job with ready units.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ReadyJob {
    pub(crate) job: JobId,
    /// Whether it is urgent and within the guarantee of its client account.
    guaranteed: bool,
    /// The priority of its queue.
    priority: u32,
    /// The time by which it should end.
    deadline: Duration,
}

impl ReadyJob {
    /// Returns one of its units.
    pub(crate) fn unit(self, unit: UnitId) -> ReadyUnit {
        ReadyUnit {
            job: self.job,
            unit,
            guaranteed: self.guaranteed,
            priority: self.priority,
        }
    }
}

impl Scheduler {
    /// Updates the set of guaranteed jobs, and returns the jobs with units that are ready for placement: guaranteed ones
    /// first, then by priority and deadline. Sets `ready_at` of the units that have become ready.
    pub(crate) fn update_ready_jobs(&mut self, now: Duration) -> Vec<ReadyJob> {
        self.guaranteed = self.guaranteed_jobs();
        let guaranteed = &self.guaranteed;
        let mut ready_jobs = Vec::new();
        for job in self.jobs.values_mut() {
            if job.end.is_some() || job.awaiting_recovery {
                continue;
            }
            job.update_ready(now);
            if job.ready.steps().next().is_some() {
                ready_jobs.push(ReadyJob {
                    job: job.id,
                    guaranteed: guaranteed.contains(&job.id),
                    priority: job.policy.priority,
                    deadline: job.deadline(),
                });
            }
            if let Some(due) = job.ready.next_due() {
                self.next_plan_at = self.next_plan_at.min(due);
            }
        }
        ready_jobs.sort_by_key(|job| (!job.guaranteed, job.priority, job.deadline));
        ready_jobs
    }

    /// Returns the urgent jobs within the guarantees of their client accounts.
    ///
    /// The accelerators of the urgent jobs of an account are added up in the order in which the jobs were accepted or
    /// loaded. The jobs are guaranteed until the sum exceeds the guarantee; the job that exceeds it and all later ones
    /// are not.
    fn guaranteed_jobs(&self) -> IndexSet<JobId> {
        let mut totals: IndexMap<&AccountId, u32> = IndexMap::new();
        let mut guaranteed = IndexSet::new();
        let is_urgent = |job: &&Job| job.end.is_none() && job.policy.priority == URGENT_PRIORITY;
        for job in self.jobs.values().filter(is_urgent) {
            let Some(guarantee) = self.guarantees.get(&job.spec.account) else {
                continue;
            };
            let total = totals.entry(&job.spec.account).or_default();
            *total = total.saturating_add(job.total_accelerators());
            if *total <= *guarantee {
                guaranteed.insert(job.id);
            }
        }
        guaranteed
    }
}
