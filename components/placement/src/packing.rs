//! Packing: finds disjoint allocations for the unused claims.

use std::sync::Arc;

use board::Fleet;
use model::{Policy, Resources, Shape};

use crate::claims::{add_all, is_fully_allocated, is_within, subtract_all};
use crate::score::{Weights, best_fit};
use crate::topology::{Topology, WorkerResources, assigned_resources};

/// Maximum number of further packing orders tried before claims are left without an allocation. The result of packing
/// depends on the order of the claims, so a claim that failed may fit if it is moved to the front.
const MAX_PACKING_ORDERS: usize = 8;

/// The result of packing claims in one order.
struct Packing {
    /// Capacity that remains after packing.
    remaining: WorkerResources,
    allocations: Vec<(usize, WorkerResources)>,
    /// Claims for which no allocation was found.
    unallocated: Vec<usize>,
}

/// Allocates capacity to the unused claims and returns how many of all claims lack a full allocation.
///
/// The spare capacity must include the current allocations of these claims.
pub(crate) fn allocate_unused_claims(fleet: &mut Fleet, topology: &Topology) -> usize {
    let best = best_packing(fleet, topology, &fleet.spare, None);
    fleet.spare = best
        .remaining
        .into_iter()
        .map(|(_, amount)| amount)
        .collect();
    set_allocations(fleet, best.allocations);
    fleet
        .claims
        .iter()
        .filter(|claim| !is_fully_allocated(claim))
        .count()
}

/// Returns allocations for all unused claims other than `excluded` from the movable capacity less `taken`, if a packing
/// is found.
pub(crate) fn repack_unused_claims(
    fleet: &Fleet,
    topology: &Topology,
    taken: &WorkerResources,
    excluded: Option<usize>,
) -> Option<Vec<(usize, WorkerResources)>> {
    let mut pool = movable_capacity(fleet);
    subtract_all(&mut pool, taken);
    let best = best_packing(fleet, topology, &pool, excluded);
    best.unallocated.is_empty().then_some(best.allocations)
}

/// Returns the spare capacity plus the allocations of unused claims.
pub(crate) fn movable_capacity(fleet: &Fleet) -> Vec<Resources> {
    let mut pool = fleet.spare.clone();
    for claim in fleet.claims.iter().filter(|claim| claim.gangs == 0) {
        add_all(&mut pool, &claim.allocation);
    }
    pool
}

/// Replaces the allocations of unused claims; the new ones must be disjoint and lie within the movable capacity.
pub(crate) fn move_allocations(fleet: &mut Fleet, allocations: Vec<(usize, WorkerResources)>) {
    for (index, _) in &allocations {
        let old = fleet.claims[*index].allocation.clone();
        add_all(&mut fleet.spare, &old);
    }
    for (_, allocation) in &allocations {
        subtract_all(&mut fleet.spare, allocation);
    }
    set_allocations(fleet, allocations);
}

fn set_allocations(fleet: &mut Fleet, allocations: Vec<(usize, WorkerResources)>) {
    for (index, allocation) in allocations {
        let claim = Arc::make_mut(&mut fleet.claims[index]);
        claim.remaining.clone_from(&allocation);
        claim.allocation = allocation;
    }
}

/// Returns the packing with the fewest unallocated claims among several orders. Claims with a narrow adjacency and
/// large claims come first.
fn best_packing(
    fleet: &Fleet,
    topology: &Topology,
    pool: &[Resources],
    excluded: Option<usize>,
) -> Packing {
    let mut order: Vec<usize> = (0..fleet.claims.len())
        .filter(|index| fleet.claims[*index].gangs == 0 && Some(*index) != excluded)
        .collect();
    order.sort_by_key(|index| {
        let shape = &fleet.claims[*index].shape;
        let total = shape.total();
        (
            shape.adjacency,
            std::cmp::Reverse((total.accelerators, total.cores, total.memory_mb)),
        )
    });
    let mut best = pack(fleet, topology, pool, &order, true);
    if !best.unallocated.is_empty() {
        // Existing allocations can keep the guarantees of a configuration that `guarantee_faults` accepted from being
        // packed. That check packs the claims of an idle fleet, which have no allocations yet. The result without them
        // is used even if it is only as good, so that the orders below are those that the check tries.
        let packing = pack(fleet, topology, pool, &order, false);
        if packing.unallocated.len() <= best.unallocated.len() {
            best = packing;
        }
    }
    for _ in 0..MAX_PACKING_ORDERS {
        let Some(failed) = best.unallocated.first().copied() else {
            break;
        };
        order.retain(|index| *index != failed);
        order.insert(0, failed);
        let packing = pack(fleet, topology, pool, &order, false);
        if packing.unallocated.len() < best.unallocated.len() {
            best = packing;
        }
    }
    best
}

/// Packs claims in the given order. With `keep_current`, claims keep their allocation if it is complete and still free.
fn pack(
    fleet: &Fleet,
    topology: &Topology,
    pool: &[Resources],
    order: &[usize],
    keep_current: bool,
) -> Packing {
    let mut packing = Packing {
        remaining: pool.iter().copied().enumerate().collect(),
        allocations: Vec::new(),
        unallocated: Vec::new(),
    };
    for index in order {
        let claim = &fleet.claims[*index];
        let allocation = if keep_current
            && is_fully_allocated(claim)
            && is_within(&claim.allocation, &packing.remaining)
        {
            Some(claim.allocation.clone())
        } else {
            find_allocation(topology, &packing.remaining, &claim.shape)
        };
        if allocation.is_none() {
            packing.unallocated.push(*index);
        }
        let allocation = allocation.unwrap_or_default();
        for (worker, amount) in &allocation {
            let remaining = &mut packing.remaining[*worker].1;
            *remaining = remaining.saturating_sub(*amount);
        }
        packing.allocations.push((*index, allocation));
    }
    packing
}

/// Returns the allocation for a guaranteed shape that meets its adjacency and has the lowest score.
///
/// The score uses the default policy, so that the policy section does not decide whether guarantees can be packed.
pub(crate) fn find_allocation(
    topology: &Topology,
    available: &WorkerResources,
    shape: &Shape,
) -> Option<WorkerResources> {
    let weights = Weights::new(&Policy::default(), None);
    let assignment = best_fit(topology, available, shape, &weights)?;
    let mut allocation = assigned_resources(&assignment, shape.per_task());
    allocation.sort_by_key(|(worker, _)| *worker);
    Some(allocation)
}
