//! The claims: guaranteed shapes and the homes in which they can always be reclaimed.

use std::collections::HashSet;
use std::sync::Arc;

use board::{Claim, Fleet, Queue};
use model::{Document, Resources, Shape};

use crate::adopt::adopt;
use crate::fleet::{change, charge, drop_holds, gangs, is_firm, subtract, uncharge};
use crate::layout::{Layout, Room};
use crate::packing::home_unused;

/// Brings the claims in line with the document, the workers and the gangs.
pub(crate) fn settle(fleet: &mut Fleet, layout: &Layout, queue: &Queue, document: &Document) {
    drop_holds(fleet);
    match_document(fleet, document);
    keep_used_homes(fleet, queue);
    let uncharged: Vec<_> = gangs(fleet)
        .into_iter()
        .filter(|(id, _, _)| !fleet.charged.contains_key(id))
        .map(|(id, job, room)| (id, job, is_firm(queue, job), room))
        .collect();
    for (_, _, _, room) in uncharged.iter().filter(|(_, _, firm, _)| *firm) {
        subtract_all(&mut fleet.spare, room);
    }
    let used = fleet.clone();
    let mut missing = home_unused(fleet, layout);
    // After a takeover the claims that gangs run within are unknown, and gangs outside claims count twice.
    for (releases, adopts) in [(false, true), (true, false), (true, true)] {
        if missing == 0 {
            return;
        }
        let mut other = used.clone();
        if releases {
            release_stoppable(&mut other, queue);
        }
        if adopts {
            adopt(&mut other, layout, queue, &uncharged);
        }
        let missing_then = home_unused(&mut other, layout);
        if missing_then < missing {
            missing = missing_then;
            *fleet = other;
        }
    }
}

/// Makes borrowers of the gangs in claims that no gang uses which may not be stopped, so that these claims can move.
fn release_stoppable(fleet: &mut Fleet, queue: &Queue) {
    let charged: Vec<_> = gangs(fleet)
        .into_iter()
        .filter_map(|(id, job, room)| Some((id, job, *fleet.charged.get(&id)?, room)))
        .collect();
    let fixed: HashSet<usize> = charged
        .iter()
        .filter(|(_, job, _, _)| is_firm(queue, *job))
        .map(|(_, _, claim, _)| *claim)
        .collect();
    for (id, _, index, room) in charged {
        if fixed.contains(&index) {
            continue;
        }
        uncharge(fleet, id, &room);
        if fleet.claims[index].gangs == 0 {
            let home = fleet.claims[index].home.clone();
            add_all(&mut fleet.spare, &home);
        }
    }
}

/// Keeps the claims that the document still has and adds the new ones.
fn match_document(fleet: &mut Fleet, document: &Document) {
    let mut old: Vec<Option<Arc<Claim>>> = std::mem::take(&mut fleet.claims)
        .into_iter()
        .map(Some)
        .collect();
    let mut renumbered = vec![None; old.len()];
    for (account, shape) in guarantees(document) {
        let same = old.iter().position(|claim| {
            claim
                .as_ref()
                .is_some_and(|claim| claim.account == *account && claim.shape == *shape)
        });
        let claim = if let Some(at) = same {
            renumbered[at] = Some(fleet.claims.len());
            old[at].take()
        } else {
            None
        };
        fleet.claims.push(claim.unwrap_or_else(|| {
            Arc::new(Claim {
                account: account.clone(),
                shape: *shape,
                home: Vec::new(),
                left: Vec::new(),
                gangs: 0,
            })
        }));
    }
    fleet.charged = fleet
        .charged
        .iter()
        .filter_map(|(id, claim)| Some((*id, renumbered[*claim]?)))
        .collect();
}

/// Returns the guaranteed shapes of a document.
pub(crate) fn guarantees(document: &Document) -> impl Iterator<Item = (&model::AccountId, &Shape)> {
    document
        .accounts
        .iter()
        .flat_map(|(id, account)| account.guarantees.iter().map(move |shape| (id, shape)))
}

/// Recounts the claims in use and takes their homes from the spare capacity.
///
/// A claim that lost a part of its home keeps no gang, so that it may get another home; `adopt` returns the gang to it if
/// the new home can contain the gang.
fn keep_used_homes(fleet: &mut Fleet, queue: &Queue) {
    fleet.spare = fleet.workers.values().map(|w| w.capacity).collect();
    let (inside_home, outside): (Vec<_>, Vec<_>) = gangs(fleet)
        .into_iter()
        .filter_map(|(id, job, room)| Some((id, job, *fleet.charged.get(&id)?, room)))
        .filter(|(_, _, claim, _)| is_whole(&fleet.claims[*claim]))
        .partition(|(_, _, claim, room)| inside(room, &fleet.claims[*claim].home));
    fleet.charged.clear();
    // A gang gets out of its home when a worker leaves and returns; the home then cannot count what the gang holds.
    for (_, job, claim, room) in outside {
        if is_firm(queue, job) {
            let claim = Arc::make_mut(&mut fleet.claims[claim]);
            change(&mut claim.home, &room, Resources::saturating_minus);
        }
    }
    for claim in &mut fleet.claims {
        let claim = Arc::make_mut(claim);
        claim.left.clone_from(&claim.home);
        claim.gangs = 0;
    }
    for (id, _, claim, room) in inside_home {
        if inside(&room, &fleet.claims[claim].left) {
            charge(fleet, claim, id, &room);
        }
    }
    for claim in fleet.claims.iter().filter(|claim| claim.gangs > 0) {
        subtract_all(&mut fleet.spare, &claim.home);
    }
}

/// Returns whether `part` lies within `whole`.
pub(crate) fn inside(part: &Room, whole: &Room) -> bool {
    part.iter().all(|(worker, amount)| {
        whole
            .binary_search_by_key(worker, |(worker, _)| *worker)
            .is_ok_and(|at| whole[at].1.checked_minus(*amount).is_some())
    })
}

/// Returns whether the home of a claim holds its whole shape.
pub(crate) fn is_whole(claim: &Claim) -> bool {
    let per_task = claim.shape.per_task();
    let tasks: u64 = claim
        .home
        .iter()
        .map(|(_, amount)| u64::from(amount.times(per_task)))
        .sum();
    tasks >= u64::from(claim.shape.tasks)
}

/// Returns whether a claim has no whole home.
pub(crate) fn has_shortfall(fleet: &Fleet) -> bool {
    !fleet.claims.iter().all(|claim| is_whole(claim))
}

pub(crate) fn subtract_all(pool: &mut [Resources], room: &Room) {
    for (worker, amount) in room {
        subtract(pool, *worker, *amount);
    }
}

pub(crate) fn add_all(pool: &mut [Resources], room: &Room) {
    for (worker, amount) in room {
        pool[*worker] = pool[*worker].plus(*amount);
    }
}

/// Moves the home of a claim that is not in use.
pub(crate) fn move_home(fleet: &mut Fleet, index: usize, home: Room) {
    let old = fleet.claims[index].home.clone();
    add_all(&mut fleet.spare, &old);
    subtract_all(&mut fleet.spare, &home);
    let claim = Arc::make_mut(&mut fleet.claims[index]);
    claim.left.clone_from(&home);
    claim.home = home;
}

/// Exchanges the homes of two claims of the same shape that are not in use.
pub(crate) fn swap_homes(fleet: &mut Fleet, a: usize, b: usize) {
    let (home_a, home_b) = (fleet.claims[a].home.clone(), fleet.claims[b].home.clone());
    for (index, home) in [(a, home_b), (b, home_a)] {
        let claim = Arc::make_mut(&mut fleet.claims[index]);
        claim.left.clone_from(&home);
        claim.home = home;
    }
}
