//! Moves the allocations of unused claims away from lost and quarantined workers.

use std::collections::HashSet;

use crate::claims::{add_all, is_fully_allocated, move_allocation};
use crate::context::StepContext;
use crate::eligibility::Eligibility;
use crate::packing::find_allocation;
use crate::topology::WorkerResources;

/// Finds new allocations for unused claims whose allocation is incomplete or includes a quarantined worker.
pub(crate) fn repair_allocations(cx: &mut StepContext, eligibility: &Eligibility) {
    let mut failed = HashSet::new();
    for index in 0..cx.fleet.claims.len() {
        let claim = &cx.fleet.claims[index];
        let is_healthy = |(worker, _): &(usize, _)| eligibility.is_eligible(*worker, false);
        if claim.gangs > 0 || (is_fully_allocated(claim) && claim.allocation.iter().all(is_healthy))
        {
            continue;
        }
        let shape = claim.shape;
        if failed.contains(&shape) {
            continue;
        }
        let mut spare = cx.fleet.spare.clone();
        add_all(&mut spare, &claim.allocation);
        let mut available: WorkerResources = spare.into_iter().enumerate().collect();
        available.retain(is_healthy);
        match find_allocation(&cx.topology, &available, &shape) {
            Some(allocation) => move_allocation(&mut cx.fleet, index, allocation),
            None => {
                failed.insert(shape);
            }
        }
    }
}
