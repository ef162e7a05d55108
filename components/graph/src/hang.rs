//! Detects and stops runs without progress, and starts without an answer.
//!
//! A unit makes progress with its slowest member: a member of a gang that has done its share waits at 100 percent for the
//! others. What counts as evidence that a unit hangs:
//!
//! - All of its members are running; a gang works only from the moment when the last one is there.
//! - The worker of the slowest member reports, and that member has gained nothing for the time that several percentage
//!   points take by its estimate and by its own pace so far. Restoring a checkpoint takes additional time.
//! - If all members are at 100 percent, none of them has ended for that time. This names no worker.
//! - A task that only uses spare cores may stand still because there are none. Without spare cores for it, it has to
//!   stand for longer, and its worker is not blamed.

use std::time::Duration;

use indexmap::IndexMap;
use model::{AgentId, JobId, RunNumber};

use crate::job::{Job, UnitId, UnitKey};
use crate::placement::{AnyPlacement, Running};
use crate::scheduler::{Scheduler, lapse_after};
use crate::worker::Worker;

/// Minimum time without progress after which a unit counts as hanging. It allows for the interval between reports, which
/// is one second.
const MIN_HANG_TIMEOUT: Duration = Duration::from_secs(4);
/// A unit counts as hanging if its progress does not change for the time that this many percentage points are expected
/// to take.
const HANG_PERCENTAGE_POINTS: f64 = 4.0;
/// Maximum age of the latest report of a worker for its runs to count as hanging. Without new reports, the runs may
/// still make progress.
const MAX_REPORT_AGE: Duration = Duration::from_secs(1);
/// How many times longer a task that uses only spare cores may stand still while there are none for it.
const STARVED_FACTOR: u32 = 4;

/// The progress of the members of a unit.
struct UnitActivity<'a> {
    /// Number of members that are running.
    running: u32,
    /// When the last member was first reported; the members work from then on.
    complete_at: Duration,
    /// When any member last made progress.
    progressed_at: Duration,
    /// The member with the least progress, the one that has stood the longest if there are several.
    slowest: &'a Running,
    slowest_worker: &'a Worker,
}

impl<'a> UnitActivity<'a> {
    fn new(worker: &'a Worker, run: &'a Running) -> Self {
        Self {
            running: 1,
            complete_at: run.started_at,
            progressed_at: run.progressed_at,
            slowest: run,
            slowest_worker: worker,
        }
    }

    fn add(&mut self, worker: &'a Worker, run: &'a Running) {
        self.running += 1;
        self.complete_at = self.complete_at.max(run.started_at);
        self.progressed_at = self.progressed_at.max(run.progressed_at);
        let progress = |run: &Running| (run.percent, run.progressed_at);
        if progress(run) < progress(self.slowest) {
            self.slowest = run;
            self.slowest_worker = worker;
        }
    }

    /// Returns whether all members have done their work but none has ended.
    fn is_finished(&self) -> bool {
        self.slowest.percent >= 100
    }

    /// Returns how long the unit has made no progress.
    fn stalled(&self, now: Duration) -> Duration {
        let progressed_at = if self.is_finished() {
            self.progressed_at
        } else {
            self.slowest.progressed_at
        };
        now.saturating_sub(progressed_at.max(self.complete_at))
    }
}

/// A unit that hangs.
struct HangingUnit {
    key: UnitKey,
    percent: u32,
    stalled: Duration,
    /// The worker of its slowest member.
    agent: AgentId,
    /// Whether the worker is likely to be the cause.
    blames_worker: bool,
}

impl Scheduler {
    /// Stops units without progress and quarantines the workers that are likely to be the cause.
    pub(crate) fn stop_hanging_runs(&mut self, now: Duration) {
        for hanging in self.hanging_units(now) {
            let (id, unit_id) = hanging.key;
            log::warn!(
                target: "limpethook",
                job:% = format_args!("{id:016x}"), step = unit_id.step, first = unit_id.first, agent:% = hanging.agent,
                percent = hanging.percent, stalled_ms = hanging.stalled.as_millis(), blames_worker = hanging.blames_worker;
                "run_hangs"
            );
            if hanging.blames_worker
                && let Some(worker) = self.workers.get_mut(&hanging.agent)
            {
                worker.quarantine(now);
            }
            self.record_hang(id, unit_id);
            self.stop_runs_on(hanging.key, &hanging.agent);
        }
    }

    fn hanging_units(&self, now: Duration) -> Vec<HangingUnit> {
        // A copy makes progress by itself.
        let mut activities: IndexMap<(UnitKey, RunNumber), UnitActivity<'_>> = IndexMap::new();
        for worker in self.workers.values() {
            for placement in worker.placements.values() {
                if let AnyPlacement::Running(running) = placement {
                    activities
                        .entry((placement.unit_key(), placement.task_run().run))
                        .and_modify(|activity| activity.add(worker, &running.state))
                        .or_insert_with(|| UnitActivity::new(worker, &running.state));
                }
            }
        }
        let activities = activities.into_iter();
        let hanging =
            activities.filter_map(|((key, _), activity)| self.check_hang(key, &activity, now));
        hanging.collect()
    }

    fn check_hang(
        &self,
        key: UnitKey,
        activity: &UnitActivity<'_>,
        now: Duration,
    ) -> Option<HangingUnit> {
        let (id, unit_id) = key;
        let job = self.jobs.get(&id)?;
        let unit = job.units.get(&unit_id)?;
        let worker = activity.slowest_worker;
        let is_observed = now.saturating_sub(worker.last_report_at) <= MAX_REPORT_AGE;
        if job.step(unit_id).long_running || activity.running < unit.tasks || !is_observed {
            return None;
        }
        let is_starved = is_starved(worker, job, unit_id);
        let timeout = self.hang_timeout(job, unit_id, activity.slowest);
        let timeout = timeout.saturating_mul(if is_starved { STARVED_FACTOR } else { 1 });
        let stalled = activity.stalled(now);
        (stalled > timeout).then(|| HangingUnit {
            key,
            percent: activity.slowest.percent,
            stalled,
            agent: worker.agent.clone(),
            blames_worker: !is_starved && (!activity.is_finished() || unit.tasks == 1),
        })
    }

    /// Stops the units of starts that a worker which reports has not answered for as long as a lease. A worker that is silent
    /// for that long is lost. The unit is placed again once the worker has said that the run can't begin.
    pub(crate) fn stop_unanswered_starts(&mut self, now: Duration) {
        let limit = lapse_after(self.settings.max_lease);
        let mut unanswered = Vec::new();
        for worker in self.workers.values() {
            for placement in worker.placements.values() {
                // One that waits for its record was not ordered.
                let is_ordered = matches!(
                    placement,
                    AnyPlacement::Starting(starting) if starting.state.sent_at.is_some()
                );
                if is_ordered && now > placement.placed_at() + limit {
                    unanswered.push((worker.agent.clone(), placement.unit_key()));
                }
            }
        }
        for (agent, (id, unit)) in unanswered {
            log::warn!(
                target: "limpethook",
                job:% = format_args!("{id:016x}"), step = unit.step, first = unit.first, agent:% = agent;
                "start_given_up"
            );
            self.stop_runs_on((id, unit), &agent);
        }
    }

    /// Returns how long a unit may go without progress.
    ///
    /// The expected run time may be far too short. Therefore the time per percentage point is the expected one on a
    /// slow rack or the actual one so far, whichever is longer, and each run of the unit that was stopped as hanging
    /// doubles the timeout.
    fn hang_timeout(&self, job: &Job, id: UnitId, slowest: &Running) -> Duration {
        let expected_per_percent = job
            .expected_task_time(id)
            .mul_f64(self.settings.slowdown.max(1.0))
            / 100;
        let unit = job.units.get(&id);
        let hang_count = unit.map_or(0, |unit| unit.hang_count);
        let restores = unit.is_some_and(|unit| !unit.start_checkpoint.is_empty());
        let restore_time = if restores {
            self.settings.restore_time
        } else {
            Duration::ZERO
        };
        let timeout = expected_per_percent
            .max(slowest.time_per_percent())
            .mul_f64(HANG_PERCENTAGE_POINTS)
            .max(MIN_HANG_TIMEOUT)
            + restore_time;
        timeout.saturating_mul(2_u32.saturating_pow(hang_count))
    }

    fn record_hang(&mut self, id: JobId, unit_id: UnitId) {
        let job = self.jobs.get_mut(&id);
        if let Some(unit) = job.and_then(|job| job.units.get_mut(&unit_id)) {
            unit.hang_count = unit.hang_count.saturating_add(1);
        }
    }
}

/// Returns whether a unit only uses spare cores and its worker has fewer of them than all such tasks there ask for.
fn is_starved(worker: &Worker, job: &Job, unit: UnitId) -> bool {
    let step = job.step(unit);
    if !step.best_effort {
        return false;
    }
    let without_cores = worker.placements.values();
    let without_cores = without_cores.filter(|placement| placement.resources().millicores == 0);
    let tasks = u32::try_from(without_cores.count()).unwrap_or(u32::MAX);
    worker.free_resources().millicores < step.resources.millicores.saturating_mul(tasks)
}
