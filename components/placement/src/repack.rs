//! Searches for assignments that are possible only if the allocations of unused claims move.

use board::Fleet;
use model::{Adjacency, Resources, Shape};

use crate::fit::{fill, first_fit, slots};
use crate::packing::{movable_capacity, repack_unused_claims};
use crate::topology::{
    ADJACENCY_LEVELS, Assignment, Topology, WorkerResources, assigned_resources,
};

/// Work limit of one search: candidates times workers times claims. For each candidate, the unused claims are packed in
/// up to ten orders. The limit covers all candidates in a cell of 64 workers, three to a rack, with up to 40 claims,
/// and bounds the time of a search in larger cells.
const MAX_SEARCH_WORK: usize = 500_000;

/// New allocations of unused claims, by claim index.
pub(crate) type Allocations = Vec<(usize, WorkerResources)>;

/// The result of a search.
pub(crate) enum SearchOutcome<T> {
    /// A candidate satisfied the search.
    Found(T),
    /// No candidate satisfied the search.
    NotFound,
    /// The search reached its work limit before all candidates were tried.
    CutOff,
}

/// Returns an assignment of a gang within `available` that does not overlap any allocation once the unused claims have
/// moved to the returned allocations.
pub(crate) fn repack_for_gang(
    fleet: &Fleet,
    topology: &Topology,
    available: &WorkerResources,
    shape: &Shape,
) -> SearchOutcome<(Assignment, Allocations)> {
    let movable = movable_capacity(fleet);
    let vacatable: WorkerResources = available
        .iter()
        .map(|(worker, amount)| (*worker, amount.min(movable[*worker])))
        .collect();
    let levels = ADJACENCY_LEVELS
        .into_iter()
        .filter(|level| *level <= shape.adjacency);
    let candidates = levels.flat_map(|level| fills(topology, &vacatable, shape, level));
    search(fleet, candidates, |assignment| {
        let taken = assigned_resources(&assignment, shape.per_task());
        let allocations = repack_unused_claims(fleet, topology, &taken, None)?;
        Some((assignment, allocations))
    })
}

/// Returns allocations of the unused claims, including the one at `index`, with which a gang fits in the claim at
/// `index`.
pub(crate) fn repack_for_claim(
    fleet: &Fleet,
    topology: &Topology,
    index: usize,
    shape: &Shape,
) -> SearchOutcome<Allocations> {
    let claimed = &fleet.claims[index].shape;
    let available: WorkerResources = movable_capacity(fleet).into_iter().enumerate().collect();
    let level = claimed.adjacency.min(shape.adjacency);
    let candidates = fills(topology, &available, claimed, level);
    search(fleet, candidates, |assignment| {
        let mut allocation = assigned_resources(&assignment, claimed.per_task());
        allocation.sort_by_key(|(worker, _)| *worker);
        first_fit(topology, &allocation, shape)?;
        let mut allocations = repack_unused_claims(fleet, topology, &allocation, Some(index))?;
        allocations.push((index, allocation));
        Some(allocations)
    })
}

/// Returns the first result of `evaluate`, trying as many candidates as the work limit allows.
fn search<T>(
    fleet: &Fleet,
    candidates: impl Iterator<Item = Assignment>,
    evaluate: impl Fn(Assignment) -> Option<T>,
) -> SearchOutcome<T> {
    let size = (fleet.workers.len() * fleet.claims.len()).max(1);
    let mut remaining_candidates = MAX_SEARCH_WORK / size;
    for assignment in candidates {
        if remaining_candidates == 0 {
            return SearchOutcome::CutOff;
        }
        remaining_candidates -= 1;
        if let Some(found) = evaluate(assignment) {
            return SearchOutcome::Found(found);
        }
    }
    SearchOutcome::NotFound
}

/// Returns two assignments for each topology domain of a level: one fills the workers with the fewest task slots first,
/// the other those with the most.
fn fills<'a>(
    topology: &'a Topology,
    available: &'a [(usize, Resources)],
    shape: &Shape,
    level: Adjacency,
) -> impl Iterator<Item = Assignment> + use<'a> {
    let (counts, tasks) = (slots(available, shape), shape.tasks);
    topology
        .domain_ranges(available, level)
        .flat_map(move |range| {
            let sum: u64 = counts[range.clone()].iter().map(|n| u64::from(*n)).sum();
            if sum < u64::from(tasks) {
                return Vec::new();
            }
            let mut order: Vec<usize> = range.filter(|at| counts[*at] > 0).collect();
            order.sort_by_key(|at| counts[*at]);
            let fewest_slots_first = fill(available, &counts, order.iter().copied(), tasks);
            let most_slots_first = fill(available, &counts, order.into_iter().rev(), tasks);
            fewest_slots_first
                .into_iter()
                .chain(most_slots_first)
                .collect()
        })
}
