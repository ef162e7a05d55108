//! Jobs and their units.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use model::{AcceptedJob, AgentId, JobEnd, JobId, QueuePolicy, RunNumber, Step};

use crate::estimates::Estimates;
use crate::progress::{Progress, UnitProgress};

/// Names a unit of a job: a task, or all tasks of a gang.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct UnitId {
    /// The occurrence.
    pub(crate) occurrence: u32,
    /// The step.
    pub(crate) step: u32,
    /// The first task.
    pub(crate) first: u32,
}

/// Where a unit is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// It waits for other steps, its time or room.
    Waiting,
    /// Tasks of it may run.
    Active,
    /// It is done.
    Done,
}

/// What starts and ends together.
#[derive(Debug, Clone)]
pub(crate) struct Unit {
    /// Number of tasks.
    pub(crate) tasks: u32,
    /// Where it is in its life.
    pub(crate) phase: Phase,
    /// Number of the newest run.
    pub(crate) run: RunNumber,
    /// Runs that have not ended.
    pub(crate) open_runs: u32,
    /// The runs that failed, each counted once: members of a gang fail together, and ends are listed again.
    pub(crate) failed_runs: Vec<RunNumber>,
    /// The newest checkpoint.
    pub(crate) checkpoint: Box<str>,
    /// The checkpoint that the newest run started from, the same for all its members.
    pub(crate) start_checkpoint: Box<str>,
    /// Progress at the newest checkpoint.
    pub(crate) checkpoint_percent: u32,
    /// Runs that were stopped because they stood still.
    pub(crate) hang_count: u32,
    /// Not to be placed before this time.
    pub(crate) not_before: Duration,
    /// Workers on which it failed.
    pub(crate) avoided_workers: Vec<AgentId>,
    /// When it could first be placed.
    pub(crate) ready_at: Option<Duration>,
    /// When the newest run was placed.
    pub(crate) placed_at: Duration,
}

impl Unit {
    /// Returns the number of failed runs.
    pub(crate) fn failures(&self) -> u32 {
        u32::try_from(self.failed_runs.len()).unwrap_or(u32::MAX)
    }

    fn new(tasks: u32) -> Self {
        Self {
            tasks,
            phase: Phase::Waiting,
            run: 0,
            open_runs: 0,
            failed_runs: Vec::new(),
            checkpoint: Box::default(),
            start_checkpoint: Box::default(),
            checkpoint_percent: 0,
            hang_count: 0,
            not_before: Duration::ZERO,
            avoided_workers: Vec::new(),
            ready_at: None,
            placed_at: Duration::ZERO,
        }
    }
}

/// A job that the owner knows.
#[derive(Debug, Clone)]
pub(crate) struct Job {
    /// The job.
    pub(crate) id: JobId,
    /// What was accepted.
    pub(crate) spec: Arc<AcceptedJob>,
    /// The rules of its queue.
    pub(crate) policy: QueuePolicy,
    /// When it was accepted, on the boot clock.
    pub(crate) accepted_at: Duration,
    /// The time that a task of each step is expected to take.
    expected_step_times: Vec<Duration>,
    /// The units of the occurrences that are open.
    pub(crate) units: IndexMap<UnitId, Unit>,
    /// Occurrences that have been due so far.
    pub(crate) created_occurrences: u32,
    /// Whether a task has started.
    pub(crate) started: bool,
    /// Whether it may still run where this owner has not heard.
    pub(crate) awaiting_adoption: bool,
    /// How it ended, whether stored or not.
    pub(crate) end: Option<JobEnd>,
    /// Counts the durable changes.
    pub(crate) version: u64,
    /// The last version that the store has.
    pub(crate) stored_version: u64,
    /// The last version handed to the writer.
    pub(crate) submitted_version: u64,
}

impl Job {
    /// Creates a job from what the store has of it.
    pub(crate) fn new(
        id: JobId,
        spec: Arc<AcceptedJob>,
        accepted_at: Duration,
        estimates: &Estimates,
    ) -> Self {
        let mut job = Self {
            id,
            policy: spec.policy.clone(),
            expected_step_times: Vec::new(),
            spec,
            accepted_at,
            units: IndexMap::new(),
            created_occurrences: 0,
            started: false,
            awaiting_adoption: false,
            end: None,
            version: 0,
            stored_version: 0,
            submitted_version: 0,
        };
        job.update_expected_times(estimates);
        job
    }

    /// Takes what is known of the run times of its queue.
    pub(crate) fn update_expected_times(&mut self, estimates: &Estimates) {
        let steps = self.spec.graph.steps.iter();
        let queue = &self.spec.queue;
        self.expected_step_times = steps
            .map(|step| estimates.expected(queue, step.expected))
            .collect();
    }

    /// Returns the expected time of all steps, one after the other.
    pub(crate) fn expected_time(&self) -> Duration {
        self.expected_step_times.iter().sum()
    }

    /// Returns the time that a task of a unit is expected to take.
    pub(crate) fn expected_step_time(&self, unit: UnitId) -> Duration {
        self.expected_step_times[unit.step as usize]
    }

    /// Returns when the job should end.
    pub(crate) fn deadline(&self) -> Duration {
        self.accepted_at + self.expected_time().mul_f64(self.policy.stretch) + self.policy.target
    }

    /// Returns a step.
    pub(crate) fn step(&self, unit: UnitId) -> &Step {
        &self.spec.graph.steps[unit.step as usize]
    }

    /// Opens the occurrences that are due at this time of day.
    pub(crate) fn create_due_occurrences(&mut self, wall: Duration) {
        while self.created_occurrences < self.spec.graph.occurrences() {
            let due = self.due_at(self.created_occurrences);
            if due.is_some_and(|due| due > wall) {
                return;
            }
            self.create_occurrence(self.created_occurrences);
        }
    }

    /// Returns the time of day at which an occurrence is due, if the job has a schedule.
    pub(crate) fn due_at(&self, occurrence: u32) -> Option<Duration> {
        let recurrence = self.spec.graph.recurrence?;
        Some(recurrence.first + recurrence.interval * occurrence)
    }

    fn create_occurrence(&mut self, occurrence: u32) {
        self.created_occurrences = self.created_occurrences.max(occurrence + 1);
        let spec = Arc::clone(&self.spec);
        for (number, step) in (0..).zip(&spec.graph.steps) {
            let units = if step.gang { 1 } else { step.tasks };
            let tasks = if step.gang { step.tasks } else { 1 };
            for first in 0..units {
                let id = UnitId {
                    occurrence,
                    step: number,
                    first,
                };
                self.units.insert(id, Unit::new(tasks));
            }
        }
    }

    /// Applies what the store has.
    pub(crate) fn restore(&mut self, progress: &Progress) {
        for saved in &progress.units {
            while self.created_occurrences <= saved.occurrence
                && self.created_occurrences < self.spec.graph.occurrences()
            {
                self.create_occurrence(self.created_occurrences);
            }
            let id = UnitId {
                occurrence: saved.occurrence,
                step: saved.step,
                first: saved.first,
            };
            let Some(unit) = self.units.get_mut(&id) else {
                continue;
            };
            unit.failed_runs.clone_from(&saved.failed_runs);
            unit.checkpoint = saved.checkpoint.clone();
            if saved.done {
                unit.phase = Phase::Done;
            }
            self.started = true;
        }
    }

    /// Returns what the store has to keep.
    pub(crate) fn progress(&self) -> Progress {
        let changed = |unit: &Unit| {
            unit.phase == Phase::Done || !unit.failed_runs.is_empty() || !unit.checkpoint.is_empty()
        };
        let units = self.units.iter().filter(|(_, unit)| changed(unit));
        let units = units.map(|(id, unit)| UnitProgress {
            occurrence: id.occurrence,
            step: id.step,
            first: id.first,
            done: unit.phase == Phase::Done,
            failed_runs: unit.failed_runs.clone(),
            checkpoint: unit.checkpoint.clone(),
        });
        Progress {
            units: units.collect(),
        }
    }

    /// Returns whether the steps before a unit are done.
    pub(crate) fn is_unblocked(&self, id: UnitId) -> bool {
        let after = &self.step(id).after;
        after.iter().all(|step| {
            self.units
                .iter()
                .filter(|(other, _)| other.occurrence == id.occurrence && other.step == *step)
                .all(|(_, unit)| unit.phase == Phase::Done)
        })
    }

    /// Returns whether all tasks of all occurrences are done.
    pub(crate) fn is_complete(&self) -> bool {
        self.created_occurrences >= self.spec.graph.occurrences()
            && self.units.values().all(|unit| unit.phase == Phase::Done)
    }

    /// Notes a change that has to be stored.
    pub(crate) fn mark_changed(&mut self) {
        self.version += 1;
    }

    /// Returns the accelerators that the widest set of steps needs at once, taken as the sum of all steps.
    pub(crate) fn total_accelerators(&self) -> u32 {
        let steps = self.spec.graph.steps.iter();
        steps
            .map(|step| step.tasks.saturating_mul(step.room.accelerators))
            .fold(0, u32::saturating_add)
    }
}
