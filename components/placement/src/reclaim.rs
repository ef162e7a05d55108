//! Places jobs within the guarantees of their client accounts, stopping borrowers where necessary.

use std::sync::Arc;

use board::Hold;
use model::{Job, Queued, Shape, gang_id};

use crate::actions::{Action, StopReason};
use crate::allocations::{AllocationChange, candidate_allocations, retain_eligible};
use crate::borrowers::BorrowerGang;
use crate::capacity::StepCapacity;
use crate::claims::{move_allocation, swap_allocations};
use crate::context::StepContext;
use crate::fleet::{charge, is_non_preemptible};
use crate::order::may_use_claim;
use crate::packing::move_allocations;
use crate::repack::{SearchOutcome, repack_for_claim};
use crate::score::best_fit;
use crate::topology::{Assignment, WorkerResources, assigned_resources};

/// An option for running a job within a claim.
struct Candidate {
    claim: usize,
    change: AllocationChange,
    assignment: Assignment,
    /// Indexes of the borrowers to stop.
    victims: Vec<usize>,
    /// Accelerator seconds lost by stopping them.
    cost: f64,
}

/// Places a job within a claim of its client account, or stops borrowers and holds their capacity for the job.
///
/// Returns whether a claim could be used. The job stays queued while borrowers are stopping.
pub(crate) fn place_in_claim(
    cx: &mut StepContext,
    capacity: &mut StepCapacity,
    job: &Job<Queued>,
    shape: &Shape,
) -> bool {
    let non_preemptible = is_non_preemptible(&cx.queue, job.id());
    let needs_proven = capacity
        .eligibility
        .needs_proven(cx, shape, non_preemptible);
    let mut best = cheapest_candidate(cx, capacity, job, shape, needs_proven);
    if best.is_none() && needs_proven {
        // A guarantee takes precedence over the preference for proven workers.
        best = cheapest_candidate(cx, capacity, job, shape, false);
    }
    let Some(best) = best else {
        return false;
    };
    apply_candidate(cx, capacity, job, shape, best);
    true
}

fn cheapest_candidate(
    cx: &StepContext,
    capacity: &mut StepCapacity,
    job: &Job<Queued>,
    shape: &Shape,
    needs_proven: bool,
) -> Option<Candidate> {
    let mut claims: Vec<usize> = (0..cx.fleet.claims.len())
        .filter(|index| cx.fleet.claims[*index].account == job.request.account)
        .filter(|index| may_use_claim(&capacity.claim_cutoffs, *index, job))
        .collect();
    // Claims of the job's own shape come first, then smaller claims before larger ones. If the job used a larger claim
    // than it needs, the account could not use that claim for a larger job at the same time.
    let rank = |index: usize| {
        let claimed = &cx.fleet.claims[index].shape;
        let total = claimed.total();
        (
            claimed != shape,
            total.accelerators,
            total.cores,
            total.memory_mb,
            claimed.tasks,
            claimed.adjacency,
        )
    };
    claims.sort_by_cached_key(|index| rank(*index));
    claims
        .chunk_by(|a, b| cx.fleet.claims[*a].shape == cx.fleet.claims[*b].shape)
        .find_map(|claims_of_shape| {
            cheapest_of_equal(cx, capacity, shape, claims_of_shape, needs_proven)
        })
}

/// Returns the cheapest option for running a job within one of several claims of equal shape.
fn cheapest_of_equal(
    cx: &StepContext,
    capacity: &mut StepCapacity,
    shape: &Shape,
    claims: &[usize],
    needs_proven: bool,
) -> Option<Candidate> {
    let mut best: Option<Candidate> = None;
    let mut unused_seen = false;
    for claim in claims.iter().copied() {
        // Unused claims of one shape have the same candidates, so only the first one is tried.
        if cx.fleet.claims[claim].gangs == 0 && std::mem::replace(&mut unused_seen, true) {
            continue;
        }
        for (change, allocation) in
            candidate_allocations(cx, capacity, claim, shape.adjacency, needs_proven)
        {
            let allocation = retain_eligible(capacity, allocation, needs_proven);
            let Some(candidate) =
                evaluate_allocation(cx, capacity, shape, claim, change, &allocation)
            else {
                continue;
            };
            if candidate.victims.is_empty() {
                return Some(candidate);
            }
            if best.as_ref().is_none_or(|best| candidate.cost < best.cost) {
                best = Some(candidate);
            }
        }
    }
    best.or_else(|| candidate_after_repacking(cx, capacity, shape, claims, needs_proven))
}

/// Returns an option for running a job within an unused claim if several unused claims get new allocations.
fn candidate_after_repacking(
    cx: &StepContext,
    capacity: &mut StepCapacity,
    shape: &Shape,
    claims: &[usize],
    needs_proven: bool,
) -> Option<Candidate> {
    let is_unused = |claim: &&usize| cx.fleet.claims[**claim].gangs == 0;
    let claim = *claims.iter().find(is_unused)?;
    let SearchOutcome::Found(allocations) = repack_for_claim(&cx.fleet, &cx.topology, claim, shape)
    else {
        return None;
    };
    let (_, allocation) = allocations.iter().find(|(index, _)| *index == claim)?;
    let allocation = retain_eligible(capacity, allocation.clone(), needs_proven);
    evaluate_allocation(
        cx,
        capacity,
        shape,
        claim,
        AllocationChange::Repack(allocations),
        &allocation,
    )
}

/// Returns how a job would run within an allocation, and which borrowers must stop for it.
fn evaluate_allocation(
    cx: &StepContext,
    capacity: &mut StepCapacity,
    shape: &Shape,
    claim: usize,
    change: AllocationChange,
    allocation: &WorkerResources,
) -> Option<Candidate> {
    let total_slots: u64 = allocation
        .iter()
        .map(|(_, limit)| u64::from(limit.fit_count(shape.per_task()).min(shape.tasks)))
        .sum();
    if total_slots < u64::from(shape.tasks) {
        return None;
    }
    let available: WorkerResources = allocation
        .iter()
        .map(|(worker, limit)| (*worker, limit.min(capacity.available[*worker])))
        .collect();
    let free_assignment = best_fit(&cx.topology, &available, shape, &capacity.weights);
    let (assignment, victims, cost) = if let Some(assignment) = free_assignment {
        (assignment, Vec::new(), 0.0)
    } else {
        capacity.borrowers(cx);
        let available_and_deficit = (capacity.available.as_slice(), capacity.deficit.as_slice());
        capacity.collected_borrowers()?.cheapest_victims(
            cx,
            available_and_deficit,
            allocation,
            shape,
        )?
    };
    Some(Candidate {
        claim,
        change,
        assignment,
        victims,
        cost,
    })
}

fn apply_candidate(
    cx: &mut StepContext,
    capacity: &mut StepCapacity,
    job: &Job<Queued>,
    shape: &Shape,
    best: Candidate,
) {
    match best.change {
        AllocationChange::Keep => {}
        AllocationChange::Swap(other) => swap_allocations(&mut cx.fleet, best.claim, other),
        AllocationChange::Move(allocation) => {
            move_allocation(&mut cx.fleet, best.claim, allocation);
        }
        AllocationChange::Repack(allocations) => move_allocations(&mut cx.fleet, allocations),
    }
    let mut assignment = best.assignment;
    assignment.sort_by_key(|(worker, _)| *worker);
    let resources = assigned_resources(&assignment, shape.per_task());
    let gang = gang_id(job.id(), job.attempt);
    charge(&mut cx.fleet, best.claim, gang, &resources);
    let victims: Vec<BorrowerGang> = capacity.take_victims(&best.victims);
    for victim in &victims {
        stop_victim(cx, capacity, victim);
    }
    drop_conflicting_reservation(cx, capacity, job, &resources);
    // The hold is used as soon as its resources are free; `available_at` is read only from the backfill reservation.
    let hold = Hold {
        job: job.id(),
        gang,
        assignment,
        per_task: shape.per_task(),
        available_at: cx.now,
    };
    capacity.deduct(&resources);
    cx.fleet.holds.insert(job.id(), Arc::new(hold));
    place_job_with_hold(cx, job);
}

fn stop_victim(cx: &mut StepContext, capacity: &mut StepCapacity, victim: &BorrowerGang) {
    match victim {
        BorrowerGang::Planned(gang) => {
            let resources = crate::fleet::held_resources(&cx.fleet, &gang.members);
            if let Some(job) = cx.withdraw(gang) {
                cx.enqueue(job.requeue());
            }
            capacity.add_released(&resources);
        }
        BorrowerGang::Running(gang) if cx.fleet.stopping.insert(gang.id) => {
            cx.actions.push(Action::Stop {
                gang: Arc::clone(gang),
                reason: StopReason::Reclaimed,
            });
        }
        BorrowerGang::Running(_) => {}
    }
}

/// Drops the backfill reservation if its job was placed elsewhere or the given resources lie on workers that it names.
fn drop_conflicting_reservation(
    cx: &mut StepContext,
    capacity: &mut StepCapacity,
    job: &Job<Queued>,
    resources: &WorkerResources,
) {
    let conflicts = cx
        .fleet
        .backfill_reservation
        .as_ref()
        .is_some_and(|reservation| {
            let mut assigned = reservation.assignment.iter();
            reservation.job == job.id()
                || assigned.any(|(worker, _)| resources.iter().any(|(other, _)| other == worker))
        });
    if conflicts {
        cx.fleet.backfill_reservation = None;
        capacity.backfill_reserved.fill(model::Resources::default());
    }
}

/// Places a job if all capacity that is held for it is free, and returns whether it was placed.
pub(crate) fn place_job_with_hold(cx: &mut StepContext, job: &Job<Queued>) -> bool {
    let Some(hold) = cx.fleet.holds.get(&job.id()).cloned() else {
        return false;
    };
    let is_free = hold.assignment.iter().all(|(worker, tasks)| {
        let need = hold.per_task.saturating_mul(*tasks);
        cx.fleet.free[*worker].checked_sub(need).is_some()
    });
    if !is_free || !cx.plan_gang(job, &hold.assignment) {
        return false;
    }
    cx.fleet.holds.swap_remove(&job.id());
    true
}
