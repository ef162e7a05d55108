//! The backfill reservation: capacity that is kept for one blocked job until all of it is free.
//!
//! The reservation consists of an assignment and the time at which its capacity is expected to be free. Until then,
//! other jobs may use this capacity only if they are expected to end in time. No gang is stopped for the reservation,
//! and a job that is placed within a claim on the same workers drops it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use board::Hold;
use model::{Job, Queued, Resources, Shape, gang_id};

use crate::capacity::StepCapacity;
use crate::context::StepContext;
use crate::fit::{fill, slots};
use crate::fleet::{held_resources, is_non_preemptible};
use crate::order::{DEFAULT_RUN_TIME, expected_end, expected_run_time};
use crate::topology::{Assignment, WorkerResources};

/// Time after the expected start at which the reservation is dropped and planned again, because the estimates that it
/// was based on were wrong.
const OVERDUE_LIMIT: Duration = Duration::from_hours(1);
/// Unit of the wait in the score: at equal weights, it counts as much as a surplus of as many task slots as the job has
/// tasks.
const WAIT_UNIT: Duration = Duration::from_hours(1);
/// Maximum number of blocked jobs for which the expected start is computed in one step; each computation goes through
/// all workers and gangs.
const MAX_FORECASTS: usize = 4;

/// Capacity that a gang is expected to release.
struct ExpectedRelease {
    at: Instant,
    worker: usize,
    amount: Resources,
    /// Whether the amount is added to the spare capacity too: the gang is non-preemptible and not charged to a claim.
    adds_spare: bool,
}

/// An assignment of the job within one topology domain, and the time at which its capacity is expected to be free.
struct ExpectedStart {
    at: Instant,
    assignment: Assignment,
    /// Task slots of the domain beyond those needed, relative to the number of tasks.
    surplus: f64,
}

/// Drops a reservation whose job left the queue or that is overdue.
pub(crate) fn drop_stale_reservation(cx: &mut StepContext) {
    let is_stale = cx
        .fleet
        .backfill_reservation
        .as_ref()
        .is_some_and(|reservation| {
            !cx.is_queued(reservation.job) || cx.now > reservation.available_at + OVERDUE_LIMIT
        });
    if is_stale {
        cx.fleet.backfill_reservation = None;
    }
}

/// Returns whether the reserved capacity is free, so that its job can be placed now.
pub(crate) fn is_reservation_ready(
    cx: &StepContext,
    capacity: &StepCapacity,
    reservation: &Hold,
) -> bool {
    let non_preemptible = is_non_preemptible(&cx.queue, reservation.job);
    if non_preemptible && capacity.shortfall {
        return false;
    }
    reservation.assignment.iter().all(|(worker, tasks)| {
        let need = reservation.per_task.saturating_mul(*tasks);
        capacity.eligibility.is_eligible(*worker, false)
            && capacity.available[*worker].checked_sub(need).is_some()
            && (!non_preemptible || cx.fleet.spare[*worker].checked_sub(need).is_some())
    })
}

/// Reserves capacity for one blocked job, unless a reservation exists.
///
/// Jobs with at least as many accelerators as the largest worker come first, then jobs with fewer attempts, then older
/// ones. The attempts come before the age so that a job that is stopped again and again does not take most
/// reservations; an attempt whose reservation an agent refused counts too. A job is skipped if it would not fit even
/// after all gangs have ended.
pub(crate) fn reserve_for_blocked(
    cx: &mut StepContext,
    capacity: &mut StepCapacity,
    blocked: &[Arc<Job<Queued>>],
) {
    if cx.fleet.backfill_reservation.is_some() {
        return;
    }
    let largest_worker = cx
        .fleet
        .workers
        .values()
        .map(|worker| worker.capacity.accelerators)
        .max()
        .unwrap_or_default();
    let is_small = |job: &Job<Queued>| {
        let shape = job.request.shape.unwrap_or_default();
        shape.total().accelerators < largest_worker.max(1)
    };
    let mut candidates: Vec<&Arc<Job<Queued>>> = blocked.iter().collect();
    candidates.sort_by_key(|job| (is_small(job), job.attempt, job.accepted_at));
    let releases = if candidates.is_empty() {
        Vec::new()
    } else {
        expected_releases(cx)
    };
    for job in candidates.into_iter().take(MAX_FORECASTS) {
        let shape = job.request.shape.unwrap_or_default();
        if let Some(start) = best_expected_start(cx, capacity, job, &shape, &releases) {
            cx.fleet.backfill_reservation = Some(Arc::new(Hold {
                job: job.id(),
                gang: gang_id(job.id(), job.attempt),
                assignment: start.assignment,
                per_task: shape.per_task(),
                available_at: start.at,
            }));
            capacity.update_backfill_reserved(cx);
            return;
        }
    }
}

/// Returns the capacity that gangs are expected to release, soonest first.
fn expected_releases(cx: &StepContext) -> Vec<ExpectedRelease> {
    let mut releases = Vec::new();
    for gang in cx.fleet.running.values() {
        let job = cx.queue.active.get(&gang.job);
        let at = if cx.fleet.stopping.contains(&gang.id) {
            cx.now
        } else {
            expected_end(cx.history, job.map(AsRef::as_ref), gang, cx.now)
        };
        let adds_spare = !cx.fleet.claim_by_gang.contains_key(&gang.id)
            && is_non_preemptible(&cx.queue, gang.job);
        push_releases(
            &mut releases,
            held_resources(&cx.fleet, &gang.members),
            at,
            adds_spare,
        );
    }
    for gang in cx.fleet.planned.values() {
        let expected = cx
            .queue
            .placed
            .get(&gang.job)
            .and_then(|job| expected_run_time(cx.history, &job.request));
        let at = cx.now + expected.unwrap_or(DEFAULT_RUN_TIME);
        let adds_spare = !cx.fleet.claim_by_gang.contains_key(&gang.id)
            && is_non_preemptible(&cx.queue, gang.job);
        push_releases(
            &mut releases,
            held_resources(&cx.fleet, &gang.members),
            at,
            adds_spare,
        );
    }
    releases.sort_by_key(|release| release.at);
    releases
}

fn push_releases(
    releases: &mut Vec<ExpectedRelease>,
    resources: WorkerResources,
    at: Instant,
    adds_spare: bool,
) {
    releases.extend(
        resources
            .into_iter()
            .map(|(worker, amount)| ExpectedRelease {
                at,
                worker,
                amount,
                adds_spare,
            }),
    );
}

/// Returns the expected start with the lowest weighted sum of wait and surplus among the domains of the job's adjacency
/// level.
fn best_expected_start(
    cx: &StepContext,
    capacity: &mut StepCapacity,
    job: &Job<Queued>,
    shape: &Shape,
    releases: &[ExpectedRelease],
) -> Option<ExpectedStart> {
    let non_preemptible = is_non_preemptible(&cx.queue, job.id());
    let needs_proven = capacity
        .eligibility
        .needs_proven(cx, shape, non_preemptible);
    let domain_count = cx.fleet.workers.len();
    let mut by_domain: Vec<Vec<&ExpectedRelease>> = (0..domain_count).map(|_| Vec::new()).collect();
    for release in releases {
        by_domain[cx.topology.domain(release.worker, shape.adjacency)].push(release);
    }
    let all: WorkerResources = capacity.available.iter().copied().enumerate().collect();
    let policy = &cx.document.policy;
    let mut best: Option<(f64, ExpectedStart)> = None;
    for range in cx.topology.domain_ranges(&all, shape.adjacency) {
        let domain = cx.topology.domain(range.start, shape.adjacency);
        let mut forecast = CapacityForecast {
            first_worker: range.start,
            available: capacity.available[range.clone()].to_vec(),
            deficit: &capacity.deficit[range.clone()],
            spare: non_preemptible.then(|| cx.fleet.spare[range.clone()].to_vec()),
            eligible: range
                .map(|worker| capacity.eligibility.is_eligible(worker, needs_proven))
                .collect(),
            shape,
        };
        let Some(start) = forecast.earliest_start(&by_domain[domain], cx.now) else {
            continue;
        };
        let wait =
            start.at.saturating_duration_since(cx.now).as_secs_f64() / WAIT_UNIT.as_secs_f64();
        let score = policy.completion_weight * wait + policy.fragmentation_weight * start.surplus;
        if best.as_ref().is_none_or(|(lowest, _)| score < *lowest) {
            best = Some((score, start));
        }
    }
    best.map(|(_, start)| start)
}

/// The expected capacity of one topology domain as gangs end.
struct CapacityForecast<'a> {
    /// Index of the first worker of the domain; offsets count from it.
    first_worker: usize,
    /// Resources that no gang or hold uses, by offset.
    available: Vec<Resources>,
    /// Resources that holds take from what gangs release, by offset.
    deficit: &'a [Resources],
    /// Spare resources, if the job is non-preemptible and thus limited to them.
    spare: Option<Vec<Resources>>,
    eligible: Vec<bool>,
    shape: &'a Shape,
}

impl CapacityForecast<'_> {
    /// Returns the resources of a worker that the job may use.
    fn usable(&self, offset: usize) -> Resources {
        let available = self.available[offset].saturating_sub(self.deficit[offset]);
        match &self.spare {
            _ if !self.eligible[offset] => Resources::default(),
            Some(spare) => available.min(spare[offset]),
            None => available,
        }
    }

    fn slots_on(&self, offset: usize) -> u64 {
        let slots = self.usable(offset).fit_count(self.shape.per_task());
        u64::from(slots.min(self.shape.tasks))
    }

    /// Applies the releases in order until the job fits, and returns its start.
    fn earliest_start(
        &mut self,
        releases: &[&ExpectedRelease],
        now: Instant,
    ) -> Option<ExpectedStart> {
        let tasks = u64::from(self.shape.tasks);
        let mut slots: u64 = (0..self.available.len())
            .map(|offset| self.slots_on(offset))
            .sum();
        let mut at = now;
        for release in releases {
            if slots >= tasks {
                break;
            }
            let offset = release.worker - self.first_worker;
            slots -= self.slots_on(offset);
            self.available[offset] = self.available[offset].saturating_add(release.amount);
            if release.adds_spare
                && let Some(spare) = &mut self.spare
            {
                spare[offset] = spare[offset].saturating_add(release.amount);
            }
            slots += self.slots_on(offset);
            at = release.at;
        }
        if slots < tasks {
            return None;
        }
        self.start_at(at, slots)
    }

    #[expect(clippy::cast_precision_loss, reason = "the counts are far below 2^52")]
    fn start_at(&self, at: Instant, total_slots: u64) -> Option<ExpectedStart> {
        let resources: WorkerResources = (0..self.available.len())
            .map(|offset| (self.first_worker + offset, self.usable(offset)))
            .collect();
        let counts = slots(&resources, self.shape);
        let mut order: Vec<usize> = (0..resources.len()).collect();
        order.sort_by_key(|index| std::cmp::Reverse(counts[*index]));
        let assignment = fill(&resources, &counts, order, self.shape.tasks)?;
        let tasks = f64::from(self.shape.tasks);
        Some(ExpectedStart {
            at,
            assignment,
            surplus: (total_slots as f64 - tasks) / tasks,
        })
    }
}
