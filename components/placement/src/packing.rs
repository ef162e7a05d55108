//! Packing the homes of the claims that are not in use.

use std::sync::Arc;

use board::Fleet;
use model::{Policy, Resources, Shape};

use crate::claims::{add_all, inside, is_whole, subtract_all};
use crate::layout::{Layout, Room, amounts};
use crate::score::{Weights, best_fit};

/// Orders of packing that are tried before a claim is reported as a shortfall; packing is heuristic, and moving the
/// claim that failed to the front solves most orders that fail.
const PACKING_ORDERS: usize = 8;

struct Packing {
    spare: Room,
    homes: Vec<(usize, Room)>,
    missing: Vec<usize>,
}

/// Finds homes for the claims that are not in use and returns how many claims have none.
///
/// The spare capacity must include the homes that these claims have.
pub(crate) fn home_unused(fleet: &mut Fleet, layout: &Layout) -> usize {
    let best = best_packing(fleet, layout, &fleet.spare, None);
    fleet.spare = best.spare.into_iter().map(|(_, spare)| spare).collect();
    set_homes(fleet, best.homes);
    fleet.claims.iter().filter(|claim| !is_whole(claim)).count()
}

/// Returns homes for the unused claims other than `within` beside capacity that is taken, if all of them find one.
pub(crate) fn homes_beside(
    fleet: &Fleet,
    layout: &Layout,
    taken: &Room,
    within: Option<usize>,
) -> Option<Vec<(usize, Room)>> {
    let mut pool = movable(fleet);
    subtract_all(&mut pool, taken);
    let best = best_packing(fleet, layout, &pool, within);
    best.missing.is_empty().then_some(best.homes)
}

/// Returns the spare capacity with the homes of unused claims, which can move.
pub(crate) fn movable(fleet: &Fleet) -> Vec<Resources> {
    let mut pool = fleet.spare.clone();
    for claim in fleet.claims.iter().filter(|claim| claim.gangs == 0) {
        add_all(&mut pool, &claim.home);
    }
    pool
}

/// Moves the homes of unused claims; the new homes must be disjoint and lie in movable capacity.
pub(crate) fn move_homes(fleet: &mut Fleet, homes: Vec<(usize, Room)>) {
    for (index, _) in &homes {
        let old = fleet.claims[*index].home.clone();
        add_all(&mut fleet.spare, &old);
    }
    for (_, home) in &homes {
        subtract_all(&mut fleet.spare, home);
    }
    set_homes(fleet, homes);
}

fn set_homes(fleet: &mut Fleet, homes: Vec<(usize, Room)>) {
    for (index, home) in homes {
        let claim = Arc::make_mut(&mut fleet.claims[index]);
        claim.left.clone_from(&home);
        claim.home = home;
    }
}

fn best_packing(
    fleet: &Fleet,
    layout: &Layout,
    pool: &[Resources],
    without: Option<usize>,
) -> Packing {
    let mut order: Vec<usize> = (0..fleet.claims.len())
        .filter(|index| fleet.claims[*index].gangs == 0 && Some(*index) != without)
        .collect();
    order.sort_by_key(|index| {
        let shape = &fleet.claims[*index].shape;
        let total = shape.total();
        (
            shape.adjacency,
            std::cmp::Reverse((total.accelerators, total.cores, total.memory_mb)),
        )
    });
    let mut best = pack(fleet, layout, pool, &order, true);
    if !best.missing.is_empty() {
        // The check of a configuration packs without old homes; the same search must succeed once it is accepted.
        let packing = pack(fleet, layout, pool, &order, false);
        if packing.missing.len() <= best.missing.len() {
            best = packing;
        }
    }
    for _ in 0..PACKING_ORDERS {
        let Some(failed) = best.missing.first().copied() else {
            break;
        };
        order.retain(|index| *index != failed);
        order.insert(0, failed);
        let packing = pack(fleet, layout, pool, &order, false);
        if packing.missing.len() < best.missing.len() {
            best = packing;
        }
    }
    best
}

fn pack(
    fleet: &Fleet,
    layout: &Layout,
    pool: &[Resources],
    order: &[usize],
    keep: bool,
) -> Packing {
    let mut packing = Packing {
        spare: pool.iter().copied().enumerate().collect(),
        homes: Vec::new(),
        missing: Vec::new(),
    };
    for index in order {
        let claim = &fleet.claims[*index];
        let home = if keep && is_whole(claim) && inside(&claim.home, &packing.spare) {
            Some(claim.home.clone())
        } else {
            find_home(layout, &packing.spare, &claim.shape)
        };
        if home.is_none() {
            packing.missing.push(*index);
        }
        let home = home.unwrap_or_default();
        for (worker, amount) in &home {
            let spare = &mut packing.spare[*worker].1;
            *spare = spare.saturating_minus(*amount);
        }
        packing.homes.push((*index, home));
    }
    packing
}

/// Returns room for a guaranteed shape.
pub(crate) fn find_home(layout: &Layout, room: &Room, shape: &Shape) -> Option<Room> {
    let weights = Weights::new(&Policy::default(), None);
    let spots = best_fit(layout, room, shape, &weights)?;
    let mut home = amounts(&spots, shape.per_task());
    home.sort_by_key(|(worker, _)| *worker);
    Some(home)
}
