//! An independent check that every guarantee can be reclaimed.
//!
//! It is weaker than the rule of the decision code on purpose: whatever it reports is a violation under any reading of
//! the rule.

use board::{Board, Fleet, Queue};
use indexmap::IndexMap;
use model::{AccountId, Document, JobId, Member, Request, Resources, Shape};

use crate::trace::Submit;
use crate::windows::windows;

/// Steps of the search before the check gives up; the guarantees of a generated trace of ten workers need fewer.
const PACKING_BUDGET: u32 = 200_000;

/// Whether a set of shapes can be packed at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Packing {
    Fits,
    DoesNotFit,
    /// The budget ended first.
    Undecided,
}

/// Returns whether all guarantees pack on capacity that is free, held by work that can be stopped or restarted, or held by
/// uninterruptible work of the same account.
pub(crate) fn reclaimable(fleet: &Fleet, queue: &Queue, document: &Document) -> Packing {
    let mut room = Room::idle(fleet);
    for (job, members) in gangs(fleet) {
        let Some(request) = request(queue, job).filter(|request| !request.is_preemptible()) else {
            continue;
        };
        for member in members {
            if let Some(index) = fleet.workers.get_index_of(&member.worker) {
                room.occupy(index, &request.account, member.total());
            }
        }
    }
    pack(fleet, room, &shapes(document))
}

/// Returns whether all guarantees pack on the idle fleet.
pub(crate) fn satisfiable(fleet: &Fleet, document: &Document) -> Packing {
    pack(fleet, Room::idle(fleet), &shapes(document))
}

/// Returns whether the guarantee of the account covers a job beside all its other jobs.
pub(crate) fn covered(board: &Board, submit: &Submit) -> bool {
    let config = board.config.load();
    let Some(account) = config.document.accounts.get(&submit.account) else {
        return false;
    };
    let need = submit.shape.total().accelerators;
    let one_holds = account.guarantees.iter().any(|guarantee| {
        guarantee.adjacency <= submit.shape.adjacency && guarantee.total().accelerators >= need
    });
    let total: u32 = account
        .guarantees
        .iter()
        .map(|guarantee| guarantee.total().accelerators)
        .sum();
    one_holds && need > 0 && demand(&board.queue.load(), &submit.account) + need <= total
}

/// Returns the accelerators of all jobs of an account that wait or run.
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

/// Capacity by worker: what no uninterruptible work holds, and what such work of each account holds.
///
/// A guarantee may lie over uninterruptible work of its own account, because that work uses the guarantee.
struct Room {
    free: Vec<Resources>,
    own: IndexMap<AccountId, Vec<Resources>>,
}

impl Room {
    fn idle(fleet: &Fleet) -> Self {
        Self {
            free: fleet.workers.values().map(|w| w.capacity).collect(),
            own: IndexMap::new(),
        }
    }

    fn occupy(&mut self, worker: usize, account: &AccountId, amount: Resources) {
        self.free[worker] = self.free[worker].saturating_sub(amount);
        let none = || vec![Resources::default(); self.free.len()];
        let own = self.own.entry(account.clone()).or_insert_with(none);
        own[worker] = own[worker].saturating_add(amount);
    }

    fn own(&self, worker: usize, account: &AccountId) -> Resources {
        let own = self.own.get(account);
        own.map_or(Resources::default(), |own| own[worker])
    }

    /// Returns how many tasks of a guarantee a worker holds.
    fn tasks(&self, worker: usize, account: &AccountId, shape: &Shape) -> u32 {
        let room = self.free[worker].saturating_add(self.own(worker, account));
        room.fit_count(shape.per_task()).min(shape.tasks)
    }

    /// Returns what a worker has free and what work of the account holds there.
    fn at(&self, worker: usize, account: &AccountId) -> (Resources, Resources) {
        (self.free[worker], self.own(worker, account))
    }

    fn restore(&mut self, worker: usize, account: &AccountId, (free, own): (Resources, Resources)) {
        self.free[worker] = free;
        if let Some(all) = self.own.get_mut(account) {
            all[worker] = own;
        }
    }

    /// Takes the capacity of a guarantee, first where work of its account stands.
    fn take(&mut self, worker: usize, account: &AccountId, amount: Resources) {
        let within = self.own(worker, account).min(amount);
        if let Some(own) = self.own.get_mut(account) {
            own[worker] = own[worker].saturating_sub(within);
        }
        let rest = amount.saturating_sub(within);
        self.free[worker] = self.free[worker].saturating_sub(rest);
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
fn shapes(document: &Document) -> Vec<(&AccountId, &Shape)> {
    let accounts = document.accounts.iter();
    let mut shapes: Vec<_> = accounts
        .flat_map(|(id, account)| account.guarantees.iter().map(move |shape| (id, shape)))
        .collect();
    shapes.sort_by_key(|(_, shape)| std::cmp::Reverse(shape.total().accelerators));
    shapes
}

fn pack(fleet: &Fleet, room: Room, shapes: &[(&AccountId, &Shape)]) -> Packing {
    let mut search = Search {
        fleet,
        room,
        budget: PACKING_BUDGET,
    };
    if search.pack(shapes) {
        Packing::Fits
    } else if search.budget == 0 {
        Packing::Undecided
    } else {
        Packing::DoesNotFit
    }
}

/// A search through all ways to distribute the tasks of the guarantees over the workers.
struct Search<'a> {
    fleet: &'a Fleet,
    room: Room,
    budget: u32,
}

impl Search<'_> {
    fn pack(&mut self, shapes: &[(&AccountId, &Shape)]) -> bool {
        let Some(((account, shape), rest)) = shapes.split_first() else {
            return true;
        };
        windows(self.fleet, shape.adjacency)
            .into_iter()
            .any(|window| {
                let tasks = |worker| u64::from(self.room.tasks(worker, account, shape));
                if window.clone().map(tasks).sum::<u64>() < u64::from(shape.tasks) {
                    return false;
                }
                let order = order(&self.room, window, account);
                self.distribute((account, shape), shape.tasks, &order, rest)
            })
    }

    /// Places `tasks` tasks of a guarantee on the workers in `order`, then the guarantees in `rest`.
    fn distribute(
        &mut self,
        guarantee: (&AccountId, &Shape),
        tasks: u32,
        order: &[usize],
        rest: &[(&AccountId, &Shape)],
    ) -> bool {
        if tasks == 0 {
            return self.pack(rest);
        }
        let Some((worker, others)) = order.split_first() else {
            return false;
        };
        let (account, shape) = guarantee;
        let most = self.room.tasks(*worker, account, shape).min(tasks);
        for here in (0..=most).rev() {
            if self.budget == 0 {
                return false;
            }
            self.budget -= 1;
            let before = self.room.at(*worker, account);
            self.room
                .take(*worker, account, shape.per_task().saturating_mul(here));
            if self.distribute(guarantee, tasks - here, others, rest) {
                return true;
            }
            self.room.restore(*worker, account, before);
        }
        false
    }
}

/// Returns the workers of a window, those with work of the account first, then the fullest.
fn order(room: &Room, window: std::ops::Range<usize>, account: &AccountId) -> Vec<usize> {
    let mut order: Vec<usize> = window.collect();
    order.sort_by_key(|worker| {
        let unused = room.own(*worker, account) == Resources::default();
        (unused, room.free[*worker].accelerators)
    });
    order
}
