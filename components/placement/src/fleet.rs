//! Changes of the fleet section.

use std::sync::Arc;

use board::{Fleet, Membership};
use indexmap::IndexMap;
use model::{Member, Worker, WorkerId};

/// Rebuilds the workers from the membership and the free capacity from the gangs.
pub(crate) fn rebuild(fleet: &mut Fleet, membership: &Membership) {
    let mut workers: Vec<Worker> = membership
        .agents
        .values()
        .flat_map(|agent| agent.workers.iter().cloned())
        .collect();
    workers.sort_by(|a, b| a.place.cmp(&b.place).then_with(|| a.id.cmp(&b.id)));
    fleet.free = workers.iter().map(|worker| worker.capacity).collect();
    let workers: IndexMap<WorkerId, Worker> = workers
        .into_iter()
        .map(|worker| (worker.id.clone(), worker))
        .collect();
    fleet.workers = Arc::new(workers);
    let taken: Vec<Member> = fleet
        .planned
        .values()
        .flat_map(|gang| gang.members.iter())
        .chain(fleet.running.values().flat_map(|gang| gang.members.iter()))
        .cloned()
        .collect();
    for member in &taken {
        take(fleet, member);
    }
}

/// Takes the resources of a member from its worker.
pub(crate) fn take(fleet: &mut Fleet, member: &Member) {
    if let Some(index) = fleet.workers.get_index_of(&member.worker) {
        fleet.free[index] = fleet.free[index]
            .checked_minus(member.total())
            .unwrap_or_default();
    }
}

/// Gives the resources of a member back to its worker.
pub(crate) fn give_back(fleet: &mut Fleet, member: &Member) {
    if let Some((index, _, worker)) = fleet.workers.get_full(&member.worker) {
        let limit = worker.capacity;
        let sum = fleet.free[index].plus(member.total());
        fleet.free[index] = if limit.checked_minus(sum).is_some() {
            sum
        } else {
            limit
        };
    }
}
