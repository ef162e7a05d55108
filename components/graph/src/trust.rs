//! Trust in workers: units avoid those on which runs failed.

use std::time::Duration;

use crate::fit::Candidate;
use crate::job::{Job, Unit, UnitId};

/// How far a worker is trusted with a unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TrustLevel {
    /// No run has failed on it since the last successful one, and none of the unit ever.
    NotSuspect,
    /// No run of the unit has ever failed on it.
    NotAvoided,
    /// Any worker.
    Any,
}

/// Minimum time for which a last attempt waits for workers that are not suspect. Its job would fail on another faulty one,
/// which is worse than a late end.
const LAST_ATTEMPT_WAIT: Duration = Duration::from_secs(4);

/// Returns whether a unit waits until it fits on the `sound` workers.
pub(crate) fn waits_for_sound_workers(
    job: &Job,
    unit: (UnitId, &Unit),
    sound: &[&Candidate<'_>],
    now: Duration,
) -> bool {
    sound_workers_deadline(job, unit, sound, now).is_some()
}

/// Returns until when a unit waits at the latest until it fits on the `sound` workers, which could hold it if they were
/// empty. A gang fails if any of its workers does; it waits for half of its remaining slack. A last attempt may wait longer.
pub(crate) fn sound_workers_deadline(
    job: &Job,
    unit: (UnitId, &Unit),
    sound: &[&Candidate<'_>],
    now: Duration,
) -> Option<Duration> {
    let (id, unit) = unit;
    let is_last = is_last_attempt(job, unit);
    let max_slots = sound.iter().map(|candidate| candidate.max_slots);
    let could_fit = max_slots.fold(0, u32::saturating_add) >= unit.tasks;
    if !could_fit || !(is_last || unit.tasks > 1) {
        return None;
    }
    let ready_at = unit.ready_at.unwrap_or(now);
    let latest_start = job.deadline().saturating_sub(job.expected_task_time(id));
    let half_slack = latest_start.saturating_sub(ready_at) / 2;
    let wait = if is_last {
        half_slack.max(LAST_ATTEMPT_WAIT)
    } else {
        half_slack
    };
    Some(ready_at + wait).filter(|deadline| now < *deadline)
}

/// Returns whether the job fails if the next run of a unit fails.
pub(crate) fn is_last_attempt(job: &Job, unit: &Unit) -> bool {
    unit.failures() > 0 && unit.failures() + 1 >= job.policy.max_attempts
}

/// Returns the candidates whose workers are trusted with a unit at a level.
pub(crate) fn trusted_candidates<'a, 'b>(
    unit: &Unit,
    candidates: &'b [Candidate<'a>],
    level: TrustLevel,
    now: Duration,
) -> Vec<&'b Candidate<'a>> {
    // A probe is a single task that has not failed before.
    let may_probe = unit.tasks == 1 && unit.failures() == 0;
    let is_trusted = |candidate: &&Candidate<'_>| {
        let worker = candidate.worker;
        let is_trusted = !worker.is_suspect() || (may_probe && worker.accepts_probe(now));
        let is_avoided = unit.avoided_workers.contains(&worker.agent);
        match level {
            TrustLevel::NotSuspect => is_trusted && !is_avoided,
            TrustLevel::NotAvoided => !is_avoided,
            TrustLevel::Any => true,
        }
    };
    candidates.iter().filter(is_trusted).collect()
}
