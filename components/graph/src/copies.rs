//! Speculative copies: a second run of a slow task on another worker. The first run that completes counts.
//!
//! A unit has at most two runs: the one with its run number, and a copy ([`Unit::copy`]). If one of them ends without
//! completing the task, the other one becomes the only run of the unit; if one completes it, the other one is stopped.
//! Only single tasks of steps with `speculative` get copies. See `docs/design/copies.md`.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use model::{AgentId, JobId, QueueId, ResourceVector, RunNumber, Step, TaskId, TaskRun};

use crate::fit::resources_per_task;
use crate::job::{Job, Phase, Unit, UnitId, UnitKey};
use crate::order::ReadyUnit;
use crate::placement::{AnyPlacement, Running};
use crate::reservations::{FleetResources, ReservationFilter, available_resources};
use crate::scheduler::Scheduler;
use crate::worker::Worker;

/// Progress from which the pace of a run is compared with others. Percentages are whole numbers, so that the pace is then
/// known to about a fifth.
const MIN_GAINED_PERCENT: u32 = 5;
/// A run without progress for the time of this many percentage points and a report interval may hang, which is decided
/// elsewhere.
const STALLED_PERCENT: u32 = 3;
/// The interval between reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Number of other runs that tell the typical run time of a step, or of completed runs that tell that of a queue.
const MIN_RUNS: u32 = 3;
/// Time to decide on a copy, store the record of its agent and start it.
const START_OVERHEAD: Duration = Duration::from_millis(300);
/// One run in this many may be a copy, so that a wrong estimate wastes little. Three tasks in a hundred are stragglers.
const RUNS_PER_COPY: usize = 20;
/// Running copies in all. Each plan with waiting units looks at each of them.
const MAX_COPIES: usize = 128;
/// Running copies of a job. A step of 230 tasks, the largest of the users, has seven stragglers on average.
const MAX_JOB_COPIES: usize = 8;
/// Copies of a unit in all. A task that is slow on a third worker is slow by itself.
const MAX_UNIT_COPIES: u32 = 2;
/// Outcomes that are assumed before any copy of a queue has ended: two won, one lost.
const PRIOR_WON: f64 = 2.0;
const PRIOR_LOST: f64 = 1.0;
/// Weight that an outcome keeps with each later one of its queue, so that the share follows changes of the load.
const OUTCOME_DECAY: f64 = 0.95;
/// Bound of the completed runs that count for the typical run time, so that its memory and time are bounded.
const MAX_DONE_RUNS: usize = 256;
/// Distinguishes a copy from its unit among victims. Steps have far fewer tasks.
const COPY_VICTIM: u32 = 1 << 31;
/// Number of steps for which a review looks for a worker in vain, so that its time on a large busy fleet is bounded.
const MAX_MISSED_STEPS: usize = 8;
/// Number of waiting units that are compared with the workers of copies.
pub(crate) const MAX_WAITING: usize = 256;

/// A run beside the one with the run number of the unit.
#[derive(Debug, Clone)]
pub(crate) struct UnitCopy {
    /// Number of the run, higher than that of the unit.
    pub(crate) run_number: RunNumber,
    /// The checkpoint that it started from.
    pub(crate) start_checkpoint: Box<str>,
    /// When it was placed.
    pub(crate) placed_at: Duration,
}

/// The completed runs of a step.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct StepTimes {
    count: usize,
    total: Duration,
}

/// What became of a copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CopyEvent {
    /// It was placed.
    Started,
    /// It completed its task first.
    Won,
    /// The original completed the task first, or the copy was too slow to complete it first.
    Lost,
    /// It was stopped to make room.
    Yielded,
}

impl CopyEvent {
    /// Returns the name of the event for metrics and the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::Started => "started",
            Self::Won => "won",
            Self::Lost => "lost",
            Self::Yielded => "yielded",
        }
    }
}

/// Copies of this owner: what became of them, and the ends that wait for them.
#[derive(Debug, Default)]
pub(crate) struct Copies {
    /// Units that may have copies, with the agents of both runs, so that copies are found without looking at all runs.
    units: IndexMap<UnitKey, [AgentId; 2]>,
    /// Weights of won and lost copies by queue.
    outcomes: IndexMap<QueueId, (f64, f64)>,
    /// Events collected for the metrics.
    events: IndexMap<CopyEvent, usize>,
    /// Ordered starts without an answer of tasks that have completed. The changes of their jobs are not stored before these
    /// runs are known to have started or ended, because a start may follow an end for at most a second after its
    /// acknowledgement.
    unanswered: IndexMap<JobId, IndexSet<(AgentId, TaskRun)>>,
}

/// What a copy of a run is decided by.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct CopyFactors {
    /// Time that the run still needs at its pace.
    pub(crate) remaining: Duration,
    /// Time that a typical run takes from the beginning to the end.
    pub(crate) typical: Duration,
    /// Progress of the checkpoint from which the copy would start, in percent.
    pub(crate) restored_percent: u32,
    /// Time to start the copy and to restore the checkpoint.
    pub(crate) overhead: Duration,
    /// Share of copies that are expected to run at the typical pace. A slow task may be slow everywhere.
    pub(crate) win_share: f64,
}

impl CopyFactors {
    /// Returns the time in which the copy is expected to end.
    pub(crate) fn copy_time(&self) -> Duration {
        let left = 100_u32.saturating_sub(self.restored_percent);
        self.overhead + self.typical * left / 100
    }

    /// Returns the time by which the copy is expected to shorten the wait for the task.
    pub(crate) fn gain(&self) -> Duration {
        let sooner = self.remaining.saturating_sub(self.copy_time());
        sooner.mul_f64(self.win_share.clamp(0.0, 1.0))
    }

    /// Returns whether the expected gain exceeds the time for which the copy occupies its resources.
    pub(crate) fn is_worth_it(&self) -> bool {
        self.gain() > self.copy_time()
    }
}

/// A run that is slower than others of its step.
#[derive(Debug)]
struct SlowRun {
    key: UnitKey,
    run: RunNumber,
    agent: AgentId,
    factors: CopyFactors,
}

/// The runs of a step whose pace is known.
#[derive(Debug, Default)]
struct StepRuns {
    /// Projected total time of each.
    totals: Vec<Duration>,
    /// Those that may get a copy, with the time that each still needs.
    eligible: Vec<(UnitId, RunNumber, AgentId, Duration)>,
}

impl Unit {
    /// Makes a run the one with the run number of the unit if it is its copy. The other run then counts as the copy.
    pub(crate) fn make_current(&mut self, run: RunNumber) {
        let Some(copy) = self.copy.as_mut().filter(|copy| copy.run_number == run) else {
            return;
        };
        std::mem::swap(&mut self.run_number, &mut copy.run_number);
        std::mem::swap(&mut self.start_checkpoint, &mut copy.start_checkpoint);
        std::mem::swap(&mut self.placed_at, &mut copy.placed_at);
    }

    /// Makes the copy the only run of the unit after the current one has ended; returns whether there is a copy.
    pub(crate) fn promote_copy(&mut self) -> bool {
        let Some(copy) = self.copy.take() else {
            return false;
        };
        self.run_number = copy.run_number;
        self.start_checkpoint = copy.start_checkpoint;
        self.placed_at = copy.placed_at;
        self.active_runs = 1;
        true
    }

    /// Adds a run of an earlier owner beside the current one. The later one counts as the copy.
    pub(crate) fn adopt_copy(&mut self, run_number: RunNumber, now: Duration) {
        let latest = self.run_number.max(run_number);
        self.copy = Some(UnitCopy {
            run_number,
            start_checkpoint: self.checkpoint.clone(),
            placed_at: now,
        });
        if run_number < latest {
            self.make_current(run_number);
        }
    }

    /// Returns the checkpoint that a run started from.
    pub(crate) fn start_checkpoint_of(&self, run: RunNumber) -> &str {
        let copy = self.copy.as_ref().filter(|copy| copy.run_number == run);
        copy.map_or(&self.start_checkpoint, |copy| &copy.start_checkpoint)
    }

    /// Returns whether a run is the copy.
    pub(crate) fn is_copy(&self, run: RunNumber) -> bool {
        self.copy
            .as_ref()
            .is_some_and(|copy| copy.run_number == run)
    }
}

/// Returns whether the tasks of a step may have copies.
pub(crate) fn allows_copies(step: &Step) -> bool {
    step.speculative && !step.gang && !step.long_running
}

/// Returns the time that a run still needs at its pace, with the time that it takes in all; `None` if its pace is unknown,
/// or if it may hang.
fn project(run: &Running, now: Duration) -> Option<(Duration, Duration)> {
    let gained = run.percent.saturating_sub(run.first_percent);
    let per_percent = run.time_per_percent();
    let stalled = now.saturating_sub(run.progressed_at);
    if gained < MIN_GAINED_PERCENT
        || run.percent >= 100
        || stalled > per_percent * STALLED_PERCENT + REPORT_INTERVAL
    {
        return None;
    }
    let left = per_percent * (100 - run.percent);
    Some((left.saturating_sub(stalled), per_percent * 100))
}

fn median(times: &mut [Duration]) -> Option<Duration> {
    times.sort_unstable();
    times.get(times.len() / 2).copied()
}

impl Scheduler {
    /// Records the run time of a completed run that started from the beginning, for comparison with others of its step.
    pub(crate) fn record_step_time(&mut self, key: UnitKey, run: &Running, now: Duration) {
        let Some(job) = self.jobs.get_mut(&key.0) else {
            return;
        };
        let is_full = job
            .units
            .get(&key.1)
            .is_some_and(|unit| unit.start_checkpoint.is_empty());
        let allows_copies = allows_copies(job.step(key.1));
        if is_full
            && allows_copies
            && let Some(times) = &mut job.step_times
        {
            let times = times.entry(key.1.step).or_default();
            times.count += 1;
            times.total += now.saturating_sub(run.started_at);
        }
    }

    /// Stops copies that are not worth their resources any more, and starts those that are, if `may_start` is set.
    /// `waiting` are the ready units that were not placed.
    pub(crate) fn review_copies(&mut self, waiting: &[ReadyUnit], may_start: bool, now: Duration) {
        let jobs = &self.jobs;
        self.copies.units.retain(|(id, unit_id), _| {
            let unit = jobs.get(id).and_then(|job| job.units.get(unit_id));
            unit.is_some_and(|unit| unit.copy.is_some())
        });
        self.stop_copies_in_the_way(waiting);
        if may_start {
            self.stop_slow_copies(now);
            self.start_copies(waiting, now);
        }
    }

    /// Returns the copies that are not being stopped, with their agents and resources.
    fn live_copies(&self) -> Vec<(UnitKey, AgentId, ResourceVector)> {
        let mut copies = Vec::new();
        for (key, agents) in &self.copies.units {
            for agent in agents {
                let worker = self.workers.get(agent);
                let placement = worker.and_then(|w| w.placements.get(&task_of(*key)));
                let live = placement.filter(|run| self.is_copy(run) && !run.is_stopping());
                if let Some(placement) = live {
                    copies.push((*key, agent.clone(), placement.resources()));
                }
            }
        }
        copies
    }

    /// Returns whether a run is the copy of its unit.
    pub(crate) fn is_copy(&self, placement: &AnyPlacement) -> bool {
        let (id, unit_id) = placement.unit_key();
        if !self.copies.units.contains_key(&(id, unit_id)) {
            return false;
        }
        let unit = self.jobs.get(&id).and_then(|job| job.units.get(&unit_id));
        unit.is_some_and(|unit| unit.is_copy(placement.task_run().run))
    }

    /// Returns whether a unit has a copy.
    pub(crate) fn has_copy(&self, (id, unit_id): UnitKey) -> bool {
        if !self.copies.units.contains_key(&(id, unit_id)) {
            return false;
        }
        let unit = self.jobs.get(&id).and_then(|job| job.units.get(&unit_id));
        unit.is_some_and(|unit| unit.copy.is_some())
    }

    /// Returns the key by which a run is selected as a victim: that of its unit, or one of its own if it is a copy, so that each of
    /// both runs may be stopped without the other.
    pub(crate) fn victim_key(&self, placement: &AnyPlacement) -> UnitKey {
        let (id, unit) = placement.unit_key();
        let first = if self.is_copy(placement) {
            unit.first | COPY_VICTIM
        } else {
            unit.first
        };
        (id, UnitId { first, ..unit })
    }

    /// Stops the run of a unit on a worker. The other members of a gang are stopped as well, but not the other run of a unit
    /// with a copy.
    pub(crate) fn stop_runs_on(&mut self, key: UnitKey, agent: &AgentId) {
        let has_copy = self.has_copy(key);
        self.stop_where(|unit, on| unit == key && (!has_copy || on == agent));
    }

    /// Stops a victim for another unit: a unit, or one of the runs of a unit with a copy.
    pub(crate) fn stop_victim(&mut self, (id, victim): UnitKey) {
        let unit_id = UnitId {
            first: victim.first & !COPY_VICTIM,
            ..victim
        };
        let key = (id, unit_id);
        let Some(agents) = self.copies.units.get(&key).filter(|_| self.has_copy(key)) else {
            self.stop_unit(id, unit_id);
            return;
        };
        let selects_copy = victim != unit_id;
        let is_selected = |agent: &&AgentId| {
            let worker = self.workers.get(*agent);
            let placement = worker.and_then(|worker| worker.placements.get(&task_of(key)));
            placement.is_some_and(|placement| self.is_copy(placement) == selects_copy)
        };
        let agent = agents.iter().find(is_selected).cloned();
        if let Some(agent) = agent {
            if selects_copy {
                self.count_copy(CopyEvent::Yielded);
            }
            self.stop_runs_on(key, &agent);
        }
    }

    /// Stops the copies whose resources a waiting unit could use.
    fn stop_copies_in_the_way(&mut self, waiting: &[ReadyUnit]) {
        if waiting.is_empty() {
            return;
        }
        for (key, agent, resources) in self.live_copies() {
            let Some(worker) = self.workers.get(&agent) else {
                continue;
            };
            let free = worker
                .free_resources()
                .saturating_add(worker.stopping_resources());
            let is_in_the_way = |ready: &&ReadyUnit| {
                let Some(job) = self.jobs.get(&ready.job) else {
                    return false;
                };
                let task = resources_per_task(job.step(ready.unit));
                free.saturating_add(resources).fit_count(task) > free.fit_count(task)
                    && self.allowed_tasks(job, ready.unit, worker) > 0
            };
            if let Some(ready) = waiting.iter().find(is_in_the_way) {
                log::info!(
                    target: "limpethook",
                    job:% = format_args!("{:016x}", key.0), step = key.1.step, first = key.1.first, agent:% = agent,
                    waiting:% = format_args!("{:016x}", ready.job), reason = "yielded";
                    "copy_stopped"
                );
                self.count_copy(CopyEvent::Yielded);
                self.stop_runs_on(key, &agent);
            }
        }
    }

    /// Stops the copies that are expected to end after their originals.
    fn stop_slow_copies(&mut self, now: Duration) {
        for (key, agent, _) in self.live_copies() {
            let mut of_copy = None;
            let mut of_original = None;
            let task = task_of(key);
            for on in self.copies.units.get(&key).into_iter().flatten() {
                let worker = self.workers.get(on);
                let placement = worker.and_then(|worker| worker.placements.get(&task));
                if let Some(AnyPlacement::Running(run)) = placement {
                    let projected = project(&run.state, now);
                    if *on == agent {
                        of_copy = projected;
                    } else {
                        of_original = projected;
                    }
                }
            }
            let (Some((copy, _)), Some((original, _))) = (of_copy, of_original) else {
                continue;
            };
            if copy >= original {
                log::info!(
                    target: "limpethook",
                    job:% = format_args!("{:016x}", key.0), step = key.1.step, first = key.1.first, agent:% = agent,
                    remaining_ms = copy.as_millis(), original_remaining_ms = original.as_millis(), reason = "slow";
                    "copy_stopped"
                );
                self.record_copy_outcome(key.0, CopyEvent::Lost);
                self.stop_runs_on(key, &agent);
            }
        }
    }

    /// Starts copies of the slowest runs for which there is free room that nothing else needs.
    fn start_copies(&mut self, waiting: &[ReadyUnit], now: Duration) {
        let mut jobs = self.jobs.values();
        if !jobs.any(|job| job.step_times.is_some()) {
            return;
        }
        let slow = self.slow_runs(now);
        if slow.is_empty() {
            return;
        }
        let runs = self.workers.values().map(|worker| worker.placements.len());
        let budget = (runs.sum::<usize>() / RUNS_PER_COPY).clamp(1, MAX_COPIES);
        let live = self.live_copies();
        let mut count = live.len();
        let mut by_job: IndexMap<JobId, usize> = IndexMap::new();
        for (key, ..) in &live {
            *by_job.entry(key.0).or_default() += 1;
        }
        let mut fleet = self.fleet_resources();
        // The headroom depends on it, and plans without ready units don't update it.
        self.update_half_idle_services(&fleet, now);
        let headroom = self.headroom_workers(&fleet, now);
        let mut misses = IndexSet::new();
        for run in slow {
            let of_job = by_job.entry(run.key.0).or_default();
            if count >= budget {
                return;
            }
            // The tasks of a step have the same requirements but for the workers that each avoids.
            let step = (run.key.0, run.key.1.step);
            if *of_job >= MAX_JOB_COPIES || misses.contains(&step) {
                continue;
            }
            let Some(index) = self.copy_worker(&run, &fleet, &headroom, waiting, now) else {
                misses.insert(step);
                if misses.len() >= MAX_MISSED_STEPS {
                    return;
                }
                continue;
            };
            if let Some(resources) = self.place_copy(&run, index, now) {
                fleet.free[index] = fleet.free[index].saturating_sub(resources);
                count += 1;
                *of_job += 1;
            }
        }
    }

    /// Returns the runs that are worth a copy, those that need the most time first.
    fn slow_runs(&self, now: Duration) -> Vec<SlowRun> {
        let mut steps: IndexMap<(JobId, u32, u32), StepRuns> = IndexMap::new();
        for worker in self.workers.values() {
            for placement in worker.placements.values() {
                let AnyPlacement::Running(run) = placement else {
                    continue;
                };
                let Some(job) = self.jobs.get(&run.job).filter(|job| job.end.is_none()) else {
                    continue;
                };
                if job.step_times.is_none() || !allows_copies(job.step(run.unit)) {
                    continue;
                }
                let Some((remaining, total)) = project(&run.state, now) else {
                    continue;
                };
                let key = (run.job, run.unit.occurrence, run.unit.step);
                let step = steps.entry(key).or_default();
                step.totals.push(total);
                if may_have_copy(job, run.unit, worker, now) {
                    let agent = worker.agent.clone();
                    let run_number = run.task_run.run;
                    step.eligible.push((run.unit, run_number, agent, remaining));
                }
            }
        }
        let mut slow = Vec::new();
        for ((id, _, step), runs) in steps {
            if let Some(job) = self.jobs.get(&id) {
                self.weigh_runs(job, step, runs, &mut slow);
            }
        }
        slow.sort_by_key(|run| std::cmp::Reverse(run.factors.remaining));
        slow
    }

    fn weigh_runs(&self, job: &Job, step: u32, mut runs: StepRuns, slow: &mut Vec<SlowRun>) {
        let Some(typical) = self.typical_time(job, step, &mut runs.totals) else {
            return;
        };
        for (unit_id, run, agent, remaining) in runs.eligible {
            let Some(unit) = job.units.get(&unit_id) else {
                continue;
            };
            let restores = !unit.checkpoint.is_empty();
            let restore_time = if restores {
                self.settings.restore_time
            } else {
                Duration::ZERO
            };
            let factors = CopyFactors {
                remaining,
                typical,
                restored_percent: if restores { unit.checkpoint_percent } else { 0 },
                overhead: START_OVERHEAD + restore_time,
                win_share: self.copies.win_share(&job.spec.queue),
            };
            if factors.is_worth_it() {
                slow.push(SlowRun {
                    key: (job.id, unit_id),
                    run,
                    agent,
                    factors,
                });
            }
        }
    }

    /// Returns the time that a typical run of a step takes: the median of the runs whose pace is known and of the completed
    /// ones, which count with their mean, or the learned estimate of the queue while these are few. The declared time is
    /// wrong too often to count.
    fn typical_time(&self, job: &Job, step: u32, totals: &mut Vec<Duration>) -> Option<Duration> {
        let done = job.step_times.as_ref();
        let done = done.and_then(|times| times.get(&step)).copied();
        let done = done.unwrap_or_default();
        let count = u32::try_from(done.count).unwrap_or(u32::MAX);
        if let Some(mean) = done.total.checked_div(count) {
            totals.extend(std::iter::repeat_n(mean, done.count.min(MAX_DONE_RUNS)));
        }
        // The run itself is one of them.
        if totals.len() > MIN_RUNS as usize {
            return median(totals);
        }
        let is_learned = self.estimates.completed_runs(&job.spec.queue) >= f64::from(MIN_RUNS);
        let unit = UnitId {
            occurrence: 0,
            step,
            first: 0,
        };
        is_learned.then(|| job.expected_task_time(unit))
    }

    /// Returns the index of the worker for a copy: the one with the least free room that the task may use, has no run of the task, has
    /// not failed recently, keeps no headroom and is of no use to a waiting unit.
    fn copy_worker(
        &self,
        run: &SlowRun,
        fleet: &FleetResources,
        headroom: &[bool],
        waiting: &[ReadyUnit],
        now: Duration,
    ) -> Option<usize> {
        let (id, unit_id) = run.key;
        let job = self.jobs.get(&id)?;
        let unit = job.units.get(&unit_id)?;
        let task = task_of(run.key);
        let data_rack = job.step(unit_id).data_rack.as_deref();
        let ready = ReadyUnit {
            job: id,
            unit: unit_id,
            priority: job.policy.priority,
            guaranteed: false,
        };
        let reserved = self.reserved_by_others(ready, ReservationFilter::All);
        let available = available_resources(fleet, &reserved);
        let candidates = self.candidates(job, (unit_id, unit), &available, now);
        let is_wanted = |worker: &Worker| {
            waiting.iter().any(|ready| {
                let job = self.jobs.get(&ready.job);
                job.is_some_and(|job| self.allowed_tasks(job, ready.unit, worker) > 0)
            })
        };
        let usable = candidates.iter().filter(|candidate| {
            let worker = candidate.worker;
            candidate.slots > 0
                && !worker.has_run_of(task)
                && !worker.is_suspect()
                && !unit.avoided_workers.contains(&worker.agent)
                && data_rack.is_none_or(|rack| worker.rack() == rack)
                && !headroom.get(candidate.index).copied().unwrap_or(false)
                && !is_wanted(worker)
        });
        let least = usable.min_by_key(|candidate| {
            let free = candidate.free;
            (free.accelerators, free.millicores, free.memory_mb)
        });
        least.map(|candidate| candidate.index)
    }

    /// Places a copy on a worker, and returns its resources. Its start is ordered once its record is stored.
    fn place_copy(&mut self, run: &SlowRun, index: usize, now: Duration) -> Option<ResourceVector> {
        let (id, unit_id) = run.key;
        let task = task_of(run.key);
        let run_number = self.next_run_number();
        let job = self.jobs.get_mut(&id)?;
        let resources = resources_per_task(job.step(unit_id));
        let unit = job.units.get_mut(&unit_id)?;
        let (_, worker) = self.workers.get_index_mut(index)?;
        unit.copies += 1;
        unit.copy = Some(UnitCopy {
            run_number,
            start_checkpoint: unit.checkpoint.clone(),
            placed_at: now,
        });
        let task_run = TaskRun::new(task, run_number);
        let placement = AnyPlacement::new(id, unit_id, task_run, resources, now);
        worker.placements.insert(task, placement);
        let agent = worker.agent.clone();
        let agents = [run.agent.clone(), agent.clone()];
        self.copies.units.insert(run.key, agents);
        let factors = &run.factors;
        log::info!(
            target: "limpethook",
            job:% = format_args!("{id:016x}"), step = unit_id.step, first = unit_id.first, run = run_number, agent:% = agent,
            original = run.run, original_agent:% = run.agent, remaining_ms = factors.remaining.as_millis(),
            typical_ms = factors.typical.as_millis(), copy_ms = factors.copy_time().as_millis(),
            gain_ms = factors.gain().as_millis(), win_share = factors.win_share, failures = unit.failures();
            "copy_started"
        );
        self.record_agent(id, &agent, false, now);
        self.count_copy(CopyEvent::Started);
        Some(resources)
    }

    /// Stops the other run of a completed unit, and holds the changes of its job back while the start of that run is ordered but
    /// not answered. `won` tells whether the copy has completed the unit.
    pub(crate) fn end_copy(&mut self, key: UnitKey, won: bool) {
        let task = task_of(key);
        let mut others = self
            .workers
            .values()
            .filter_map(|w| w.placements.get(&task));
        let is_given_up = others.any(AnyPlacement::is_stopping);
        if won || !is_given_up {
            let outcome = if won { CopyEvent::Won } else { CopyEvent::Lost };
            log::info!(target: "limpethook", task:% = task, outcome = outcome.name(); "copy_ended");
            self.record_copy_outcome(key.0, outcome);
        }
        self.hold_unanswered(key);
        self.stop_unit(key.0, key.1);
    }

    /// Holds the changes of the job of a unit back until its ordered starts are answered.
    pub(crate) fn hold_unanswered(&mut self, key: UnitKey) {
        let task = task_of(key);
        for worker in self.workers.values() {
            let placement = worker.placements.get(&task);
            if let Some(placement) = placement.filter(|placement| placement.may_still_start()) {
                let start = (worker.agent.clone(), placement.task_run());
                let unanswered = self.copies.unanswered.entry(key.0).or_default();
                unanswered.insert(start);
            }
        }
    }

    /// Records that a worker has a run of an earlier owner beside the adopted one of the same unit.
    pub(crate) fn record_adopted_copy(&mut self, key: UnitKey, agent: &AgentId) {
        let task = task_of(key);
        let mut workers = self.workers.values();
        let other = workers.find(|w| w.agent != *agent && w.placements.contains_key(&task));
        if let Some(other) = other {
            let agents = [other.agent.clone(), agent.clone()];
            self.copies.units.insert(key, agents);
        }
    }

    /// Returns the jobs whose changes are held back.
    pub(crate) fn held_jobs(&mut self) -> IndexSet<JobId> {
        let workers = &self.workers;
        let is_unanswered = |(agent, run): &(AgentId, TaskRun)| {
            let worker = workers.get(agent);
            let placement = worker.and_then(|worker| worker.placements.get(&run.task));
            let placement = placement.filter(|placement| placement.task_run() == *run);
            placement.is_some_and(|placement| !placement.was_reported())
        };
        self.copies.unanswered.retain(|_, starts| {
            starts.retain(is_unanswered);
            !starts.is_empty()
        });
        self.copies.unanswered.keys().copied().collect()
    }

    fn count_copy(&mut self, event: CopyEvent) {
        *self.copies.events.entry(event).or_default() += 1;
    }

    /// Counts whether a copy has completed its task first, and learns from it for the queue.
    fn record_copy_outcome(&mut self, job: JobId, event: CopyEvent) {
        self.count_copy(event);
        if let Some(job) = self.jobs.get(&job) {
            let queue = job.spec.queue.clone();
            let (won, lost) = self.copies.outcomes.entry(queue).or_default();
            *won *= OUTCOME_DECAY;
            *lost *= OUTCOME_DECAY;
            *(if event == CopyEvent::Won { won } else { lost }) += 1.0;
        }
    }

    /// Takes the numbers of events of copies since the last call.
    pub fn take_copy_events(&mut self) -> IndexMap<CopyEvent, usize> {
        std::mem::take(&mut self.copies.events)
    }
}

impl Copies {
    /// Returns the share of the copies of a queue that are expected to complete their tasks first.
    fn win_share(&self, queue: &QueueId) -> f64 {
        let (won, lost) = self.outcomes.get(queue).copied().unwrap_or_default();
        (won + PRIOR_WON) / (won + lost + PRIOR_WON + PRIOR_LOST)
    }
}

impl Worker {
    /// Returns whether the worker may have a run of a task.
    fn has_run_of(&self, task: TaskId) -> bool {
        let mut orphans = self.orphan_runs.keys();
        self.placements.contains_key(&task) || orphans.any(|orphan| orphan.task == task)
    }
}

/// Returns whether a unit may get a copy beside its run on a worker. If the run and the copy both failed, they would still not
/// exceed the attempts.
fn may_have_copy(job: &Job, id: UnitId, worker: &Worker, now: Duration) -> bool {
    let Some(unit) = job.units.get(&id) else {
        return false;
    };
    let in_flight = 2;
    unit.phase() == Phase::Active
        && unit.tasks == 1
        && unit.copy.is_none()
        && unit.copies < MAX_UNIT_COPIES
        && unit.crashes.is_empty()
        && unit.failures() + in_flight <= job.policy.max_attempts
        && !job.awaiting_recovery
        && now.saturating_sub(worker.last_report_at) <= REPORT_INTERVAL * 2
}

/// Returns the only task of a unit that may have a copy.
fn task_of((job, unit): UnitKey) -> TaskId {
    TaskId {
        job,
        occurrence: unit.occurrence,
        step: unit.step,
        index: unit.first,
    }
}
