//! Jobs and their scheduling units.

use std::sync::Arc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use model::{AcceptedJob, AgentId, JobEnd, JobId, QueuePolicy, RunNumber, Step};

use crate::crashes::RunCrash;
use crate::estimates::Estimates;
use crate::progress::{Progress, UnitCrashes, UnitProgress};
use crate::ready::{ReadyUnits, StepHeads};
use crate::records::PlacementRecord;

/// Number of workers on which a job has to fail, without completing any unit, to count as faulty itself.
const FAULTY_JOB_WORKERS: usize = 3;

/// Number of units with earlier runs that a plan skips in search of one without.
const MAX_SKIPPED_UNITS: usize = 64;

/// Identifies a unit within its job: a single task, or all tasks of a gang.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct UnitId {
    /// The occurrence of the job, from 0.
    pub(crate) occurrence: u32,
    /// The step, from 0.
    pub(crate) step: u32,
    /// Index of the first task of the unit within its step.
    pub(crate) first: u32,
}

/// Identifies a unit among all jobs.
pub(crate) type UnitKey = (JobId, UnitId);

/// The life cycle of a unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Not placed: it waits for other steps, a backoff, recovery or free resources.
    Waiting,
    /// Placed: workers may be running its tasks.
    Active,
    /// Its work is complete.
    Done,
}

/// Tasks that are placed and restarted together.
#[derive(Debug, Clone)]
pub(crate) struct Unit {
    /// Number of tasks.
    pub(crate) tasks: u32,
    /// State in the life cycle, changed by the methods of [`Job`].
    phase: Phase,
    /// Number of the latest run.
    pub(crate) run_number: RunNumber,
    /// Number of placements of the latest run that have not ended.
    pub(crate) active_runs: u32,
    /// Numbers of the failed runs without duplicates: gang members fail together, and workers report ends repeatedly.
    pub(crate) failed_runs: Vec<RunNumber>,
    /// The latest checkpoint.
    pub(crate) checkpoint: Box<str>,
    /// The checkpoint that the latest run started from, shared by all members of a gang.
    pub(crate) start_checkpoint: Box<str>,
    /// Progress at the latest checkpoint, in percent.
    pub(crate) checkpoint_percent: u32,
    /// Number of runs that were stopped because they made no progress.
    pub(crate) hang_count: u32,
    /// The runs under which workers crashed, as far as they were not refuted.
    pub(crate) crashes: Vec<RunCrash>,
    /// Version of the job that contains the latest crash that made the unit a suspect; it is not placed before that is
    /// stored.
    pub(crate) crash_version: u64,
    /// Earliest time of the next placement.
    pub(crate) not_before: Duration,
    /// Agents of the workers on which runs failed; other workers are preferred.
    pub(crate) avoided_workers: Vec<AgentId>,
    /// When it became ready for placement; `None` while it is not known to be ready.
    pub(crate) ready_at: Option<Duration>,
    /// When the latest run was placed.
    pub(crate) placed_at: Duration,
}

impl Unit {
    /// Returns the state in the life cycle.
    pub(crate) fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns the number of failed runs.
    pub(crate) fn failures(&self) -> u32 {
        u32::try_from(self.failed_runs.len()).unwrap_or(u32::MAX)
    }

    fn new(tasks: u32) -> Self {
        Self {
            tasks,
            phase: Phase::Waiting,
            run_number: 0,
            active_runs: 0,
            failed_runs: Vec::new(),
            checkpoint: Box::default(),
            start_checkpoint: Box::default(),
            checkpoint_percent: 0,
            hang_count: 0,
            crashes: Vec::new(),
            crash_version: 0,
            not_before: Duration::ZERO,
            avoided_workers: Vec::new(),
            ready_at: None,
            placed_at: Duration::ZERO,
        }
    }
}

/// A job that has not ended, or whose end or runs are still being processed.
#[derive(Debug, Clone)]
pub(crate) struct Job {
    /// The id of the job.
    pub(crate) id: JobId,
    /// The job as it was accepted.
    pub(crate) spec: Arc<AcceptedJob>,
    /// The current policy of its queue.
    pub(crate) policy: QueuePolicy,
    /// When it was accepted, on the boot clock.
    pub(crate) accepted_at: Duration,
    /// Expected run time of one task, by step.
    expected_task_times: Vec<Duration>,
    /// Sum of the expected run times of one task of each step.
    expected_time: Duration,
    /// Upper bound of the accelerators that it uses at once.
    total_accelerators: u32,
    /// The units of the occurrences created so far.
    pub(crate) units: IndexMap<UnitId, Unit>,
    /// Number of occurrences created so far.
    pub(crate) created_occurrences: u32,
    /// The units that are ready.
    pub(crate) ready: ReadyUnits,
    /// Agents of the workers on which its runs failed.
    failed_on: IndexSet<AgentId>,
    /// Whether any of its units is done.
    has_done_unit: bool,
    /// The latest version that contains a crash for which a unit waits.
    latest_crash_version: u64,
    /// Whether a task has ever started.
    pub(crate) started: bool,
    /// Whether its units are not placed because recovery has not ended for it: workers whose runs are not known yet may still
    /// be running them.
    pub(crate) awaiting_recovery: bool,
    /// The agents on which it may have runs.
    pub(crate) record: PlacementRecord,
    /// How it ended, set before the end is stored.
    pub(crate) end: Option<JobEnd>,
    /// Incremented by each change that has to be stored.
    pub(crate) version: u64,
    /// The latest version in the store.
    pub(crate) stored_version: u64,
    /// The latest version submitted to the writer.
    pub(crate) submitted_version: u64,
}

impl Job {
    /// Creates a job without any progress.
    pub(crate) fn new(
        id: JobId,
        spec: Arc<AcceptedJob>,
        accepted_at: Duration,
        estimates: &Estimates,
    ) -> Self {
        let mut job = Self {
            id,
            policy: spec.policy.clone(),
            expected_task_times: Vec::new(),
            expected_time: Duration::ZERO,
            total_accelerators: total_accelerators(&spec.graph.steps),
            ready: ReadyUnits::new(&spec.graph.steps),
            failed_on: IndexSet::new(),
            has_done_unit: false,
            latest_crash_version: 0,
            spec,
            accepted_at,
            units: IndexMap::new(),
            created_occurrences: 0,
            started: false,
            awaiting_recovery: false,
            record: PlacementRecord::default(),
            end: None,
            version: 0,
            stored_version: 0,
            submitted_version: 0,
        };
        job.update_expected_times(estimates);
        job
    }

    /// Updates the expected run times from the estimates of its queue.
    pub(crate) fn update_expected_times(&mut self, estimates: &Estimates) {
        let steps = self.spec.graph.steps.iter();
        let queue = &self.spec.queue;
        self.expected_task_times = steps
            .map(|step| estimates.expected(queue, step.expected))
            .collect();
        self.expected_time = self.expected_task_times.iter().sum();
    }

    /// Returns the sum of the expected run times of one task of each step.
    pub(crate) fn expected_time(&self) -> Duration {
        self.expected_time
    }

    /// Returns the expected run time of a task of a unit.
    pub(crate) fn expected_task_time(&self, unit: UnitId) -> Duration {
        self.expected_task_times[unit.step as usize]
    }

    /// Returns the completion objective, the time after acceptance within which the job should end: a multiple of its
    /// expected run time plus the target of its queue.
    pub(crate) fn objective(&self) -> Duration {
        self.expected_time().mul_f64(self.policy.stretch) + self.policy.target
    }

    /// Returns the time by which the job should end, its acceptance plus the completion objective.
    pub(crate) fn deadline(&self) -> Duration {
        self.accepted_at + self.objective()
    }

    /// Returns the step of a unit.
    pub(crate) fn step(&self, unit: UnitId) -> &Step {
        &self.spec.graph.steps[unit.step as usize]
    }

    /// Creates the units of all occurrences that are due at `unix_time`.
    pub(crate) fn create_due_occurrences(&mut self, unix_time: Duration) {
        while self.created_occurrences < self.spec.graph.occurrences() {
            let due = self.due_at(self.created_occurrences);
            if due.is_some_and(|due| due > unix_time) {
                return;
            }
            self.create_occurrence(self.created_occurrences);
        }
    }

    /// Returns the Unix time at which an occurrence is due, if the job is recurring.
    pub(crate) fn due_at(&self, occurrence: u32) -> Option<Duration> {
        let recurrence = self.spec.graph.recurrence?;
        Some(recurrence.first + recurrence.interval * occurrence)
    }

    /// Returns the Unix time at which the next occurrence that was not created yet is due.
    pub(crate) fn next_due(&self) -> Option<Duration> {
        let has_next = self.created_occurrences < self.spec.graph.occurrences();
        has_next.then(|| self.due_at(self.created_occurrences))?
    }

    fn create_occurrence(&mut self, occurrence: u32) {
        self.created_occurrences = self.created_occurrences.max(occurrence + 1);
        let spec = Arc::clone(&self.spec);
        if spec.graph.recurrence.is_none() {
            let units = spec.graph.steps.iter();
            let units = units.map(|step| if step.gang { 1 } else { step.tasks as usize });
            // A table that grows is copied to one of twice its size.
            self.units.reserve_exact(units.sum());
        }
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
        self.ready.add_occurrence(occurrence);
    }

    /// Restores progress from the store.
    pub(crate) fn restore(&mut self, progress: &Progress) {
        for saved in &progress.units {
            self.create_occurrences_up_to(saved.occurrence);
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
                self.complete(id);
            }
            self.started = true;
        }
        for saved in &progress.crashes {
            self.create_occurrences_up_to(saved.occurrence);
            let id = UnitId {
                occurrence: saved.occurrence,
                step: saved.step,
                first: saved.first,
            };
            if let Some(unit) = self.units.get_mut(&id) {
                unit.crashes.clone_from(&saved.crashes);
                self.started = true;
            }
        }
    }

    /// Creates the occurrences up to this one that were not created yet.
    fn create_occurrences_up_to(&mut self, occurrence: u32) {
        while self.created_occurrences <= occurrence
            && self.created_occurrences < self.spec.graph.occurrences()
        {
            self.create_occurrence(self.created_occurrences);
        }
    }

    /// Returns the progress to store.
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
        let suspects = self.units.iter();
        let suspects = suspects.filter(|(_, unit)| !unit.crashes.is_empty());
        let crashes = suspects.map(|(id, unit)| UnitCrashes {
            occurrence: id.occurrence,
            step: id.step,
            first: id.first,
            crashes: unit.crashes.clone(),
        });
        Progress {
            units: units.collect(),
            crashes: crashes.collect(),
        }
    }

    /// Records that a run of a unit was placed.
    pub(crate) fn activate(&mut self, id: UnitId) -> Option<&mut Unit> {
        self.ready.remove(id);
        let unit = self.units.get_mut(&id)?;
        unit.phase = Phase::Active;
        Some(unit)
    }

    /// Returns a unit to waiting after its run has ended.
    pub(crate) fn requeue(&mut self, id: UnitId, now: Duration) {
        if let Some(unit) = self.units.get_mut(&id) {
            unit.phase = Phase::Waiting;
            unit.ready_at = Some(now);
            self.ready.add(id);
        }
    }

    /// Records that the work of a unit is complete.
    pub(crate) fn complete(&mut self, id: UnitId) {
        let unit = self.units.get_mut(&id);
        if let Some(unit) = unit.filter(|unit| unit.phase != Phase::Done) {
            unit.phase = Phase::Done;
            self.has_done_unit = true;
            self.ready.complete(id);
        }
    }

    /// Sets `ready_at` of the units that became ready, and makes those ready whose backoff has passed.
    pub(crate) fn update_ready(&mut self, now: Duration) {
        for id in self.ready.take_new() {
            if let Some(unit) = self.units.get_mut(&id) {
                unit.ready_at.get_or_insert(now);
            }
        }
        while let Some(id) = self.ready.take_due(now) {
            self.add_if_waiting(id);
        }
    }

    /// Makes the units ready that were put aside until their crashes are stored; the next plan puts those aside again that
    /// still wait.
    fn resume_stored(&mut self) {
        for id in self.ready.take_unstored() {
            self.add_if_waiting(id);
        }
    }

    fn add_if_waiting(&mut self, id: UnitId) {
        let unit = self.units.get(&id);
        if unit.is_some_and(|unit| unit.phase == Phase::Waiting) {
            self.ready.add(id);
        }
    }

    /// Returns the next unit of a step that can be placed now, after another one if that is given. Those that have to wait
    /// on the way there are put aside.
    pub(crate) fn next_ready(
        &mut self,
        step: u32,
        after: Option<UnitId>,
        now: Duration,
    ) -> Option<UnitId> {
        loop {
            let id = self.ready.next_of_step(step, after)?;
            let unit = self.units.get(&id)?;
            if unit.phase != Phase::Waiting {
                // It was adopted or restored before its step became ready.
                self.ready.remove(id);
            } else if unit.crash_version > self.stored_version {
                self.ready.await_store(id);
            } else if unit.not_before > now {
                self.ready.delay(id, unit.not_before);
            } else {
                return Some(id);
            }
        }
    }

    /// Returns a unit of the same step to try after one that could not be placed. `remaining` is the number of those that may
    /// still be tried.
    ///
    /// A unit without earlier runs could use any worker that the later ones of its occurrence may use, so that the next
    /// occurrence follows. After one with earlier runs, the next one may differ; the last one tried has no earlier runs.
    pub(crate) fn next_different(
        &mut self,
        id: UnitId,
        remaining: u32,
        now: Duration,
    ) -> Option<UnitId> {
        if remaining == 0 {
            return None;
        }
        if !self.has_earlier_runs(id) {
            let last = UnitId {
                first: u32::MAX,
                ..id
            };
            return self.next_ready(id.step, Some(last), now);
        }
        let mut next = self.next_ready(id.step, Some(id), now)?;
        for _ in 0..MAX_SKIPPED_UNITS {
            if remaining > 1 || !self.has_earlier_runs(next) {
                return Some(next);
            }
            next = self.next_ready(id.step, Some(next), now)?;
        }
        None
    }

    fn has_earlier_runs(&self, id: UnitId) -> bool {
        let unit = self.units.get(&id);
        unit.is_some_and(|unit| {
            unit.run_number > 0 || !unit.failed_runs.is_empty() || !unit.crashes.is_empty()
        })
    }

    /// Returns the first unit of each step that can be placed now.
    pub(crate) fn step_heads(&mut self, now: Duration) -> StepHeads {
        let steps: Vec<u32> = self.ready.steps().collect();
        let mut heads = StepHeads::default();
        for step in steps {
            if let Some(unit) = self.next_ready(step, None, now) {
                heads.push(unit);
            }
        }
        heads
    }

    /// Records that a unit waits until its latest crash, which the present version contains, is stored.
    pub(crate) fn await_crash_stored(&mut self, id: UnitId) {
        if let Some(unit) = self.units.get_mut(&id) {
            unit.crash_version = self.version;
            self.latest_crash_version = self.version;
        }
    }

    /// Records that a version was stored; returns whether units may have waited for that.
    pub(crate) fn mark_stored(&mut self, version: u64) -> bool {
        let before = self.stored_version;
        self.stored_version = before.max(version);
        self.resume_stored();
        before < self.latest_crash_version
    }

    /// Returns whether all units of all occurrences are done.
    pub(crate) fn is_complete(&self) -> bool {
        self.created_occurrences >= self.spec.graph.occurrences() && self.ready.all_done()
    }

    /// Records that a run of a unit failed on a worker, which the unit then avoids.
    pub(crate) fn record_failed_on(&mut self, id: UnitId, agent: &AgentId) {
        if let Some(unit) = self.units.get_mut(&id)
            && !unit.avoided_workers.contains(agent)
        {
            unit.avoided_workers.push(agent.clone());
        }
        self.failed_on.insert(agent.clone());
    }

    /// Returns whether failures are more likely to be the fault of the job than of the workers: it has failed on several
    /// workers and none of its units has completed.
    pub(crate) fn is_likely_faulty(&self) -> bool {
        self.failed_on.len() >= FAULTY_JOB_WORKERS && !self.has_done_unit
    }

    /// Records that the job has a change to store.
    pub(crate) fn mark_changed(&mut self) {
        self.version += 1;
    }

    /// Returns an upper bound of the accelerators that the job uses at once: the sum over all steps, as if they all ran
    /// in parallel.
    pub(crate) fn total_accelerators(&self) -> u32 {
        self.total_accelerators
    }
}

fn total_accelerators(steps: &[Step]) -> u32 {
    steps
        .iter()
        .map(|step| step.tasks.saturating_mul(step.resources.accelerators))
        .fold(0, u32::saturating_add)
}
