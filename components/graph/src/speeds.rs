//! Speeds of workers, learned from the runs on them.
//!
//! The speed of a worker is the factor by which runs on it are faster than the estimate of their queue. Its logarithm is
//! estimated with a variance, by a Kalman filter for a value that returns to zero over time:
//!
//! - Each run is one observation: the logarithm of its work, less that of its time. Its work is taken from the tasks of the
//!   same gang or step on other workers, as their median, and otherwise from the estimate of the queue.
//! - Residuals are bounded, so that a straggler moves an estimate little. Several bounded residuals in a row show that the
//!   worker has changed, and the estimate becomes uncertain.
//! - Workers whose speed differs from that of the service beyond the uncertainty have another class. While a service has no
//!   such worker, all of its workers count as speed 1, and work is the run time.

use std::time::Duration;

use indexmap::IndexMap;
use model::{AgentId, JobId, ServiceId, Step};

use crate::fit::Assignment;
use crate::job::{Job, UnitId, UnitKey};
use crate::placement::{AnyPlacement, Placement, Running};
use crate::scheduler::Scheduler;
use crate::worker::Worker;

/// Class of the speed of a worker: 0 is the speed of most workers of its service, and each class is faster than the one before
/// by [`CLASS_WIDTH`].
pub(crate) type SpeedClass = i8;

/// Bound of the logarithm of a speed: factors from 0.25 to 4.
const MAX_LOG_SPEED: f64 = 1.386;
/// Variance of the logarithm of an unknown speed; the standard deviation is a factor of 1.56.
const PRIOR_VARIANCE: f64 = 0.2;
/// Time over which an estimate without new runs returns to the unknown speed. A known speed becomes unknown after about four
/// minutes without a run.
const DECAY_TIME: Duration = Duration::from_mins(30);
/// Variance of the work of the tasks of one gang or step, which varies by 30%.
const TASK_VARIANCE: f64 = 0.12;
/// Variance of the work of a job around the estimate of its queue.
const JOB_VARIANCE: f64 = 0.36;
/// The variance of a median is this many times that of a mean.
const MEDIAN_VARIANCE_FACTOR: f64 = 1.5;
/// The uncertainty falls as if the variance of runs was this many times as high. Workers learn from each other, and the runs of
/// each are compared with estimates that are wrong in common.
const EVIDENCE_FACTOR: f64 = 2.0;
/// Bound of residuals in standard deviations. A straggler takes seven times as long, which is more than five of them.
const MAX_RESIDUAL: f64 = 2.0;
/// Weight of the latest residual in their moving average.
const RESIDUAL_WEIGHT: f64 = 0.35;
/// Moving average of the residuals from which the worker counts as changed: three residuals at their bound in a row.
const CHANGED_RESIDUAL: f64 = 1.4;
/// Variance of the estimate of a worker that has changed: the next runs weigh almost as much as all before.
const CHANGED_VARIANCE: f64 = 0.1;
/// Variance from which a speed counts as unknown; the standard deviation is a factor of 1.28.
const UNKNOWN_VARIANCE: f64 = 0.08;
/// Logarithm of the ratio between neighbouring classes, a factor of 1.6.
const CLASS_WIDTH: f64 = 0.47;
/// Mean square of the distances from the service, in standard deviations, from which the speeds of a service differ. It is 1
/// if all speeds are equal and their variances are right, and 11 for speeds of 0.6, 1.0 and 1.6 with a deviation of 0.12.
const DIFFERING_MEAN_SQUARE: f64 = 3.5;
/// The same for a service whose speeds differ already.
const STILL_DIFFERING_MEAN_SQUARE: f64 = 2.0;
/// Number of workers of known speed from which the mean square counts.
const MIN_WORKERS: usize = 6;
/// Distance from the service in standard deviations beyond which a worker differs in a service whose speeds differ.
const DEVIATIONS_BESIDE_OTHERS: f64 = 1.5;
/// The same for a single worker in a service of otherwise equal speeds: one in 15,000 equal workers exceeds it at a time.
const DEVIATIONS_ALONE: f64 = 4.5;
/// The same for a worker whose speed differs already, so that its class does not change with each run.
const STILL_DIFFERING_DEVIATIONS: f64 = 1.0;
/// Distance from the middle of its class, in classes, beyond which a worker changes to another one.
const CLASS_HYSTERESIS: f64 = 0.65;
/// Progress, in percentage points, from which the pace of a run tells its time.
const MIN_GAINED: u32 = 30;
/// Progress from which the pace of a gang member counts if the gang ends before `MIN_GAINED`.
const MIN_GAINED_AT_END: u32 = 10;
/// Number of tasks of a step that are remembered for comparison with the next ones.
const MAX_STEP_SAMPLES: usize = 48;
/// Interval at which classes are determined.
const CLASS_INTERVAL: Duration = Duration::from_secs(1);

/// What is known of the speed of a worker.
#[derive(Debug, Clone)]
pub(crate) struct WorkerSpeed {
    /// The kind of the worker; one of another kind starts anew.
    kind: Box<str>,
    /// Estimate of the logarithm of the speed.
    log_speed: f64,
    variance: f64,
    /// Until when the decay is included.
    updated_at: Duration,
    /// Moving average of the bounded residuals, in standard deviations.
    mean_residual: f64,
    /// Class of the speed, 0 while it is unknown.
    class: SpeedClass,
    /// The speed that decisions use.
    factor: f64,
    /// Whether workers of the service differ, but the speed of this one is not known.
    is_untried: bool,
}

impl Default for WorkerSpeed {
    fn default() -> Self {
        Self {
            kind: Box::default(),
            log_speed: 0.0,
            variance: PRIOR_VARIANCE,
            updated_at: Duration::ZERO,
            mean_residual: 0.0,
            class: 0,
            factor: 1.0,
            is_untried: false,
        }
    }
}

impl WorkerSpeed {
    /// Returns the speed that decisions use: 1 if the speeds of the service do not differ beyond their uncertainty.
    pub(crate) fn factor(&self) -> f64 {
        self.factor
    }

    /// Returns the class by which workers are chosen. A worker of unknown speed counts as slow beside others that are known, so
    /// that cheap work tries it.
    pub(crate) fn rank(&self) -> SpeedClass {
        if self.is_untried { -1 } else { self.class }
    }

    /// Sets the kind of the worker, and drops what was learned from a worker of another kind.
    pub(crate) fn set_kind(&mut self, kind: Option<&str>) {
        let kind = kind.unwrap_or_default();
        if *self.kind != *kind {
            *self = Self {
                kind: kind.into(),
                ..Self::default()
            };
        }
    }

    /// Includes the decay until a time.
    fn decay(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated_at);
        let rest = (-elapsed.div_duration_f64(DECAY_TIME)).exp();
        self.updated_at = now;
        self.log_speed *= rest;
        self.variance = PRIOR_VARIANCE + (self.variance - PRIOR_VARIANCE) * rest * rest;
    }

    /// Includes a run that tells the logarithm of the speed with a variance.
    fn observe(&mut self, log_speed: f64, variance: f64, now: Duration) {
        self.decay(now);
        let deviation = (self.variance + variance).sqrt();
        let residual =
            ((log_speed - self.log_speed) / deviation).clamp(-MAX_RESIDUAL, MAX_RESIDUAL);
        self.mean_residual += RESIDUAL_WEIGHT * (residual - self.mean_residual);
        let gain = self.variance / (self.variance + variance);
        let estimate = self.log_speed + gain * residual * deviation;
        self.log_speed = estimate.clamp(-MAX_LOG_SPEED, MAX_LOG_SPEED);
        self.variance *= 1.0 - self.variance / (self.variance + EVIDENCE_FACTOR * variance);
        if self.mean_residual.abs() > CHANGED_RESIDUAL {
            self.mean_residual = 0.0;
            self.variance = self.variance.max(CHANGED_VARIANCE);
        }
    }

    fn is_known(&self) -> bool {
        self.variance <= UNKNOWN_VARIANCE
    }

    /// Returns the class of the speed; `others_differ` tells whether the speeds of the service differ as a whole.
    fn next_class(&self, others_differ: bool) -> SpeedClass {
        if !self.is_known() {
            return 0;
        }
        let distance = self.log_speed;
        let deviations = match (self.class, others_differ) {
            (0, false) => DEVIATIONS_ALONE,
            (0, true) => DEVIATIONS_BESIDE_OTHERS,
            _ => STILL_DIFFERING_DEVIATIONS,
        };
        let classes = distance / CLASS_WIDTH;
        let differs = distance.abs() > deviations * self.variance.sqrt();
        if !differs || classes.abs() < 1.0 - CLASS_HYSTERESIS {
            return 0;
        }
        if self.class != 0 && (classes - f64::from(self.class)).abs() <= CLASS_HYSTERESIS {
            return self.class;
        }
        let magnitude = classes.abs().round();
        if self.class == 0 && magnitude < 1.0 {
            return 0;
        }
        // A speed within its bounds is at most six classes from that of the service.
        #[allow(clippy::cast_possible_truncation, reason = "at most six classes")]
        let class = magnitude.clamp(1.0, 6.0) as SpeedClass;
        if classes < 0.0 { -class } else { class }
    }
}

/// The logarithm of the work of a task, as its run on a worker tells it.
#[derive(Debug, Clone, Copy)]
struct WorkSample {
    /// Index of the worker in the scheduler.
    worker: usize,
    log_work: f64,
}

/// Identifies a step of an occurrence of a job.
type StepKey = (JobId, u32, u32);

/// Number of workers of each class of speed, as shown to operators.
pub type SpeedCounts = IndexMap<&'static str, usize>;

/// What the speeds of all workers have in common.
#[derive(Debug, Default)]
pub(crate) struct Speeds {
    /// Tasks of the steps that are running.
    steps: IndexMap<StepKey, Vec<WorkSample>>,
    /// What the workers of each service have in common, as of the latest classes.
    services: IndexMap<ServiceId, ServiceSpeed>,
    /// Whether any worker has a class other than 0.
    differ: bool,
    /// When classes are determined next.
    classes_due: Duration,
    /// Numbers of workers for the metrics, as of the latest classes.
    counts: Option<SpeedCounts>,
}

/// The speed of a service.
#[derive(Debug)]
struct ServiceSpeed {
    /// Logarithm of the speed around which most of its workers are.
    center: f64,
    /// Whether its speeds differ as a whole beyond their uncertainty.
    differs: bool,
    /// Whether any of its workers has a class other than 0.
    has_classes: bool,
}

impl ServiceSpeed {
    /// Determines the speed of a service from the logarithms of the known speeds and their variances.
    fn new(speeds: &[(f64, f64)], differed: bool) -> Self {
        let mut log_speeds: Vec<f64> = speeds.iter().map(|(log_speed, _)| *log_speed).collect();
        let center = center(&mut log_speeds);
        let squares = speeds.iter();
        let squares = squares.map(|(log_speed, variance)| (log_speed - center).powi(2) / variance);
        let limit = if differed {
            STILL_DIFFERING_MEAN_SQUARE
        } else {
            DIFFERING_MEAN_SQUARE
        };
        let mean_square = squares.sum::<f64>() / count_as_f64(speeds.len());
        Self {
            center,
            differs: speeds.len() >= MIN_WORKERS && mean_square > limit,
            has_classes: false,
        }
    }
}

/// A run that tells the time of its task.
#[derive(Debug, Clone, Copy)]
struct PacedRun {
    /// Index of the worker in the scheduler.
    worker: usize,
    /// Logarithm of the seconds that the whole task takes.
    log_time: f64,
    gained: u32,
}

impl Scheduler {
    /// Returns whether any worker has a speed that differs from that of its service.
    pub(crate) fn speeds_differ(&self) -> bool {
        self.speeds.differ
    }

    /// Returns the expected run time of a unit on an assignment: its work divided by the speed of the slowest worker.
    pub(crate) fn expected_time_on(
        &self,
        job: &Job,
        unit: UnitId,
        assignment: &Assignment,
    ) -> Duration {
        let workers = assignment.iter();
        let workers = workers.filter_map(|(agent, _)| self.workers.get(agent));
        let speeds = workers.map(|worker| worker.speed.factor());
        let slowest = speeds.min_by(f64::total_cmp).unwrap_or(1.0);
        job.expected_task_time(unit).div_f64(slowest)
    }

    /// Returns the speed of the slowest worker that has a run of a unit; `own` is that of a worker whose run has ended.
    pub(crate) fn slowest_speed(&self, key: UnitKey, own: f64) -> f64 {
        if !self.speeds.differ || self.unit_tasks(key).is_none_or(|tasks| tasks == 1) {
            return own;
        }
        let is_member = |worker: &&Worker| {
            let mut placements = worker.placements.values();
            placements.any(|placement| placement.unit_key() == key)
        };
        let members = self.workers.values().filter(is_member);
        members
            .map(|worker| worker.speed.factor())
            .fold(own, f64::min)
    }

    /// Learns from the runs whose progress tells their pace, and determines the classes of the workers.
    pub(crate) fn learn_speeds(&mut self, now: Duration) {
        self.learn_from_progress(now);
        if now >= self.speeds.classes_due {
            self.speeds.classes_due = now + CLASS_INTERVAL;
            let jobs = &self.jobs;
            let is_open = |id: &JobId| jobs.get(id).is_some_and(|job| job.end.is_none());
            self.speeds.steps.retain(|(id, _, _), _| is_open(id));
            self.update_speed_classes(now);
        }
    }

    /// Takes the numbers of workers by class if they were determined since the last call.
    pub fn take_speed_counts(&mut self) -> Option<SpeedCounts> {
        self.speeds.counts.take()
    }

    fn learn_from_progress(&mut self, now: Duration) {
        let mut units: IndexMap<UnitKey, Vec<(usize, &Running)>> = IndexMap::new();
        for (index, worker) in self.workers.values().enumerate() {
            for placement in worker.placements.values() {
                if let AnyPlacement::Running(running) = placement
                    && !running.state.is_pace_learned
                {
                    let members = units.entry(placement.unit_key()).or_default();
                    members.push((index, &running.state));
                }
            }
        }
        let units = units.into_iter();
        let paced: Vec<(UnitKey, Vec<PacedRun>)> = units
            .filter(|(key, members)| self.is_pace_known(*key, members))
            .map(|(key, members)| (key, paced_members(&members).1))
            .collect();
        for (key, runs) in paced {
            if let [run] = runs[..] {
                self.learn_from_task(key, run, now);
            } else {
                self.learn_from_gang(key, &runs, now);
            }
            self.mark_pace_learned(key, &runs);
        }
    }

    /// Returns whether all members of a unit run and more than half of them have made enough progress. The others are known to
    /// be slower by then. A run from a checkpoint tells no pace, because it restores the checkpoint first.
    fn is_pace_known(&self, key: UnitKey, members: &[(usize, &Running)]) -> bool {
        let job = self.jobs.get(&key.0);
        let Some(unit) = job.and_then(|job| job.units.get(&key.1)) else {
            return false;
        };
        let has_pace = |(_, state): &&(usize, &Running)| state.gained() >= MIN_GAINED;
        unit.start_checkpoint.is_empty()
            && members.len() == unit.tasks as usize
            && members.iter().filter(has_pace).count() * 2 > members.len()
    }

    /// Learns from a run that has completed its unit, unless its progress has told its pace before.
    pub(crate) fn learn_from_end(
        &mut self,
        agent: &AgentId,
        placement: &Placement<Running>,
        now: Duration,
    ) {
        let Some(index) = self.workers.get_index_of(agent) else {
            return;
        };
        let key = (placement.job, placement.unit);
        if placement.state.is_pace_learned {
            return;
        }
        let (complete_at, mut runs) = paced_members(&self.running_members(key));
        let begun = complete_at.max(placement.state.started_at);
        runs.retain(|run| run.gained >= MIN_GAINED_AT_END);
        let ended = PacedRun {
            worker: index,
            log_time: log_seconds(now.saturating_sub(begun)),
            gained: 100,
        };
        if self.unit_tasks(key) == Some(1) {
            self.learn_from_task(key, ended, now);
        } else {
            runs.push(ended);
            self.learn_from_gang(key, &runs, now);
        }
        self.mark_pace_learned(key, &runs);
    }

    fn unit_tasks(&self, key: UnitKey) -> Option<u32> {
        let job = self.jobs.get(&key.0)?;
        Some(job.units.get(&key.1)?.tasks)
    }

    /// Returns the members of a unit that are running, each with the index of its worker.
    fn running_members(&self, key: UnitKey) -> Vec<(usize, &Running)> {
        let mut members = Vec::new();
        for (index, worker) in self.workers.values().enumerate() {
            for placement in worker.placements.values() {
                if let AnyPlacement::Running(running) = placement
                    && placement.unit_key() == key
                {
                    members.push((index, &running.state));
                }
            }
        }
        members
    }

    fn mark_pace_learned(&mut self, key: UnitKey, runs: &[PacedRun]) {
        for run in runs {
            for placement in self.workers[run.worker].placements.values_mut() {
                if placement.unit_key() == key {
                    placement.mark_pace_learned();
                }
            }
        }
    }

    /// Learns from a task that is not in a gang, compared with others of its step and with its queue.
    fn learn_from_task(&mut self, key: UnitKey, run: PacedRun, now: Duration) {
        let Some(job) = self.jobs.get(&key.0) else {
            return;
        };
        let step = job.step(key.1);
        if !is_comparable(step, &self.workers[run.worker]) {
            return;
        }
        let step_key = (key.0, key.1.occurrence, key.1.step);
        let samples = self.speeds.steps.get(&step_key);
        let samples = samples.into_iter().flatten().copied();
        let (own, others): (Vec<WorkSample>, Vec<WorkSample>) =
            samples.partition(|sample| sample.worker == run.worker);
        let others = median_work(others.into_iter());
        let queue = self.queue_work(job, key.1);
        let expected = match (others, queue) {
            (Some(others), Some(queue)) => Some(combine(others, queue)),
            (others, queue) => others.or(queue),
        };
        let sample = self.work_sample(run);
        let samples = self.speeds.steps.entry(step_key).or_default();
        if samples.len() >= MAX_STEP_SAMPLES {
            samples.remove(0);
        }
        samples.push(sample);
        if let Some((log_work, variance)) = expected {
            let speed = &mut self.workers[run.worker].speed;
            let variance = variance_after(own.len(), variance);
            speed.observe(log_work - run.log_time, variance, now);
        }
    }

    /// Learns from the members of a gang, compared with each other. A gang on one worker is compared with its queue.
    fn learn_from_gang(&mut self, key: UnitKey, runs: &[PacedRun], now: Duration) {
        let Some(job) = self.jobs.get(&key.0) else {
            return;
        };
        let step = job.step(key.1);
        let mut runs = runs.to_vec();
        runs.retain(|run| is_comparable(step, &self.workers[run.worker]));
        let mut by_worker: IndexMap<usize, Vec<f64>> = IndexMap::new();
        for run in &runs {
            by_worker.entry(run.worker).or_default().push(run.log_time);
        }
        if by_worker.len() == 1
            && let Some((log_work, variance)) = self.queue_work(job, key.1)
            && let Some((worker, times)) = by_worker.pop()
        {
            // The estimate of the queue is the time of whole gangs, which take as long as their slowest members.
            let slowest = times.into_iter().fold(f64::MIN, f64::max);
            let speed = &mut self.workers[worker].speed;
            speed.observe(log_work - slowest, variance + TASK_VARIANCE, now);
            return;
        }
        let samples: Vec<WorkSample> = runs.iter().map(|run| self.work_sample(*run)).collect();
        for (worker, mut times) in by_worker {
            let others = samples.iter().copied();
            let others = others.filter(|sample| sample.worker != worker);
            let Some((log_work, variance)) = median_work(others) else {
                return;
            };
            let own_variance = variance_of_median(TASK_VARIANCE, times.len());
            let log_time = median(&mut times);
            let speed = &mut self.workers[worker].speed;
            speed.observe(log_work - log_time, variance + own_variance, now);
        }
    }

    /// Returns the logarithm of the work of a unit by the estimate of its queue, and the variance; `None` before enough runs of
    /// the queue have completed, because declared times are off by up to a factor of ten.
    fn queue_work(&self, job: &Job, unit: UnitId) -> Option<(f64, f64)> {
        let is_learned = self.estimates.is_learned(&job.spec.queue);
        is_learned.then(|| (log_seconds(job.expected_task_time(unit)), JOB_VARIANCE))
    }

    fn work_sample(&self, run: PacedRun) -> WorkSample {
        WorkSample {
            worker: run.worker,
            log_work: run.log_time + self.workers[run.worker].speed.log_speed,
        }
    }

    /// Determines the classes of all workers, service by service.
    fn update_speed_classes(&mut self, now: Duration) {
        let mut known: IndexMap<ServiceId, Vec<(f64, f64)>> = IndexMap::new();
        for worker in self.workers.values_mut() {
            worker.speed.decay(now);
            if worker.speed.is_known() && !worker.lost {
                let speeds = known.entry(worker.service.clone()).or_default();
                speeds.push((worker.speed.log_speed, worker.speed.variance));
            }
        }
        let before = std::mem::take(&mut self.speeds.services);
        for (service, speeds) in known {
            let differed = before.get(&service).is_some_and(|service| service.differs);
            let service_speed = ServiceSpeed::new(&speeds, differed);
            self.speeds.services.insert(service, service_speed);
        }
        for worker in self.workers.values_mut() {
            let Some(service) = self.speeds.services.get_mut(&worker.service) else {
                worker.speed.class = 0;
                continue;
            };
            // Speed 1 is that of the service: only the ratios of speeds can be learned.
            worker.speed.log_speed -= service.center;
            let class = worker.speed.next_class(service.differs);
            if class != worker.speed.class {
                log::info!(
                    target: "limpethook",
                    agent:% = worker.agent, service:% = worker.service, before = worker.speed.class, class = class,
                    speed = worker.speed.log_speed.exp(), deviation = worker.speed.variance.sqrt();
                    "worker_speed_changed"
                );
                worker.speed.class = class;
            }
            service.has_classes |= class != 0 && !worker.lost;
        }
        let mut services = self.speeds.services.values();
        self.speeds.differ = services.any(|service| service.has_classes);
        self.apply_speed_classes();
    }

    /// Sets the speeds that decisions use, and counts the workers of each class.
    fn apply_speed_classes(&mut self) {
        let mut counts = SpeedCounts::from([("slow", 0), ("even", 0), ("fast", 0), ("unknown", 0)]);
        for worker in self.workers.values_mut() {
            let service = self.speeds.services.get(&worker.service);
            let differs = service.is_some_and(|service| service.has_classes);
            let speed = &mut worker.speed;
            speed.is_untried = differs && !speed.is_known();
            speed.factor = if speed.class == 0 {
                1.0
            } else {
                speed.log_speed.exp()
            };
            let name = match speed.class {
                _ if !speed.is_known() => "unknown",
                0 => "even",
                class if class < 0 => "slow",
                _ => "fast",
            };
            if !worker.lost {
                *counts.entry(name).or_default() += 1;
            }
        }
        self.speeds.counts = Some(counts);
    }
}

/// Returns whether the time of a task on a worker tells the speed of the worker. Tasks on spare cores depend on the other
/// tasks there, and tasks away from their data are slowed down.
fn is_comparable(step: &Step, worker: &Worker) -> bool {
    let data_rack = step.data_rack.as_deref();
    !step.best_effort && data_rack.is_none_or(|rack| rack == worker.rack())
}

/// Returns when the last member of a unit was first reported, from which on they all work, and the pace of each.
fn paced_members(members: &[(usize, &Running)]) -> (Duration, Vec<PacedRun>) {
    let starts = members.iter().map(|(_, state)| state.started_at);
    let complete_at = starts.max().unwrap_or_default();
    let runs = members.iter();
    let runs = runs.map(|(worker, state)| paced_run(*worker, state, complete_at));
    (complete_at, runs.collect())
}

/// Returns the pace of a run whose work began at a time.
fn paced_run(worker: usize, state: &Running, begun: Duration) -> PacedRun {
    let (gained, progressed_at) = state.latest_pace();
    let elapsed = progressed_at.saturating_sub(begun);
    PacedRun {
        worker,
        // A member without progress counts as if it just made one percentage point.
        log_time: log_seconds(elapsed.saturating_mul(100) / gained.max(1)),
        gained,
    }
}

/// Returns the speed of a service from the speeds of its workers: the mean of those around the median, which does not depend
/// on how many slower and faster ones there are.
fn center(log_speeds: &mut [f64]) -> f64 {
    let median = median(log_speeds);
    let near = log_speeds.iter();
    let near = near.filter(|speed| (*speed - median).abs() <= CLASS_WIDTH / 2.0);
    let (count, sum) = near.fold((0.0, 0.0), |(count, sum), speed| (count + 1.0, sum + speed));
    if count > 0.0 { sum / count } else { median }
}

/// Returns the median of values; 0 if there are none.
fn median(values: &mut [f64]) -> f64 {
    values.sort_unstable_by(f64::total_cmp);
    let middle = values.len() / 2;
    match values.len() {
        0 => 0.0,
        length if length % 2 == 1 => values[middle],
        _ => f64::midpoint(values[middle - 1], values[middle]),
    }
}

/// Returns the median of samples of the same work, and its variance; `None` if there are no samples. The samples of a worker
/// count as one, because they share the error of its speed.
fn median_work(samples: impl Iterator<Item = WorkSample>) -> Option<(f64, f64)> {
    let mut workers: IndexMap<usize, Vec<f64>> = IndexMap::new();
    for sample in samples {
        let own = workers.entry(sample.worker).or_default();
        own.push(sample.log_work);
    }
    let count = workers.len();
    let (mut works, mut variances) = (Vec::new(), 0.0);
    for mut own in workers.into_values() {
        variances += variance_of_median(TASK_VARIANCE, own.len());
        works.push(median(&mut own));
    }
    let mean_variance = variances / count_as_f64(count);
    (count > 0).then(|| (median(&mut works), variance_of_median(mean_variance, count)))
}

/// Returns the variance of the median of values with a variance. The median of one or two values is their mean.
fn variance_of_median(variance: f64, count: usize) -> f64 {
    let factor = if count > 2 {
        MEDIAN_VARIANCE_FACTOR
    } else {
        1.0
    };
    variance * factor / count_as_f64(count)
}

/// Returns the variance of a task of a step on a worker, after a number of others there. All of them are compared with the same
/// estimate of the work, so that its error does not average out: together, `n` tasks have the variance of their mean plus that
/// of the estimate.
fn variance_after(earlier: usize, work_variance: f64) -> f64 {
    let earlier = count_as_f64(earlier);
    let variance = |count: f64| TASK_VARIANCE + count * work_variance;
    variance(earlier + 1.0) * variance(earlier) / TASK_VARIANCE
}

/// Combines two estimates of one value, each with its variance.
fn combine(a: (f64, f64), b: (f64, f64)) -> (f64, f64) {
    let (precision_a, precision_b) = (1.0 / a.1, 1.0 / b.1);
    let precision = precision_a + precision_b;
    let mean = (a.0 * precision_a + b.0 * precision_b) / precision;
    (mean, 1.0 / precision)
}

fn count_as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

fn log_seconds(time: Duration) -> f64 {
    /// Lower bound of times, which keeps their logarithms bounded.
    const MIN_TIME: Duration = Duration::from_millis(1);
    time.max(MIN_TIME).as_secs_f64().ln()
}
