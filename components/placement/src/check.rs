//! Checks of guarantees for configuration, tests, replay and status.

use std::sync::Arc;

use board::{Claim, Fleet, Queue};
use indexmap::{IndexMap, IndexSet};
use model::{AccountId, Document, Resources, SectionName, Shape};

use crate::claims::{guarantees, is_fully_allocated, is_within, reconcile_claims};
use crate::fleet::{gangs, is_non_preemptible};
use crate::topology::{Topology, WorkerResources, assigned_resources};

/// A guarantee whose capacity cannot be reclaimed, because no full allocation was found for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Shortfall {
    /// Client account of the guarantee.
    pub account: AccountId,
    /// Guaranteed shape.
    pub shape: Shape,
}

/// Returns the account sections of a document with guarantees that are malformed or for which packing all guarantees on
/// an idle fleet left no capacity.
///
/// If the guarantees do not fit together, which of them are left depends on the packing order, so the account that asks
/// for too much may be another one.
pub fn guarantee_faults(fleet: &Fleet, document: &Document) -> Vec<SectionName> {
    let mut idle_fleet = Fleet {
        workers: Arc::clone(&fleet.workers),
        ..Fleet::default()
    };
    reconcile_claims(
        &mut idle_fleet,
        &Topology::new(fleet),
        &Queue::default(),
        document,
    );
    let malformed = guarantees(document).filter(|(_, shape)| shape.validation_error().is_some());
    let unallocated = idle_fleet
        .claims
        .iter()
        .filter(|claim| !is_fully_allocated(claim));
    let accounts: IndexSet<&AccountId> = malformed
        .map(|(account, _)| account)
        .chain(unallocated.map(|claim| &claim.account))
        .collect();
    accounts
        .into_iter()
        .map(|account| format!("accounts/{account}").into())
        .collect()
}

/// Returns the guarantees whose capacity cannot be reclaimed now.
///
/// The recorded allocations are used if they are valid; otherwise a new packing is searched for.
pub fn guarantee_shortfall(fleet: &Fleet, queue: &Queue, document: &Document) -> Vec<Shortfall> {
    if is_current(fleet, document) && packing_fault(fleet, queue).is_none() {
        return shortfalls(fleet);
    }
    let mut fleet = fleet.clone();
    let topology = Topology::new(&fleet);
    reconcile_claims(&mut fleet, &topology, queue, document);
    shortfalls(&fleet)
}

/// Returns whether the claims match the guarantees of the document.
fn is_current(fleet: &Fleet, document: &Document) -> bool {
    let mut counts: IndexMap<(&AccountId, &Shape), i32> = IndexMap::new();
    for guarantee in guarantees(document) {
        *counts.entry(guarantee).or_default() += 1;
    }
    for claim in &fleet.claims {
        *counts.entry((&claim.account, &claim.shape)).or_default() -= 1;
    }
    counts.values().all(|count| *count == 0)
}

fn shortfalls(fleet: &Fleet) -> Vec<Shortfall> {
    let unallocated = fleet
        .claims
        .iter()
        .filter(|claim| !is_fully_allocated(claim));
    unallocated
        .map(|claim| Shortfall {
            account: claim.account.clone(),
            shape: claim.shape,
        })
        .collect()
}

/// Returns why the allocations of the claims are not a valid packing, if they are not.
///
/// The check recomputes everything from worker capacities and gangs, so it also finds errors in incremental counts.
pub fn packing_fault(fleet: &Fleet, queue: &Queue) -> Option<Box<str>> {
    let topology = Topology::new(fleet);
    let mut spare: Vec<Resources> = fleet.workers.values().map(|w| w.capacity).collect();
    for claim in &fleet.claims {
        if is_fully_allocated(claim) && !is_adjacent(&topology, claim) {
            return Some(format!("an allocation of {} is not adjacent", claim.account).into());
        }
        if !try_subtract_all(&mut spare, &claim.allocation) {
            return Some(format!("an allocation of {} overlaps others", claim.account).into());
        }
    }
    let mut unused: Vec<WorkerResources> =
        fleet.claims.iter().map(|c| c.allocation.clone()).collect();
    for (id, job, held) in gangs(fleet) {
        match fleet.claim_by_gang.get(&id) {
            Some(claim) if !try_subtract_within(&mut unused[*claim], &held) => {
                return Some(format!("gang {id} exceeds its claim").into());
            }
            None if is_non_preemptible(queue, job) && !try_subtract_all(&mut spare, &held) => {
                return Some(
                    format!("non-preemptible gang {id} uses capacity allocated to a claim").into(),
                );
            }
            _ => {}
        }
    }
    for hold in fleet.holds.values() {
        let kept = assigned_resources(&hold.assignment, hold.per_task);
        match fleet.claim_by_gang.get(&hold.gang) {
            Some(claim) if try_subtract_within(&mut unused[*claim], &kept) => {}
            _ => return Some(format!("the hold of job {} exceeds its claim", hold.job).into()),
        }
    }
    if let Some(at) = (0..unused.len()).find(|at| unused[*at] != fleet.claims[*at].remaining) {
        let account = &fleet.claims[at].account;
        return Some(format!("the unused part of a claim of {account} is miscounted").into());
    }
    (fleet.spare != spare).then(|| "the spare capacity is miscounted".into())
}

fn is_adjacent(topology: &Topology, claim: &Claim) -> bool {
    let domain = |worker| topology.domain(worker, claim.shape.adjacency);
    claim
        .allocation
        .windows(2)
        .all(|pair| domain(pair[0].0) == domain(pair[1].0))
}

fn try_subtract_all(pool: &mut [Resources], held: &WorkerResources) -> bool {
    held.iter().all(|(worker, amount)| {
        let rest = pool[*worker].checked_sub(*amount);
        rest.map(|rest| pool[*worker] = rest).is_some()
    })
}

fn try_subtract_within(allocation: &mut WorkerResources, held: &WorkerResources) -> bool {
    if !is_within(held, allocation) {
        return false;
    }
    for (worker, amount) in held {
        if let Ok(at) = allocation.binary_search_by_key(worker, |(worker, _)| *worker) {
            allocation[at].1 = allocation[at].1.saturating_sub(*amount);
        }
    }
    true
}
