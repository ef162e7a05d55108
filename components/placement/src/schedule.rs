//! Decides which queued jobs get a gang.

use std::sync::Arc;

use model::{Job, JobId, Queued, Resources, Shape};

use crate::backfill::{drop_stale_reservation, is_reservation_ready, reserve_for_blocked};
use crate::capacity::{StepCapacity, UnchargedSearch};
use crate::context::StepContext;
use crate::eligibility::{Eligibility, probe_assignment};
use crate::exclusions::excluded_workers;
use crate::fleet::{drop_hold, is_non_preemptible};
use crate::order::{expected_run_time, may_fit_own_claim, queue_order};
use crate::packing::move_allocations;
use crate::reclaim::{place_in_claim, place_job_with_hold};
use crate::repack::{SearchOutcome, repack_for_gang};
use crate::score::best_fit;
use crate::topology::{Assignment, WorkerResources, assigned_resources};

/// Number of failed searches for uncharged capacity after which no further ones are made in a step, so that a long
/// queue of different shapes does not delay the step.
const MAX_FAILED_SEARCHES: usize = 256;

/// Plans gangs with guarantees, reclaim, and a backfill reservation for one blocked job.
pub(crate) fn schedule(cx: &mut StepContext, eligibility: Eligibility) {
    place_jobs_with_hold(cx);
    drop_stale_reservation(cx);
    let mut capacity = StepCapacity::new(cx, eligibility);
    place_reserved_job(cx, &mut capacity);
    let mut blocked = Vec::new();
    for job in queue_order(&cx.fleet, &cx.queue, cx.history, &capacity.claim_cutoffs) {
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
    reserve_for_blocked(cx, &mut capacity, &blocked);
}

fn place_jobs_with_hold(cx: &mut StepContext) {
    let jobs_with_hold: Vec<JobId> = cx.fleet.holds.keys().copied().collect();
    for id in jobs_with_hold {
        match cx.queue.queued.get(&id).cloned() {
            Some(job) => {
                place_job_with_hold(cx, &job);
            }
            None => drop_hold(&mut cx.fleet, id),
        }
    }
}

fn place_reserved_job(cx: &mut StepContext, capacity: &mut StepCapacity) {
    let Some(reservation) = cx.fleet.backfill_reservation.clone() else {
        return;
    };
    let Some(job) = cx.queue.queued.get(&reservation.job).cloned() else {
        return;
    };
    if is_reservation_ready(cx, capacity, &reservation)
        && cx.plan_gang(&job, &reservation.assignment)
    {
        capacity.deduct(&assigned_resources(
            &reservation.assignment,
            reservation.per_task,
        ));
        cx.fleet.backfill_reservation = None;
        capacity.update_backfill_reserved(cx);
    }
}

fn place(cx: &mut StepContext, capacity: &mut StepCapacity, job: &Arc<Job<Queued>>) -> bool {
    let Some(shape) = job.request.shape else {
        return false;
    };
    let account = &job.request.account;
    // A preemptible job first tries to borrow, which leaves the claims of its account to other jobs.
    if job.request.is_preemptible() && place_uncharged(cx, capacity, job, &shape) {
        return true;
    }
    if may_fit_own_claim(&cx.fleet, &capacity.claim_cutoffs, job) {
        let non_preemptible = is_non_preemptible(&cx.queue, job.id());
        let key = (account.clone(), shape, non_preemptible);
        if !capacity.failed_claim_searches.contains(&key) {
            if place_in_claim(cx, capacity, job, &shape) {
                return true;
            }
            capacity.failed_claim_searches.insert(key);
        }
    }
    place_uncharged(cx, capacity, job, &shape)
}

/// Places a job without charging it to a claim: a preemptible job on any available capacity, another one on spare
/// capacity.
fn place_uncharged(
    cx: &mut StepContext,
    capacity: &mut StepCapacity,
    job: &Job<Queued>,
    shape: &Shape,
) -> bool {
    let search = UnchargedSearch {
        shape: *shape,
        non_preemptible: is_non_preemptible(&cx.queue, job.id()),
        idempotent: job.request.idempotent,
        may_use_reservation: may_use_reservation(cx, job),
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
    let Some(assignment) = find_uncharged_assignment(cx, capacity, &search)
        .or_else(|| find_with_repacking(cx, capacity, &search))
    else {
        capacity.failed_searches.insert(search);
        return false;
    };
    if !cx.plan_gang(job, &assignment) {
        return false;
    }
    capacity.deduct(&assigned_resources(&assignment, shape.per_task()));
    if cx
        .fleet
        .backfill_reservation
        .as_ref()
        .is_some_and(|reservation| reservation.job == job.id())
    {
        cx.fleet.backfill_reservation = None;
        capacity.update_backfill_reserved(cx);
    }
    true
}

/// Returns whether a job may use the capacity of the backfill reservation: the reservation is for this job, or the job
/// is expected to end before the capacity is expected to be free.
fn may_use_reservation(cx: &StepContext, job: &Job<Queued>) -> bool {
    cx.fleet
        .backfill_reservation
        .as_ref()
        .is_none_or(|reservation| {
            let expected_end =
                expected_run_time(cx.history, &job.request).map(|run_time| cx.now + run_time);
            reservation.job == job.id()
                || expected_end.is_some_and(|end| end <= reservation.available_at)
        })
}

/// Finds available capacity for a job. An idempotent job first tries a quarantined worker that is due for a probe.
fn find_uncharged_assignment(
    cx: &StepContext,
    capacity: &mut StepCapacity,
    search: &UnchargedSearch,
) -> Option<Assignment> {
    let shape = &search.shape;
    if search.idempotent
        && let Some(assignment) = probe_assignment(cx, shape)
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
        .map(|worker| (worker, usable_capacity(cx, capacity, search, worker)))
        .collect();
    best_fit(&cx.topology, &available, shape, &capacity.weights)
}

/// Finds capacity for a non-preemptible job by moving the allocations of unused claims, which makes other capacity
/// spare.
fn find_with_repacking(
    cx: &mut StepContext,
    capacity: &mut StepCapacity,
    search: &UnchargedSearch,
) -> Option<Assignment> {
    if !search.non_preemptible {
        return None;
    }
    let needs_proven = capacity.eligibility.needs_proven(cx, &search.shape, true);
    let available: WorkerResources = (0..capacity.available.len())
        .filter(|worker| capacity.eligibility.is_eligible(*worker, needs_proven))
        .map(|worker| (worker, unreserved_capacity(capacity, search, worker)))
        .collect();
    let SearchOutcome::Found((assignment, allocations)) =
        repack_for_gang(&cx.fleet, &cx.topology, &available, &search.shape)
    else {
        return None;
    };
    move_allocations(&mut cx.fleet, allocations);
    Some(assignment)
}

/// Returns the resources of a worker that the search may use; a non-preemptible job is limited to spare capacity.
fn usable_capacity(
    cx: &StepContext,
    capacity: &StepCapacity,
    search: &UnchargedSearch,
    worker: usize,
) -> Resources {
    let amount = unreserved_capacity(capacity, search, worker);
    if search.non_preemptible {
        amount.min(cx.fleet.spare[worker])
    } else {
        amount
    }
}

/// Returns the available resources of a worker, less those of the backfill reservation unless the search may use them.
fn unreserved_capacity(
    capacity: &StepCapacity,
    search: &UnchargedSearch,
    worker: usize,
) -> Resources {
    let available = capacity.available[worker];
    if search.may_use_reservation {
        available
    } else {
        available.saturating_sub(capacity.backfill_reserved[worker])
    }
}
