//! Claims: guaranteed shapes and the capacity allocated to them, which can be reclaimed at any time.

use std::collections::HashSet;
use std::sync::Arc;

use board::{Claim, Fleet, Queue};
use model::{Document, Resources, Shape};

use crate::adopt::adopt_gangs;
use crate::fleet::{change, charge, drop_holds, gangs, is_non_preemptible, subtract, uncharge};
use crate::packing::allocate_unused_claims;
use crate::topology::{Topology, WorkerResources};

/// Reconciles the claims with the document, the workers and the gangs. Drops all holds.
pub(crate) fn reconcile_claims(
    fleet: &mut Fleet,
    topology: &Topology,
    queue: &Queue,
    document: &Document,
) {
    drop_holds(fleet);
    match_document(fleet, document);
    retain_used_allocations(fleet, queue);
    let uncharged: Vec<_> = gangs(fleet)
        .into_iter()
        .filter(|(id, _, _)| !fleet.claim_by_gang.contains_key(id))
        .map(|(id, job, held)| (id, job, is_non_preemptible(queue, job), held))
        .collect();
    for (_, _, _, held) in uncharged
        .iter()
        .filter(|(_, _, non_preemptible, _)| *non_preemptible)
    {
        subtract_all(&mut fleet.spare, held);
    }
    let initial = fleet.clone();
    let mut unallocated = allocate_unused_claims(fleet, topology);
    // If claims lack an allocation, alternatives are tried in turn:
    // - Adopting gangs. A non-preemptible gang that runs within a guarantee but is not charged to a claim, as after a
    //   change of the owner, takes up capacity twice: its own, and an allocation for the claim.
    // - Uncharging claims that only preemptible gangs use. These claims are then unused, so their allocations can move.
    // - Both.
    for (uncharges, adopts) in [(false, true), (true, false), (true, true)] {
        if unallocated == 0 {
            return;
        }
        let mut alternative = initial.clone();
        if uncharges {
            uncharge_preemptible_gangs(&mut alternative, queue);
        }
        if adopts {
            adopt_gangs(&mut alternative, topology, queue, &uncharged);
        }
        let unallocated_now = allocate_unused_claims(&mut alternative, topology);
        if unallocated_now < unallocated {
            unallocated = unallocated_now;
            *fleet = alternative;
        }
    }
}

/// Uncharges the gangs of claims that only preemptible gangs use, so that these claims can get other allocations.
fn uncharge_preemptible_gangs(fleet: &mut Fleet, queue: &Queue) {
    let charged: Vec<_> = gangs(fleet)
        .into_iter()
        .filter_map(|(id, job, held)| Some((id, job, *fleet.claim_by_gang.get(&id)?, held)))
        .collect();
    let used_by_non_preemptible: HashSet<usize> = charged
        .iter()
        .filter(|(_, job, _, _)| is_non_preemptible(queue, *job))
        .map(|(_, _, claim, _)| *claim)
        .collect();
    for (id, _, index, held) in charged {
        if used_by_non_preemptible.contains(&index) {
            continue;
        }
        uncharge(fleet, id, &held);
        if fleet.claims[index].gangs == 0 {
            let allocation = fleet.claims[index].allocation.clone();
            add_all(&mut fleet.spare, &allocation);
        }
    }
}

/// Keeps the claims that are still in the document, drops the others and adds the new ones.
fn match_document(fleet: &mut Fleet, document: &Document) {
    let mut old: Vec<Option<Arc<Claim>>> = std::mem::take(&mut fleet.claims)
        .into_iter()
        .map(Some)
        .collect();
    let mut new_indexes = vec![None; old.len()];
    for (account, shape) in guarantees(document) {
        let existing = old.iter().position(|claim| {
            claim
                .as_ref()
                .is_some_and(|claim| claim.account == *account && claim.shape == *shape)
        });
        let claim = if let Some(at) = existing {
            new_indexes[at] = Some(fleet.claims.len());
            old[at].take()
        } else {
            None
        };
        fleet.claims.push(claim.unwrap_or_else(|| {
            Arc::new(Claim {
                account: account.clone(),
                shape: *shape,
                allocation: Vec::new(),
                remaining: Vec::new(),
                gangs: 0,
            })
        }));
    }
    fleet.claim_by_gang = fleet
        .claim_by_gang
        .iter()
        .filter_map(|(id, claim)| Some((*id, new_indexes[*claim]?)))
        .collect();
}

/// Returns the guaranteed shapes of a document.
pub(crate) fn guarantees(document: &Document) -> impl Iterator<Item = (&model::AccountId, &Shape)> {
    document
        .accounts
        .iter()
        .flat_map(|(id, account)| account.guarantees.iter().map(move |shape| (id, shape)))
}

/// Recomputes the unused part of every claim and the spare capacity, from which only the allocations of claims in use
/// are deducted; `allocate_unused_claims` deducts those of the others.
///
/// Gangs of a claim that lost a part of its allocation are uncharged, so that the claim is unused and can get another
/// allocation. If the claims cannot all be allocated then, `adopt_gangs` may charge such a gang to an unused claim
/// again.
fn retain_used_allocations(fleet: &mut Fleet, queue: &Queue) {
    fleet.spare = fleet.workers.values().map(|w| w.capacity).collect();
    let (contained, not_contained): (Vec<_>, Vec<_>) = gangs(fleet)
        .into_iter()
        .filter_map(|(id, job, held)| Some((id, job, *fleet.claim_by_gang.get(&id)?, held)))
        .filter(|(_, _, claim, _)| is_fully_allocated(&fleet.claims[*claim]))
        .partition(|(_, _, claim, held)| is_within(held, &fleet.claims[*claim].allocation));
    fleet.claim_by_gang.clear();
    // The allocation of a claim does not contain a gang if it was made while a worker of the gang was absent and that
    // worker has returned. The gang is uncharged, so what it holds must not also be part of the allocation, unless the
    // gang can be stopped.
    for (_, job, claim, held) in not_contained {
        if is_non_preemptible(queue, job) {
            let claim = Arc::make_mut(&mut fleet.claims[claim]);
            change(&mut claim.allocation, &held, Resources::saturating_sub);
        }
    }
    for claim in &mut fleet.claims {
        let claim = Arc::make_mut(claim);
        claim.remaining.clone_from(&claim.allocation);
        claim.gangs = 0;
    }
    for (id, _, claim, held) in contained {
        if is_within(&held, &fleet.claims[claim].remaining) {
            charge(fleet, claim, id, &held);
        }
    }
    for claim in fleet.claims.iter().filter(|claim| claim.gangs > 0) {
        subtract_all(&mut fleet.spare, &claim.allocation);
    }
}

/// Returns whether `part` lies within `whole`.
pub(crate) fn is_within(part: &WorkerResources, whole: &WorkerResources) -> bool {
    part.iter().all(|(worker, amount)| {
        whole
            .binary_search_by_key(worker, |(worker, _)| *worker)
            .is_ok_and(|at| whole[at].1.checked_sub(*amount).is_some())
    })
}

/// Returns whether the shape of a claim fits in its allocation. Adjacency is not checked.
pub(crate) fn is_fully_allocated(claim: &Claim) -> bool {
    let per_task = claim.shape.per_task();
    let tasks: u64 = claim
        .allocation
        .iter()
        .map(|(_, amount)| u64::from(amount.fit_count(per_task)))
        .sum();
    tasks >= u64::from(claim.shape.tasks)
}

/// Returns whether a claim lacks a full allocation.
pub(crate) fn has_shortfall(fleet: &Fleet) -> bool {
    !fleet.claims.iter().all(|claim| is_fully_allocated(claim))
}

pub(crate) fn subtract_all(pool: &mut [Resources], resources: &WorkerResources) {
    for (worker, amount) in resources {
        subtract(pool, *worker, *amount);
    }
}

pub(crate) fn add_all(pool: &mut [Resources], resources: &WorkerResources) {
    for (worker, amount) in resources {
        pool[*worker] = pool[*worker].saturating_add(*amount);
    }
}

/// Replaces the allocation of a claim that is not in use.
pub(crate) fn move_allocation(fleet: &mut Fleet, index: usize, allocation: WorkerResources) {
    let old = fleet.claims[index].allocation.clone();
    add_all(&mut fleet.spare, &old);
    subtract_all(&mut fleet.spare, &allocation);
    let claim = Arc::make_mut(&mut fleet.claims[index]);
    claim.remaining.clone_from(&allocation);
    claim.allocation = allocation;
}

/// Exchanges the allocations of two unused claims of the same shape.
pub(crate) fn swap_allocations(fleet: &mut Fleet, a: usize, b: usize) {
    let (allocation_a, allocation_b) = (
        fleet.claims[a].allocation.clone(),
        fleet.claims[b].allocation.clone(),
    );
    for (index, allocation) in [(a, allocation_b), (b, allocation_a)] {
        let claim = Arc::make_mut(&mut fleet.claims[index]);
        claim.remaining.clone_from(&allocation);
        claim.allocation = allocation;
    }
}
