//! Changes of the fleet section.

use std::sync::Arc;

use board::{Claim, Fleet, Hold, Membership, Queue};
use indexmap::IndexMap;
use model::{GangId, JobId, Member, Resources, Worker, WorkerId};

use crate::layout::{Room, amounts};

/// Rebuilds the workers from the membership and the free capacity from the gangs.
pub(crate) fn rebuild(fleet: &mut Fleet, membership: &Membership) {
    let mut workers: Vec<Worker> = membership
        .agents
        .values()
        .flat_map(|agent| agent.workers.iter().cloned())
        .collect();
    workers.sort_by(|a, b| a.place.cmp(&b.place).then_with(|| a.id.cmp(&b.id)));
    let workers: IndexMap<WorkerId, Worker> = workers
        .into_iter()
        .map(|worker| (worker.id.clone(), worker))
        .collect();
    let old = std::mem::replace(&mut fleet.workers, Arc::new(workers));
    drop_holds(fleet);
    fleet.drain = None;
    for claim in &mut fleet.claims {
        let claim = Arc::make_mut(claim);
        claim.home = renumber(&old, &fleet.workers, &claim.home);
    }
    fleet.free = fleet.workers.values().map(|w| w.capacity).collect();
    for (_, _, room) in gangs(fleet) {
        for (worker, amount) in room {
            fleet.free[worker] = fleet.free[worker].saturating_minus(amount);
        }
    }
}

fn renumber(
    old: &IndexMap<WorkerId, Worker>,
    new: &IndexMap<WorkerId, Worker>,
    room: &Room,
) -> Room {
    let mut room: Room = room
        .iter()
        .filter_map(|(worker, amount)| {
            let (id, _) = old.get_index(*worker)?;
            Some((new.get_index_of(id)?, *amount))
        })
        .collect();
    room.sort_by_key(|(worker, _)| *worker);
    room
}

/// Returns every gang with its job and what it holds.
pub(crate) fn gangs(fleet: &Fleet) -> Vec<(GangId, JobId, Room)> {
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
        .map(|(id, job, members)| (id, job, held_by(fleet, members)))
        .collect()
}

/// Returns what members hold, by worker index; members on unknown workers are left out.
pub(crate) fn held_by(fleet: &Fleet, members: &[Member]) -> Room {
    members
        .iter()
        .filter_map(|m| Some((fleet.workers.get_index_of(&m.worker)?, m.total())))
        .collect()
}

/// Returns whether a job may not be stopped; an unknown job is taken to be of this kind.
pub(crate) fn is_firm(queue: &Queue, job: JobId) -> bool {
    let request = queue
        .active
        .get(&job)
        .map(|job| &job.request)
        .or_else(|| queue.placed.get(&job).map(|job| &job.request))
        .or_else(|| queue.queued.get(&job).map(|job| &job.request));
    request.is_none_or(|request| !request.may_stop())
}

/// Takes the resources of a gang from its workers.
pub(crate) fn take(fleet: &mut Fleet, id: GangId, firm: bool, room: &Room) {
    let outside = firm && !fleet.charged.contains_key(&id);
    for (worker, amount) in room {
        subtract(&mut fleet.free, *worker, *amount);
        if outside {
            subtract(&mut fleet.spare, *worker, *amount);
        }
    }
}

/// Gives the resources of a gang back to its workers and to its claim.
pub(crate) fn give_back(fleet: &mut Fleet, id: GangId, firm: bool, room: &Room) {
    let charged = uncharge(fleet, id, room);
    let outside = firm && !charged;
    for (worker, amount) in room {
        let capacity = fleet.workers[*worker].capacity;
        fleet.free[*worker] = fleet.free[*worker].plus(*amount).min(capacity);
        if outside && let Some(spare) = fleet.spare.get_mut(*worker) {
            *spare = spare.plus(*amount).min(capacity);
        }
    }
}

pub(crate) fn subtract(pool: &mut [Resources], worker: usize, amount: Resources) {
    if let Some(free) = pool.get_mut(worker) {
        *free = free.saturating_minus(amount);
    }
}

/// Counts a gang against a claim, which must have the room left.
pub(crate) fn charge(fleet: &mut Fleet, claim: usize, id: GangId, room: &Room) {
    fleet.charged.insert(id, claim);
    let claim = Arc::make_mut(&mut fleet.claims[claim]);
    claim.gangs += 1;
    change_left(claim, room, Resources::saturating_minus);
}

/// Ends the charge of a gang and returns whether it had one.
pub(crate) fn uncharge(fleet: &mut Fleet, id: GangId, room: &Room) -> bool {
    let Some(index) = fleet.charged.swap_remove(&id) else {
        return false;
    };
    let claim = Arc::make_mut(&mut fleet.claims[index]);
    claim.gangs = claim.gangs.saturating_sub(1);
    change_left(claim, room, Resources::plus);
    true
}

fn change_left(claim: &mut Claim, room: &Room, change: fn(Resources, Resources) -> Resources) {
    for (worker, amount) in room {
        if let Ok(at) = claim
            .left
            .binary_search_by_key(worker, |(worker, _)| *worker)
        {
            claim.left[at].1 = change(claim.left[at].1, *amount);
        }
    }
}

/// Gives up the capacity reserved for a queued job.
pub(crate) fn drop_hold(fleet: &mut Fleet, job: JobId) {
    if let Some(hold) = fleet.holds.swap_remove(&job) {
        uncharge(fleet, hold.gang, &amounts(&hold.spots, hold.per_task));
    }
    if fleet.drain.as_ref().is_some_and(|drain| drain.job == job) {
        fleet.drain = None;
    }
}

/// Gives up all reservations, before worker indexes or claims change.
pub(crate) fn drop_holds(fleet: &mut Fleet) {
    let holds: Vec<Arc<Hold>> = fleet.holds.values().cloned().collect();
    for hold in holds {
        drop_hold(fleet, hold.job);
    }
}
