//! Selection of the units to stop so that the tasks of an urgent unit fit.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use model::{AgentId, JobId, ResourceVector};

use crate::fit::Assignment;
use crate::job::UnitKey;
use crate::stakes::accelerator_equivalents;

/// Cost of stopping a unit, or several.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct StopCost {
    /// Work that is lost and has to be repeated, in accelerator seconds.
    pub(crate) lost: f64,
    /// The lost work and the resources occupied while the unit stops, in accelerator seconds.
    pub(crate) work: f64,
    /// What that work is worth to callers; more for a unit that was stopped before.
    pub(crate) work_value: f64,
    /// What the caller of its job loses because the job ends later.
    pub(crate) deadline_loss: f64,
    /// Expected time until it ends if it is not stopped.
    pub(crate) remaining: Duration,
    /// Run time that it has to repeat.
    pub(crate) repeated: Duration,
    /// Whether it ends about as soon as a stop would have taken effect, so that it is not stopped.
    pub(crate) is_ending: bool,
}

impl StopCost {
    /// Returns what callers lose.
    pub(crate) fn total(&self) -> f64 {
        self.work_value + self.deadline_loss
    }
}

/// A worker with the units on it that may be stopped.
#[derive(Debug, Clone)]
pub(crate) struct PreemptibleWorker<'a> {
    pub(crate) agent: &'a AgentId,
    /// Resources that are free without stopping any unit.
    pub(crate) free: ResourceVector,
    /// Maximum number of tasks of the urgent unit.
    pub(crate) max_slots: u32,
    /// Resources that each unit occupies on the worker.
    pub(crate) units: IndexMap<UnitKey, ResourceVector>,
}

/// The selected victims, and the workers with the number of tasks on each.
#[derive(Debug)]
pub(crate) struct Selection {
    pub(crate) assignment: Assignment,
    pub(crate) victims: IndexSet<UnitKey>,
    /// The victims that are about to end.
    pub(crate) ending: IndexSet<UnitKey>,
    /// Cost of stopping all victims.
    pub(crate) cost: StopCost,
}

/// Victims that give at least one more slot on a worker.
struct Step {
    victims: Vec<UnitKey>,
    cost: f64,
    /// Slots gained on all workers.
    gained: u32,
}

impl Step {
    /// Returns the cost of each gained slot that is needed.
    fn cost_per_slot(&self, needed: u32) -> f64 {
        self.cost / f64::from(self.gained.min(needed).max(1))
    }
}

/// State of a selection.
struct Selector<'a> {
    workers: &'a [PreemptibleWorker<'a>],
    task_resources: ResourceVector,
    costs: &'a IndexMap<UnitKey, StopCost>,
    /// Indexes of the workers of each unit: a gang that is stopped frees resources on all of them.
    workers_of: IndexMap<UnitKey, Vec<usize>>,
    victims: IndexSet<UnitKey>,
    /// Slots on each worker once the victims have stopped.
    slots: Vec<u32>,
}

/// Selects victims at a low cost until `tasks` tasks fit; returns `None` if they cannot fit.
///
/// Each step takes the victims with the lowest cost per slot gained. Victims that turn out to be unnecessary are dropped
/// at the end, the most expensive ones first.
pub(crate) fn select_victims(
    workers: &[PreemptibleWorker<'_>],
    tasks: u32,
    task_resources: ResourceVector,
    costs: &IndexMap<UnitKey, StopCost>,
) -> Option<Selection> {
    let max_slots = workers.iter().map(|worker| worker.max_slots);
    if max_slots.fold(0, u32::saturating_add) < tasks {
        return None;
    }
    let mut workers_of: IndexMap<UnitKey, Vec<usize>> = IndexMap::new();
    for (index, worker) in workers.iter().enumerate() {
        for unit in worker.units.keys() {
            workers_of.entry(*unit).or_default().push(index);
        }
    }
    let mut selector = Selector {
        workers,
        task_resources,
        costs,
        workers_of,
        victims: IndexSet::new(),
        slots: vec![0; workers.len()],
    };
    let all: IndexSet<usize> = (0..workers.len()).collect();
    selector.update_slots(&all);
    let mut steps: Vec<Option<Step>> = all.iter().map(|index| selector.step(*index)).collect();
    while selector.total_slots() < tasks {
        let needed = tasks - selector.total_slots();
        let cost = |step: &Step| step.cost_per_slot(needed);
        let possible = steps.iter().flatten();
        let cheapest = possible.min_by(|a, b| cost(a).total_cmp(&cost(b)))?;
        let victims = cheapest.victims.clone();
        let affected = selector.workers_with(&victims);
        selector.victims.extend(victims);
        selector.update_slots(&affected);
        for index in affected {
            steps[index] = selector.step(index);
        }
    }
    selector.drop_unnecessary(tasks);
    Some(selector.finish(tasks))
}

impl Selector<'_> {
    fn cost(&self, unit: UnitKey) -> f64 {
        self.costs.get(&unit).map_or(0.0, StopCost::total)
    }

    /// Returns the slots on a worker if the victims so far and the additional ones are stopped.
    fn slots_with(&self, index: usize, additional: &[UnitKey]) -> u32 {
        let worker = &self.workers[index];
        let is_stopped = |unit: &UnitKey| self.victims.contains(unit) || additional.contains(unit);
        let freed = worker.units.iter().filter(|(unit, _)| is_stopped(unit));
        let free = freed.fold(worker.free, |free, (_, resources)| {
            free.saturating_add(*resources)
        });
        free.fit_count(self.task_resources).min(worker.max_slots)
    }

    fn update_slots(&mut self, workers: &IndexSet<usize>) {
        for index in workers {
            self.slots[*index] = self.slots_with(*index, &[]);
        }
    }

    fn total_slots(&self) -> u32 {
        self.slots.iter().copied().fold(0, u32::saturating_add)
    }

    fn workers_with(&self, units: &[UnitKey]) -> IndexSet<usize> {
        let workers = units.iter().filter_map(|unit| self.workers_of.get(unit));
        workers.flatten().copied().collect()
    }

    /// Returns the cheapest victims on a worker that give at least one more slot there, if there are any.
    fn step(&self, index: usize) -> Option<Step> {
        let worker = &self.workers[index];
        if self.slots[index] >= worker.max_slots {
            return None;
        }
        let cost_density = |unit: UnitKey, resources: ResourceVector| {
            self.cost(unit) / accelerator_equivalents(resources).max(f64::EPSILON)
        };
        let mut remaining: Vec<(UnitKey, f64)> = worker
            .units
            .iter()
            .filter(|(unit, _)| !self.victims.contains(*unit))
            .map(|(unit, resources)| (*unit, cost_density(*unit, *resources)))
            .collect();
        remaining.sort_by(|a, b| a.1.total_cmp(&b.1));
        let mut victims = Vec::new();
        for (unit, _) in remaining {
            victims.push(unit);
            if self.slots_with(index, &victims) > self.slots[index] {
                return Some(self.complete_step(victims));
            }
        }
        None
    }

    fn complete_step(&self, victims: Vec<UnitKey>) -> Step {
        let gain = |index: usize| self.slots_with(index, &victims) - self.slots[index];
        let gains = self.workers_with(&victims).into_iter().map(gain);
        Step {
            gained: gains.fold(0, u32::saturating_add),
            cost: victims.iter().map(|unit| self.cost(*unit)).sum(),
            victims,
        }
    }

    /// Drops victims without which the tasks still fit.
    fn drop_unnecessary(&mut self, tasks: u32) {
        let mut by_cost: Vec<UnitKey> = self.victims.iter().copied().collect();
        by_cost.sort_by(|a, b| self.cost(*b).total_cmp(&self.cost(*a)));
        for unit in by_cost {
            let affected = self.workers_with(&[unit]);
            self.victims.swap_remove(&unit);
            self.update_slots(&affected);
            if self.total_slots() < tasks {
                self.victims.insert(unit);
                self.update_slots(&affected);
            }
        }
    }

    /// Assigns the tasks to the workers with the most slots.
    fn finish(self, tasks: u32) -> Selection {
        let mut slots: Vec<(usize, u32)> = self
            .slots
            .iter()
            .copied()
            .enumerate()
            .filter(|(_, slots)| *slots > 0)
            .collect();
        slots.sort_by_key(|(_, slots)| std::cmp::Reverse(*slots));
        let mut remaining = tasks;
        let mut assignment = Assignment::new();
        for (index, slots) in slots {
            if remaining == 0 {
                break;
            }
            let count = slots.min(remaining);
            remaining -= count;
            assignment.push((self.workers[index].agent.clone(), count));
        }
        let mut deadline_losses: IndexMap<JobId, f64> = IndexMap::new();
        let costs = self.victims.iter().filter_map(|unit| self.costs.get(unit));
        let mut cost = costs.fold(StopCost::default(), |sum, cost| StopCost {
            lost: sum.lost + cost.lost,
            work: sum.work + cost.work,
            work_value: sum.work_value + cost.work_value,
            deadline_loss: 0.0,
            remaining: sum.remaining.max(cost.remaining),
            repeated: sum.repeated.max(cost.repeated),
            is_ending: sum.is_ending || cost.is_ending,
        });
        for (job, unit) in &self.victims {
            let loss = deadline_losses.entry(*job).or_default();
            let cost = self.costs.get(&(*job, *unit));
            *loss = loss.max(cost.map_or(0.0, |cost| cost.deadline_loss));
        }
        cost.deadline_loss = deadline_losses.values().sum();
        let is_ending = |unit: &&UnitKey| self.costs.get(*unit).is_some_and(|c| c.is_ending);
        let ending = self.victims.iter().filter(is_ending).copied().collect();
        Selection {
            ending,
            assignment,
            victims: self.victims,
            cost,
        }
    }
}
