//! Candidate allocations for a claim within which a job is placed.

use model::Adjacency;

use crate::capacity::StepCapacity;
use crate::claims::add_all;
use crate::context::StepContext;
use crate::fit::{fill, slots};
use crate::repack::Allocations;
use crate::topology::{WorkerResources, assigned_resources};

/// How the allocation of a claim changes when a job uses the claim.
pub(crate) enum AllocationChange {
    /// The allocation stays.
    Keep,
    /// The claim exchanges allocations with another claim.
    Swap(usize),
    /// The claim gets this allocation.
    Move(WorkerResources),
    /// Several unused claims get new allocations.
    Repack(Allocations),
}

/// Drops the workers that a job may not use from an allocation.
pub(crate) fn retain_eligible(
    capacity: &StepCapacity,
    mut allocation: WorkerResources,
    needs_proven: bool,
) -> WorkerResources {
    allocation.retain(|(worker, _)| capacity.eligibility.is_eligible(*worker, needs_proven));
    allocation
}

/// Returns the allocations that a claim could use. A claim in use keeps its allocation, of which the unused part is
/// returned. An unused claim could also use those of other unused claims of the same shape, and new ones from spare
/// capacity.
pub(crate) fn candidate_allocations(
    cx: &StepContext,
    capacity: &mut StepCapacity,
    index: usize,
    level: Adjacency,
    needs_proven: bool,
) -> Vec<(AllocationChange, WorkerResources)> {
    let claim = &cx.fleet.claims[index];
    let mut candidates = vec![(AllocationChange::Keep, claim.remaining.clone())];
    if claim.gangs > 0 {
        return candidates;
    }
    for (other, other_claim) in cx.fleet.claims.iter().enumerate() {
        if other != index && other_claim.gangs == 0 && other_claim.shape == claim.shape {
            candidates.push((
                AllocationChange::Swap(other),
                other_claim.allocation.clone(),
            ));
        }
    }
    candidates.extend(allocations_from_spare(
        cx,
        capacity,
        index,
        level,
        needs_proven,
    ));
    candidates
}

/// Returns one allocation for each topology domain in whose spare capacity the claim fits, on the workers where
/// stopping all borrowers costs least.
fn allocations_from_spare(
    cx: &StepContext,
    capacity: &mut StepCapacity,
    index: usize,
    level: Adjacency,
    needs_proven: bool,
) -> Vec<(AllocationChange, WorkerResources)> {
    let claim = &cx.fleet.claims[index];
    let per_task = claim.shape.per_task();
    let mut spare = cx.fleet.spare.clone();
    add_all(&mut spare, &claim.allocation);
    let available: WorkerResources = retain_eligible(
        capacity,
        spare.into_iter().enumerate().collect(),
        needs_proven,
    );
    let cost_by_worker = &capacity.borrowers(cx).cost_by_worker;
    let slots = slots(&available, &claim.shape);
    let mut candidates = Vec::new();
    for range in cx
        .topology
        .domain_ranges(&available, level.min(claim.shape.adjacency))
    {
        let sum: u64 = slots[range.clone()].iter().map(|n| u64::from(*n)).sum();
        if sum < u64::from(claim.shape.tasks) {
            continue;
        }
        let mut order: Vec<usize> = range.filter(|at| slots[*at] > 0).collect();
        order.sort_by(|a, b| {
            let by_cost =
                cost_by_worker[available[*a].0].total_cmp(&cost_by_worker[available[*b].0]);
            by_cost.then(slots[*b].cmp(&slots[*a]))
        });
        if let Some(assignment) = fill(&available, &slots, order, claim.shape.tasks) {
            let mut allocation = assigned_resources(&assignment, per_task);
            allocation.sort_by_key(|(worker, _)| *worker);
            candidates.push((AllocationChange::Move(allocation.clone()), allocation));
        }
    }
    candidates
}
