//! Decides which queued jobs get a gang.

use std::sync::Arc;

use model::{Job, JobId, Queued, Resources, Shape};

use crate::capacity::{BorrowSearch, StepCapacity};
use crate::context::StepContext;
use crate::drain::{drop_stale_drain, is_drain_ready, reserve_drain};
use crate::eligibility::{Eligibility, probe_worker};
use crate::exclusions::excluded_workers;
use crate::fleet::{drop_hold, is_non_preemptible};
use crate::order::{expected_run_time, fits_own_claim, queue_order};
use crate::packing::move_allocations;
use crate::reclaim::{place_held_job, place_within_claim};
use crate::repack::{SearchOutcome, assignment_beside};
use crate::score::best_fit;
use crate::topology::{Assignment, WorkerResources, assigned_resources};

/// Number of failed searches after which the remaining jobs outside claims wait for the next step, so that a long queue
/// of different shapes does not delay the step.
const MAX_FAILED_SEARCHES: usize = 256;

/// Plans gangs with guarantees, reclaim, the drain of one large job, and backfill.
pub(crate) fn schedule(cx: &mut StepContext, eligibility: Eligibility) {
    place_held_jobs(cx);
    drop_stale_drain(cx);
    let mut capacity = StepCapacity::new(cx, eligibility);
    place_drain_job(cx, &mut capacity);
    let mut blocked = Vec::new();
    for job in queue_order(&cx.fleet, &cx.queue, cx.history, &capacity.closed_claims) {
        if !cx.is_queued(job.id()) || cx.fleet.holds.contains_key(&job.id()) {
            continue;
        }
        if !cx.slots.available(cx.membership, &job.request.service) {
            continue;
        }
        if !place(cx, &mut capacity, &job) {
            blocked.push(job);
        }
    }
    blocked.retain(|job| cx.is_queued(job.id()));
    reserve_drain(cx, &mut capacity, &blocked);
}

fn place_held_jobs(cx: &mut StepContext) {
    let held: Vec<JobId> = cx.fleet.holds.keys().copied().collect();
    for id in held {
        match cx.queue.queued.get(&id).cloned() {
            Some(job) => {
                place_held_job(cx, &job);
            }
            None => drop_hold(&mut cx.fleet, id),
        }
    }
}

fn place_drain_job(cx: &mut StepContext, capacity: &mut StepCapacity) {
    let Some(hold) = cx.fleet.drain.clone() else {
        return;
    };
    let Some(job) = cx.queue.queued.get(&hold.job).cloned() else {
        return;
    };
    if is_drain_ready(cx, capacity, &hold) && cx.reserve(&job, &hold.assignment) {
        capacity.reserve(&assigned_resources(&hold.assignment, hold.per_task));
        cx.fleet.drain = None;
        capacity.update_drain(cx);
    }
}

fn place(cx: &mut StepContext, capacity: &mut StepCapacity, job: &Arc<Job<Queued>>) -> bool {
    let Some(shape) = job.request.shape else {
        return false;
    };
    let account = &job.request.account;
    if job.request.is_preemptible() && borrow(cx, capacity, job, &shape) {
        return true;
    }
    if fits_own_claim(&cx.fleet, &capacity.closed_claims, job) {
        let non_preemptible = is_non_preemptible(&cx.queue, job.id());
        let key = (account.clone(), shape, non_preemptible);
        if !capacity.failed_claim_searches.contains(&key) {
            if place_within_claim(cx, capacity, job, &shape) {
                return true;
            }
            capacity.failed_claim_searches.insert(key);
        }
    }
    borrow(cx, capacity, job, &shape)
}

/// Places a job outside the claims of its client account.
fn borrow(
    cx: &mut StepContext,
    capacity: &mut StepCapacity,
    job: &Job<Queued>,
    shape: &Shape,
) -> bool {
    let search = BorrowSearch {
        shape: *shape,
        non_preemptible: is_non_preemptible(&cx.queue, job.id()),
        idempotent: job.request.idempotent,
        may_use_drain: may_use_drain(cx, job),
        excluded: excluded_workers(cx, job.id(), shape),
    };
    if capacity.failed_searches.len() >= MAX_FAILED_SEARCHES
        || capacity.failed_searches.contains(&search)
    {
        return false;
    }
    if search.non_preemptible && capacity.shortfall {
        return false;
    }
    let Some(assignment) = find_assignment(cx, capacity, &search)
        .or_else(|| find_with_repacking(cx, capacity, &search))
    else {
        capacity.failed_searches.insert(search);
        return false;
    };
    if !cx.reserve(job, &assignment) {
        return false;
    }
    capacity.reserve(&assigned_resources(&assignment, shape.per_task()));
    if cx
        .fleet
        .drain
        .as_ref()
        .is_some_and(|drain| drain.job == job.id())
    {
        cx.fleet.drain = None;
        capacity.update_drain(cx);
    }
    true
}

/// Returns whether a job may use drained capacity: the drain is for this job, or the job is expected to end before the
/// drain is due.
fn may_use_drain(cx: &StepContext, job: &Job<Queued>) -> bool {
    cx.fleet.drain.as_ref().is_none_or(|drain| {
        let expected_end =
            expected_run_time(cx.history, &job.request).map(|run_time| cx.now + run_time);
        drain.job == job.id() || expected_end.is_some_and(|end| end <= drain.available_at)
    })
}

/// Finds available capacity for a job, on a quarantined worker that is due for a probe if the job is idempotent.
fn find_assignment(
    cx: &StepContext,
    capacity: &mut StepCapacity,
    search: &BorrowSearch,
) -> Option<Assignment> {
    let shape = &search.shape;
    if search.idempotent
        && let Some(assignment) = probe_worker(cx, shape)
    {
        let is_available = |(worker, tasks): &(usize, u32)| {
            let need = shape.per_task().saturating_mul(*tasks);
            capacity.available[*worker].checked_sub(need).is_some()
        };
        if assignment.iter().all(is_available) {
            return Some(assignment);
        }
    }
    let needs_proven = capacity
        .eligibility
        .needs_proven(cx, shape, search.non_preemptible);
    let available: WorkerResources = (0..capacity.available.len())
        .filter(|worker| capacity.eligibility.is_eligible(*worker, needs_proven))
        .filter(|worker| search.excluded.binary_search(worker).is_err())
        .map(|worker| (worker, borrowable(cx, capacity, search, worker)))
        .collect();
    best_fit(&cx.topology, &available, shape, &capacity.weights)
}

/// Finds capacity for a non-preemptible job by moving the allocations of unused claims.
fn find_with_repacking(
    cx: &mut StepContext,
    capacity: &mut StepCapacity,
    search: &BorrowSearch,
) -> Option<Assignment> {
    if !search.non_preemptible {
        return None;
    }
    let needs_proven = capacity.eligibility.needs_proven(cx, &search.shape, true);
    let available: WorkerResources = (0..capacity.available.len())
        .filter(|worker| capacity.eligibility.is_eligible(*worker, needs_proven))
        .map(|worker| (worker, unreserved(capacity, search, worker)))
        .collect();
    let SearchOutcome::Found((assignment, allocations)) =
        assignment_beside(&cx.fleet, &cx.topology, &available, &search.shape)
    else {
        return None;
    };
    move_allocations(&mut cx.fleet, allocations);
    Some(assignment)
}

/// Returns the resources of a worker that the search may use; a non-preemptible job is limited to spare capacity.
fn borrowable(
    cx: &StepContext,
    capacity: &StepCapacity,
    search: &BorrowSearch,
    worker: usize,
) -> Resources {
    let amount = unreserved(capacity, search, worker);
    if search.non_preemptible {
        amount.min(cx.fleet.spare[worker])
    } else {
        amount
    }
}

/// Returns the available resources of a worker, less the drained ones unless the search may use them.
fn unreserved(capacity: &StepCapacity, search: &BorrowSearch, worker: usize) -> Resources {
    let available = capacity.available[worker];
    if search.may_use_drain {
        available
    } else {
        available.saturating_sub(capacity.drain_reserved[worker])
    }
}
