//! Fitting the tasks of a gang on adjacent workers.

use board::Fleet;
use model::{Adjacency, Member, Resources, Shape, Worker};

/// Chooses workers for a gang at the lowest adjacency level that holds it.
pub fn fit_gang(fleet: &Fleet, free: &[Resources], shape: &Shape) -> Option<Vec<Member>> {
    let levels = [
        Adjacency::Worker,
        Adjacency::Rack,
        Adjacency::DataCentre,
        Adjacency::Region,
        Adjacency::Any,
    ];
    levels
        .into_iter()
        .filter(|level| *level <= shape.adjacency)
        .find_map(|level| fit_at_level(fleet, free, shape, level))
}

fn fit_at_level(
    fleet: &Fleet,
    free: &[Resources],
    shape: &Shape,
    level: Adjacency,
) -> Option<Vec<Member>> {
    let mut start = 0;
    while start < fleet.workers.len() {
        let end = window_end(fleet, start, level);
        if let Some(members) = fill(fleet, free, shape, start..end) {
            return Some(members);
        }
        start = end;
    }
    None
}

/// Returns the end of the run of workers that share the part of the hierarchy with the worker at `start`.
fn window_end(fleet: &Fleet, start: usize, level: Adjacency) -> usize {
    let first = &fleet.workers[start];
    let rest = fleet.workers.values().skip(start + 1);
    start
        + 1
        + rest
            .take_while(|worker| same_part(first, worker, level))
            .count()
}

fn same_part(a: &Worker, b: &Worker, level: Adjacency) -> bool {
    match level {
        Adjacency::Worker => false,
        Adjacency::Rack => a.place == b.place,
        Adjacency::DataCentre => {
            a.place.region == b.place.region && a.place.data_centre == b.place.data_centre
        }
        Adjacency::Region => a.place.region == b.place.region,
        Adjacency::Any => true,
    }
}

fn fill(
    fleet: &Fleet,
    free: &[Resources],
    shape: &Shape,
    window: std::ops::Range<usize>,
) -> Option<Vec<Member>> {
    let per_task = shape.per_task();
    let mut left = shape.tasks;
    let mut members = Vec::new();
    for index in window {
        let tasks = free[index].times(per_task).min(left);
        if tasks == 0 {
            continue;
        }
        let worker = &fleet.workers[index];
        members.push(Member {
            agent: worker.agent.clone(),
            worker: worker.id.clone(),
            tasks,
            per_task,
        });
        left -= tasks;
        if left == 0 {
            return Some(members);
        }
    }
    None
}
