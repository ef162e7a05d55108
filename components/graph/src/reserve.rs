//! Room that lower priorities leave free for urgent jobs, which would otherwise wait for stops.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use model::{AgentId, Room};

use crate::claims::ResourcesByWorker;
use crate::job::Job;
use crate::order::{GUARANTEED_PRIORITY, WaitingUnit};
use crate::preempt::accelerator_equivalents;
use crate::scheduler::Scheduler;

/// Time over which the demand of urgent jobs is averaged: several of them arrive in it where they matter.
const DEMAND_WINDOW: Duration = Duration::from_secs(10);
/// The reserve lasts for the demand of this many of the longest stops.
const HEADROOM_STOPS: f64 = 16.0;
/// The reserve is kept only while at least this share of the accelerators and of the cores is taken; below it there is room for
/// everything, and nothing may wait.
const MIN_UTILISATION: f64 = 0.5;

/// Urgent jobs that arrived of late, with the room that each asked for.
#[derive(Debug, Default)]
pub(crate) struct UrgentDemand(Vec<(Duration, f64)>);

impl UrgentDemand {
    /// Notes a job.
    pub(crate) fn record(&mut self, job: &Job) {
        if job.policy.priority != GUARANTEED_PRIORITY {
            return;
        }
        let steps = job.spec.graph.steps.iter();
        let asked = steps.map(|step| f64::from(step.tasks) * accelerator_equivalents(step.room));
        self.0.push((job.accepted_at, asked.sum()));
    }

    /// Returns the room asked for in a second.
    fn rate(&mut self, now: Duration) -> f64 {
        self.0.retain(|(at, _)| *at + DEMAND_WINDOW > now);
        let asked: f64 = self.0.iter().map(|(_, asked)| asked).sum();
        asked / DEMAND_WINDOW.as_secs_f64()
    }
}

impl Scheduler {
    /// Returns the workers whose free room is left for urgent jobs: racks with the most free room first, so that gangs
    /// that need one rack find it.
    pub(crate) fn headroom_workers(
        &mut self,
        free: &ResourcesByWorker,
        now: Duration,
    ) -> IndexSet<AgentId> {
        let wanted =
            self.urgent_demand.rate(now) * self.limits.max_stop_time.as_secs_f64() * HEADROOM_STOPS;
        let mut reserved = IndexSet::new();
        if wanted <= 0.0 {
            return reserved;
        }
        let mut racks: IndexMap<&str, Vec<(f64, &AgentId)>> = IndexMap::new();
        let (mut total, mut open) = (Room::default(), Room::default());
        for worker in self.workers.values().filter(|w| w.accepts_tasks(now)) {
            let room = free.get(&worker.agent).copied().unwrap_or_default();
            total = total.plus(worker.capacity);
            open = open.plus(room);
            let room = accelerator_equivalents(room);
            let rack = racks.entry(worker.rack()).or_default();
            rack.push((room, &worker.agent));
        }
        if !is_busy(total, open) {
            return reserved;
        }
        let sum = |rack: &[(f64, &AgentId)]| rack.iter().map(|(room, _)| room).sum::<f64>();
        let mut racks: Vec<Vec<(f64, &AgentId)>> = racks.into_values().collect();
        racks.sort_by(|a, b| sum(b).total_cmp(&sum(a)));
        let mut left = wanted;
        for mut rack in racks {
            rack.sort_by(|a, b| b.0.total_cmp(&a.0));
            for (room, agent) in rack {
                if left <= 0.0 {
                    return reserved;
                }
                left -= room;
                reserved.insert(agent.clone());
            }
        }
        reserved
    }

    /// Returns whether a unit may use reserved workers: an urgent or a lasting one, or one that has waited half of its slack.
    ///
    /// A lasting task is missed at once by those whom it serves.
    pub(crate) fn may_use_headroom(&self, waiting: WaitingUnit, now: Duration) -> bool {
        let Some(job) = self.jobs.get(&waiting.job) else {
            return false;
        };
        let objective = waiting.deadline.saturating_sub(job.accepted_at);
        let slack = objective.saturating_sub(job.expected_time());
        waiting.priority == GUARANTEED_PRIORITY
            || job.step(waiting.unit).lasting
            || now.saturating_sub(job.accepted_at) > slack / 2
    }
}

/// Returns whether at least the busy share is taken of every resource that there is.
fn is_busy(total: Room, open: Room) -> bool {
    let busy = |total: u32, open: u32| {
        total == 0 || f64::from(open) <= f64::from(total) * (1.0 - MIN_UTILISATION)
    };
    busy(total.accelerators, open.accelerators) && busy(total.millicores, open.millicores)
}
