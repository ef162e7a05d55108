//! Queue order and expected run times.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use board::{Fleet, History, Queue};
use model::{AccountId, Active, Gang, Job, Queued, Request, Running, Shape};

use crate::topology::WorkerResources;

/// Attained service from which level 1 begins, in accelerator seconds: one hour of one accelerator.
const FIRST_LEVEL_LIMIT: f64 = 3600.0;
/// Ratio between the beginnings of successive levels.
const LEVEL_RATIO: f64 = 4.0;
/// Highest level; it begins at about 4.2 million accelerator hours.
const MAX_LEVEL: u32 = 12;
/// Minimum number of observed runs for correcting a declared run time; fewer are not reliable enough.
const MIN_RUNS: u32 = 3;
/// Run time, or remaining run time, assumed of a job without an estimate.
pub(crate) const DEFAULT_RUN_TIME: Duration = Duration::from_hours(1);

/// Claims in use for which a queued job of the client account waits, with the time at which the oldest such job was
/// accepted.
///
/// Jobs accepted later may not use these claims; otherwise a stream of small jobs could starve a large job within its
/// guarantee.
pub(crate) type ClaimCutoffs = HashMap<usize, Instant>;

/// Returns the claims that later jobs may not use, because a queued job fits in them once the gangs charged to them
/// end.
pub(crate) fn claim_cutoffs(fleet: &Fleet, queue: &Queue) -> ClaimCutoffs {
    let mut cutoffs = ClaimCutoffs::new();
    let mut checked: HashSet<(&AccountId, Shape)> = HashSet::new();
    // The queue is ordered by acceptance, so the first entry for a claim is that of the oldest job.
    for job in queue.queued.values() {
        let shape = job.request.shape.unwrap_or_default();
        if fleet.holds.contains_key(&job.id()) || !checked.insert((&job.request.account, shape)) {
            continue;
        }
        let tasks = u64::from(shape.tasks);
        for (index, claim) in fleet.claims.iter().enumerate() {
            let fits_after_release = claim.gangs > 0
                && claim.account == job.request.account
                && count_task_slots(&claim.remaining, &shape) < tasks
                && count_task_slots(&claim.allocation, &shape) >= tasks;
            if fits_after_release {
                cutoffs.entry(index).or_insert(job.accepted_at);
            }
        }
    }
    cutoffs
}

/// Returns whether no older job waits for a claim, so that a job may use it.
pub(crate) fn may_use_claim(cutoffs: &ClaimCutoffs, claim: usize, job: &Job<Queued>) -> bool {
    cutoffs
        .get(&claim)
        .is_none_or(|since| job.accepted_at <= *since)
}

/// Returns the queued jobs in scheduling order: jobs that may fit in a claim of their account first, then by level of
/// attained service, class of expected run time, and time of acceptance.
pub(crate) fn queue_order(
    fleet: &Fleet,
    queue: &Queue,
    history: &History,
    cutoffs: &ClaimCutoffs,
) -> Vec<Arc<Job<Queued>>> {
    let mut keyed: Vec<_> = queue
        .queued
        .values()
        .map(|job| {
            let may_fit_claim = may_fit_own_claim(fleet, cutoffs, job);
            let account = &job.request.account;
            let attained = history
                .attained_service
                .get(account)
                .copied()
                .unwrap_or(0.0);
            let expected = expected_run_time(history, &job.request).unwrap_or(DEFAULT_RUN_TIME);
            let key = (
                !may_fit_claim,
                level(attained + job.attained_service),
                length(expected),
                job.accepted_at,
            );
            (key, job)
        })
        .collect();
    keyed.sort_by_key(|(key, _)| *key);
    keyed.into_iter().map(|(_, job)| Arc::clone(job)).collect()
}

/// Returns whether the unused part of a claim of the client account has enough task slots for a job. The job may still
/// not fit, because adjacency and eligibility are not considered.
pub(crate) fn may_fit_own_claim(fleet: &Fleet, cutoffs: &ClaimCutoffs, job: &Job<Queued>) -> bool {
    let shape = job.request.shape.unwrap_or_default();
    fleet.claims.iter().enumerate().any(|(index, claim)| {
        claim.account == job.request.account
            && may_use_claim(cutoffs, index, job)
            && count_task_slots(&claim.remaining, &shape) >= u64::from(shape.tasks)
    })
}

/// Returns the number of task slots of a shape on all workers, of which each counts for at most `shape.tasks`.
fn count_task_slots(resources: &WorkerResources, shape: &Shape) -> u64 {
    let per_task = shape.per_task();
    resources
        .iter()
        .map(|(_, free)| u64::from(free.fit_count(per_task).min(shape.tasks)))
        .sum()
}

/// Returns the level of an amount of attained service; jobs of lower levels go first.
fn level(attained: f64) -> u32 {
    let mut limit = FIRST_LEVEL_LIMIT;
    let mut level = 0;
    while attained >= limit && level < MAX_LEVEL {
        limit *= LEVEL_RATIO;
        level += 1;
    }
    level
}

/// Returns the class of an expected run time. A class spans a factor of four, because estimates are not more accurate.
fn length(expected: Duration) -> u32 {
    expected.as_secs().max(1).ilog2() / 2
}

/// Returns the declared run time corrected by the history of the client account and service.
pub(crate) fn expected_run_time(history: &History, request: &Request) -> Option<Duration> {
    let key = (request.account.clone(), request.service.clone());
    match history.estimates.get(&key) {
        Some(known) if known.runs >= MIN_RUNS => {
            let upper = known.p90.max(known.mean);
            let declared = request.declared_run_time.unwrap_or(upper);
            Some(declared.clamp(known.mean, upper))
        }
        _ => request.declared_run_time,
    }
}

/// Returns when a running gang is expected to end.
///
/// A gang that exceeded its estimate is expected to run for as long again as it has run so far, since the estimate
/// proved too low.
pub(crate) fn expected_end(
    history: &History,
    job: Option<&Job<Active>>,
    gang: &Gang<Running>,
    now: Instant,
) -> Instant {
    let elapsed = now.saturating_duration_since(gang.state.since);
    let expected = job.and_then(|job| expected_run_time(history, &job.request));
    let remaining = match expected {
        Some(expected) => expected.checked_sub(elapsed).unwrap_or(elapsed),
        None => DEFAULT_RUN_TIME,
    };
    now + remaining
}
