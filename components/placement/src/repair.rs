//! Moving the homes of unused claims off lost and quarantined workers.

use std::collections::HashSet;

use crate::claims::{add_all, is_whole, move_home};
use crate::cx::Cx;
use crate::layout::Room;
use crate::masks::Masks;
use crate::packing::find_home;

/// Finds other homes for unused claims whose home is incomplete or touches a quarantined worker.
pub(crate) fn repair_homes(cx: &mut Cx, masks: &Masks) {
    let mut failed = HashSet::new();
    for index in 0..cx.fleet.claims.len() {
        let claim = &cx.fleet.claims[index];
        let healthy = |(worker, _): &(usize, _)| masks.allows(*worker, false);
        if claim.gangs > 0 || (is_whole(claim) && claim.home.iter().all(healthy)) {
            continue;
        }
        let shape = claim.shape;
        if failed.contains(&shape) {
            continue;
        }
        let mut spare = cx.fleet.spare.clone();
        add_all(&mut spare, &claim.home);
        let mut room: Room = spare.into_iter().enumerate().collect();
        room.retain(healthy);
        match find_home(&cx.layout, &room, &shape) {
            Some(home) => move_home(&mut cx.fleet, index, home),
            None => {
                failed.insert(shape);
            }
        }
    }
}
