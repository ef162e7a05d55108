//! Stand-in for the history and blame controllers.
//!
//! [`Learner::record`] takes a finished run and updates the history and blame sections. The rules are the plain ones of
//! the design page; the controllers of the `policy` crate can replace them behind the same call.

use std::time::{Duration, Instant};

use board::{Blame, Board, Estimate, History, Quarantine};
use indexmap::{IndexMap, IndexSet};
use model::{AccountId, GangId, JobId, Member, ServiceId, WorkerId};

/// Distinct workers on which a job fails before it is condemned.
const CONDEMN_WORKERS: usize = 3;
/// Distinct jobs that fail on a worker before it is quarantined.
const QUARANTINE_JOBS: usize = 3;
/// Time to the first probe of a quarantined worker; doubled after each failed probe.
const FIRST_PROBE: Duration = Duration::from_mins(1);
/// Bounds the doubling, so that a repaired worker is found within this time.
const LONGEST_PROBE_GAP: Duration = Duration::from_mins(16);
/// Runs of one account and service that an estimate covers.
const ESTIMATE_RUNS: usize = 50;
/// Time in which attained service loses half of its weight.
const ATTAINED_HALF_LIFE: Duration = Duration::from_hours(2);

/// How a run ended, as far as history and blame need to know.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunEnd {
    /// The job answered.
    Answered,
    /// A task failed on this worker.
    Failed(WorkerId),
    /// The run was stopped or lost a member.
    Interrupted,
}

/// A run of a gang that ended.
#[derive(Debug, Clone)]
pub struct FinishedRun {
    /// The gang.
    pub gang: GangId,
    /// The job.
    pub job: JobId,
    /// The client account of the job.
    pub account: AccountId,
    /// The service of the job.
    pub service: ServiceId,
    /// The members of the gang.
    pub members: Vec<Member>,
    /// How long the gang ran.
    pub ran: Duration,
    /// How it ended.
    pub end: RunEnd,
}

/// Memory of the two controllers between runs.
#[derive(Debug, Default)]
pub struct Learner {
    samples: IndexMap<(AccountId, ServiceId), Vec<Duration>>,
    workers_of_job: IndexMap<JobId, IndexSet<WorkerId>>,
    jobs_of_worker: IndexMap<WorkerId, IndexSet<JobId>>,
    probe_gap: IndexMap<WorkerId, Duration>,
    decayed_at: Option<Instant>,
}

impl Learner {
    /// Updates the history and blame sections after a run.
    pub fn record(&mut self, board: &Board, run: &FinishedRun, now: Instant) {
        board.history.update(|history| {
            self.decay(history, now);
            self.learn(history, run);
        });
        match &run.end {
            RunEnd::Answered => board.blame.update(|blame| self.absolve(blame, run)),
            RunEnd::Failed(worker) => board
                .blame
                .update(|blame| self.accuse(blame, run.job, worker, now)),
            RunEnd::Interrupted => {}
        }
    }

    /// Forgets that a worker was proven, because it left.
    pub fn worker_left(&mut self, board: &Board, worker: &WorkerId) {
        board.blame.update(|blame| {
            blame.proven.swap_remove(worker);
        });
    }

    fn decay(&mut self, history: &mut History, now: Instant) {
        let last = self.decayed_at.replace(now).unwrap_or(now);
        let half_lives = (now - last).as_secs_f64() / ATTAINED_HALF_LIFE.as_secs_f64();
        let factor = 0.5_f64.powf(half_lives);
        for used in history.attained.values_mut() {
            *used *= factor;
        }
    }

    fn learn(&mut self, history: &mut History, run: &FinishedRun) {
        let used: u32 = run.members.iter().map(|m| m.total().accelerators).sum();
        *history.attained.entry(run.account.clone()).or_default() +=
            f64::from(used) * run.ran.as_secs_f64();
        if run.end != RunEnd::Answered {
            return;
        }
        let key = (run.account.clone(), run.service.clone());
        let samples = self.samples.entry(key.clone()).or_default();
        samples.push(run.ran);
        if samples.len() > ESTIMATE_RUNS {
            samples.remove(0);
        }
        let runs = history.estimates.get(&key).map_or(0, |known| known.runs) + 1;
        history.estimates.insert(key, estimate(samples, runs));
    }

    fn absolve(&mut self, blame: &mut Blame, run: &FinishedRun) {
        for member in &run.members {
            blame.proven.insert(member.worker.clone());
            blame.quarantined.swap_remove(&member.worker);
            self.jobs_of_worker.swap_remove(&member.worker);
            self.probe_gap.swap_remove(&member.worker);
        }
    }

    fn accuse(&mut self, blame: &mut Blame, job: JobId, worker: &WorkerId, now: Instant) {
        let jobs = self.jobs_of_worker.entry(worker.clone()).or_default();
        jobs.insert(job);
        if jobs.len() >= QUARANTINE_JOBS {
            self.quarantine(blame, worker, now);
        }
        let workers = self.workers_of_job.entry(job).or_default();
        workers.insert(worker.clone());
        if workers.len() >= CONDEMN_WORKERS {
            let reason = format!("failed on {} workers", workers.len());
            blame.condemned.insert(job, reason.into());
        }
    }

    /// Starts a quarantine, or prolongs it after a failed probe.
    fn quarantine(&mut self, blame: &mut Blame, worker: &WorkerId, now: Instant) {
        let known = blame.quarantined.get(worker);
        if known.is_some_and(|quarantine| now < quarantine.next_probe) {
            return;
        }
        let since = known.map_or(now, |quarantine| quarantine.since);
        let gap = self.probe_gap.entry(worker.clone()).or_insert(FIRST_PROBE);
        let next_probe = now + *gap;
        *gap = (*gap * 2).min(LONGEST_PROBE_GAP);
        blame.proven.swap_remove(worker);
        blame
            .quarantined
            .insert(worker.clone(), Quarantine { since, next_probe });
    }
}

fn estimate(samples: &[Duration], runs: u32) -> Estimate {
    let mut sorted = samples.to_vec();
    sorted.sort_unstable();
    let count = u32::try_from(sorted.len()).unwrap_or(u32::MAX);
    Estimate {
        runs,
        mean: sorted.iter().sum::<Duration>() / count,
        p90: sorted[(sorted.len() * 9).div_ceil(10) - 1],
    }
}
