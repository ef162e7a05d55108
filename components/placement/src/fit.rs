//! Fitting the tasks of a gang on adjacent workers.

use board::Fleet;
use model::{Member, Resources, Shape};

use crate::layout::{LEVELS, Layout, Spots};

/// Chooses the first workers that hold a gang, at the lowest adjacency level that does.
pub fn fit_gang(fleet: &Fleet, free: &[Resources], shape: &Shape) -> Option<Vec<Member>> {
    let room: Vec<_> = free.iter().copied().enumerate().collect();
    let spots = first_fit(&Layout::of(fleet), &room, shape)?;
    Some(members(fleet, &spots, shape.per_task()))
}

/// Returns the first window of the lowest adjacency level that holds a gang.
pub(crate) fn first_fit(
    layout: &Layout,
    room: &[(usize, Resources)],
    shape: &Shape,
) -> Option<Spots> {
    let slots = slots(room, shape);
    if slots.iter().map(|n| u64::from(*n)).sum::<u64>() < u64::from(shape.tasks) {
        return None;
    }
    LEVELS
        .into_iter()
        .filter(|level| *level <= shape.adjacency)
        .find_map(|level| {
            layout
                .windows(room, level)
                .find_map(|window| fill(room, &slots, window, shape.tasks))
        })
}

/// Returns how many tasks of a shape each worker holds.
pub(crate) fn slots(room: &[(usize, Resources)], shape: &Shape) -> Vec<u32> {
    let per_task = shape.per_task();
    room.iter()
        .map(|(_, free)| free.times(per_task).min(shape.tasks))
        .collect()
}

/// Takes tasks from the workers in the given order until all are placed.
pub(crate) fn fill(
    room: &[(usize, Resources)],
    counts: &[u32],
    order: impl IntoIterator<Item = usize>,
    tasks: u32,
) -> Option<Spots> {
    let mut left = tasks;
    let mut spots = Vec::new();
    for index in order {
        let count = counts[index].min(left);
        if count == 0 {
            continue;
        }
        spots.push((room[index].0, count));
        left -= count;
        if left == 0 {
            return Some(spots);
        }
    }
    None
}

/// Turns worker indexes into members.
pub(crate) fn members(fleet: &Fleet, spots: &[(usize, u32)], per_task: Resources) -> Vec<Member> {
    spots
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
