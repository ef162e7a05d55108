//! Checks whether a job can ever run on the present workers.

use std::sync::Arc;

use board::{Fleet, Queue};
use model::{Document, Request, Shape};

use crate::claims::{has_shortfall, reconcile_claims};
use crate::fit::first_fit;
use crate::repack::{SearchOutcome, allocations_around, assignment_beside};
use crate::topology::{Topology, WorkerResources, idle_capacity};

/// Returns why the shape would not fit the idle fleet, if it would not.
pub fn infeasible_reason(fleet: &Fleet, shape: &Shape) -> Option<Box<str>> {
    reason(fleet, &Topology::new(fleet), shape)
}

/// Does the same with a precomputed topology. A fleet without workers refuses no shape that is well formed, because its
/// workers are not known yet.
pub(crate) fn reason(fleet: &Fleet, topology: &Topology, shape: &Shape) -> Option<Box<str>> {
    if let Some(fault) = shape.validation_error() {
        return Some(fault.into());
    }
    if fleet.workers.is_empty() || first_fit(topology, &idle_capacity(fleet), shape).is_some() {
        return None;
    }
    Some("no set of workers can hold the shape, even when idle".into())
}

/// Returns why the guarantees of other accounts keep a non-preemptible job from ever running, if they do.
///
/// Returns nothing if the present workers cannot fit all guarantees, because lost workers may return, or if the search
/// was cut off.
pub(crate) fn guarantee_conflict(
    fleet: &Fleet,
    topology: &Topology,
    document: &Document,
    request: &Request,
) -> Option<Box<str>> {
    let shape = request.shape?;
    if request.is_preemptible()
        || fleet.workers.is_empty()
        || fits_now(fleet, topology, request, &shape)
    {
        return None;
    }
    let mut idle_fleet = Fleet {
        workers: Arc::clone(&fleet.workers),
        ..Fleet::default()
    };
    reconcile_claims(&mut idle_fleet, topology, &Queue::default(), document);
    if has_shortfall(&idle_fleet) {
        return None;
    }
    let outside = assignment_beside(&idle_fleet, topology, &idle_capacity(fleet), &shape);
    if !matches!(outside, SearchOutcome::NotFound) {
        return None;
    }
    let mut own = own_claims(&idle_fleet, request);
    let conflicts = own.all(|index| {
        matches!(
            allocations_around(&idle_fleet, topology, index, &shape),
            SearchOutcome::NotFound
        )
    });
    conflicts.then(|| {
        "the job may not be stopped, and no capacity outside the guarantees of others can hold it".into()
    })
}

/// Returns the indexes of the claims of the request's client account.
fn own_claims<'a>(fleet: &'a Fleet, request: &'a Request) -> impl Iterator<Item = usize> + 'a {
    let claims = fleet.claims.iter().enumerate();
    claims
        .filter(|(_, claim)| claim.account == request.account)
        .map(|(index, _)| index)
}

/// Returns whether the job fits the current spare capacity or the allocation of a claim of its account, as a check that
/// needs no packing.
fn fits_now(fleet: &Fleet, topology: &Topology, request: &Request, shape: &Shape) -> bool {
    if fleet.spare.len() != fleet.workers.len() || has_shortfall(fleet) {
        return false;
    }
    let spare: WorkerResources = fleet.spare.iter().copied().enumerate().collect();
    first_fit(topology, &spare, shape).is_some()
        || own_claims(fleet, request)
            .any(|index| first_fit(topology, &fleet.claims[index].allocation, shape).is_some())
}
