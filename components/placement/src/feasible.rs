//! Checks whether a job can ever run on the present workers.

use std::sync::Arc;

use board::{Fleet, Queue};
use model::{Document, Request, Shape};

use crate::claims::{has_shortfall, reconcile_claims};
use crate::fit::first_fit;
use crate::repack::{SearchOutcome, repack_for_claim, repack_for_gang};
use crate::topology::{Topology, WorkerResources, idle_capacity};

/// Returns why a shape is malformed or would not fit on the workers even if they were idle, or `None` if it would.
pub fn infeasible_reason(fleet: &Fleet, shape: &Shape) -> Option<Box<str>> {
    reason(fleet, &Topology::new(fleet), shape)
}

/// Returns the result of [`infeasible_reason`] for a known topology.
///
/// Every valid shape is feasible on a fleet without workers, because its workers are not known yet.
pub(crate) fn reason(fleet: &Fleet, topology: &Topology, shape: &Shape) -> Option<Box<str>> {
    if let Some(fault) = shape.validation_error() {
        return Some(fault.into());
    }
    if fleet.workers.is_empty() || first_fit(topology, &idle_capacity(fleet), shape).is_some() {
        return None;
    }
    Some("no set of workers within the adjacency of the shape has enough resources for it, even when idle".into())
}

/// Returns why the guarantees of other accounts keep a non-preemptible job from ever running, if they do.
///
/// Returns `None` if the guarantees do not all fit on the present workers, because lost workers may return, or if the
/// search was cut off.
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
    let outcome = repack_for_gang(&idle_fleet, topology, &idle_capacity(fleet), &shape);
    if !matches!(outcome, SearchOutcome::NotFound) {
        return None;
    }
    let mut own = own_claims(&idle_fleet, request);
    let conflicts = own.all(|index| {
        matches!(
            repack_for_claim(&idle_fleet, topology, index, &shape),
            SearchOutcome::NotFound
        )
    });
    conflicts.then(|| {
        "the job is not idempotent, so it cannot be stopped for a guarantee, and it does not fit outside the \
         guarantees of other client accounts"
            .into()
    })
}

/// Returns the indexes of the claims of the request's client account.
fn own_claims<'a>(fleet: &'a Fleet, request: &'a Request) -> impl Iterator<Item = usize> + 'a {
    let claims = fleet.claims.iter().enumerate();
    claims
        .filter(|(_, claim)| claim.account == request.account)
        .map(|(index, _)| index)
}

/// Returns whether the job fits in the current spare capacity or in the allocation of a claim of its account, which is
/// checked without packing.
fn fits_now(fleet: &Fleet, topology: &Topology, request: &Request, shape: &Shape) -> bool {
    if fleet.spare.len() != fleet.workers.len() || has_shortfall(fleet) {
        return false;
    }
    let spare: WorkerResources = fleet.spare.iter().copied().enumerate().collect();
    first_fit(topology, &spare, shape).is_some()
        || own_claims(fleet, request)
            .any(|index| first_fit(topology, &fleet.claims[index].allocation, shape).is_some())
}
