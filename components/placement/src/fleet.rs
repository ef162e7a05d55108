//! Updates of the fleet section.

use std::sync::Arc;

use board::{Fleet, Hold, Membership, Queue};
use indexmap::IndexMap;
use model::{GangId, JobId, Member, Resources, Worker, WorkerId};

use crate::topology::{WorkerResources, assigned_resources};

/// Rebuilds the workers from the membership and the free capacity from the gangs.
///
/// Worker indexes change. The allocations of claims are converted, the holds and the backfill reservation are dropped,
/// and the spare capacity is invalid until the claims are reconciled.
pub(crate) fn rebuild_workers(fleet: &mut Fleet, membership: &Membership) {
    let mut workers: Vec<Worker> = membership
        .agents
        .values()
        .flat_map(|agent| agent.workers.iter().cloned())
        .collect();
    workers.sort_by(|a, b| a.location.cmp(&b.location).then_with(|| a.id.cmp(&b.id)));
    let workers: IndexMap<WorkerId, Worker> = workers
        .into_iter()
        .map(|worker| (worker.id.clone(), worker))
        .collect();
    let old = std::mem::replace(&mut fleet.workers, Arc::new(workers));
    drop_holds(fleet);
    fleet.backfill_reservation = None;
    for claim in &mut fleet.claims {
        let claim = Arc::make_mut(claim);
        claim.allocation = reindex(&old, &fleet.workers, &claim.allocation);
    }
    fleet.free = fleet.workers.values().map(|w| w.capacity).collect();
    for (_, _, held) in gangs(fleet) {
        for (worker, amount) in held {
            fleet.free[worker] = fleet.free[worker].saturating_sub(amount);
        }
    }
}

/// Converts worker indexes after a change of the workers; the resources of workers that left are dropped.
fn reindex(
    old: &IndexMap<WorkerId, Worker>,
    new: &IndexMap<WorkerId, Worker>,
    resources: &WorkerResources,
) -> WorkerResources {
    let mut resources: WorkerResources = resources
        .iter()
        .filter_map(|(worker, amount)| {
            let (id, _) = old.get_index(*worker)?;
            Some((new.get_index_of(id)?, *amount))
        })
        .collect();
    resources.sort_by_key(|(worker, _)| *worker);
    resources
}

/// Returns every gang with its job and the resources it holds.
pub(crate) fn gangs(fleet: &Fleet) -> Vec<(GangId, JobId, WorkerResources)> {
    let planned = fleet
        .planned
        .values()
        .map(|gang| (gang.id, gang.job, &gang.members));
    let running = fleet
        .running
        .values()
        .map(|gang| (gang.id, gang.job, &gang.members));
    planned
        .chain(running)
        .map(|(id, job, members)| (id, job, held_resources(fleet, members)))
        .collect()
}

/// Returns the resources that members hold, by worker index. Members on workers that left are omitted.
pub(crate) fn held_resources(fleet: &Fleet, members: &[Member]) -> WorkerResources {
    members
        .iter()
        .filter_map(|m| Some((fleet.workers.get_index_of(&m.worker)?, m.total())))
        .collect()
}

/// Returns whether a job is non-preemptible, so that it is never stopped for a guarantee. An unknown job counts as
/// such.
pub(crate) fn is_non_preemptible(queue: &Queue, job: JobId) -> bool {
    let request = queue
        .active
        .get(&job)
        .map(|job| &job.request)
        .or_else(|| queue.placed.get(&job).map(|job| &job.request))
        .or_else(|| queue.queued.get(&job).map(|job| &job.request));
    request.is_none_or(|request| !request.is_preemptible())
}

/// Deducts the resources of a gang from the free capacity, and from the spare capacity if the gang is non-preemptible
/// and not charged to a claim.
pub(crate) fn allocate_resources(
    fleet: &mut Fleet,
    id: GangId,
    non_preemptible: bool,
    resources: &WorkerResources,
) {
    let reduces_spare = non_preemptible && !fleet.claim_by_gang.contains_key(&id);
    for (worker, amount) in resources {
        subtract(&mut fleet.free, *worker, *amount);
        if reduces_spare {
            subtract(&mut fleet.spare, *worker, *amount);
        }
    }
}

/// Returns the resources of a gang to its workers and to its claim.
pub(crate) fn release_resources(
    fleet: &mut Fleet,
    id: GangId,
    non_preemptible: bool,
    resources: &WorkerResources,
) {
    let within_claim = uncharge(fleet, id, resources);
    for (worker, amount) in resources {
        let capacity = fleet.workers[*worker].capacity;
        fleet.free[*worker] = fleet.free[*worker].saturating_add(*amount).min(capacity);
        if non_preemptible
            && !within_claim
            && let Some(spare) = fleet.spare.get_mut(*worker)
        {
            *spare = spare.saturating_add(*amount).min(capacity);
        }
    }
}

pub(crate) fn subtract(pool: &mut [Resources], worker: usize, amount: Resources) {
    if let Some(free) = pool.get_mut(worker) {
        *free = free.saturating_sub(amount);
    }
}

/// Charges a gang to a claim, whose unused part must contain the resources.
pub(crate) fn charge(fleet: &mut Fleet, claim: usize, id: GangId, resources: &WorkerResources) {
    fleet.claim_by_gang.insert(id, claim);
    let claim = Arc::make_mut(&mut fleet.claims[claim]);
    claim.gangs += 1;
    change(&mut claim.remaining, resources, Resources::saturating_sub);
}

/// Removes the charge of a gang and returns whether it had one.
pub(crate) fn uncharge(fleet: &mut Fleet, id: GangId, resources: &WorkerResources) -> bool {
    let Some(index) = fleet.claim_by_gang.swap_remove(&id) else {
        return false;
    };
    let claim = Arc::make_mut(&mut fleet.claims[index]);
    claim.gangs = claim.gangs.saturating_sub(1);
    change(&mut claim.remaining, resources, Resources::saturating_add);
    true
}

/// Applies `by` to the entries of `allocation` on the workers of `resources`; other workers are ignored.
pub(crate) fn change(
    allocation: &mut WorkerResources,
    resources: &WorkerResources,
    by: fn(Resources, Resources) -> Resources,
) {
    for (worker, amount) in resources {
        if let Ok(at) = allocation.binary_search_by_key(worker, |(worker, _)| *worker) {
            allocation[at].1 = by(allocation[at].1, *amount);
        }
    }
}

/// Drops the hold of a queued job and a backfill reservation for it.
pub(crate) fn drop_hold(fleet: &mut Fleet, job: JobId) {
    if let Some(hold) = fleet.holds.swap_remove(&job) {
        uncharge(
            fleet,
            hold.gang,
            &assigned_resources(&hold.assignment, hold.per_task),
        );
    }
    if fleet
        .backfill_reservation
        .as_ref()
        .is_some_and(|reservation| reservation.job == job)
    {
        fleet.backfill_reservation = None;
    }
}

/// Drops all holds, before worker indexes or claims change.
pub(crate) fn drop_holds(fleet: &mut Fleet) {
    let holds: Vec<Arc<Hold>> = fleet.holds.values().cloned().collect();
    for hold in holds {
        drop_hold(fleet, hold.job);
    }
}
