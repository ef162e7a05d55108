//! Chooses the speeds of the workers on which a unit is placed.
//!
//! Work that has to end soon gets the fastest workers, and other work the slowest ones on which it ends in time. Among workers
//! of equal rank the other rules decide: trust, racks, and the packing that keeps empty workers free.

use std::ops::RangeInclusive;
use std::time::Duration;

use indexmap::IndexMap;

use crate::fit::{Assignment, Candidate};
use crate::job::{Job, Unit, UnitId};
use crate::order::{ReadyUnit, URGENT_PRIORITY};
use crate::reservations::PlacementOptions;
use crate::scheduler::Scheduler;
use crate::speeds::SpeedClass;

/// How many times the expected time a unit has to have left to be placed on slower workers than necessary. Work varies by 30%
/// between tasks, and the slowest of many decides.
const IN_TIME_MARGIN: f64 = 1.5;

/// Ranks of speed of the workers that a unit may use together.
pub(crate) type SpeedRange = RangeInclusive<SpeedClass>;

/// Returns the ranges of speeds to try in order; fewer than two if the speeds of the candidates do not differ.
///
/// A gang is as fast as its slowest member, so that the lowest rank of a range tells the time that the unit takes. Among
/// ranges with the same lowest rank, the narrower one comes first, which leaves faster workers to others.
pub(crate) fn speed_ranges(
    job: &Job,
    (id, unit): (UnitId, &Unit),
    candidates: &[Candidate<'_>],
    now: Duration,
) -> Vec<SpeedRange> {
    let mut speeds: IndexMap<SpeedClass, f64> = IndexMap::new();
    for candidate in candidates.iter().filter(|candidate| candidate.slots > 0) {
        let speed = &candidate.worker.speed;
        let slowest = speeds.entry(speed.rank()).or_insert(f64::MAX);
        *slowest = slowest.min(speed.factor());
    }
    if speeds.len() < 2 {
        return Vec::new();
    }
    speeds.sort_unstable_keys();
    let work = job.expected_task_time(id);
    let left = latest_end(job, id).saturating_sub(now);
    let is_in_time = |speed: f64| work.mul_f64(IN_TIME_MARGIN).div_f64(speed) <= left;
    let is_urgent = job.policy.priority == URGENT_PRIORITY;
    let is_relaxed = |speed: f64| !is_urgent && is_in_time(speed);
    let ranks: Vec<SpeedClass> = speeds.keys().copied().collect();
    let relaxed = speeds.iter().filter(|(_, speed)| is_relaxed(**speed));
    let others = speeds
        .iter()
        .rev()
        .filter(|(_, speed)| !is_relaxed(**speed));
    let lowest = relaxed.chain(others).map(|(rank, _)| *rank);
    let widest = if unit.tasks == 1 { 1 } else { ranks.len() };
    let ranges = lowest.flat_map(|low| {
        let highs = ranks.iter().filter(move |rank| **rank >= low);
        highs.take(widest).map(move |high| low..=*high)
    });
    ranges.collect()
}

impl Scheduler {
    /// Returns whether a unit that would end late on the free workers waits for faster ones.
    pub(crate) fn awaits_faster_workers(
        &self,
        ready: ReadyUnit,
        options: &PlacementOptions<'_>,
        assignment: &Assignment,
        now: Duration,
    ) -> bool {
        self.jobs.get(&ready.job).is_some_and(|job| {
            let until = self.faster_workers_deadline(job, ready, options, assignment, now);
            until.is_some_and(|until| now < until)
        })
    }

    /// Returns until when a unit that would end late on an assignment waits for faster workers: as long as it would end in time
    /// on them. They must be able to hold it if they were empty. Guaranteed units do not wait, because they must start within a
    /// given time, and neither do those that take any place.
    pub(crate) fn faster_workers_deadline(
        &self,
        job: &Job,
        ready: ReadyUnit,
        options: &PlacementOptions<'_>,
        assignment: &Assignment,
        now: Duration,
    ) -> Option<Duration> {
        let unit = job.units.get(&ready.unit)?;
        let is_bound = ready.guaranteed || options.takes_any_place;
        if is_bound || options.own_reservation.is_some() || !self.speeds_differ() {
            return None;
        }
        let end = latest_end(job, ready.unit);
        let present = self.expected_time_on(job, ready.unit, assignment);
        if now + present <= end {
            return None;
        }
        let step = job.step(ready.unit);
        let mut candidates: Vec<&Candidate<'_>> = options.candidates.iter().collect();
        candidates.sort_by_key(|candidate| std::cmp::Reverse(candidate.worker.speed.rank()));
        let mut slots: IndexMap<&str, u32> = IndexMap::new();
        let mut speed = f64::MAX;
        for candidate in candidates {
            speed = speed.min(candidate.worker.speed.factor());
            let rack = if step.rack_sensitive {
                candidate.worker.rack()
            } else {
                ""
            };
            let slots = slots.entry(rack).or_default();
            *slots = slots.saturating_add(candidate.max_slots);
            if *slots >= unit.tasks {
                break;
            }
        }
        let fastest = job.expected_task_time(ready.unit).div_f64(speed);
        (fastest < present).then(|| end.saturating_sub(fastest))
    }
}

/// Returns when a unit has to end so that its job ends in time: its deadline less the expected times of the later steps.
fn latest_end(job: &Job, id: UnitId) -> Duration {
    let steps = 0..job.spec.graph.steps.len();
    let later = steps
        .skip(id.step as usize + 1)
        .filter_map(|step| u32::try_from(step).ok());
    let later = later.map(|step| job.expected_task_time(UnitId { step, ..id }));
    job.deadline().saturating_sub(later.sum())
}
