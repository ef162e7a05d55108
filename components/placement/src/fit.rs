//! First-fit assignment of the tasks of a gang to adjacent workers.

use board::Fleet;
use model::{Member, Resources, Shape};

use crate::topology::{ADJACENCY_LEVELS, Assignment, Topology};

/// Assigns a gang to the first workers that it fits on, at the narrowest adjacency level possible.
pub fn fit_gang(fleet: &Fleet, free: &[Resources], shape: &Shape) -> Option<Vec<Member>> {
    let available: Vec<_> = free.iter().copied().enumerate().collect();
    let assignment = first_fit(&Topology::new(fleet), &available, shape)?;
    Some(members(fleet, &assignment, shape.per_task()))
}

/// Returns an assignment in the first topology domain that a gang fits in, at the narrowest adjacency level that has
/// one.
pub(crate) fn first_fit(
    topology: &Topology,
    available: &[(usize, Resources)],
    shape: &Shape,
) -> Option<Assignment> {
    let slots = slots(available, shape);
    if slots.iter().map(|n| u64::from(*n)).sum::<u64>() < u64::from(shape.tasks) {
        return None;
    }
    ADJACENCY_LEVELS
        .into_iter()
        .filter(|level| *level <= shape.adjacency)
        .find_map(|level| {
            topology
                .domain_ranges(available, level)
                .find_map(|range| fill(available, &slots, range, shape.tasks))
        })
}

/// Returns the number of task slots of a shape on each worker, at most `shape.tasks`, in the order of `available`.
pub(crate) fn slots(available: &[(usize, Resources)], shape: &Shape) -> Vec<u32> {
    let per_task = shape.per_task();
    available
        .iter()
        .map(|(_, free)| free.fit_count(per_task).min(shape.tasks))
        .collect()
}

/// Assigns tasks to workers in the given order, which lists indexes into `available`, until all are assigned. `counts`
/// are the task slots of each worker.
pub(crate) fn fill(
    available: &[(usize, Resources)],
    counts: &[u32],
    order: impl IntoIterator<Item = usize>,
    tasks: u32,
) -> Option<Assignment> {
    let mut remaining = tasks;
    let mut assignment = Vec::new();
    for index in order {
        let count = counts[index].min(remaining);
        if count == 0 {
            continue;
        }
        assignment.push((available[index].0, count));
        remaining -= count;
        if remaining == 0 {
            return Some(assignment);
        }
    }
    None
}

/// Converts an assignment to gang members.
pub(crate) fn members(
    fleet: &Fleet,
    assignment: &[(usize, u32)],
    per_task: Resources,
) -> Vec<Member> {
    assignment
        .iter()
        .map(|(index, tasks)| {
            let worker = &fleet.workers[*index];
            Member {
                agent: worker.agent.clone(),
                worker: worker.id.clone(),
                tasks: *tasks,
                per_task,
            }
        })
        .collect()
}
