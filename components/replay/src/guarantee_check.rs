//! An independent check that all guarantees can be reclaimed.
//!
//! The check is deliberately weaker than the rule of the decision code, so that everything it reports is a violation
//! under any interpretation of the rule.

use board::{Board, Fleet, Queue};
use indexmap::IndexMap;
use model::{AccountId, Document, JobId, Member, Request, Resources, Shape};

use crate::trace::Submit;
use crate::windows::windows;

/// Maximum number of search steps; the guarantees of a generated trace with ten workers need fewer.
const MAX_SEARCH_STEPS: u32 = 200_000;

/// Whether a set of shapes can be packed on the fleet at the same time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Packing {
    Fits,
    DoesNotFit,
    /// The search reached its step limit.
    Undecided,
}

/// Returns whether all guarantees can be packed on capacity that is free, used by work that may be stopped and run
/// again, or used by uninterruptible work of the same account.
pub(crate) fn reclaimable(fleet: &Fleet, queue: &Queue, document: &Document) -> Packing {
    let mut capacity = Capacity::idle(fleet);
    for (job, members) in gangs(fleet) {
        let Some(request) = request(queue, job).filter(|request| !request.is_preemptible()) else {
            continue;
        };
        for member in members {
            if let Some(index) = fleet.workers.get_index_of(&member.worker) {
                capacity.occupy(index, &request.account, member.total());
            }
        }
    }
    pack(fleet, capacity, &guaranteed_shapes(document))
}

/// Returns whether all guarantees can be packed on the idle fleet.
pub(crate) fn satisfiable(fleet: &Fleet, document: &Document) -> Packing {
    pack(fleet, Capacity::idle(fleet), &guaranteed_shapes(document))
}

/// Returns whether the guarantees of the account cover a job in addition to all its other jobs.
pub(crate) fn covered(board: &Board, submit: &Submit) -> bool {
    let config = board.config.load();
    let Some(account) = config.document.accounts.get(&submit.account) else {
        return false;
    };
    let required = submit.shape.total().accelerators;
    let fits_one = account.guarantees.iter().any(|guarantee| {
        guarantee.adjacency <= submit.shape.adjacency && guarantee.total().accelerators >= required
    });
    let total: u32 = account
        .guarantees
        .iter()
        .map(|guarantee| guarantee.total().accelerators)
        .sum();
    fits_one && required > 0 && demand(&board.queue.load(), &submit.account) + required <= total
}

/// Returns the number of accelerators that the waiting and running jobs of an account require.
fn demand(queue: &Queue, account: &AccountId) -> u32 {
    let queued = queue.queued.values().map(|job| &job.request);
    let placed = queue.placed.values().map(|job| &job.request);
    let active = queue.active.values().map(|job| &job.request);
    queued
        .chain(placed)
        .chain(active)
        .filter(|request| request.account == *account)
        .filter_map(|request| request.shape)
        .map(|shape| shape.total().accelerators)
        .sum()
}

/// For each worker, the capacity that uninterruptible work does not use, and the capacity that it uses by account.
///
/// A guarantee may be packed on capacity that uninterruptible work of its own account uses, because that work uses the
/// guarantee.
struct Capacity {
    free: Vec<Resources>,
    used: IndexMap<AccountId, Vec<Resources>>,
}

impl Capacity {
    fn idle(fleet: &Fleet) -> Self {
        Self {
            free: fleet.workers.values().map(|w| w.capacity).collect(),
            used: IndexMap::new(),
        }
    }

    /// Marks capacity as used by uninterruptible work.
    fn occupy(&mut self, worker: usize, account: &AccountId, amount: Resources) {
        self.free[worker] = self.free[worker].saturating_sub(amount);
        let unused = || vec![Resources::default(); self.free.len()];
        let used = self.used.entry(account.clone()).or_insert_with(unused);
        used[worker] = used[worker].saturating_add(amount);
    }

    fn used_by(&self, worker: usize, account: &AccountId) -> Resources {
        let used = self.used.get(account);
        used.map_or(Resources::default(), |used| used[worker])
    }

    /// Returns how many tasks of a guarantee fit on a worker.
    fn task_capacity(&self, worker: usize, account: &AccountId, shape: &Shape) -> u32 {
        let available = self.free[worker].saturating_add(self.used_by(worker, account));
        available.fit_count(shape.per_task()).min(shape.tasks)
    }

    /// Returns the free capacity of a worker and the capacity that the account uses there, for [`Self::restore`].
    fn snapshot(&self, worker: usize, account: &AccountId) -> (Resources, Resources) {
        (self.free[worker], self.used_by(worker, account))
    }

    fn restore(
        &mut self,
        worker: usize,
        account: &AccountId,
        (free, used): (Resources, Resources),
    ) {
        self.free[worker] = free;
        if let Some(all) = self.used.get_mut(account) {
            all[worker] = used;
        }
    }

    /// Allocates capacity to a guarantee, first from the capacity that its account already uses.
    fn allocate(&mut self, worker: usize, account: &AccountId, amount: Resources) {
        let from_used = self.used_by(worker, account).min(amount);
        if let Some(used) = self.used.get_mut(account) {
            used[worker] = used[worker].saturating_sub(from_used);
        }
        let from_free = amount.saturating_sub(from_used);
        self.free[worker] = self.free[worker].saturating_sub(from_free);
    }
}

fn gangs(fleet: &Fleet) -> impl Iterator<Item = (JobId, &[Member])> {
    let planned = fleet.planned.values().map(|g| (g.job, &g.members[..]));
    let running = fleet.running.values().map(|g| (g.job, &g.members[..]));
    planned.chain(running)
}

fn request(queue: &Queue, job: JobId) -> Option<&Request> {
    let placed = queue.placed.get(&job).map(|job| &*job.request);
    placed.or_else(|| queue.active.get(&job).map(|job| &*job.request))
}

/// Returns the guaranteed shapes, largest first.
fn guaranteed_shapes(document: &Document) -> Vec<(&AccountId, &Shape)> {
    let accounts = document.accounts.iter();
    let mut shapes: Vec<_> = accounts
        .flat_map(|(id, account)| account.guarantees.iter().map(move |shape| (id, shape)))
        .collect();
    shapes.sort_by_key(|(_, shape)| std::cmp::Reverse(shape.total().accelerators));
    shapes
}

fn pack(fleet: &Fleet, capacity: Capacity, shapes: &[(&AccountId, &Shape)]) -> Packing {
    let mut search = PackingSearch {
        fleet,
        capacity,
        steps_left: MAX_SEARCH_STEPS,
    };
    if search.pack(shapes) {
        Packing::Fits
    } else if search.steps_left == 0 {
        Packing::Undecided
    } else {
        Packing::DoesNotFit
    }
}

/// An exhaustive search over the ways to distribute the tasks of the guarantees over the workers.
struct PackingSearch<'a> {
    fleet: &'a Fleet,
    capacity: Capacity,
    steps_left: u32,
}

impl PackingSearch<'_> {
    fn pack(&mut self, shapes: &[(&AccountId, &Shape)]) -> bool {
        let Some(((account, shape), rest)) = shapes.split_first() else {
            return true;
        };
        windows(self.fleet, shape.adjacency)
            .into_iter()
            .any(|window| {
                let tasks = |worker| u64::from(self.capacity.task_capacity(worker, account, shape));
                if window.clone().map(tasks).sum::<u64>() < u64::from(shape.tasks) {
                    return false;
                }
                let workers = search_order(&self.capacity, window, account);
                self.distribute((account, shape), shape.tasks, &workers, rest)
            })
    }

    /// Places `tasks` tasks of a guarantee on `workers`, then the guarantees in `rest`.
    fn distribute(
        &mut self,
        guarantee: (&AccountId, &Shape),
        tasks: u32,
        workers: &[usize],
        rest: &[(&AccountId, &Shape)],
    ) -> bool {
        if tasks == 0 {
            return self.pack(rest);
        }
        let Some((worker, other_workers)) = workers.split_first() else {
            return false;
        };
        let (account, shape) = guarantee;
        let max_tasks = self
            .capacity
            .task_capacity(*worker, account, shape)
            .min(tasks);
        for placed in (0..=max_tasks).rev() {
            if self.steps_left == 0 {
                return false;
            }
            self.steps_left -= 1;
            let before = self.capacity.snapshot(*worker, account);
            self.capacity
                .allocate(*worker, account, shape.per_task().saturating_mul(placed));
            if self.distribute(guarantee, tasks - placed, other_workers, rest) {
                return true;
            }
            self.capacity.restore(*worker, account, before);
        }
        false
    }
}

/// Returns the workers of a window: those with work of the account first, then by increasing free accelerators.
fn search_order(
    capacity: &Capacity,
    window: std::ops::Range<usize>,
    account: &AccountId,
) -> Vec<usize> {
    let mut workers: Vec<usize> = window.collect();
    workers.sort_by_key(|worker| {
        let unused = capacity.used_by(*worker, account) == Resources::default();
        (unused, capacity.free[*worker].accelerators)
    });
    workers
}
