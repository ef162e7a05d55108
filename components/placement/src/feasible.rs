//! Refusing jobs that no set of workers can ever hold.

use std::sync::Arc;

use board::{Fleet, Queue};
use model::{Document, Request, Shape};

use crate::claims::{has_shortfall, settle};
use crate::fit::first_fit;
use crate::layout::{Layout, Room, idle};
use crate::rehome::{Found, homes_around, spots_beside};

/// Returns why the idle fleet cannot hold the shape, if it cannot.
pub fn infeasible_reason(fleet: &Fleet, shape: &Shape) -> Option<Box<str>> {
    reason(fleet, &Layout::of(fleet), shape)
}

/// Does the same with a layout at hand; nothing is known of a fleet before its first worker.
pub(crate) fn reason(fleet: &Fleet, layout: &Layout, shape: &Shape) -> Option<Box<str>> {
    if let Some(fault) = shape.fault() {
        return Some(fault.into());
    }
    if fleet.workers.is_empty() || first_fit(layout, &idle(fleet), shape).is_some() {
        return None;
    }
    Some("no set of workers can hold the shape, even when idle".into())
}

/// Returns why a job that may not be stopped can never run beside the guarantees, if it cannot.
///
/// Guarantees that the present workers cannot hold prove nothing, because lost workers may return.
pub(crate) fn guarantee_reason(
    fleet: &Fleet,
    layout: &Layout,
    document: &Document,
    request: &Request,
) -> Option<Box<str>> {
    let shape = request.shape?;
    if request.may_stop() || fleet.workers.is_empty() || fits_now(fleet, layout, request, &shape) {
        return None;
    }
    let mut idle_fleet = Fleet {
        workers: Arc::clone(&fleet.workers),
        ..Fleet::default()
    };
    settle(&mut idle_fleet, layout, &Queue::default(), document);
    if has_shortfall(&idle_fleet) {
        return None;
    }
    let outside = spots_beside(&idle_fleet, layout, &idle(fleet), &shape);
    if !matches!(outside, Found::No) {
        return None;
    }
    let mut own = own_claims(&idle_fleet, request);
    let never =
        own.all(|index| matches!(homes_around(&idle_fleet, layout, index, &shape), Found::No));
    never.then(|| {
        "the job may not be stopped, and no capacity outside the guarantees of others can hold it".into()
    })
}

fn own_claims<'a>(fleet: &'a Fleet, request: &'a Request) -> impl Iterator<Item = usize> + 'a {
    let claims = fleet.claims.iter().enumerate();
    claims
        .filter(|(_, claim)| claim.account == request.account)
        .map(|(index, _)| index)
}

/// Returns whether the job fits the present spare capacity or a present home, which costs no packing.
fn fits_now(fleet: &Fleet, layout: &Layout, request: &Request, shape: &Shape) -> bool {
    if fleet.spare.len() != fleet.workers.len() || has_shortfall(fleet) {
        return false;
    }
    let spare: Room = fleet.spare.iter().copied().enumerate().collect();
    first_fit(layout, &spare, shape).is_some()
        || own_claims(fleet, request)
            .any(|index| first_fit(layout, &fleet.claims[index].home, shape).is_some())
}
