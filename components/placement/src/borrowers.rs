//! Borrowers, which are preemptible gangs that are not charged to a claim, and the cost of stopping them.

use std::collections::HashMap;
use std::sync::Arc;

use model::{Active, Gang, Job, Planned, Resources, Running, Shape};

use crate::context::StepContext;
use crate::fit::first_fit;
use crate::fleet::{held_resources, is_non_preemptible};
use crate::topology::{Assignment, WorkerResources};

/// Share of the run time that a stopped job is assumed to lose if it resumes from a checkpoint; requests do not declare
/// how often their tasks make one.
const CHECKPOINT_LOSS: f64 = 0.1;

/// The gang of a borrower. A planned gang is withdrawn; a running one must be stopped by its agents.
#[derive(Clone)]
pub(crate) enum BorrowerGang {
    Planned(Arc<Gang<Planned>>),
    Running(Arc<Gang<Running>>),
}

/// A borrower with the resources that it holds.
pub(crate) struct Borrower {
    pub(crate) gang: BorrowerGang,
    pub(crate) held: WorkerResources,
    /// Accelerator seconds lost if the gang is stopped.
    pub(crate) cost: f64,
}

/// All borrowers, with an index by worker.
pub(crate) struct Borrowers {
    pub(crate) all: Vec<Borrower>,
    /// Indexes into `all` of the borrowers on each worker.
    by_worker: Vec<Vec<u32>>,
    /// The cost of stopping all borrowers on each worker.
    pub(crate) cost_by_worker: Vec<f64>,
}

impl Borrowers {
    pub(crate) fn collect(cx: &StepContext) -> Self {
        let workers = cx.fleet.workers.len();
        let mut borrowers = Self {
            all: Vec::new(),
            by_worker: vec![Vec::new(); workers],
            cost_by_worker: vec![0.0; workers],
        };
        for gang in cx.fleet.running.values() {
            // A gang without a known job counts as non-preemptible.
            let Some(job) = cx.queue.active.get(&gang.job) else {
                continue;
            };
            let preemptible = job.request.is_preemptible();
            if !preemptible || cx.fleet.claim_by_gang.contains_key(&gang.id) {
                continue;
            }
            let held = held_resources(&cx.fleet, &gang.members);
            let cost = cost(cx, job, gang, &held);
            borrowers.add(BorrowerGang::Running(Arc::clone(gang)), held, cost);
        }
        for gang in cx.fleet.planned.values() {
            if cx.fleet.claim_by_gang.contains_key(&gang.id)
                || is_non_preemptible(&cx.queue, gang.job)
            {
                continue;
            }
            let held = held_resources(&cx.fleet, &gang.members);
            borrowers.add(BorrowerGang::Planned(Arc::clone(gang)), held, 0.0);
        }
        borrowers
    }

    fn add(&mut self, gang: BorrowerGang, held: WorkerResources, cost: f64) {
        let index = u32::try_from(self.all.len()).unwrap_or(u32::MAX);
        for (worker, _) in &held {
            self.by_worker[*worker].push(index);
            self.cost_by_worker[*worker] += cost;
        }
        self.all.push(Borrower { gang, held, cost });
    }

    /// Marks a borrower as stopped and returns its gang. It costs other jobs nothing to use its capacity too, since it
    /// stops anyway. A planned gang is withdrawn at once, after which it holds nothing.
    pub(crate) fn mark_stopped(&mut self, victim: usize) -> BorrowerGang {
        let borrower = &mut self.all[victim];
        borrower.cost = 0.0;
        if matches!(borrower.gang, BorrowerGang::Planned(_)) {
            borrower.held.clear();
        }
        borrower.gang.clone()
    }

    /// Returns the borrowers on the workers of an allocation, cheapest first.
    fn on_workers(&self, allocation: &WorkerResources) -> Vec<usize> {
        let mut indexes: Vec<u32> = allocation
            .iter()
            .flat_map(|(worker, _)| self.by_worker[*worker].iter().copied())
            .collect();
        indexes.sort_unstable();
        indexes.dedup();
        let mut indexes: Vec<usize> = indexes.into_iter().map(|index| index as usize).collect();
        indexes.sort_by(|a, b| self.all[*a].cost.total_cmp(&self.all[*b].cost));
        indexes
    }

    /// Returns a cheap set of borrowers without which the shape fits in `allocation`, with the assignment and the cost.
    ///
    /// Adds borrowers from the cheapest up until the shape fits, then drops those that turn out to be unnecessary, the
    /// most expensive first.
    pub(crate) fn cheapest_victims(
        &self,
        cx: &StepContext,
        (available, deficit): (&[Resources], &[Resources]),
        allocation: &WorkerResources,
        shape: &Shape,
    ) -> Option<(Assignment, Vec<usize>, f64)> {
        let mut trial = PreemptionTrial::new((available, deficit), allocation, shape);
        let mut chosen = Vec::new();
        let mut assignment = None;
        for victim in self.on_workers(allocation) {
            trial.add(&self.all[victim].held);
            chosen.push(victim);
            if trial.slots >= u64::from(shape.tasks) {
                assignment = first_fit(&cx.topology, &trial.available(), shape);
            }
            if assignment.is_some() {
                break;
            }
        }
        let mut assignment = assignment?;
        for at in (0..chosen.len()).rev() {
            let victim = &self.all[chosen[at]];
            trial.remove(&victim.held);
            match first_fit(&cx.topology, &trial.available(), shape) {
                Some(smaller) => {
                    assignment = smaller;
                    chosen.remove(at);
                }
                None => trial.add(&victim.held),
            }
        }
        let cost = chosen.iter().map(|victim| self.all[*victim].cost).sum();
        Some((assignment, chosen, cost))
    }
}

/// Returns the accelerator seconds that are lost if a gang is stopped.
fn cost(cx: &StepContext, job: &Job<Active>, gang: &Gang<Running>, held: &WorkerResources) -> f64 {
    if cx.fleet.stopping.contains(&gang.id) {
        return 0.0;
    }
    let lost_share = if job.request.stoppable {
        CHECKPOINT_LOSS
    } else {
        1.0
    };
    let accelerators: u32 = held.iter().map(|(_, amount)| amount.accelerators).sum();
    let ran = cx.now.saturating_duration_since(gang.state.since);
    // A gang without accelerators loses its run time too, so it counts as if it had one.
    lost_share * ran.as_secs_f64() * f64::from(accelerators.max(1))
}

/// The capacity of an allocation if a set of borrowers was stopped.
struct PreemptionTrial<'a> {
    allocation: &'a WorkerResources,
    /// Available resources of the allocation's workers with those of the stopped borrowers, before the deficit of holds
    /// is deducted.
    available: HashMap<usize, Resources>,
    deficit: HashMap<usize, Resources>,
    /// Allocated resources by worker, which the job must not exceed.
    limit: HashMap<usize, Resources>,
    shape: &'a Shape,
    /// Task slots of the shape on all workers of the allocation.
    slots: u64,
}

impl<'a> PreemptionTrial<'a> {
    fn new(
        (available, deficit): (&[Resources], &[Resources]),
        allocation: &'a WorkerResources,
        shape: &'a Shape,
    ) -> Self {
        let mut trial = Self {
            allocation,
            available: allocation
                .iter()
                .map(|(w, _)| (*w, available[*w]))
                .collect(),
            deficit: allocation.iter().map(|(w, _)| (*w, deficit[*w])).collect(),
            limit: allocation.iter().copied().collect(),
            shape,
            slots: 0,
        };
        trial.slots = allocation
            .iter()
            .map(|(worker, _)| trial.slots_on(*worker))
            .sum();
        trial
    }

    fn amount(&self, worker: usize) -> Resources {
        let available = self.available[&worker].saturating_sub(self.deficit[&worker]);
        self.limit[&worker].min(available)
    }

    fn slots_on(&self, worker: usize) -> u64 {
        u64::from(
            self.amount(worker)
                .fit_count(self.shape.per_task())
                .min(self.shape.tasks),
        )
    }

    /// Adds a borrower to the stopped ones.
    fn add(&mut self, held: &WorkerResources) {
        self.change(held, Resources::saturating_add);
    }

    /// Removes a borrower from the stopped ones.
    fn remove(&mut self, held: &WorkerResources) {
        self.change(held, Resources::saturating_sub);
    }

    fn change(&mut self, held: &WorkerResources, change: fn(Resources, Resources) -> Resources) {
        for (worker, amount) in held {
            if !self.available.contains_key(worker) {
                continue;
            }
            self.slots -= self.slots_on(*worker);
            if let Some(available) = self.available.get_mut(worker) {
                *available = change(*available, *amount);
            }
            self.slots += self.slots_on(*worker);
        }
    }

    fn available(&self) -> WorkerResources {
        self.allocation
            .iter()
            .map(|(worker, _)| (*worker, self.amount(*worker)))
            .collect()
    }
}
