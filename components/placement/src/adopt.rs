//! Finding the claims that running gangs belong to, when the owner does not know them.

use std::sync::Arc;

use board::{Fleet, Queue};
use model::{AccountId, GangId, JobId, Resources, Shape};

use crate::claims::{add_all, subtract_all};
use crate::fleet::charge;
use crate::layout::{Layout, Room};

/// Charges gangs to unused claims of their client accounts, those that may not be stopped first.
pub(crate) fn adopt(
    fleet: &mut Fleet,
    layout: &Layout,
    queue: &Queue,
    uncharged: &[(GangId, JobId, bool, Room)],
) {
    for firm in [true, false] {
        for (id, job, _, room) in uncharged.iter().filter(|gang| gang.2 == firm) {
            let Some(account) = account(queue, *job) else {
                continue;
            };
            if firm {
                add_all(&mut fleet.spare, room);
            }
            if !adopt_one(fleet, layout, account, *id, room) && firm {
                subtract_all(&mut fleet.spare, room);
            }
        }
    }
}

fn account(queue: &Queue, job: JobId) -> Option<&AccountId> {
    let active = queue.active.get(&job).map(|job| &job.request.account);
    active.or_else(|| queue.placed.get(&job).map(|job| &job.request.account))
}

fn adopt_one(
    fleet: &mut Fleet,
    layout: &Layout,
    account: &AccountId,
    id: GangId,
    room: &Room,
) -> bool {
    let found = fleet
        .claims
        .iter()
        .enumerate()
        .filter(|(_, claim)| claim.gangs == 0 && claim.account == *account)
        .find_map(|(index, claim)| Some((index, home_around(fleet, layout, &claim.shape, room)?)));
    let Some((index, home)) = found else {
        return false;
    };
    subtract_all(&mut fleet.spare, &home);
    let claim = Arc::make_mut(&mut fleet.claims[index]);
    claim.left.clone_from(&home);
    claim.home = home;
    charge(fleet, index, id, room);
    true
}

/// Returns a home for a shape that contains what a gang holds.
fn home_around(fleet: &Fleet, layout: &Layout, shape: &Shape, gang: &Room) -> Option<Room> {
    let first = gang.first()?.0;
    let part = layout.part(first, shape.adjacency);
    let of_gang = |worker: usize| {
        gang.iter()
            .filter(|(member, _)| *member == worker)
            .fold(Resources::default(), |sum, (_, amount)| sum.plus(*amount))
    };
    let mut window: Vec<usize> = (0..fleet.spare.len())
        .filter(|worker| layout.part(*worker, shape.adjacency) == part)
        .collect();
    window.sort_by_key(|worker| of_gang(*worker) == Resources::default());
    let mut left = shape.tasks;
    let mut home = Room::new();
    for worker in window {
        let held = of_gang(worker);
        let tasks = fleet.spare[worker].times(shape.per_task()).min(left);
        let amount = shape.per_task().scaled(tasks).max(held);
        if amount == Resources::default() {
            continue;
        }
        fleet.spare[worker].checked_minus(amount)?;
        home.push((worker, amount));
        left -= tasks;
    }
    home.sort_by_key(|(worker, _)| *worker);
    let kept = gang.iter().all(|(worker, _)| {
        home.binary_search_by_key(worker, |(worker, _)| *worker)
            .is_ok()
    });
    (left == 0 && kept).then_some(home)
}
