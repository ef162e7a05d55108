//! Numbers the topology domains of workers, so that searches compare no strings.

use board::Fleet;
use model::{Adjacency, Resources, Worker};

/// Resources by worker index, in ascending order of the index.
pub(crate) type WorkerResources = Vec<(usize, Resources)>;
/// Tasks by worker index.
pub(crate) type Assignment = Vec<(usize, u32)>;

/// The adjacency levels, narrowest first.
pub(crate) const ADJACENCY_LEVELS: [Adjacency; 5] = [
    Adjacency::Worker,
    Adjacency::Rack,
    Adjacency::DataCentre,
    Adjacency::Region,
    Adjacency::Any,
];

/// The topology domains of each worker and its share of processors and memory for each accelerator.
pub(crate) struct Topology {
    /// The region, data centre and rack of each worker.
    domains: Vec<[u32; 3]>,
    per_accelerator: Vec<Resources>,
}

impl Topology {
    /// Numbers the domains of a fleet, whose workers are sorted by location.
    pub(crate) fn new(fleet: &Fleet) -> Self {
        let mut domains = Vec::with_capacity(fleet.workers.len());
        let mut per_accelerator = Vec::with_capacity(fleet.workers.len());
        let mut current = [0; 3];
        let mut previous: Option<&Worker> = None;
        for worker in fleet.workers.values() {
            if let Some(previous) = previous {
                for number in &mut current[first_different_level(previous, worker)..] {
                    *number += 1;
                }
            }
            previous = Some(worker);
            domains.push(current);
            per_accelerator.push(per_accelerator_share(worker.capacity));
        }
        Self {
            domains,
            per_accelerator,
        }
    }

    /// Returns the number of the domain at a level that contains the worker.
    pub(crate) fn domain(&self, worker: usize, level: Adjacency) -> usize {
        match level {
            Adjacency::Worker => worker,
            Adjacency::Rack => self.domains[worker][2] as usize,
            Adjacency::DataCentre => self.domains[worker][1] as usize,
            Adjacency::Region => self.domains[worker][0] as usize,
            Adjacency::Any => 0,
        }
    }

    /// Returns the ranges of `resources` whose workers share a domain at a level.
    pub(crate) fn domain_ranges<'a>(
        &'a self,
        resources: &'a [(usize, Resources)],
        level: Adjacency,
    ) -> impl Iterator<Item = std::ops::Range<usize>> + 'a {
        let mut start = 0;
        std::iter::from_fn(move || {
            let domain = self.domain(resources.get(start)?.0, level);
            let same = resources[start..]
                .iter()
                .take_while(|(worker, _)| self.domain(*worker, level) == domain);
            let range = start..start + same.count();
            start = range.end;
            Some(range)
        })
    }

    /// Returns how many free accelerators of a worker still have their share of processors and memory.
    pub(crate) fn usable_accelerators(&self, worker: usize, free: Resources) -> u32 {
        if free.accelerators == 0 {
            return 0;
        }
        free.fit_count(self.per_accelerator[worker])
    }
}

/// Returns the index of the widest level at which two workers are in different domains, or 3 if they share a rack.
fn first_different_level(a: &Worker, b: &Worker) -> usize {
    if a.location.region != b.location.region {
        0
    } else if a.location.data_centre != b.location.data_centre {
        1
    } else if a.location.rack != b.location.rack {
        2
    } else {
        3
    }
}

fn per_accelerator_share(capacity: Resources) -> Resources {
    let count = capacity.accelerators.max(1);
    Resources {
        accelerators: 1,
        cores: capacity.cores / count,
        memory_mb: capacity.memory_mb / count,
    }
}

/// Returns the full capacity of all workers.
pub(crate) fn idle_capacity(fleet: &Fleet) -> WorkerResources {
    fleet
        .workers
        .values()
        .map(|w| w.capacity)
        .enumerate()
        .collect()
}

/// Returns the resources that an assignment takes from each worker.
pub(crate) fn assigned_resources(
    assignment: &[(usize, u32)],
    per_task: Resources,
) -> WorkerResources {
    assignment
        .iter()
        .map(|(worker, tasks)| (*worker, per_task.saturating_mul(*tasks)))
        .collect()
}
