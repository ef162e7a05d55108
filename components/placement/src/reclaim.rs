//! Placing jobs within the guarantees of their client accounts, with reclaim where borrowers are in the way.

use std::sync::Arc;

use board::Hold;
use model::{Job, Queued, Shape, gang_id};

use crate::actions::{Action, StopReason};
use crate::borrowers::Victim;
use crate::claims::{move_home, swap_homes};
use crate::cx::Cx;
use crate::fleet::{charge, is_firm};
use crate::homes::{Change, allowed, homes};
use crate::layout::{Room, Spots, amounts};
use crate::order::is_open;
use crate::packing::move_homes;
use crate::rehome::{Found, homes_around};
use crate::rooms::Rooms;
use crate::score::best_fit;

/// A way to run a job within a claim.
struct Candidate {
    claim: usize,
    change: Change,
    spots: Spots,
    victims: Vec<usize>,
    cost: f64,
}

/// Places a job within a claim of its client account, or stops borrowers and reserves their capacity for it.
pub(crate) fn place_within(
    cx: &mut Cx,
    rooms: &mut Rooms,
    job: &Job<Queued>,
    shape: &Shape,
) -> bool {
    let firm = is_firm(&cx.queue, job.id());
    let needs_proven = rooms.masks.needs_proven(cx, shape, firm);
    let mut best = cheapest(cx, rooms, job, shape, needs_proven);
    if best.is_none() && needs_proven {
        // A guarantee counts more than the preference for proven workers.
        best = cheapest(cx, rooms, job, shape, false);
    }
    let Some(best) = best else {
        return false;
    };
    carry_out(cx, rooms, job, shape, best);
    true
}

fn cheapest(
    cx: &Cx,
    rooms: &mut Rooms,
    job: &Job<Queued>,
    shape: &Shape,
    needs_proven: bool,
) -> Option<Candidate> {
    let mut claims: Vec<usize> = (0..cx.fleet.claims.len())
        .filter(|index| cx.fleet.claims[*index].account == job.request.account)
        .filter(|index| is_open(&rooms.closed, *index, job))
        .collect();
    // A job must not take a larger claim while a smaller one serves, or the larger one cannot be claimed at once with it.
    let rank = |index: usize| {
        let claimed = &cx.fleet.claims[index].shape;
        let total = claimed.total();
        (
            claimed != shape,
            total.accelerators,
            total.cores,
            total.memory_mb,
            claimed.tasks,
            claimed.adjacency,
        )
    };
    claims.sort_by_cached_key(|index| rank(*index));
    claims
        .chunk_by(|a, b| cx.fleet.claims[*a].shape == cx.fleet.claims[*b].shape)
        .find_map(|equal| cheapest_of(cx, rooms, shape, equal, needs_proven))
}

/// Returns the cheapest way to run a job within one of several claims of equal shape.
fn cheapest_of(
    cx: &Cx,
    rooms: &mut Rooms,
    shape: &Shape,
    claims: &[usize],
    needs_proven: bool,
) -> Option<Candidate> {
    let mut best: Option<Candidate> = None;
    let mut unused = false;
    for claim in claims.iter().copied() {
        // Unused claims of one shape have the same candidates.
        if cx.fleet.claims[claim].gangs == 0 && std::mem::replace(&mut unused, true) {
            continue;
        }
        for (change, home) in homes(cx, rooms, claim, shape.adjacency, needs_proven) {
            let home = allowed(rooms, home, needs_proven);
            let Some(found) = evaluate(cx, rooms, shape, claim, change, &home) else {
                continue;
            };
            if found.victims.is_empty() {
                return Some(found);
            }
            if best.as_ref().is_none_or(|best| found.cost < best.cost) {
                best = Some(found);
            }
        }
    }
    best.or_else(|| moved(cx, rooms, shape, claims, needs_proven))
}

/// Returns a way to run a job within an unused claim after the homes of several claims moved.
fn moved(
    cx: &Cx,
    rooms: &mut Rooms,
    shape: &Shape,
    claims: &[usize],
    needs_proven: bool,
) -> Option<Candidate> {
    let unused = |claim: &&usize| cx.fleet.claims[**claim].gangs == 0;
    let claim = *claims.iter().find(unused)?;
    let Found::Yes(packing) = homes_around(&cx.fleet, &cx.layout, claim, shape) else {
        return None;
    };
    let (_, home) = packing.iter().find(|(index, _)| *index == claim)?;
    let home = allowed(rooms, home.clone(), needs_proven);
    evaluate(cx, rooms, shape, claim, Change::Pack(packing), &home)
}

fn evaluate(
    cx: &Cx,
    rooms: &mut Rooms,
    shape: &Shape,
    claim: usize,
    change: Change,
    home: &Room,
) -> Option<Candidate> {
    let possible: u64 = home
        .iter()
        .map(|(_, limit)| u64::from(limit.times(shape.per_task()).min(shape.tasks)))
        .sum();
    if possible < u64::from(shape.tasks) {
        return None;
    }
    let open: Room = home
        .iter()
        .map(|(worker, limit)| (*worker, limit.min(rooms.open[*worker])))
        .collect();
    let free = best_fit(&cx.layout, &open, shape, &rooms.weights);
    let (spots, victims, cost) = if let Some(spots) = free {
        (spots, Vec::new(), 0.0)
    } else {
        rooms.borrowers(cx);
        let taken = (rooms.open.as_slice(), rooms.owed.as_slice());
        rooms.known_borrowers()?.cheapest(cx, taken, home, shape)?
    };
    Some(Candidate {
        claim,
        change,
        spots,
        victims,
        cost,
    })
}

fn carry_out(cx: &mut Cx, rooms: &mut Rooms, job: &Job<Queued>, shape: &Shape, best: Candidate) {
    match best.change {
        Change::Keep => {}
        Change::Swap(other) => swap_homes(&mut cx.fleet, best.claim, other),
        Change::Move(home) => move_home(&mut cx.fleet, best.claim, home),
        Change::Pack(packing) => move_homes(&mut cx.fleet, packing),
    }
    let mut spots = best.spots;
    spots.sort_by_key(|(worker, _)| *worker);
    let room = amounts(&spots, shape.per_task());
    let gang = gang_id(job.id(), job.attempt);
    charge(&mut cx.fleet, best.claim, gang, &room);
    let victims: Vec<Victim> = rooms.take_victims(&best.victims);
    for victim in &victims {
        stop(cx, rooms, victim);
    }
    clear_drain(cx, rooms, job, &room);
    let held = Hold {
        job: job.id(),
        gang,
        spots,
        per_task: shape.per_task(),
        at: cx.now,
    };
    rooms.hold(&room);
    cx.fleet.holds.insert(job.id(), Arc::new(held));
    finish_hold(cx, job);
}

fn stop(cx: &mut Cx, rooms: &mut Rooms, victim: &Victim) {
    match victim {
        Victim::Planned(gang) => {
            let room = crate::fleet::held_by(&cx.fleet, &gang.members);
            if let Some(job) = cx.unplan(gang) {
                cx.enqueue(job.requeue());
            }
            rooms.freed(&room);
        }
        Victim::Running(gang) if cx.fleet.stopping.insert(gang.id) => {
            cx.actions.push(Action::Stop {
                gang: Arc::clone(gang),
                reason: StopReason::Reclaimed,
            });
        }
        Victim::Running(_) => {}
    }
}

/// Gives up the drained window if its job got other capacity or a guarantee takes part of the window.
fn clear_drain(cx: &mut Cx, rooms: &mut Rooms, job: &Job<Queued>, room: &Room) {
    let taken = cx.fleet.drain.as_ref().is_some_and(|drain| {
        let mut spots = drain.spots.iter();
        drain.job == job.id()
            || spots.any(|(worker, _)| room.iter().any(|(other, _)| other == worker))
    });
    if taken {
        cx.fleet.drain = None;
        rooms.drained.fill(model::Resources::default());
    }
}

/// Places a job whose reserved capacity is free.
pub(crate) fn finish_hold(cx: &mut Cx, job: &Job<Queued>) -> bool {
    let Some(hold) = cx.fleet.holds.get(&job.id()).cloned() else {
        return false;
    };
    let free = hold.spots.iter().all(|(worker, tasks)| {
        let need = hold.per_task.scaled(*tasks);
        cx.fleet.free[*worker].checked_minus(need).is_some()
    });
    if !free || !cx.reserve(job, &hold.spots) {
        return false;
    }
    cx.fleet.holds.swap_remove(&job.id());
    true
}
