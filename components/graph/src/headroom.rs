//! Headroom: resources that jobs of lower priorities leave free for urgent jobs, which would otherwise wait until
//! preempted runs have stopped.

use std::time::Duration;

use indexmap::IndexMap;
use model::ResourceVector;

use crate::job::Job;
use crate::order::{ReadyUnit, URGENT_PRIORITY};
use crate::reservations::FleetResources;
use crate::scheduler::Scheduler;
use crate::stakes::{Prospect, Stake, accelerator_equivalents};

/// Window over which the demand of urgent jobs is averaged. At the arrival rates at which headroom is useful, several
/// urgent jobs arrive within it.
const DEMAND_WINDOW: Duration = Duration::from_secs(10);
/// The headroom is the demand per second times the longest stop time times this factor.
const HEADROOM_STOP_TIMES: f64 = 16.0;
/// Headroom is kept only while at least this share of the accelerators and of the cores is in use. Below it there are
/// resources for all jobs, and none should be delayed.
const MIN_UTILISATION: f64 = 0.5;

/// Acceptance times of recent urgent jobs, with the accelerator equivalents that each requested.
#[derive(Debug, Default)]
pub(crate) struct UrgentDemand(Vec<(Duration, f64)>);

impl UrgentDemand {
    /// Records a job if it is urgent.
    pub(crate) fn record(&mut self, job: &Job) {
        if job.policy.priority != URGENT_PRIORITY {
            return;
        }
        let steps = job.spec.graph.steps.iter();
        let requested =
            steps.map(|step| f64::from(step.tasks) * accelerator_equivalents(step.resources));
        self.0.push((job.accepted_at, requested.sum()));
    }

    /// Returns the accelerator equivalents requested per second.
    fn rate(&mut self, now: Duration) -> f64 {
        self.0.retain(|(at, _)| *at + DEMAND_WINDOW > now);
        let requested: f64 = self.0.iter().map(|(_, requested)| requested).sum();
        requested / DEMAND_WINDOW.as_secs_f64()
    }
}

impl Scheduler {
    /// Returns for each worker whether its free resources are left for urgent jobs: those on the racks with the most free
    /// resources, so that gangs that need a single rack fit. Services that are under half in use need none. The result is empty
    /// if there is no headroom.
    pub(crate) fn headroom_workers(&mut self, fleet: &FleetResources, now: Duration) -> Vec<bool> {
        let target = self.urgent_demand.rate(now)
            * self.settings.max_stop_time.as_secs_f64()
            * HEADROOM_STOP_TIMES;
        if target <= 0.0 {
            return Vec::new();
        }
        let mut racks: IndexMap<&str, Vec<(f64, usize)>> = IndexMap::new();
        let (mut total, mut free_total) = (ResourceVector::default(), ResourceVector::default());
        let workers = self.workers.values().enumerate();
        for (index, worker) in workers.filter(|(_, worker)| worker.accepts_tasks(now)) {
            let free = fleet.free[index];
            total = total.saturating_add(worker.capacity);
            free_total = free_total.saturating_add(free);
            if !self.half_idle_since.contains_key(&worker.service) {
                let rack = racks.entry(worker.rack()).or_default();
                rack.push((accelerator_equivalents(free), index));
            }
        }
        if !is_busy(total, free_total) {
            return Vec::new();
        }
        let mut headroom = vec![false; self.workers.len()];
        let sum = |rack: &[(f64, usize)]| rack.iter().map(|(free, _)| free).sum::<f64>();
        let mut racks: Vec<(f64, Vec<(f64, usize)>)> =
            racks.into_values().map(|rack| (sum(&rack), rack)).collect();
        racks.sort_by(|a, b| b.0.total_cmp(&a.0));
        let mut remaining = target;
        for (_, mut rack) in racks {
            rack.sort_by(|a, b| b.0.total_cmp(&a.0));
            for (free, index) in rack {
                if remaining <= 0.0 {
                    return headroom;
                }
                remaining -= free;
                headroom[index] = true;
            }
        }
        headroom
    }

    /// Returns whether a unit may use the headroom: an urgent or a long-running one, or one whose job was accepted
    /// longer ago than half of its slack. The slack is the completion objective less the expected run time. Where there is too
    /// little room, a unit without checkpoints whose job is late does not, until the job is overdue.
    ///
    /// Long-running tasks are included because their users notice at once when one is not running.
    pub(crate) fn may_use_headroom(&self, ready: ReadyUnit, now: Duration) -> bool {
        let Some(job) = self.jobs.get(&ready.job) else {
            return false;
        };
        ready.priority == URGENT_PRIORITY
            || ready.overdue
            || job.step(ready.unit).long_running
            || (now > headroom_deadline(job) && !self.would_be_in_the_way(job, ready, now))
    }

    /// Returns whether a unit that begins now would probably be stopped for an urgent one, or keep it waiting, although its own
    /// job does not end in time any more: where there is too little room, urgent units are expected within its run time, and a
    /// stop would lose its work.
    fn would_be_in_the_way(&self, job: &Job, ready: ReadyUnit, now: Duration) -> bool {
        let stake = Stake::of(job, &self.queue_sizes);
        self.shortage.is_in(&job.policy.service)
            && !job.step(ready.unit).supports_checkpoints
            && stake.prospect(now + job.remaining_time()) != Prospect::InTime
    }
}

/// Returns until when a job without another reason may not use the headroom.
pub(crate) fn headroom_deadline(job: &Job) -> Duration {
    let slack = job.objective().saturating_sub(job.expected_time());
    job.accepted_at + slack / 2
}

/// Returns whether at least the minimum share of the accelerators and of the cores, if there are any, is in use.
fn is_busy(total: ResourceVector, free: ResourceVector) -> bool {
    let busy = |total: u32, free: u32| {
        total == 0 || f64::from(free) <= f64::from(total) * (1.0 - MIN_UTILISATION)
    };
    busy(total.accelerators, free.accelerators) && busy(total.millicores, free.millicores)
}
