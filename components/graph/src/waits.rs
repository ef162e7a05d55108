//! Jobs that wait, with the reason, for the log, the metrics and operators.
//!
//! The waits are derived from the state at an interval and decide nothing about placing. Only jobs that have waited for a while are looked
//! at, and the costlier reasons are found for a few of them at a time.

use std::fmt;
use std::time::Duration;

use indexmap::IndexMap;
use model::{AgentId, JobId};

use crate::instructions::is_recorded;
use crate::job::{Job, Phase, UnitId};
use crate::placement::AnyPlacement;
use crate::scheduler::{Scheduler, lapse_after};

/// Interval at which the waits are determined.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Waits shorter than this are usual and are not recorded.
pub const MIN_WAIT: Duration = Duration::from_secs(1);
/// A worker whose agent has not reported for this long counts as silent. Agents report about once a second.
const SILENCE: Duration = Duration::from_secs(2);
/// Maximum number of units whose reason is determined by looking at all workers, at each check.
const MAX_COMPARISONS: usize = 16;
/// Maximum number of lines in the log at each check.
const MAX_LINES: usize = 2;
/// A change of the reason of a wait is logged at most this often.
const LINE_INTERVAL: Duration = Duration::from_secs(5);

/// Why a job with work to do has a unit that is not running.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum WaitReason {
    /// Agents that have not been heard since the owner changed may still have runs of the job.
    Recovery,
    /// The crash of a worker under the unit is not stored yet.
    CrashNotStored,
    /// The worker refused the start, which is tried again a little later.
    Backoff,
    /// The workers of the service that are not lost could not hold the unit if they were empty.
    TooFewWorkers,
    /// Those with the required label could not hold it.
    MissingLabel,
    /// Runs occupy the resources.
    NoCapacity,
    /// Runs that are being stopped occupy the resources.
    StopPending,
    /// Workers with room have not confirmed this owner, or have runs that are not known.
    Unconfirmed,
    /// Workers with room are about to shut down.
    Draining,
    /// Workers with room are in data centres that are evacuated.
    Evacuated,
    /// Workers with room are quarantined.
    Quarantined,
    /// Workers with room are not approved by the advisor.
    NotApproved,
    /// Trials keep other units from workers with room, or the unit from workers with young runs.
    Trial,
    /// The workers with room run as many tasks of the step as they may.
    SpreadLimit,
    /// The resources are reserved for urgent units.
    Reserved,
    /// The resources are left free for urgent jobs.
    Headroom,
    /// The rack with the data has no room.
    DataRack,
    /// No single rack has room.
    SingleRack,
    /// Only workers on which runs failed have room.
    SuspectWorkers,
    /// Only workers on which the unit would end late have room.
    FasterWorkers,
    /// Nothing keeps the unit from being placed; the next plan tries it.
    NextPlan,
    /// The record that names the agent of the placement is not stored yet.
    RecordNotStored,
    /// The worker has not reported the run that it was ordered to start.
    StartUnanswered,
    /// The worker has not reported the end of the run that it was ordered to stop.
    StopUnanswered,
    /// The worker of the run is silent.
    WorkerSilent,
    /// No unit is ready although some are not done, and no worker has a run of the job: an end was lost, or a unit is taken for
    /// placed without a run.
    NothingReady,
}

impl WaitReason {
    /// All reasons.
    pub const ALL: [Self; 26] = [
        Self::Recovery,
        Self::CrashNotStored,
        Self::Backoff,
        Self::TooFewWorkers,
        Self::MissingLabel,
        Self::NoCapacity,
        Self::StopPending,
        Self::Unconfirmed,
        Self::Draining,
        Self::Evacuated,
        Self::Quarantined,
        Self::NotApproved,
        Self::Trial,
        Self::SpreadLimit,
        Self::Reserved,
        Self::Headroom,
        Self::DataRack,
        Self::SingleRack,
        Self::SuspectWorkers,
        Self::FasterWorkers,
        Self::NextPlan,
        Self::RecordNotStored,
        Self::StartUnanswered,
        Self::StopUnanswered,
        Self::WorkerSilent,
        Self::NothingReady,
    ];

    /// Returns whether the scheduler chooses the wait for a better place, or for the sake of others.
    pub(crate) fn is_chosen(self) -> bool {
        matches!(
            self,
            Self::Reserved
                | Self::Headroom
                | Self::DataRack
                | Self::SingleRack
                | Self::SuspectWorkers
                | Self::FasterWorkers
        )
    }

    /// Returns the name in the log and in the metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Recovery => "recovery",
            Self::CrashNotStored => "crash_not_stored",
            Self::Backoff => "backoff",
            Self::TooFewWorkers => "too_few_workers",
            Self::MissingLabel => "missing_label",
            Self::NoCapacity => "no_capacity",
            Self::StopPending => "stop_pending",
            Self::Unconfirmed => "unconfirmed",
            Self::Draining => "draining",
            Self::Evacuated => "evacuated",
            Self::Quarantined => "quarantined",
            Self::NotApproved => "not_approved",
            Self::Trial => "trial",
            Self::SpreadLimit => "spread_limit",
            Self::Reserved => "reserved",
            Self::Headroom => "headroom",
            Self::DataRack => "data_rack",
            Self::SingleRack => "single_rack",
            Self::SuspectWorkers => "suspect_workers",
            Self::FasterWorkers => "faster_workers",
            Self::NextPlan => "next_plan",
            Self::RecordNotStored => "record_not_stored",
            Self::StartUnanswered => "start_unanswered",
            Self::StopUnanswered => "stop_unanswered",
            Self::WorkerSilent => "worker_silent",
            Self::NothingReady => "nothing_ready",
        }
    }
}

impl fmt::Display for WaitReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The longest wait of a job.
#[derive(Debug, Clone)]
pub struct Wait {
    /// The job.
    pub job: JobId,
    /// The occurrence of the job, from 0.
    pub occurrence: u32,
    /// The step, from 0.
    pub step: u32,
    /// Index of the first task of the unit that waits.
    pub first: u32,
    /// Why the unit waits.
    pub reason: WaitReason,
    /// The agent of the worker that is waited for, if it is a single one.
    pub agent: Option<AgentId>,
    /// When the wait began.
    pub since: Duration,
    /// When the reason ceases to hold at the latest; `None` if that depends on something without a time limit.
    pub until: Option<Duration>,
    /// Number of runs of the job that workers have reported.
    pub running: u32,
}

impl Wait {
    fn unit(&self) -> UnitId {
        UnitId {
            occurrence: self.occurrence,
            step: self.step,
            first: self.first,
        }
    }

    /// Returns the latest time from `now` until the reason ceases to hold, or `none`.
    fn remaining(&self, now: Duration) -> Box<str> {
        let until = self
            .until
            .map(|until| until.saturating_sub(now).as_millis());
        until.map_or("none".into(), |until| until.to_string().into())
    }

    /// Returns the wait as a line for operators.
    pub fn to_line(&self, now: Duration) -> String {
        format!(
            "job={:016x} occurrence={} step={} first={} reason={} agent={} running={} since_ms={} until_ms={}",
            self.job,
            self.occurrence,
            self.step,
            self.first,
            self.reason,
            self.agent.as_deref().unwrap_or("none"),
            self.running,
            now.saturating_sub(self.since).as_millis(),
            self.remaining(now),
        )
    }
}

/// The waits of all jobs, as of the latest check.
#[derive(Debug, Default)]
pub(crate) struct Waits {
    jobs: IndexMap<JobId, RecordedWait>,
    next_check_at: Duration,
    /// Whether the waits were determined since the last [`Scheduler::take_waits_changed`].
    changed: bool,
}

#[derive(Debug)]
struct RecordedWait {
    wait: Wait,
    /// When the reason was last determined.
    checked_at: Duration,
    /// The last line in the log: its time and reason.
    logged: Option<(Duration, WaitReason)>,
}

/// A wait whose reason may have to be found by looking at all workers.
struct OpenWait {
    unit: UnitId,
    since: Duration,
    /// The reason, the agent and the latest end, if they are known without looking at the workers.
    known: Option<(WaitReason, Option<AgentId>, Option<Duration>)>,
}

/// What the placements tell about the runs of a job.
#[derive(Default)]
struct JobRuns {
    running: u32,
    oldest: Option<OpenWait>,
}

impl Scheduler {
    /// Returns the jobs that have waited for at least a second.
    pub fn waits(&self) -> impl Iterator<Item = &Wait> {
        self.waits.jobs.values().map(|recorded| &recorded.wait)
    }

    /// Returns whether the waits were determined since the last call.
    pub fn take_waits_changed(&mut self) -> bool {
        std::mem::take(&mut self.waits.changed)
    }

    /// Returns the number of waiting jobs and their longest wait by reason.
    pub fn wait_counts(&self, now: Duration) -> IndexMap<WaitReason, (u64, Duration)> {
        let mut counts: IndexMap<WaitReason, (u64, Duration)> = IndexMap::new();
        for wait in self.waits() {
            let (count, longest) = counts.entry(wait.reason).or_default();
            *count += 1;
            *longest = now.saturating_sub(wait.since).max(*longest);
        }
        counts
    }

    /// Determines the waits after a plan if a check is due, and logs those that are new or have another reason.
    pub(crate) fn check_waits(&mut self, now: Duration) {
        if now < self.waits.next_check_at {
            return;
        }
        self.waits.next_check_at = now + CHECK_INTERVAL;
        self.waits.changed = true;
        self.check_records();
        let mut before = std::mem::take(&mut self.waits.jobs);
        let mut open = self.open_waits(&before, now);
        // Those that were determined the longest ago come first.
        open.sort_by_key(|(id, ..)| before.get(id).map(|recorded| recorded.checked_at));
        let fleet = open.iter().any(|(_, wait, _)| wait.known.is_none());
        let fleet = fleet.then(|| self.fleet_resources());
        let headroom = fleet
            .as_ref()
            .map(|fleet| self.headroom_workers(fleet, now));
        let mut comparisons = 0;
        for (id, open, running) in open {
            let earlier = before.swap_remove(&id);
            let earlier_wait = earlier.as_ref().map(|recorded| recorded.wait.clone());
            let same = earlier_wait.filter(|wait| open.known.is_none() && wait.unit() == open.unit);
            let is_determined = open.known.is_some() || comparisons < MAX_COMPARISONS;
            let (reason, agent, until) = match (open.known, same, &fleet, &headroom) {
                (Some(known), ..) => known,
                (None, _, Some(fleet), Some(headroom)) if comparisons < MAX_COMPARISONS => {
                    comparisons += 1;
                    let (reason, until) = self.wait_reason(id, open.unit, fleet, headroom, now);
                    (reason, None, until)
                }
                (None, Some(wait), ..) => (wait.reason, wait.agent, wait.until),
                // A later check determines its reason.
                (None, None, ..) => continue,
            };
            let checked_at = earlier.as_ref().map_or(now, |recorded| recorded.checked_at);
            self.waits.jobs.insert(
                id,
                RecordedWait {
                    wait: Wait {
                        job: id,
                        occurrence: open.unit.occurrence,
                        step: open.unit.step,
                        first: open.unit.first,
                        reason,
                        agent,
                        since: open.since,
                        until,
                        running,
                    },
                    checked_at: if is_determined { now } else { checked_at },
                    logged: earlier.and_then(|recorded| recorded.logged),
                },
            );
        }
        self.log_waits(now);
    }

    /// Returns the jobs that have waited long enough, each with its longest wait and the number of its runs.
    fn open_waits(
        &self,
        before: &IndexMap<JobId, RecordedWait>,
        now: Duration,
    ) -> Vec<(JobId, OpenWait, u32)> {
        let mut runs = self.job_runs(before, now);
        let recovers_until = self.recovery_deadline;
        let jobs = self.jobs.values().filter(|job| job.end.is_none());
        let open = jobs.filter_map(|job| {
            let runs = runs.swap_remove(&job.id).unwrap_or_default();
            let since = before.get(&job.id).map(|recorded| recorded.wait.since);
            let unplaced = unplaced_wait(job, recovers_until, since, now);
            let mut waits: Vec<OpenWait> = unplaced.into_iter().chain(runs.oldest).collect();
            if waits.is_empty() && runs.running == 0 && !job.ready.all_done() {
                let known = before.get(&job.id).map(|recorded| &recorded.wait);
                let known = known.filter(|wait| wait.reason == WaitReason::NothingReady);
                let open = job
                    .units
                    .iter()
                    .find(|(_, unit)| unit.phase() != Phase::Done);
                waits.extend(open.map(|(unit, _)| OpenWait {
                    unit: *unit,
                    since: known.map_or(now.saturating_sub(MIN_WAIT), |wait| wait.since),
                    known: Some((WaitReason::NothingReady, None, None)),
                }));
            }
            let oldest = waits.into_iter().min_by_key(|wait| wait.since)?;
            let is_long = now.saturating_sub(oldest.since) >= MIN_WAIT;
            is_long.then_some((job.id, oldest, runs.running))
        });
        open.collect()
    }

    /// Returns for each job the number of runs that workers have reported, and the longest wait for a worker that has a run.
    fn job_runs(
        &self,
        before: &IndexMap<JobId, RecordedWait>,
        now: Duration,
    ) -> IndexMap<JobId, JobRuns> {
        let mut jobs: IndexMap<JobId, JobRuns> = IndexMap::new();
        for worker in self.workers.values() {
            let is_silent = now >= worker.last_report_at + SILENCE;
            let lapses_at = worker.last_renewed_at + lapse_after(self.settings.max_lease);
            let until = is_silent.then_some(lapses_at);
            for placement in worker.placements.values() {
                let (id, unit) = placement.unit_key();
                let runs = jobs.entry(id).or_default();
                let (reason, since) = match placement {
                    AnyPlacement::Running(_) if !is_silent => {
                        runs.running += 1;
                        continue;
                    }
                    AnyPlacement::Running(_) => (WaitReason::WorkerSilent, worker.last_report_at),
                    AnyPlacement::Starting(_) => {
                        let reason = if is_recorded(&self.jobs, id, &worker.agent) {
                            WaitReason::StartUnanswered
                        } else {
                            WaitReason::RecordNotStored
                        };
                        (reason, placement.placed_at())
                    }
                    // The placement doesn't tell when the stop was decided.
                    AnyPlacement::Stopping(_) => {
                        let wait = before.get(&id).map(|recorded| &recorded.wait);
                        let wait = wait.filter(|wait| wait.reason == WaitReason::StopUnanswered);
                        let first_seen = wait.map_or(now.saturating_sub(MIN_WAIT), |w| w.since);
                        (WaitReason::StopUnanswered, first_seen)
                    }
                };
                if runs
                    .oldest
                    .as_ref()
                    .is_none_or(|oldest| since < oldest.since)
                {
                    runs.oldest = Some(OpenWait {
                        unit,
                        since,
                        known: Some((reason, Some(worker.agent.clone()), until)),
                    });
                }
            }
        }
        jobs
    }

    fn log_waits(&mut self, now: Duration) {
        let is_due = |recorded: &&mut RecordedWait| {
            recorded.logged.is_none_or(|(at, reason)| {
                reason != recorded.wait.reason && now >= at + LINE_INTERVAL
            })
        };
        let mut due: Vec<&mut RecordedWait> = self.waits.jobs.values_mut().filter(is_due).collect();
        due.sort_by_key(|recorded| (recorded.wait.running, recorded.wait.since));
        let left_out = due.len().saturating_sub(MAX_LINES);
        for recorded in due.into_iter().take(MAX_LINES) {
            let wait = &recorded.wait;
            recorded.logged = Some((now, wait.reason));
            log::info!(
                target: "limpethook",
                job:% = format_args!("{:016x}", wait.job), occurrence = wait.occurrence, step = wait.step,
                first = wait.first, reason:% = wait.reason, agent:% = wait.agent.as_deref().unwrap_or("none"), running = wait.running,
                since_ms = now.saturating_sub(wait.since).as_millis(), until_ms:% = wait.remaining(now),
                left_out = left_out;
                "unit_waits"
            );
        }
    }
}

/// Returns the longest wait of a unit of a job that is not placed.
fn unplaced_wait(
    job: &Job,
    recovers_until: Option<Duration>,
    known_since: Option<Duration>,
    now: Duration,
) -> Option<OpenWait> {
    let mut steps = job.ready.steps();
    if job.awaiting_recovery {
        let unit = job.ready.next_of_step(steps.next()?, None)?;
        return Some(OpenWait {
            unit,
            // Units get their time of readiness only after recovery.
            since: known_since.unwrap_or(now.saturating_sub(MIN_WAIT)),
            known: Some((WaitReason::Recovery, None, recovers_until)),
        });
    }
    let since = |unit: UnitId| job.units.get(&unit)?.ready_at;
    let heads = steps.filter_map(|step| {
        let unit = job.ready.next_of_step(step, None)?;
        Some(OpenWait {
            unit,
            since: since(unit)?,
            known: None,
        })
    });
    let set_aside = job.ready.set_aside().filter_map(|(unit, until)| {
        let reason = until.map_or(WaitReason::CrashNotStored, |_| WaitReason::Backoff);
        Some(OpenWait {
            unit,
            since: since(unit)?,
            known: Some((reason, None, until)),
        })
    });
    heads.chain(set_aside).min_by_key(|wait| wait.since)
}
