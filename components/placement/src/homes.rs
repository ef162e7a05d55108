//! Places in which a claim can be used.

use model::Adjacency;

use crate::claims::add_all;
use crate::cx::Cx;
use crate::fit::{fill, slots};
use crate::layout::{Room, amounts};
use crate::rehome::Homes;
use crate::rooms::Rooms;

/// What happens to the home of the claim that a job uses.
pub(crate) enum Change {
    Keep,
    Swap(usize),
    Move(Room),
    /// The homes of several unused claims move.
    Pack(Homes),
}

/// Leaves out the workers that a job may not use.
pub(crate) fn allowed(rooms: &Rooms, mut home: Room, needs_proven: bool) -> Room {
    home.retain(|(worker, _)| rooms.masks.allows(*worker, needs_proven));
    home
}

/// Returns the places where a claim may be used: its home, equal homes of unused claims, and windows of spare capacity.
pub(crate) fn homes(
    cx: &Cx,
    rooms: &mut Rooms,
    index: usize,
    level: Adjacency,
    needs_proven: bool,
) -> Vec<(Change, Room)> {
    let claim = &cx.fleet.claims[index];
    let mut homes = vec![(Change::Keep, claim.left.clone())];
    if claim.gangs > 0 {
        return homes;
    }
    for (other, equal) in cx.fleet.claims.iter().enumerate() {
        if other != index && equal.gangs == 0 && equal.shape == claim.shape {
            homes.push((Change::Swap(other), equal.home.clone()));
        }
    }
    homes.extend(windows(cx, rooms, index, level, needs_proven));
    homes
}

/// Returns one home for each window of spare capacity that holds the claim, on the workers that are cheapest to clear.
fn windows(
    cx: &Cx,
    rooms: &mut Rooms,
    index: usize,
    level: Adjacency,
    needs_proven: bool,
) -> Vec<(Change, Room)> {
    let claim = &cx.fleet.claims[index];
    let per_task = claim.shape.per_task();
    let mut spare = cx.fleet.spare.clone();
    add_all(&mut spare, &claim.home);
    let room: Room = allowed(rooms, spare.into_iter().enumerate().collect(), needs_proven);
    let cost_on = &rooms.borrowers(cx).cost_on;
    let slots = slots(&room, &claim.shape);
    let mut homes = Vec::new();
    for window in cx.layout.windows(&room, level.min(claim.shape.adjacency)) {
        let sum: u64 = slots[window.clone()].iter().map(|n| u64::from(*n)).sum();
        if sum < u64::from(claim.shape.tasks) {
            continue;
        }
        let mut order: Vec<usize> = window.filter(|at| slots[*at] > 0).collect();
        order.sort_by(|a, b| {
            let by_cost = cost_on[room[*a].0].total_cmp(&cost_on[room[*b].0]);
            by_cost.then(slots[*b].cmp(&slots[*a]))
        });
        if let Some(spots) = fill(&room, &slots, order, claim.shape.tasks) {
            let mut home = amounts(&spots, per_task);
            home.sort_by_key(|(worker, _)| *worker);
            homes.push((Change::Move(home.clone()), home));
        }
    }
    homes
}
