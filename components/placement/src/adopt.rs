//! Charges gangs that run without a charge to unused claims of their client accounts, if the guarantees cannot be
//! packed otherwise.
//!
//! This happens, for example, after a change of the owner: the new owner does not know to which claims the recovered
//! gangs were charged.

use std::sync::Arc;

use board::{Fleet, Queue};
use model::{AccountId, GangId, JobId, Resources, Shape};

use crate::claims::{add_all, subtract_all};
use crate::fleet::charge;
use crate::topology::{Topology, WorkerResources};

/// Charges gangs, planned or running, to unused claims of their client accounts, non-preemptible gangs first. The
/// claims get allocations that contain the gangs.
pub(crate) fn adopt_gangs(
    fleet: &mut Fleet,
    topology: &Topology,
    queue: &Queue,
    uncharged: &[(GangId, JobId, bool, WorkerResources)],
) {
    for non_preemptible in [true, false] {
        for (id, job, _, held) in uncharged.iter().filter(|gang| gang.2 == non_preemptible) {
            let Some(account) = account(queue, *job) else {
                continue;
            };
            if non_preemptible {
                add_all(&mut fleet.spare, held);
            }
            if !adopt_gang(fleet, topology, account, *id, held) && non_preemptible {
                subtract_all(&mut fleet.spare, held);
            }
        }
    }
}

fn account(queue: &Queue, job: JobId) -> Option<&AccountId> {
    let active = queue.active.get(&job).map(|job| &job.request.account);
    active.or_else(|| queue.placed.get(&job).map(|job| &job.request.account))
}

fn adopt_gang(
    fleet: &mut Fleet,
    topology: &Topology,
    account: &AccountId,
    id: GangId,
    held: &WorkerResources,
) -> bool {
    let candidate = fleet
        .claims
        .iter()
        .enumerate()
        .filter(|(_, claim)| claim.gangs == 0 && claim.account == *account)
        .find_map(|(index, claim)| {
            Some((
                index,
                allocation_containing(fleet, topology, &claim.shape, held)?,
            ))
        });
    let Some((index, allocation)) = candidate else {
        return false;
    };
    subtract_all(&mut fleet.spare, &allocation);
    let claim = Arc::make_mut(&mut fleet.claims[index]);
    claim.remaining.clone_from(&allocation);
    claim.allocation = allocation;
    charge(fleet, index, id, held);
    true
}

/// Returns an allocation for a shape from spare capacity that contains the resources a gang holds.
fn allocation_containing(
    fleet: &Fleet,
    topology: &Topology,
    shape: &Shape,
    held: &WorkerResources,
) -> Option<WorkerResources> {
    let first = held.first()?.0;
    let domain = topology.domain(first, shape.adjacency);
    let held_on = |worker: usize| {
        held.iter()
            .filter(|(member, _)| *member == worker)
            .fold(Resources::default(), |sum, (_, amount)| {
                sum.saturating_add(*amount)
            })
    };
    let mut workers: Vec<usize> = (0..fleet.spare.len())
        .filter(|worker| topology.domain(*worker, shape.adjacency) == domain)
        .collect();
    workers.sort_by_key(|worker| held_on(*worker) == Resources::default());
    let mut remaining_tasks = shape.tasks;
    let mut allocation = WorkerResources::new();
    for worker in workers {
        let held_here = held_on(worker);
        let tasks = fleet.spare[worker]
            .fit_count(shape.per_task())
            .min(remaining_tasks);
        let amount = shape.per_task().saturating_mul(tasks).max(held_here);
        if amount == Resources::default() {
            continue;
        }
        fleet.spare[worker].checked_sub(amount)?;
        allocation.push((worker, amount));
        remaining_tasks -= tasks;
    }
    allocation.sort_by_key(|(worker, _)| *worker);
    let contains_gang = held.iter().all(|(worker, _)| {
        allocation
            .binary_search_by_key(worker, |(worker, _)| *worker)
            .is_ok()
    });
    (remaining_tasks == 0 && contains_gang).then_some(allocation)
}
