//! The order in which units are placed.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use model::{AccountId, JobId};

use crate::job::{Job, Phase, UnitId};
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
    /// The time by which the job should end.
    pub(crate) deadline: Duration,
}

impl Scheduler {
    /// Updates the set of guaranteed jobs, and returns the units that are ready for placement: guaranteed ones first,
    /// then by priority and deadline. Sets `ready_at` of the units that have become ready.
    pub(crate) fn update_ready_units(&mut self, now: Duration) -> Vec<ReadyUnit> {
        self.guaranteed = self.guaranteed_jobs();
        let guaranteed = &self.guaranteed;
        let mut ready_units = Vec::new();
        let mut next_backoff_end = Duration::MAX;
        for job in self.jobs.values_mut() {
            if job.end.is_some() || job.awaiting_recovery {
                continue;
            }
            let deadline = job.deadline();
            let mut ready = Vec::new();
            for (id, unit) in &job.units {
                if unit.phase != Phase::Waiting || unit.crash_version > job.stored_version {
                    continue;
                }
                if now >= unit.not_before {
                    ready.push(*id);
                } else {
                    next_backoff_end = next_backoff_end.min(unit.not_before);
                }
            }
            let mut unblocked: IndexMap<(u32, u32), bool> = IndexMap::new();
            for id in ready {
                let step = (id.occurrence, id.step);
                let is_unblocked = unblocked
                    .entry(step)
                    .or_insert_with(|| job.is_unblocked(id));
                if !*is_unblocked {
                    continue;
                }
                let unit = &mut job.units[&id];
                unit.ready_at.get_or_insert(now);
                ready_units.push(ReadyUnit {
                    job: job.id,
                    unit: id,
                    guaranteed: guaranteed.contains(&job.id),
                    priority: job.policy.priority,
                    deadline,
                });
            }
        }
        self.next_plan_at = self.next_plan_at.min(next_backoff_end);
        ready_units.sort_by_key(|unit| (!unit.guaranteed, unit.priority, unit.deadline));
        ready_units
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
