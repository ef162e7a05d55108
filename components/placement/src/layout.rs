//! Numbers for the parts of the hierarchy that workers stand in, so that searches compare no text.

use board::Fleet;
use model::{Adjacency, Resources, Worker};

/// Resources by worker index, in rising order.
pub(crate) type Room = Vec<(usize, Resources)>;
/// Tasks by worker index.
pub(crate) type Spots = Vec<(usize, u32)>;

/// The levels of the hierarchy, narrowest first.
pub(crate) const LEVELS: [Adjacency; 5] = [
    Adjacency::Worker,
    Adjacency::Rack,
    Adjacency::DataCentre,
    Adjacency::Region,
    Adjacency::Any,
];

/// For each worker, the parts of the hierarchy it stands in and its share of processors for each accelerator.
pub(crate) struct Layout {
    parts: Vec<[u32; 3]>,
    shares: Vec<Resources>,
}

impl Layout {
    /// Numbers the parts of a fleet whose workers are sorted by place.
    pub(crate) fn of(fleet: &Fleet) -> Self {
        let mut parts = Vec::with_capacity(fleet.workers.len());
        let mut shares = Vec::with_capacity(fleet.workers.len());
        let mut current = [0; 3];
        let mut previous: Option<&Worker> = None;
        for worker in fleet.workers.values() {
            if let Some(previous) = previous {
                for number in &mut current[first_difference(previous, worker)..] {
                    *number += 1;
                }
            }
            previous = Some(worker);
            parts.push(current);
            shares.push(share(worker.capacity));
        }
        Self { parts, shares }
    }

    /// Returns the number of the part at a level that holds the worker.
    pub(crate) fn part(&self, worker: usize, level: Adjacency) -> usize {
        match level {
            Adjacency::Worker => worker,
            Adjacency::Rack => self.parts[worker][2] as usize,
            Adjacency::DataCentre => self.parts[worker][1] as usize,
            Adjacency::Region => self.parts[worker][0] as usize,
            Adjacency::Any => 0,
        }
    }

    /// Returns the ranges of `room` whose workers share a part at a level.
    pub(crate) fn windows<'a>(
        &'a self,
        room: &'a [(usize, Resources)],
        level: Adjacency,
    ) -> impl Iterator<Item = std::ops::Range<usize>> + 'a {
        let mut start = 0;
        std::iter::from_fn(move || {
            let part = self.part(room.get(start)?.0, level);
            let same = room[start..]
                .iter()
                .take_while(|(worker, _)| self.part(*worker, level) == part);
            let range = start..start + same.count();
            start = range.end;
            Some(range)
        })
    }

    /// Returns how many idle accelerators of a worker still have their share of processors and memory.
    pub(crate) fn usable(&self, worker: usize, free: Resources) -> u32 {
        if free.accelerators == 0 {
            return 0;
        }
        free.times(self.shares[worker])
    }
}

fn first_difference(a: &Worker, b: &Worker) -> usize {
    if a.place.region != b.place.region {
        0
    } else if a.place.data_centre != b.place.data_centre {
        1
    } else if a.place.rack != b.place.rack {
        2
    } else {
        3
    }
}

fn share(capacity: Resources) -> Resources {
    let count = capacity.accelerators.max(1);
    Resources {
        accelerators: 1,
        cores: capacity.cores / count,
        memory_mb: capacity.memory_mb / count,
    }
}

/// Returns the idle capacity of all workers.
pub(crate) fn idle(fleet: &Fleet) -> Room {
    fleet
        .workers
        .values()
        .map(|w| w.capacity)
        .enumerate()
        .collect()
}

/// Returns what the tasks take from each worker.
pub(crate) fn amounts(spots: &[(usize, u32)], per_task: Resources) -> Room {
    spots
        .iter()
        .map(|(worker, tasks)| (*worker, per_task.scaled(*tasks)))
        .collect()
}
