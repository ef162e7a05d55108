//! Best-fit assignment of a gang to the topology domain with the lowest score.

use model::{Adjacency, Policy, Resources, Shape};

use crate::fit::{fill, slots};
use crate::topology::{ADJACENCY_LEVELS, Assignment, Topology};

/// Weight of an accelerator that stays free on the workers of an assignment, and of the fraction of a large gang that
/// no longer fits. A stranded accelerator and a whole large gang have weight 1.
///
/// The weight is small because it should decide only between assignments that are otherwise equal; more than 100 free
/// accelerators outweigh a large gang, though.
const REMAINDER_WEIGHT: f64 = 0.01;

/// Weights of the policy, and the large shape for which capacity is to remain.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Weights {
    fragmentation: f64,
    completion: f64,
    /// The largest guaranteed or queued shape.
    large: Option<Shape>,
}

impl Weights {
    pub(crate) fn new(policy: &Policy, large: Option<Shape>) -> Self {
        Self {
            fragmentation: policy.fragmentation_weight,
            completion: policy.completion_weight,
            large,
        }
    }
}

struct BestFitSearch<'a> {
    topology: &'a Topology,
    available: &'a [(usize, Resources)],
    shape: &'a Shape,
    slots: Vec<u32>,
    weights: &'a Weights,
    /// Task slots of the large shape in each topology domain of its adjacency level.
    large_slots: Vec<u64>,
}

/// Returns the assignment with the lowest score at the narrowest adjacency level at which a gang fits.
pub(crate) fn best_fit(
    topology: &Topology,
    available: &[(usize, Resources)],
    shape: &Shape,
    weights: &Weights,
) -> Option<Assignment> {
    let slots = slots(available, shape);
    if slots.iter().map(|n| u64::from(*n)).sum::<u64>() < u64::from(shape.tasks) {
        return None;
    }
    let large_slots = large_slots(topology, available, weights.large.as_ref());
    let search = BestFitSearch {
        topology,
        available,
        shape,
        slots,
        weights,
        large_slots,
    };
    ADJACENCY_LEVELS
        .into_iter()
        .filter(|level| *level <= shape.adjacency)
        .find_map(|level| search.at_level(level))
}

fn large_slots(
    topology: &Topology,
    available: &[(usize, Resources)],
    large: Option<&Shape>,
) -> Vec<u64> {
    let Some(large) = large else {
        return Vec::new();
    };
    let mut sums = Vec::new();
    for (worker, free) in available {
        let domain = topology.domain(*worker, large.adjacency);
        if sums.len() <= domain {
            sums.resize(domain + 1, 0);
        }
        sums[domain] += u64::from(large_tasks(*free, large));
    }
    sums
}

/// Returns the task slots of the large shape on a worker. The number is not limited to one gang, since several may fit.
fn large_tasks(free: Resources, large: &Shape) -> u32 {
    free.fit_count(large.per_task())
}

impl BestFitSearch<'_> {
    fn at_level(&self, level: Adjacency) -> Option<Assignment> {
        let mut best: Option<(f64, Assignment)> = None;
        for range in self.topology.domain_ranges(self.available, level) {
            let sum: u64 = self.slots[range.clone()]
                .iter()
                .map(|n| u64::from(*n))
                .sum();
            if sum < u64::from(self.shape.tasks) {
                continue;
            }
            for assignment in self.candidates(range) {
                let score = self.score(&assignment);
                if best.as_ref().is_none_or(|(lowest, _)| score < *lowest) {
                    best = Some((score, assignment));
                }
            }
        }
        best.map(|(_, assignment)| assignment)
    }

    /// Returns assignments within a range of workers: one fills the workers first on which a task strands the fewest
    /// accelerators and that have the fewest task slots, the other those with the most task slots.
    fn candidates(&self, range: std::ops::Range<usize>) -> impl Iterator<Item = Assignment> {
        let is_single = range.len() == 1;
        let mut order: Vec<usize> = range.filter(|index| self.slots[*index] > 0).collect();
        if !is_single {
            order.sort_by_cached_key(|index| (self.stranded_by_one(*index), self.slots[*index]));
        }
        let tasks = self.shape.tasks;
        let fewest_slots_first = fill(self.available, &self.slots, order.iter().copied(), tasks);
        let most_slots_first = if is_single {
            None
        } else {
            order.sort_by_key(|index| std::cmp::Reverse(self.slots[*index]));
            fill(self.available, &self.slots, order, tasks)
        };
        fewest_slots_first.into_iter().chain(most_slots_first)
    }

    /// Returns the accelerators that one task strands on a worker.
    fn stranded_by_one(&self, index: usize) -> u32 {
        let (worker, free) = self.available[index];
        self.stranded(worker, free, self.shape.per_task())
    }

    /// Returns how many free accelerators a gang strands on a worker: it does not use them, but takes the share of
    /// cores and memory without which other tasks cannot use them.
    fn stranded(&self, worker: usize, free: Resources, taken: Resources) -> u32 {
        let before = self.topology.usable_accelerators(worker, free);
        let after = self
            .topology
            .usable_accelerators(worker, free.saturating_sub(taken));
        before.saturating_sub(after + taken.accelerators)
    }

    /// Returns the weighted sum of fragmentation and spread. The spread is the number of workers per task and stands
    /// for the completion time: a gang on fewer workers is expected to finish sooner.
    fn score(&self, assignment: &[(usize, u32)]) -> f64 {
        let per_task = self.shape.per_task();
        let (mut stranded, mut remainder, mut large_slots) = (0, 0, 0);
        let mut domain = None;
        for (worker, tasks) in assignment {
            let position = self
                .available
                .binary_search_by_key(worker, |(worker, _)| *worker)
                .unwrap_or_default();
            let free = self.available[position].1;
            let taken = per_task.saturating_mul(*tasks);
            let after = free.saturating_sub(taken);
            stranded += self.stranded(*worker, free, taken);
            remainder += after.accelerators;
            if let Some(large) = &self.weights.large {
                large_slots += large_tasks(free, large) - large_tasks(after, large);
                domain.get_or_insert_with(|| self.topology.domain(*worker, large.adjacency));
            }
        }
        let tasks = f64::from(self.shape.tasks);
        let fragmentation = self.displaced_large_gangs(domain, u64::from(large_slots))
            + f64::from(stranded)
            + f64::from(remainder) * REMAINDER_WEIGHT;
        #[expect(clippy::cast_precision_loss, reason = "a gang has at most 128 members")]
        let spread = assignment.len() as f64 / tasks;
        self.weights.fragmentation * fragmentation + self.weights.completion * spread
    }

    /// Returns how many gangs of the large shape no longer fit in a domain that loses the given number of task slots,
    /// with a small weight for the fraction of a gang.
    #[expect(clippy::cast_precision_loss, reason = "the counts are far below 2^52")]
    fn displaced_large_gangs(&self, domain: Option<usize>, slots: u64) -> f64 {
        let (Some(domain), Some(large)) = (domain, self.weights.large) else {
            return 0.0;
        };
        let tasks = u64::from(large.tasks.max(1));
        let before = self.large_slots[domain];
        let gangs = before / tasks - before.saturating_sub(slots) / tasks;
        gangs as f64 + REMAINDER_WEIGHT * slots as f64 / tasks as f64
    }
}
