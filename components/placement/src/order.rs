//! Queue order and expected run times.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use board::{Fleet, History, Queue};
use model::{AccountId, Active, Gang, Job, Queued, Request, Running, Shape};

use crate::topology::WorkerResources;

/// Upper limit of attained service of the lowest level, in accelerator seconds.
const LEVEL_BASE: f64 = 3600.0;
/// The ratio between the limits of successive levels.
const LEVEL_RATIO: f64 = 4.0;
const LEVELS: u32 = 12;
/// Minimum number of observed runs for correcting a declared run time; fewer are not reliable enough.
const MIN_RUNS: u32 = 3;
/// Remaining run time assumed of a gang or job without an estimate.
const UNKNOWN_REMAINING: Duration = Duration::from_hours(1);

/// Claims in use for which a queued job of the client account waits, with the time at which that job was accepted.
///
/// Later jobs may not use these claims; otherwise a stream of small jobs could starve a large job within its guarantee.
pub(crate) type ClosedClaims = HashMap<usize, Instant>;

/// Returns the claims that are reserved for waiting jobs.
pub(crate) fn closed_claims(fleet: &Fleet, queue: &Queue) -> ClosedClaims {
    let mut closed = ClosedClaims::new();
    let mut checked: HashSet<(&AccountId, Shape)> = HashSet::new();
    for job in queue.queued.values() {
        let shape = job.request.shape.unwrap_or_default();
        if fleet.holds.contains_key(&job.id()) || !checked.insert((&job.request.account, shape)) {
            continue;
        }
        let tasks = u64::from(shape.tasks);
        for (index, claim) in fleet.claims.iter().enumerate() {
            let is_awaited = claim.gangs > 0
                && claim.account == job.request.account
                && task_slots(&claim.remaining, &shape) < tasks
                && task_slots(&claim.allocation, &shape) >= tasks;
            if is_awaited {
                closed.entry(index).or_insert(job.accepted_at);
            }
        }
    }
    closed
}

/// Returns whether a job may use a claim: no older job waits for it.
pub(crate) fn is_open(closed: &ClosedClaims, claim: usize, job: &Job<Queued>) -> bool {
    closed
        .get(&claim)
        .is_none_or(|since| job.accepted_at <= *since)
}

/// Returns the queued jobs in scheduling order: jobs within a guarantee first, then by least attained service, expected
/// run time and age.
pub(crate) fn queue_order(
    fleet: &Fleet,
    queue: &Queue,
    history: &History,
    closed: &ClosedClaims,
) -> Vec<Arc<Job<Queued>>> {
    let mut keyed: Vec<_> = queue
        .queued
        .values()
        .map(|job| {
            let covered = fits_own_claim(fleet, closed, job);
            let account = &job.request.account;
            let attained = history
                .attained_service
                .get(account)
                .copied()
                .unwrap_or(0.0);
            let expected = expected_run_time(history, &job.request).unwrap_or(UNKNOWN_REMAINING);
            let key = (
                !covered,
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

/// Returns whether the unused part of a claim of the client account fits a job.
pub(crate) fn fits_own_claim(fleet: &Fleet, closed: &ClosedClaims, job: &Job<Queued>) -> bool {
    let shape = job.request.shape.unwrap_or_default();
    fleet.claims.iter().enumerate().any(|(index, claim)| {
        claim.account == job.request.account
            && is_open(closed, index, job)
            && task_slots(&claim.remaining, &shape) >= u64::from(shape.tasks)
    })
}

/// Returns how many tasks of a shape fit, with at most all tasks on one worker.
fn task_slots(resources: &WorkerResources, shape: &Shape) -> u64 {
    let per_task = shape.per_task();
    resources
        .iter()
        .map(|(_, free)| u64::from(free.fit_count(per_task).min(shape.tasks)))
        .sum()
}

/// Returns the priority level of an amount of attained service.
fn level(attained: f64) -> u32 {
    let mut limit = LEVEL_BASE;
    let mut level = 0;
    while attained >= limit && level < LEVELS {
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
/// A gang that exceeded its estimate is expected to run for as long again as it has run so far, since the estimate proved
/// too low.
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
        None => UNKNOWN_REMAINING,
    };
    now + remaining
}
