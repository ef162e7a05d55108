//! Choosing which queued jobs get a gang.

use std::sync::Arc;

use model::{Job, JobId, Queued, Resources, Shape};

use crate::avoid::avoided;
use crate::cx::Cx;
use crate::drain::{is_ready, reserve_window, review};
use crate::fleet::{drop_hold, is_firm};
use crate::layout::{Room, Spots, amounts};
use crate::masks::{Masks, probe};
use crate::order::{may_claim, ordered, run_time};
use crate::packing::move_homes;
use crate::reclaim::{finish_hold, place_within};
use crate::rehome::{Found, spots_beside};
use crate::rooms::{Rooms, Search};
use crate::score::best_fit;

/// Searches that fail in one step before the remaining borrowers wait for the next one, so that a long queue of
/// unlike shapes does not delay the step.
const MAX_FAILED_SEARCHES: usize = 256;

/// Plans gangs under guarantees, with reclaim, reservation and backfill.
pub(crate) fn schedule(cx: &mut Cx, masks: Masks) {
    finish_holds(cx);
    review(cx);
    let mut rooms = Rooms::of(cx, masks);
    finish_drain(cx, &mut rooms);
    let mut blocked = Vec::new();
    for job in ordered(&cx.fleet, &cx.queue, cx.history, &rooms.closed) {
        if !cx.is_queued(job.id()) || cx.fleet.holds.contains_key(&job.id()) {
            continue;
        }
        if !cx.slots.available(cx.membership, &job.request.service) {
            continue;
        }
        if !place(cx, &mut rooms, &job) {
            blocked.push(job);
        }
    }
    blocked.retain(|job| cx.is_queued(job.id()));
    reserve_window(cx, &mut rooms, &blocked);
}

fn finish_holds(cx: &mut Cx) {
    let held: Vec<JobId> = cx.fleet.holds.keys().copied().collect();
    for id in held {
        match cx.queue.queued.get(&id).cloned() {
            Some(job) => {
                finish_hold(cx, &job);
            }
            None => drop_hold(&mut cx.fleet, id),
        }
    }
}

fn finish_drain(cx: &mut Cx, rooms: &mut Rooms) {
    let Some(hold) = cx.fleet.drain.clone() else {
        return;
    };
    let Some(job) = cx.queue.queued.get(&hold.job).cloned() else {
        return;
    };
    if is_ready(cx, rooms, &hold) && cx.reserve(&job, &hold.spots) {
        rooms.hold(&amounts(&hold.spots, hold.per_task));
        cx.fleet.drain = None;
        rooms.note_drain(cx);
    }
}

fn place(cx: &mut Cx, rooms: &mut Rooms, job: &Arc<Job<Queued>>) -> bool {
    let Some(shape) = job.request.shape else {
        return false;
    };
    let account = &job.request.account;
    if job.request.may_stop() && borrow(cx, rooms, job, &shape) {
        return true;
    }
    if may_claim(&cx.fleet, &rooms.closed, job) {
        let firm = is_firm(&cx.queue, job.id());
        let key = (account.clone(), shape, firm);
        if !rooms.failed_claims.contains(&key) {
            if place_within(cx, rooms, job, &shape) {
                return true;
            }
            rooms.failed_claims.insert(key);
        }
    }
    borrow(cx, rooms, job, &shape)
}

/// Places a job outside the claims of its client account.
fn borrow(cx: &mut Cx, rooms: &mut Rooms, job: &Job<Queued>, shape: &Shape) -> bool {
    let search = Search {
        shape: *shape,
        firm: is_firm(&cx.queue, job.id()),
        idempotent: job.request.idempotent,
        in_drain: may_use_drain(cx, job),
        avoided: avoided(cx, job.id(), shape),
    };
    if rooms.failed.len() >= MAX_FAILED_SEARCHES || rooms.failed.contains(&search) {
        return false;
    }
    if search.firm && rooms.shortfall {
        return false;
    }
    let Some(spots) = find(cx, rooms, &search).or_else(|| find_beside(cx, rooms, &search)) else {
        rooms.failed.insert(search);
        return false;
    };
    if !cx.reserve(job, &spots) {
        return false;
    }
    rooms.hold(&amounts(&spots, shape.per_task()));
    if cx
        .fleet
        .drain
        .as_ref()
        .is_some_and(|drain| drain.job == job.id())
    {
        cx.fleet.drain = None;
        rooms.note_drain(cx);
    }
    true
}

/// Returns whether a job may use the drained window: it is the one reserved for, or it ends before that one starts.
fn may_use_drain(cx: &Cx, job: &Job<Queued>) -> bool {
    cx.fleet.drain.as_ref().is_none_or(|drain| {
        let ends = run_time(cx.history, &job.request).map(|run_time| cx.now + run_time);
        drain.job == job.id() || ends.is_some_and(|ends| ends <= drain.at)
    })
}

fn find(cx: &Cx, rooms: &mut Rooms, search: &Search) -> Option<Spots> {
    let shape = &search.shape;
    if search.idempotent
        && let Some(spots) = probe(cx, shape)
    {
        let open = |(worker, tasks): &(usize, u32)| {
            let need = shape.per_task().scaled(*tasks);
            rooms.open[*worker].checked_minus(need).is_some()
        };
        if spots.iter().all(open) {
            return Some(spots);
        }
    }
    let needs_proven = rooms.masks.needs_proven(cx, shape, search.firm);
    let room: Room = (0..rooms.open.len())
        .filter(|worker| rooms.masks.allows(*worker, needs_proven))
        .filter(|worker| search.avoided.binary_search(worker).is_err())
        .map(|worker| (worker, amount(cx, rooms, search, worker)))
        .collect();
    best_fit(&cx.layout, &room, shape, &rooms.weights)
}

/// Finds room for a job that may not be stopped by moving the homes of unused claims.
fn find_beside(cx: &mut Cx, rooms: &mut Rooms, search: &Search) -> Option<Spots> {
    if !search.firm {
        return None;
    }
    let needs_proven = rooms.masks.needs_proven(cx, &search.shape, true);
    let room: Room = (0..rooms.open.len())
        .filter(|worker| rooms.masks.allows(*worker, needs_proven))
        .map(|worker| (worker, unreserved(rooms, search, worker)))
        .collect();
    let Found::Yes((spots, homes)) = spots_beside(&cx.fleet, &cx.layout, &room, &search.shape)
    else {
        return None;
    };
    move_homes(&mut cx.fleet, homes);
    Some(spots)
}

fn amount(cx: &Cx, rooms: &Rooms, search: &Search, worker: usize) -> Resources {
    let amount = unreserved(rooms, search, worker);
    if search.firm {
        amount.min(cx.fleet.spare[worker])
    } else {
        amount
    }
}

fn unreserved(rooms: &Rooms, search: &Search, worker: usize) -> Resources {
    let open = rooms.open[worker];
    if search.in_drain {
        open
    } else {
        open.saturating_minus(rooms.drained[worker])
    }
}
