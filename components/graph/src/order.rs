//! The order in which units are placed.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use model::{AccountId, JobId};

use crate::job::{Job, UnitId};
use crate::scheduler::Scheduler;
use crate::stakes::{Prospect, Stake};

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
    /// Whether its job can end in time, as in [`ReadyJob`].
    pub(crate) prospect: Prospect,
    /// Whether its job is overdue: it reserves room that runs free when they end.
    pub(crate) overdue: bool,
}

/// A job with ready units.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ReadyJob {
    pub(crate) job: JobId,
    /// Whether it is urgent and within the guarantee of its client account.
    pub(crate) guaranteed: bool,
    /// The priority of its queue.
    priority: u32,
    /// The time by which it should end.
    deadline: Duration,
    /// Whether it can end in time. Where its service has enough room, this is not asked.
    pub(crate) prospect: Prospect,
    /// The value of its end for each unit of the work that waits; zero where its service has enough room.
    pub(crate) value_per_work: f64,
    /// The number of its units that this plan may place, if it is the overdue job whose turn it is.
    pub(crate) overdue_units: Option<u32>,
}

impl ReadyJob {
    /// Returns its place before value and deadline are compared.
    fn rank(&self) -> (bool, bool, bool, u32, Prospect) {
        let is_waiting_turn = self.overdue_units.is_none();
        let is_worthless = self.prospect == Prospect::Worthless;
        let (guaranteed, priority) = (self.guaranteed, self.priority);
        (
            !guaranteed,
            is_waiting_turn,
            is_worthless,
            priority,
            self.prospect,
        )
    }

    /// Returns one of its units.
    pub(crate) fn unit(self, unit: UnitId) -> ReadyUnit {
        ReadyUnit {
            job: self.job,
            unit,
            guaranteed: self.guaranteed,
            priority: self.priority,
            prospect: self.prospect,
            overdue: self.overdue_units.is_some(),
        }
    }
}

impl Scheduler {
    /// Updates the set of guaranteed jobs, and returns the jobs with units that are ready for placement: guaranteed ones
    /// first, then by priority and deadline, or by what their wait costs callers where there is too little room. Sets `ready_at`
    /// of the units that have become ready.
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
                    prospect: Prospect::InTime,
                    value_per_work: 0.0,
                    overdue_units: None,
                });
            }
            if let Some(due) = job.ready.next_due() {
                self.next_plan_at = self.next_plan_at.min(due);
            }
        }
        self.update_shortage(&ready_jobs, now);
        for ready in &mut ready_jobs {
            let job = self.jobs.get(&ready.job);
            if let Some(job) = job.filter(|job| self.shortage.is_in(&job.policy.service)) {
                let end = now + job.remaining_time();
                let stake = Stake::of(job, &self.queue_sizes);
                ready.prospect = stake.prospect(end);
                ready.value_per_work = stake.value_at(end) / job.waiting_work().max(f64::EPSILON);
            }
        }
        self.choose_overdue_jobs(&mut ready_jobs, now);
        self.record_deferred(&ready_jobs, now);
        ready_jobs.sort_by(|a, b| {
            let order = a.rank().cmp(&b.rank());
            let order = order.then(b.value_per_work.total_cmp(&a.value_per_work));
            order.then(a.deadline.cmp(&b.deadline))
        });
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
