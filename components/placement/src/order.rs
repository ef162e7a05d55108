//! The order of the queue and the expected run times.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use board::{Fleet, History, Queue};
use model::{AccountId, Active, Gang, Job, Queued, Request, Running, Shape};

use crate::layout::Room;

/// The attained service of the lowest level, in accelerator seconds.
const LEVEL_BASE: f64 = 3600.0;
/// The ratio between the limits of successive levels.
const LEVEL_RATIO: f64 = 4.0;
const LEVELS: u32 = 12;
/// Fewer observed runs say too little to correct a declared run time.
const MIN_RUNS: u32 = 3;
/// The remaining time assumed of a gang about which nothing is known.
const UNKNOWN_REMAINING: Duration = Duration::from_hours(1);

/// Claims in use that an older job of the client account waits for, with the time of its acceptance.
///
/// Later jobs may not enter them, or a stream of small jobs would keep a large one out of its own guarantee.
pub(crate) type Closed = HashMap<usize, Instant>;

/// Returns the claims that are closed to later jobs.
pub(crate) fn closed_claims(fleet: &Fleet, queue: &Queue) -> Closed {
    let mut closed = Closed::new();
    let mut seen: HashSet<(&AccountId, Shape)> = HashSet::new();
    for job in queue.queued.values() {
        let shape = job.request.shape.unwrap_or_default();
        if fleet.holds.contains_key(&job.id()) || !seen.insert((&job.request.account, shape)) {
            continue;
        }
        let tasks = u64::from(shape.tasks);
        for (index, claim) in fleet.claims.iter().enumerate() {
            let waits = claim.gangs > 0
                && claim.account == job.request.account
                && total(&claim.left, &shape) < tasks
                && total(&claim.home, &shape) >= tasks;
            if waits {
                closed.entry(index).or_insert(job.accepted);
            }
        }
    }
    closed
}

/// Returns whether a job may enter a claim.
pub(crate) fn is_open(closed: &Closed, claim: usize, job: &Job<Queued>) -> bool {
    closed
        .get(&claim)
        .is_none_or(|since| job.accepted <= *since)
}

/// Returns the queued jobs: within guarantee first, then least attained service, then expected run time, then age.
pub(crate) fn ordered(
    fleet: &Fleet,
    queue: &Queue,
    history: &History,
    closed: &Closed,
) -> Vec<Arc<Job<Queued>>> {
    let mut keyed: Vec<_> = queue
        .queued
        .values()
        .map(|job| {
            let covered = may_claim(fleet, closed, job);
            let account = &job.request.account;
            let attained = history.attained.get(account).copied().unwrap_or(0.0);
            let expected = run_time(history, &job.request).unwrap_or(UNKNOWN_REMAINING);
            let key = (
                !covered,
                level(attained + job.attained),
                length(expected),
                job.accepted,
            );
            (key, job)
        })
        .collect();
    keyed.sort_by_key(|(key, _)| *key);
    keyed.into_iter().map(|(_, job)| Arc::clone(job)).collect()
}

/// Returns whether a claim of the client account has enough left for a job.
pub(crate) fn may_claim(fleet: &Fleet, closed: &Closed, job: &Job<Queued>) -> bool {
    let shape = job.request.shape.unwrap_or_default();
    fleet.claims.iter().enumerate().any(|(index, claim)| {
        claim.account == job.request.account
            && is_open(closed, index, job)
            && total(&claim.left, &shape) >= u64::from(shape.tasks)
    })
}

fn total(room: &Room, shape: &Shape) -> u64 {
    let per_task = shape.per_task();
    room.iter()
        .map(|(_, free)| u64::from(free.times(per_task).min(shape.tasks)))
        .sum()
}

fn level(attained: f64) -> u32 {
    let mut limit = LEVEL_BASE;
    let mut level = 0;
    while attained >= limit && level < LEVELS {
        limit *= LEVEL_RATIO;
        level += 1;
    }
    level
}

/// Returns the class of an expected run time; a class spans a factor of four, because estimates are no more exact.
fn length(expected: Duration) -> u32 {
    expected.as_secs().max(1).ilog2() / 2
}

/// Returns the declared run time corrected by the history of the client account and service.
pub(crate) fn run_time(history: &History, request: &Request) -> Option<Duration> {
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
/// A gang that overran its estimate is expected to run as long again, since its estimate is known to be wrong.
pub(crate) fn expected_end(
    history: &History,
    job: Option<&Job<Active>>,
    gang: &Gang<Running>,
    now: Instant,
) -> Instant {
    let elapsed = now.saturating_duration_since(gang.state.since);
    let expected = job.and_then(|job| run_time(history, &job.request));
    let remaining = match expected {
        Some(expected) => expected.checked_sub(elapsed).unwrap_or(elapsed),
        None => UNKNOWN_REMAINING,
    };
    now + remaining
}
