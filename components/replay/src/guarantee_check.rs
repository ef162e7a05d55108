//! An independent check that every guarantee can be reclaimed.
//!
//! It is weaker than the rule of the decision code on purpose: whatever it reports is a violation under any reading of
//! the rule.

use board::{Board, Fleet, Queue};
use model::{AccountId, Document, JobId, Member, Request, Resources, Shape};

use crate::trace::Submit;
use crate::windows::{task_room, windows};

/// Partial packings tried before the check gives up.
const PACKING_BUDGET: u32 = 10_000;

/// Whether a set of shapes can be packed at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Packing {
    Fits,
    DoesNotFit,
    /// The budget ended first.
    Undecided,
}

/// Returns whether all guarantees pack on capacity that is free or held by work that can be stopped or restarted.
pub(crate) fn reclaimable(fleet: &Fleet, queue: &Queue, document: &Document) -> Packing {
    let mut room = capacities(fleet);
    let mut fixed: Vec<(AccountId, u32)> = Vec::new();
    for (job, members) in gangs(fleet) {
        let Some(request) = request(queue, job).filter(|request| !interruptible(request)) else {
            continue;
        };
        for member in members {
            if let Some(index) = fleet.workers.get_index_of(&member.worker) {
                room[index] = room[index]
                    .checked_minus(member.total())
                    .unwrap_or_default();
            }
        }
        fixed.push((request.account.clone(), accelerators(members)));
    }
    pack(fleet, &room, &unclaimed(document, &fixed))
}

/// Returns whether all guarantees pack on the idle fleet.
pub(crate) fn satisfiable(fleet: &Fleet, document: &Document) -> Packing {
    pack(fleet, &capacities(fleet), &unclaimed(document, &[]))
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

fn capacities(fleet: &Fleet) -> Vec<Resources> {
    fleet.workers.values().map(|w| w.capacity).collect()
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

fn interruptible(request: &Request) -> bool {
    request.may_stop()
}

fn accelerators(members: &[Member]) -> u32 {
    members.iter().map(|m| m.total().accelerators).sum()
}

/// Returns the guaranteed shapes, largest first, without the tasks that the account's own fixed work uses, even in part.
fn unclaimed(document: &Document, fixed: &[(AccountId, u32)]) -> Vec<Shape> {
    let mut shapes = Vec::new();
    for (id, account) in &document.accounts {
        let own = fixed.iter().filter(|(owner, _)| owner == id);
        let mut used: u32 = own.map(|(_, count)| count).sum();
        for guarantee in &account.guarantees {
            let per_task = guarantee.accelerators.max(1);
            let claimed = used.div_ceil(per_task).min(guarantee.tasks);
            used = used.saturating_sub(claimed * per_task);
            let tasks = guarantee.tasks - claimed;
            if tasks > 0 {
                shapes.push(Shape {
                    tasks,
                    ..*guarantee
                });
            }
        }
    }
    shapes.sort_by_key(|shape| std::cmp::Reverse(shape.total().accelerators));
    shapes
}

fn pack(fleet: &Fleet, room: &[Resources], shapes: &[Shape]) -> Packing {
    let mut budget = PACKING_BUDGET;
    if pack_rest(fleet, room, shapes, &mut budget) {
        Packing::Fits
    } else if budget == 0 {
        Packing::Undecided
    } else {
        Packing::DoesNotFit
    }
}

fn pack_rest(fleet: &Fleet, room: &[Resources], shapes: &[Shape], budget: &mut u32) -> bool {
    let Some((shape, rest)) = shapes.split_first() else {
        return true;
    };
    for window in windows(fleet, shape.adjacency) {
        if task_room(&room[window.clone()], shape) < shape.tasks {
            continue;
        }
        for emptiest_first in [false, true] {
            if *budget == 0 {
                return false;
            }
            *budget -= 1;
            let left = fill(room, window.clone(), shape, emptiest_first);
            if pack_rest(fleet, &left, rest, budget) {
                return true;
            }
        }
    }
    false
}

/// Places a shape in a window that has room for it and returns what is left.
fn fill(
    room: &[Resources],
    window: std::ops::Range<usize>,
    shape: &Shape,
    emptiest_first: bool,
) -> Vec<Resources> {
    let per_task = shape.per_task();
    let mut order: Vec<usize> = window.collect();
    order.sort_by_key(|index| room[*index].accelerators);
    if emptiest_first {
        order.reverse();
    }
    let mut left = room.to_vec();
    let mut tasks = shape.tasks;
    for index in order {
        let here = left[index].times(per_task).min(tasks);
        left[index] = left[index]
            .checked_minus(per_task.scaled(here))
            .unwrap_or_default();
        tasks -= here;
    }
    left
}
