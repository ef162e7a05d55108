//! The drain: a reservation of capacity for the oldest blocked large job.

use std::sync::Arc;
use std::time::{Duration, Instant};

use board::Hold;
use model::{Job, Queued, Resources, Shape, gang_id};

use crate::capacity::StepCapacity;
use crate::context::StepContext;
use crate::fit::{fill, slots};
use crate::fleet::{held_resources, is_non_preemptible};
use crate::order::{expected_end, expected_run_time};
use crate::topology::{Assignment, WorkerResources};

/// Delay after which the drain is planned anew, because the estimates it was based on were wrong. Also the run time
/// assumed of a planned gang without an estimate, and the unit of waits in the score of a drain.
const REPLAN_AFTER: Duration = Duration::from_hours(1);
/// Maximum number of blocked jobs for which a drain is searched in one step.
const MAX_DRAIN_SEARCHES: usize = 4;

/// Capacity that a gang is expected to release.
struct ExpectedRelease {
    at: Instant,
    worker: usize,
    amount: Resources,
    /// Whether the amount is also added to the spare capacity.
    adds_spare: bool,
}

/// Workers in one topology domain, with the time at which they are expected to fit the job.
struct DrainWindow {
    at: Instant,
    assignment: Assignment,
    /// Task slots of the domain beyond those needed, relative to the number of tasks.
    surplus: f64,
}

/// Drops a drain whose job left the queue or that is overdue.
pub(crate) fn drop_stale_drain(cx: &mut StepContext) {
    let is_stale = cx.fleet.drain.as_ref().is_some_and(|drain| {
        !cx.is_queued(drain.job) || cx.now > drain.available_at + REPLAN_AFTER
    });
    if is_stale {
        cx.fleet.drain = None;
    }
}

/// Returns whether the drained capacity can run its job now.
pub(crate) fn is_drain_ready(cx: &StepContext, capacity: &StepCapacity, hold: &Hold) -> bool {
    let non_preemptible = is_non_preemptible(&cx.queue, hold.job);
    if non_preemptible && capacity.shortfall {
        return false;
    }
    hold.assignment.iter().all(|(worker, tasks)| {
        let need = hold.per_task.saturating_mul(*tasks);
        capacity.eligibility.is_eligible(*worker, false)
            && capacity.available[*worker].checked_sub(need).is_some()
            && (!non_preemptible || cx.fleet.spare[*worker].checked_sub(need).is_some())
    })
}

/// Starts a drain for the oldest blocked job that needs a whole worker or more, or else for the oldest blocked job.
///
/// Jobs with fewer attempts go first, so that one job that is stopped again and again does not take most reservations.
pub(crate) fn reserve_drain(
    cx: &mut StepContext,
    capacity: &mut StepCapacity,
    blocked: &[Arc<Job<Queued>>],
) {
    if cx.fleet.drain.is_some() {
        return;
    }
    let worker_accelerators = cx
        .fleet
        .workers
        .values()
        .map(|worker| worker.capacity.accelerators)
        .max()
        .unwrap_or_default();
    let is_small = |job: &Job<Queued>| {
        let shape = job.request.shape.unwrap_or_default();
        shape.total().accelerators < worker_accelerators.max(1)
    };
    let mut candidates: Vec<&Arc<Job<Queued>>> = blocked.iter().collect();
    candidates.sort_by_key(|job| (is_small(job), job.attempt, job.accepted_at));
    let releases = if candidates.is_empty() {
        Vec::new()
    } else {
        releases(cx)
    };
    for job in candidates.into_iter().take(MAX_DRAIN_SEARCHES) {
        let shape = job.request.shape.unwrap_or_default();
        if let Some(window) = best_drain_window(cx, capacity, job, &shape, &releases) {
            cx.fleet.drain = Some(Arc::new(Hold {
                job: job.id(),
                gang: gang_id(job.id(), job.attempt),
                assignment: window.assignment,
                per_task: shape.per_task(),
                available_at: window.at,
            }));
            capacity.update_drain(cx);
            return;
        }
    }
}

/// Returns the capacity that gangs are expected to release, soonest first.
fn releases(cx: &StepContext) -> Vec<ExpectedRelease> {
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
        let at = cx.now + expected.unwrap_or(REPLAN_AFTER);
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

/// Returns the window with the lowest weighted sum of wait and surplus among the domains of the job's adjacency level.
fn best_drain_window(
    cx: &StepContext,
    capacity: &mut StepCapacity,
    job: &Job<Queued>,
    shape: &Shape,
    releases: &[ExpectedRelease],
) -> Option<DrainWindow> {
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
    let mut best: Option<(f64, DrainWindow)> = None;
    for range in cx.topology.domain_ranges(&all, shape.adjacency) {
        let domain = cx.topology.domain(range.start, shape.adjacency);
        let mut forecast = CapacityForecast {
            start: range.start,
            free: capacity.available[range.clone()].to_vec(),
            deficit: &capacity.deficit[range.clone()],
            spare: non_preemptible.then(|| cx.fleet.spare[range.clone()].to_vec()),
            eligible: range
                .map(|worker| capacity.eligibility.is_eligible(worker, needs_proven))
                .collect(),
            shape,
        };
        let Some(window) = forecast.earliest_window(&by_domain[domain], cx.now) else {
            continue;
        };
        let wait =
            window.at.saturating_duration_since(cx.now).as_secs_f64() / REPLAN_AFTER.as_secs_f64();
        let score = policy.completion_weight * wait + policy.fragmentation_weight * window.surplus;
        if best.as_ref().is_none_or(|(lowest, _)| score < *lowest) {
            best = Some((score, window));
        }
    }
    best.map(|(_, window)| window)
}

/// The expected capacity of one topology domain as gangs end.
struct CapacityForecast<'a> {
    /// The index of the first worker; offsets count from it.
    start: usize,
    free: Vec<Resources>,
    /// Resources that holds take from what gangs release.
    deficit: &'a [Resources],
    /// Spare resources, if the job is non-preemptible.
    spare: Option<Vec<Resources>>,
    eligible: Vec<bool>,
    shape: &'a Shape,
}

impl CapacityForecast<'_> {
    fn amount(&self, offset: usize) -> Resources {
        let free = self.free[offset].saturating_sub(self.deficit[offset]);
        match &self.spare {
            _ if !self.eligible[offset] => Resources::default(),
            Some(spare) => free.min(spare[offset]),
            None => free,
        }
    }

    fn slots_on(&self, offset: usize) -> u64 {
        let slots = self.amount(offset).fit_count(self.shape.per_task());
        u64::from(slots.min(self.shape.tasks))
    }

    /// Returns the earliest window in which the job fits, applying the releases in order.
    fn earliest_window(
        &mut self,
        releases: &[&ExpectedRelease],
        now: Instant,
    ) -> Option<DrainWindow> {
        let tasks = u64::from(self.shape.tasks);
        let mut slots: u64 = (0..self.free.len())
            .map(|offset| self.slots_on(offset))
            .sum();
        let mut time = now;
        for release in releases {
            if slots >= tasks {
                break;
            }
            let offset = release.worker - self.start;
            slots -= self.slots_on(offset);
            self.free[offset] = self.free[offset].saturating_add(release.amount);
            if release.adds_spare
                && let Some(spare) = &mut self.spare
            {
                spare[offset] = spare[offset].saturating_add(release.amount);
            }
            slots += self.slots_on(offset);
            time = release.at;
        }
        if slots < tasks {
            return None;
        }
        self.window_at(slots, time)
    }

    #[expect(clippy::cast_precision_loss, reason = "the counts are far below 2^52")]
    fn window_at(&self, total_slots: u64, at: Instant) -> Option<DrainWindow> {
        let resources: WorkerResources = (0..self.free.len())
            .map(|offset| (self.start + offset, self.amount(offset)))
            .collect();
        let counts = slots(&resources, self.shape);
        let mut order: Vec<usize> = (0..resources.len()).collect();
        order.sort_by_key(|index| std::cmp::Reverse(counts[*index]));
        let assignment = fill(&resources, &counts, order, self.shape.tasks)?;
        let tasks = f64::from(self.shape.tasks);
        Some(DrainWindow {
            at,
            assignment,
            surplus: (total_slots as f64 - tasks) / tasks,
        })
    }
}
