//! Searches for placements that move the allocations of unused claims.

use board::Fleet;
use model::{Adjacency, Resources, Shape};

use crate::fit::{fill, first_fit, slots};
use crate::packing::{allocations_beside, movable_capacity};
use crate::topology::{Assignment, LEVELS, Topology, WorkerResources, assigned_resources};

/// Work limit of one search: the number of packings tried, times workers, times claims. The limit covers every candidate
/// in a cell of 64 workers and keeps a search within milliseconds in larger cells.
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

/// Returns an assignment of a gang within `open` and outside every claim, with the allocations that claims must move to.
pub(crate) fn assignment_beside(
    fleet: &Fleet,
    topology: &Topology,
    open: &WorkerResources,
    shape: &Shape,
) -> SearchOutcome<(Assignment, Allocations)> {
    let movable = movable_capacity(fleet);
    let available: WorkerResources = open
        .iter()
        .map(|(worker, amount)| (*worker, amount.min(movable[*worker])))
        .collect();
    let levels = LEVELS.into_iter().filter(|level| *level <= shape.adjacency);
    let candidates = levels.flat_map(|level| fills(topology, &available, shape, level));
    search(fleet, candidates, |assignment| {
        let taken = assigned_resources(&assignment, shape.per_task());
        let allocations = allocations_beside(fleet, topology, &taken, None)?;
        Some((assignment, allocations))
    })
}

/// Returns allocations of the unused claims with which the claim at `index` fits a gang.
pub(crate) fn allocations_around(
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
        let mut allocations = allocations_beside(fleet, topology, &allocation, Some(index))?;
        allocations.push((index, allocation));
        Some(allocations)
    })
}

/// Returns the first result of `attempt`, trying as many candidates as the work limit allows.
fn search<T>(
    fleet: &Fleet,
    candidates: impl Iterator<Item = Assignment>,
    attempt: impl Fn(Assignment) -> Option<T>,
) -> SearchOutcome<T> {
    let size = (fleet.workers.len() * fleet.claims.len()).max(1);
    let mut remaining_attempts = MAX_SEARCH_WORK / size;
    for assignment in candidates {
        if remaining_attempts == 0 {
            return SearchOutcome::CutOff;
        }
        remaining_attempts -= 1;
        if let Some(found) = attempt(assignment) {
            return SearchOutcome::Found(found);
        }
    }
    SearchOutcome::NotFound
}

/// Returns two assignments for each topology domain of a level: one fills the fullest workers first, the other the
/// emptiest.
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
            let fullest_first = fill(available, &counts, order.iter().copied(), tasks);
            let emptiest_first = fill(available, &counts, order.into_iter().rev(), tasks);
            fullest_first.into_iter().chain(emptiest_first).collect()
        })
}
