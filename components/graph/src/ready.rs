//! The waiting units of a job whose dependencies are done, kept up to date with each change.
//!
//! A plan looks at the first unit of each step and goes on within a step only while its units are placed, so that its cost
//! does not grow with the units that have to wait: a job may have tens of thousands of them.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::ops::Bound::{Excluded, Unbounded};
use std::time::Duration;

use indexmap::IndexSet;
use model::Step;

use crate::job::UnitId;

/// How far the steps of each occurrence are, and which units are ready.
#[derive(Debug, Clone)]
pub(crate) struct ReadyUnits {
    /// For each step, the later steps that depend on it.
    dependents: Vec<Vec<u32>>,
    /// For each step, the number of steps that it depends on.
    dependencies: Vec<u32>,
    /// For each step, the number of its units.
    unit_counts: Vec<u32>,
    /// The state of each step of each created occurrence.
    steps: Vec<StepState>,
    /// Number of units that are not done, over the created occurrences.
    open_units: u64,
    /// Units that are ready, by step: their occurrence and first task.
    by_step: BTreeMap<u32, BTreeSet<(u32, u32)>>,
    /// Units that became ready since the latest plan.
    new: Vec<UnitId>,
    /// Units that wait until a time.
    delayed: BTreeSet<(Duration, UnitId)>,
    /// Units that wait until the latest crash of a worker under them is stored.
    unstored: Vec<UnitId>,
}

/// A step of one occurrence.
#[derive(Debug, Clone, Copy)]
struct StepState {
    /// Number of its units that are not done.
    open_units: u32,
    /// Number of the steps that it depends on and that are not done.
    open_dependencies: u32,
}

impl ReadyUnits {
    /// Creates the state of a job without occurrences.
    pub(crate) fn new(steps: &[Step]) -> Self {
        let mut dependents = vec![Vec::new(); steps.len()];
        let mut dependencies = Vec::with_capacity(steps.len());
        for (number, step) in (0_u32..).zip(steps) {
            let after: IndexSet<u32> = step.after.iter().copied().collect();
            for earlier in &after {
                if let Some(dependents) = dependents.get_mut(*earlier as usize) {
                    dependents.push(number);
                }
            }
            dependencies.push(u32::try_from(after.len()).unwrap_or(u32::MAX));
        }
        let unit_count = |step: &Step| if step.gang { 1 } else { step.tasks };
        Self {
            dependents,
            dependencies,
            unit_counts: steps.iter().map(unit_count).collect(),
            steps: Vec::new(),
            open_units: 0,
            by_step: BTreeMap::new(),
            new: Vec::new(),
            delayed: BTreeSet::new(),
            unstored: Vec::new(),
        }
    }

    /// Adds the next occurrence, none of whose units is done.
    pub(crate) fn add_occurrence(&mut self, occurrence: u32) {
        for (units, dependencies) in self.unit_counts.iter().zip(&self.dependencies) {
            self.open_units += u64::from(*units);
            self.steps.push(StepState {
                open_units: *units,
                open_dependencies: *dependencies,
            });
        }
        for step in 0..self.step_count() {
            if self.dependencies[step as usize] == 0 {
                self.add_step(occurrence, step);
            }
        }
    }

    fn step_count(&self) -> u32 {
        u32::try_from(self.unit_counts.len()).unwrap_or(u32::MAX)
    }

    fn index(&self, occurrence: u32, step: u32) -> usize {
        occurrence as usize * self.unit_counts.len() + step as usize
    }

    /// Records that a unit is done; the last one of its step makes the units of other steps ready.
    pub(crate) fn complete(&mut self, unit: UnitId) {
        self.remove(unit);
        self.open_units -= 1;
        let index = self.index(unit.occurrence, unit.step);
        self.steps[index].open_units -= 1;
        if self.steps[index].open_units > 0 {
            return;
        }
        for number in 0..self.dependents[unit.step as usize].len() {
            let step = self.dependents[unit.step as usize][number];
            let index = self.index(unit.occurrence, step);
            self.steps[index].open_dependencies -= 1;
            if self.steps[index].open_dependencies == 0 {
                self.add_step(unit.occurrence, step);
            }
        }
    }

    /// Adds all units of a step whose dependencies are done.
    fn add_step(&mut self, occurrence: u32, step: u32) {
        let units = self.by_step.entry(step).or_default();
        for first in 0..self.unit_counts[step as usize] {
            units.insert((occurrence, first));
            self.new.push(UnitId {
                occurrence,
                step,
                first,
            });
        }
    }

    /// Adds a unit whose run has ended without completing it, unless its step still depends on others: a new owner may
    /// learn of a run before it learns of the ends that it depended on.
    pub(crate) fn add(&mut self, unit: UnitId) {
        let index = self.index(unit.occurrence, unit.step);
        if self.steps[index].open_dependencies > 0 {
            return;
        }
        let units = self.by_step.entry(unit.step).or_default();
        units.insert((unit.occurrence, unit.first));
    }

    /// Removes a unit that no longer waits.
    pub(crate) fn remove(&mut self, unit: UnitId) {
        if let Some(units) = self.by_step.get_mut(&unit.step) {
            units.remove(&(unit.occurrence, unit.first));
            if units.is_empty() {
                self.by_step.remove(&unit.step);
            }
        }
    }

    /// Puts a unit aside until a time.
    pub(crate) fn delay(&mut self, unit: UnitId, until: Duration) {
        self.remove(unit);
        self.delayed.insert((until, unit));
    }

    /// Puts a unit aside until [`Self::take_unstored`].
    pub(crate) fn await_store(&mut self, unit: UnitId) {
        self.remove(unit);
        self.unstored.push(unit);
    }

    /// Returns when the first delayed unit is due.
    pub(crate) fn next_due(&self) -> Option<Duration> {
        self.delayed.first().map(|(until, _)| *until)
    }

    /// Takes a delayed unit that is due.
    pub(crate) fn take_due(&mut self, now: Duration) -> Option<UnitId> {
        self.next_due().filter(|until| *until <= now)?;
        self.delayed.pop_first().map(|(_, unit)| unit)
    }

    /// Returns the first delayed unit with its time, and the first one that waits for the store without a time.
    pub(crate) fn set_aside(&self) -> impl Iterator<Item = (UnitId, Option<Duration>)> {
        let delayed = self.delayed.first();
        let delayed = delayed.map(|(until, unit)| (*unit, Some(*until)));
        let unstored = self.unstored.first().map(|unit| (*unit, None));
        delayed.into_iter().chain(unstored)
    }

    /// Takes the units that wait for the store.
    pub(crate) fn take_unstored(&mut self) -> Vec<UnitId> {
        std::mem::take(&mut self.unstored)
    }

    /// Takes the units that became ready since the last call.
    pub(crate) fn take_new(&mut self) -> Vec<UnitId> {
        std::mem::take(&mut self.new)
    }

    /// Returns whether all units of the created occurrences are done.
    pub(crate) fn all_done(&self) -> bool {
        self.open_units == 0
    }

    /// Returns the steps with ready units.
    pub(crate) fn steps(&self) -> impl Iterator<Item = u32> {
        self.by_step.keys().copied()
    }

    /// Returns the number of units of a step that are ready or that will be once the steps before are done. The units that are put
    /// aside do not count.
    pub(crate) fn waiting_units(&self, occurrence: u32, step: u32) -> u32 {
        let Some(state) = self.steps.get(self.index(occurrence, step)) else {
            return 0;
        };
        if state.open_dependencies > 0 {
            return state.open_units;
        }
        state.open_units.min(self.ready_units(step))
    }

    /// Returns the number of ready units of a step.
    pub(crate) fn ready_units(&self, step: u32) -> u32 {
        let ready = self.by_step.get(&step).map_or(0, BTreeSet::len);
        u32::try_from(ready).unwrap_or(u32::MAX)
    }

    /// Returns the occurrences in which a step has ready units.
    pub(crate) fn occurrences_of(&self, step: u32) -> impl Iterator<Item = u32> {
        let mut next = Some(0);
        std::iter::from_fn(move || {
            let units = self.by_step.get(&step)?;
            let (occurrence, _) = units.range((next?, 0)..).next()?;
            next = occurrence.checked_add(1);
            Some(*occurrence)
        })
    }

    /// Returns the first ready unit of a step, after another one if that is given.
    pub(crate) fn next_of_step(&self, step: u32, after: Option<UnitId>) -> Option<UnitId> {
        let units = self.by_step.get(&step)?;
        let start = after.map_or(Unbounded, |unit| Excluded((unit.occurrence, unit.first)));
        let (occurrence, first) = units.range((start, Unbounded)).next()?;
        Some(UnitId {
            occurrence: *occurrence,
            step,
            first: *first,
        })
    }
}

/// The next unit of each step that a plan has to look at, in the order of occurrences, steps and tasks.
#[derive(Debug, Default)]
pub(crate) struct StepHeads(BinaryHeap<Reverse<UnitId>>);

impl StepHeads {
    /// Adds the next unit of a step.
    pub(crate) fn push(&mut self, unit: UnitId) {
        self.0.push(Reverse(unit));
    }

    /// Takes the first unit.
    pub(crate) fn pop(&mut self) -> Option<UnitId> {
        self.0.pop().map(|Reverse(unit)| unit)
    }
}
