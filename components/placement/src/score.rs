//! Best-fit choice among the windows that hold a gang.

use model::{Adjacency, Policy, Resources, Shape};

use crate::fit::{fill, slots};
use crate::layout::{LEVELS, Layout, Spots};

/// Weight of the unused remainder against a whole lost window; it only decides between windows of equal loss.
const REMAINDER_WEIGHT: f64 = 0.01;

/// What a placement is scored by.
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

struct Search<'a> {
    layout: &'a Layout,
    room: &'a [(usize, Resources)],
    shape: &'a Shape,
    slots: Vec<u32>,
    weights: &'a Weights,
    /// How many tasks of the large shape each part of the hierarchy holds.
    large_slots: Vec<u64>,
}

/// Returns the best window of the lowest adjacency level that holds a gang.
pub(crate) fn best_fit(
    layout: &Layout,
    room: &[(usize, Resources)],
    shape: &Shape,
    weights: &Weights,
) -> Option<Spots> {
    let slots = slots(room, shape);
    if slots.iter().map(|n| u64::from(*n)).sum::<u64>() < u64::from(shape.tasks) {
        return None;
    }
    let large_slots = large_slots(layout, room, weights.large.as_ref());
    let search = Search {
        layout,
        room,
        shape,
        slots,
        weights,
        large_slots,
    };
    LEVELS
        .into_iter()
        .filter(|level| *level <= shape.adjacency)
        .find_map(|level| search.at_level(level))
}

fn large_slots(layout: &Layout, room: &[(usize, Resources)], large: Option<&Shape>) -> Vec<u64> {
    let Some(large) = large else {
        return Vec::new();
    };
    let mut sums = Vec::new();
    for (worker, free) in room {
        let part = layout.part(*worker, large.adjacency);
        if sums.len() <= part {
            sums.resize(part + 1, 0);
        }
        sums[part] += u64::from(large_tasks(*free, large));
    }
    sums
}

/// Returns how many tasks of the large shape fit; a worker may hold several whole windows of it.
fn large_tasks(free: Resources, large: &Shape) -> u32 {
    free.times(large.per_task())
}

impl Search<'_> {
    fn at_level(&self, level: Adjacency) -> Option<Spots> {
        let mut best: Option<(f64, Spots)> = None;
        for window in self.layout.windows(self.room, level) {
            let sum: u64 = self.slots[window.clone()]
                .iter()
                .map(|n| u64::from(*n))
                .sum();
            if sum < u64::from(self.shape.tasks) {
                continue;
            }
            for spots in self.candidates(window) {
                let score = self.score(&spots);
                if best.as_ref().is_none_or(|(lowest, _)| score < *lowest) {
                    best = Some((score, spots));
                }
            }
        }
        best.map(|(_, spots)| spots)
    }

    /// Fills a window once from its fullest and once from its emptiest workers.
    fn candidates(&self, window: std::ops::Range<usize>) -> impl Iterator<Item = Spots> {
        let single = window.len() == 1;
        let mut order: Vec<usize> = window.filter(|index| self.slots[*index] > 0).collect();
        if !single {
            order.sort_by_cached_key(|index| (self.stranded_by_one(*index), self.slots[*index]));
        }
        let tasks = self.shape.tasks;
        let rising = fill(self.room, &self.slots, order.iter().copied(), tasks);
        let falling = if single {
            None
        } else {
            order.sort_by_key(|index| std::cmp::Reverse(self.slots[*index]));
            fill(self.room, &self.slots, order, tasks)
        };
        rising.into_iter().chain(falling)
    }

    fn stranded_by_one(&self, index: usize) -> u32 {
        let (worker, free) = self.room[index];
        self.stranded(worker, free, self.shape.per_task())
    }

    /// Returns the idle accelerators that lose their share of processors and memory.
    fn stranded(&self, worker: usize, free: Resources, taken: Resources) -> u32 {
        let before = self.layout.usable(worker, free);
        let after = self.layout.usable(worker, free.saturating_minus(taken));
        before.saturating_sub(after + taken.accelerators)
    }

    fn score(&self, spots: &[(usize, u32)]) -> f64 {
        let per_task = self.shape.per_task();
        let (mut stranded, mut remainder, mut lost) = (0, 0, 0);
        let mut part = None;
        for (worker, tasks) in spots {
            let at = self
                .room
                .binary_search_by_key(worker, |(worker, _)| *worker)
                .unwrap_or_default();
            let free = self.room[at].1;
            let taken = per_task.scaled(*tasks);
            let after = free.saturating_minus(taken);
            stranded += self.stranded(*worker, free, taken);
            remainder += after.accelerators;
            if let Some(large) = &self.weights.large {
                lost += large_tasks(free, large) - large_tasks(after, large);
                part.get_or_insert_with(|| self.layout.part(*worker, large.adjacency));
            }
        }
        let tasks = f64::from(self.shape.tasks);
        let fragmentation = self.lost_windows(part, u64::from(lost))
            + f64::from(stranded)
            + f64::from(remainder) * REMAINDER_WEIGHT;
        #[expect(clippy::cast_precision_loss, reason = "a gang has at most 128 members")]
        let spread = spots.len() as f64 / tasks;
        self.weights.fragmentation * fragmentation + self.weights.completion * spread
    }

    /// Returns how many whole large windows a part of the hierarchy loses with the given tasks.
    #[expect(
        clippy::cast_precision_loss,
        reason = "the counts stay far below the mantissa"
    )]
    fn lost_windows(&self, part: Option<usize>, lost: u64) -> f64 {
        let (Some(part), Some(large)) = (part, self.weights.large) else {
            return 0.0;
        };
        let tasks = u64::from(large.tasks.max(1));
        let before = self.large_slots[part];
        let whole = before / tasks - before.saturating_sub(lost) / tasks;
        whole as f64 + REMAINDER_WEIGHT * lost as f64 / tasks as f64
    }
}
