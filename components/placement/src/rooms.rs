//! The capacity that is open to decisions within one step.

use std::collections::HashSet;

use model::{AccountId, Resources, Shape};

use crate::borrowers::{Borrowers, Victim};
use crate::claims::{guarantees, has_shortfall};
use crate::cx::Cx;
use crate::layout::{Room, amounts};
use crate::masks::Masks;
use crate::order::{Closed, closed_claims};
use crate::score::Weights;

/// Free capacity less reservations, with what is computed once for each step.
pub(crate) struct Rooms {
    /// Free resources that no hold reserves.
    pub(crate) open: Vec<Resources>,
    /// Resources that holds reserve beyond what is free; the end of a stopped borrower pays these first.
    pub(crate) owed: Vec<Resources>,
    /// Resources of the window that is drained.
    pub(crate) drained: Vec<Resources>,
    pub(crate) masks: Masks,
    pub(crate) closed: Closed,
    /// Whether a claim has no whole home; all spare capacity may then be needed to give it one.
    pub(crate) shortfall: bool,
    pub(crate) weights: Weights,
    /// Searches that found nothing; capacity only shrinks within a step, so they are not repeated.
    pub(crate) failed: HashSet<Search>,
    pub(crate) failed_claims: HashSet<(AccountId, Shape, bool)>,
    borrowers: Option<Borrowers>,
}

/// What the result of a search for a borrower depends on.
#[derive(PartialEq, Eq, Hash)]
pub(crate) struct Search {
    pub(crate) shape: Shape,
    pub(crate) firm: bool,
    pub(crate) idempotent: bool,
    pub(crate) in_drain: bool,
    /// Workers, in rising order, that the job must not use.
    pub(crate) avoided: Vec<usize>,
}

impl Rooms {
    pub(crate) fn of(cx: &Cx, masks: Masks) -> Self {
        let mut rooms = Self {
            open: cx.fleet.free.clone(),
            owed: vec![Resources::default(); cx.fleet.free.len()],
            drained: vec![Resources::default(); cx.fleet.free.len()],
            masks,
            closed: closed_claims(&cx.fleet, &cx.queue),
            shortfall: has_shortfall(&cx.fleet),
            weights: Weights::new(&cx.document.policy, largest(cx)),
            failed: HashSet::new(),
            failed_claims: HashSet::new(),
            borrowers: None,
        };
        for hold in cx.fleet.holds.values() {
            rooms.hold(&amounts(&hold.spots, hold.per_task));
        }
        rooms.note_drain(cx);
        rooms
    }

    /// Counts the window that is drained.
    pub(crate) fn note_drain(&mut self, cx: &Cx) {
        self.drained.fill(Resources::default());
        let Some(drain) = &cx.fleet.drain else {
            return;
        };
        for (worker, amount) in amounts(&drain.spots, drain.per_task) {
            self.drained[worker] = amount;
        }
    }

    /// Takes capacity that a job got or that is reserved for it.
    pub(crate) fn hold(&mut self, room: &Room) {
        for (worker, amount) in room {
            let open = self.open[*worker];
            self.open[*worker] = open.saturating_minus(*amount);
            self.owed[*worker] = self.owed[*worker].plus(amount.saturating_minus(open));
        }
    }

    /// Notes that the capacity of a withdrawn gang is free.
    pub(crate) fn freed(&mut self, room: &Room) {
        for (worker, amount) in room {
            let owed = self.owed[*worker];
            self.owed[*worker] = owed.saturating_minus(*amount);
            self.open[*worker] = self.open[*worker].plus(amount.saturating_minus(owed));
        }
    }

    /// Returns the borrowers, which are collected at the first use in a step.
    pub(crate) fn borrowers(&mut self, cx: &Cx) -> &Borrowers {
        self.borrowers.get_or_insert_with(|| Borrowers::of(cx))
    }

    pub(crate) fn known_borrowers(&self) -> Option<&Borrowers> {
        self.borrowers.as_ref()
    }

    /// Returns the gangs to stop, which cost nothing more from now on.
    pub(crate) fn take_victims(&mut self, victims: &[usize]) -> Vec<Victim> {
        let Some(borrowers) = &mut self.borrowers else {
            return Vec::new();
        };
        victims
            .iter()
            .map(|victim| borrowers.take(*victim))
            .collect()
    }
}

/// Returns the largest guaranteed or queued shape.
fn largest(cx: &Cx) -> Option<Shape> {
    let queued = cx.queue.queued.values().filter_map(|job| job.request.shape);
    guarantees(cx.document)
        .map(|(_, shape)| *shape)
        .chain(queued)
        .max_by_key(|shape| shape.total().accelerators)
}
