//! Checks of the guarantees, for configurations, tests, replay and status.

use std::sync::Arc;

use board::{Claim, Fleet, Queue};
use indexmap::{IndexMap, IndexSet};
use model::{AccountId, Document, Resources, SectionName, Shape};

use crate::claims::{guarantees, inside, is_whole, settle};
use crate::fleet::{gangs, is_firm};
use crate::layout::{Layout, Room, amounts};

/// A guaranteed shape that cannot be reclaimed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Shortfall {
    /// The client account.
    pub account: AccountId,
    /// The guaranteed shape.
    pub shape: Shape,
}

/// Returns the sections of a document whose guarantees cannot be packed on an idle fleet.
pub fn guarantee_faults(fleet: &Fleet, document: &Document) -> Vec<SectionName> {
    let mut idle = Fleet {
        workers: Arc::clone(&fleet.workers),
        ..Fleet::default()
    };
    settle(&mut idle, &Layout::of(fleet), &Queue::default(), document);
    let malformed = guarantees(document).filter(|(_, shape)| shape.fault().is_some());
    let unpacked = idle.claims.iter().filter(|claim| !is_whole(claim));
    let accounts: IndexSet<&AccountId> = malformed
        .map(|(account, _)| account)
        .chain(unpacked.map(|claim| &claim.account))
        .collect();
    accounts
        .into_iter()
        .map(|account| format!("accounts/{account}").into())
        .collect()
}

/// Returns the guaranteed shapes that cannot all be reclaimed now.
///
/// The homes on record count when they are sound; otherwise a new packing is searched for.
pub fn guarantee_shortfall(fleet: &Fleet, queue: &Queue, document: &Document) -> Vec<Shortfall> {
    if is_current(fleet, document) && packing_fault(fleet, queue).is_none() {
        return missing(fleet);
    }
    let mut fleet = fleet.clone();
    let layout = Layout::of(&fleet);
    settle(&mut fleet, &layout, queue, document);
    missing(&fleet)
}

/// Returns whether the claims are the guarantees of the document.
fn is_current(fleet: &Fleet, document: &Document) -> bool {
    let mut counts: IndexMap<(&AccountId, &Shape), i32> = IndexMap::new();
    for guarantee in guarantees(document) {
        *counts.entry(guarantee).or_default() += 1;
    }
    for claim in &fleet.claims {
        *counts.entry((&claim.account, &claim.shape)).or_default() -= 1;
    }
    counts.values().all(|count| *count == 0)
}

fn missing(fleet: &Fleet) -> Vec<Shortfall> {
    let broken = fleet.claims.iter().filter(|claim| !is_whole(claim));
    broken
        .map(|claim| Shortfall {
            account: claim.account.clone(),
            shape: claim.shape,
        })
        .collect()
}

/// Returns why the homes of the claims are no sound packing, if they are not.
///
/// The check starts from capacities and gangs alone, so it also finds errors in the running counts.
pub fn packing_fault(fleet: &Fleet, queue: &Queue) -> Option<Box<str>> {
    let layout = Layout::of(fleet);
    let mut left: Vec<Resources> = fleet.workers.values().map(|w| w.capacity).collect();
    for claim in &fleet.claims {
        if is_whole(claim) && !is_adjacent(&layout, claim) {
            return Some(format!("a home of {} is not adjacent", claim.account).into());
        }
        if !take_all(&mut left, &claim.home) {
            return Some(format!("a home of {} overlaps others", claim.account).into());
        }
    }
    let mut used: Vec<Room> = fleet.claims.iter().map(|c| c.home.clone()).collect();
    for (id, job, room) in gangs(fleet) {
        match fleet.charged.get(&id) {
            Some(claim) if !take_inside(&mut used[*claim], &room) => {
                return Some(format!("gang {id} leaves its claim").into());
            }
            None if is_firm(queue, job) && !take_all(&mut left, &room) => {
                return Some(format!("gang {id} may not be stopped and stands in a home").into());
            }
            _ => {}
        }
    }
    for hold in fleet.holds.values() {
        let room = amounts(&hold.spots, hold.per_task);
        match fleet.charged.get(&hold.gang) {
            Some(claim) if take_inside(&mut used[*claim], &room) => {}
            _ => return Some(format!("the hold of job {} leaves its claim", hold.job).into()),
        }
    }
    if let Some(at) = (0..used.len()).find(|at| used[*at] != fleet.claims[*at].left) {
        let account = &fleet.claims[at].account;
        return Some(format!("what is left of a claim of {account} is miscounted").into());
    }
    (fleet.spare != left).then(|| "the spare capacity is miscounted".into())
}

fn is_adjacent(layout: &Layout, claim: &Claim) -> bool {
    let part = |worker| layout.part(worker, claim.shape.adjacency);
    claim
        .home
        .windows(2)
        .all(|pair| part(pair[0].0) == part(pair[1].0))
}

fn take_all(pool: &mut [Resources], room: &Room) -> bool {
    room.iter().all(|(worker, amount)| {
        let left = pool[*worker].checked_minus(*amount);
        left.map(|left| pool[*worker] = left).is_some()
    })
}

fn take_inside(home: &mut Room, room: &Room) -> bool {
    if !inside(room, home) {
        return false;
    }
    for (worker, amount) in room {
        if let Ok(at) = home.binary_search_by_key(worker, |(worker, _)| *worker) {
            home[at].1 = home[at].1.saturating_minus(*amount);
        }
    }
    true
}
