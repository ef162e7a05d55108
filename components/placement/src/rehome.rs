//! Placements that need the homes of unused claims to move.

use board::Fleet;
use model::{Adjacency, Resources, Shape};

use crate::fit::{fill, first_fit, slots};
use crate::layout::{LEVELS, Layout, Room, Spots, amounts};
use crate::packing::{homes_beside, movable};

/// Packings of all claims that one search may try, by the product of workers and claims of one packing. It covers every
/// candidate of a cell of 64 workers and keeps the search within milliseconds on larger ones.
const SEARCH_WORK: usize = 500_000;

/// New homes of unused claims.
pub(crate) type Homes = Vec<(usize, Room)>;

/// The result of a search.
pub(crate) enum Found<T> {
    Yes(T),
    No,
    /// The search ended before all candidates were tried.
    Unknown,
}

/// Returns spots outside every claim for a gang within `open`, with the homes that claims move to.
pub(crate) fn spots_beside(
    fleet: &Fleet,
    layout: &Layout,
    open: &Room,
    shape: &Shape,
) -> Found<(Spots, Homes)> {
    let pool = movable(fleet);
    let room: Room = open
        .iter()
        .map(|(worker, amount)| (*worker, amount.min(pool[*worker])))
        .collect();
    let levels = LEVELS.into_iter().filter(|level| *level <= shape.adjacency);
    let candidates = levels.flat_map(|level| fills(layout, &room, shape, level));
    search(fleet, candidates, |spots| {
        let taken = amounts(&spots, shape.per_task());
        let homes = homes_beside(fleet, layout, &taken, None)?;
        Some((spots, homes))
    })
}

/// Returns homes of the claims such that the home of one of them holds a gang.
pub(crate) fn homes_around(
    fleet: &Fleet,
    layout: &Layout,
    index: usize,
    shape: &Shape,
) -> Found<Homes> {
    let claimed = &fleet.claims[index].shape;
    let room: Room = movable(fleet).into_iter().enumerate().collect();
    let level = claimed.adjacency.min(shape.adjacency);
    let candidates = fills(layout, &room, claimed, level);
    search(fleet, candidates, |spots| {
        let mut home = amounts(&spots, claimed.per_task());
        home.sort_by_key(|(worker, _)| *worker);
        first_fit(layout, &home, shape)?;
        let mut homes = homes_beside(fleet, layout, &home, Some(index))?;
        homes.push((index, home));
        Some(homes)
    })
}

fn search<T>(
    fleet: &Fleet,
    candidates: impl Iterator<Item = Spots>,
    attempt: impl Fn(Spots) -> Option<T>,
) -> Found<T> {
    let size = (fleet.workers.len() * fleet.claims.len()).max(1);
    let mut tries = SEARCH_WORK / size;
    for spots in candidates {
        if tries == 0 {
            return Found::Unknown;
        }
        tries -= 1;
        if let Some(found) = attempt(spots) {
            return Found::Yes(found);
        }
    }
    Found::No
}

/// Fills each window of a level from its fullest and from its emptiest workers.
fn fills<'a>(
    layout: &'a Layout,
    room: &'a [(usize, Resources)],
    shape: &Shape,
    level: Adjacency,
) -> impl Iterator<Item = Spots> + use<'a> {
    let (counts, tasks) = (slots(room, shape), shape.tasks);
    layout.windows(room, level).flat_map(move |window| {
        let sum: u64 = counts[window.clone()].iter().map(|n| u64::from(*n)).sum();
        if sum < u64::from(tasks) {
            return Vec::new();
        }
        let mut order: Vec<usize> = window.filter(|at| counts[*at] > 0).collect();
        order.sort_by_key(|at| counts[*at]);
        let rising = fill(room, &counts, order.iter().copied(), tasks);
        let falling = fill(room, &counts, order.into_iter().rev(), tasks);
        rising.into_iter().chain(falling).collect()
    })
}
