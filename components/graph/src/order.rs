//! The order in which waiting units are placed.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use model::{AccountId, JobId};

use crate::job::{Phase, Unit, UnitId};
use crate::scheduler::Scheduler;

/// The highest priority. Its jobs are urgent, and only they count towards the guarantees of client accounts.
pub(crate) const GUARANTEED_PRIORITY: u32 = 0;

/// A unit that is ready for placement.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WaitingUnit {
    pub(crate) job: JobId,
    pub(crate) unit: UnitId,
    /// Whether the job is within the guarantee of its client account.
    pub(crate) guaranteed: bool,
    /// The priority of its queue.
    pub(crate) priority: u32,
    /// The time by which the job should end.
    pub(crate) deadline: Duration,
}

impl Scheduler {
    /// Returns the units that are ready for placement: guaranteed ones first, then by priority and deadline.
    pub(crate) fn waiting_units(&mut self, now: Duration) -> Vec<WaitingUnit> {
        self.guaranteed = self.guaranteed_jobs();
        let guaranteed = &self.guaranteed;
        let mut waiting = Vec::new();
        for job in self.jobs.values_mut() {
            if job.end.is_some() || job.awaiting_adoption {
                continue;
            }
            let deadline = job.deadline();
            let is_ready = |(_, unit): &(&UnitId, &Unit)| {
                unit.phase == Phase::Waiting && now >= unit.not_before
            };
            let units: Vec<UnitId> = job
                .units
                .iter()
                .filter(is_ready)
                .map(|(id, _)| *id)
                .collect();
            for id in units {
                if !job.is_unblocked(id) {
                    continue;
                }
                let unit = &mut job.units[&id];
                unit.ready_at.get_or_insert(now);
                waiting.push(WaitingUnit {
                    job: job.id,
                    unit: id,
                    guaranteed: guaranteed.contains(&job.id),
                    priority: job.policy.priority,
                    deadline,
                });
            }
        }
        waiting.sort_by_key(|unit| (!unit.guaranteed, unit.priority, unit.deadline));
        waiting
    }

    /// Returns the urgent jobs that fit into the guarantees of their client accounts, counted in the order of
    /// acceptance.
    fn guaranteed_jobs(&self) -> IndexSet<JobId> {
        let mut used: IndexMap<&AccountId, u32> = IndexMap::new();
        let mut within = IndexSet::new();
        let active = self.jobs.values();
        let active =
            active.filter(|job| job.end.is_none() && job.policy.priority == GUARANTEED_PRIORITY);
        for job in active {
            let Some(guarantee) = self.guarantees.get(&job.spec.account) else {
                continue;
            };
            let sum = used.entry(&job.spec.account).or_default();
            *sum = sum.saturating_add(job.total_accelerators());
            if *sum <= *guarantee {
                within.insert(job.id);
            }
        }
        within
    }
}
