//! Windows of adjacent workers: ranges of workers in the same rack, data centre or region.

use std::ops::Range;

use board::Fleet;
use model::{Adjacency, Resources, Shape, Worker};

/// Returns the largest windows that an adjacency allows; this relies on the workers of a fleet being sorted by place.
pub(crate) fn windows(fleet: &Fleet, level: Adjacency) -> Vec<Range<usize>> {
    let count = fleet.workers.len();
    let mut windows = Vec::new();
    let mut start = 0;
    for end in 1..=count {
        if end == count || !adjacent(&fleet.workers[start], &fleet.workers[end], level) {
            windows.push(start..end);
            start = end;
        }
    }
    windows
}

/// Returns whether tasks of the same gang may run on two workers.
pub(crate) fn adjacent(a: &Worker, b: &Worker, level: Adjacency) -> bool {
    let (a, b) = (&a.location, &b.location);
    match level {
        Adjacency::Worker => false,
        Adjacency::Rack => a == b,
        Adjacency::DataCentre => a.region == b.region && a.data_centre == b.data_centre,
        Adjacency::Region => a.region == b.region,
        Adjacency::Any => true,
    }
}

/// Returns how many tasks of a shape fit in a window.
pub(crate) fn task_capacity(free: &[Resources], shape: &Shape) -> u32 {
    let per_task = shape.per_task();
    free.iter().fold(0, |sum: u32, free| {
        sum.saturating_add(free.fit_count(per_task).min(Shape::MAX_TASKS))
    })
}
