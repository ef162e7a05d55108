//! Capacity available to decisions within one step.

use std::collections::HashSet;

use model::{AccountId, Resources, Shape};

use crate::borrowers::{Borrowers, Victim};
use crate::claims::{guarantees, has_shortfall};
use crate::context::StepContext;
use crate::eligibility::Eligibility;
use crate::order::{ClosedClaims, closed_claims};
use crate::score::Weights;
use crate::topology::{WorkerResources, assigned_resources};

/// Free capacity less reservations, with results that are cached for one step.
pub(crate) struct StepCapacity {
    /// Free resources that no hold reserves, by worker index.
    pub(crate) available: Vec<Resources>,
    /// Resources that holds reserve beyond what is free; resources of stopped borrowers cover this deficit first.
    pub(crate) deficit: Vec<Resources>,
    /// Resources that the drain reserves.
    pub(crate) drain_reserved: Vec<Resources>,
    pub(crate) eligibility: Eligibility,
    pub(crate) closed_claims: ClosedClaims,
    /// Whether a claim lacks a full allocation; all spare capacity may then be needed to provide one.
    pub(crate) shortfall: bool,
    pub(crate) weights: Weights,
    /// Searches that found no assignment; they are not repeated, since capacity only shrinks within a step.
    pub(crate) failed_searches: HashSet<BorrowSearch>,
    /// Client accounts, shapes and non-preemptible flags for which no claim could be used.
    pub(crate) failed_claim_searches: HashSet<(AccountId, Shape, bool)>,
    borrowers: Option<Borrowers>,
}

/// The inputs of a search for capacity outside the claims of the client account.
#[derive(PartialEq, Eq, Hash)]
pub(crate) struct BorrowSearch {
    pub(crate) shape: Shape,
    pub(crate) non_preemptible: bool,
    pub(crate) idempotent: bool,
    pub(crate) may_use_drain: bool,
    /// Workers that the job must not use, in ascending order.
    pub(crate) excluded: Vec<usize>,
}

impl StepCapacity {
    pub(crate) fn new(cx: &StepContext, eligibility: Eligibility) -> Self {
        let mut capacity = Self {
            available: cx.fleet.free.clone(),
            deficit: vec![Resources::default(); cx.fleet.free.len()],
            drain_reserved: vec![Resources::default(); cx.fleet.free.len()],
            eligibility,
            closed_claims: closed_claims(&cx.fleet, &cx.queue),
            shortfall: has_shortfall(&cx.fleet),
            weights: Weights::new(&cx.document.policy, largest_shape(cx)),
            failed_searches: HashSet::new(),
            failed_claim_searches: HashSet::new(),
            borrowers: None,
        };
        for hold in cx.fleet.holds.values() {
            capacity.reserve(&assigned_resources(&hold.assignment, hold.per_task));
        }
        capacity.update_drain(cx);
        capacity
    }

    /// Recomputes the resources that the drain reserves.
    pub(crate) fn update_drain(&mut self, cx: &StepContext) {
        self.drain_reserved.fill(Resources::default());
        let Some(drain) = &cx.fleet.drain else {
            return;
        };
        for (worker, amount) in assigned_resources(&drain.assignment, drain.per_task) {
            self.drain_reserved[worker] = amount;
        }
    }

    /// Deducts capacity that was given to a job or reserved for it.
    pub(crate) fn reserve(&mut self, resources: &WorkerResources) {
        for (worker, amount) in resources {
            let available = self.available[*worker];
            self.available[*worker] = available.saturating_sub(*amount);
            self.deficit[*worker] =
                self.deficit[*worker].saturating_add(amount.saturating_sub(available));
        }
    }

    /// Adds the capacity of a withdrawn gang, after covering the deficit.
    pub(crate) fn release(&mut self, resources: &WorkerResources) {
        for (worker, amount) in resources {
            let deficit = self.deficit[*worker];
            self.deficit[*worker] = deficit.saturating_sub(*amount);
            self.available[*worker] =
                self.available[*worker].saturating_add(amount.saturating_sub(deficit));
        }
    }

    /// Returns the borrowers, collecting them on first use in a step.
    pub(crate) fn borrowers(&mut self, cx: &StepContext) -> &Borrowers {
        self.borrowers.get_or_insert_with(|| Borrowers::collect(cx))
    }

    /// Returns the borrowers if they were collected in this step.
    pub(crate) fn collected_borrowers(&self) -> Option<&Borrowers> {
        self.borrowers.as_ref()
    }

    /// Returns the gangs to stop and marks their borrowers as stopped.
    pub(crate) fn take_victims(&mut self, victims: &[usize]) -> Vec<Victim> {
        let Some(borrowers) = &mut self.borrowers else {
            return Vec::new();
        };
        victims
            .iter()
            .map(|victim| borrowers.select(*victim))
            .collect()
    }
}

/// Returns the largest guaranteed or queued shape.
fn largest_shape(cx: &StepContext) -> Option<Shape> {
    let queued = cx.queue.queued.values().filter_map(|job| job.request.shape);
    guarantees(cx.document)
        .map(|(_, shape)| *shape)
        .chain(queued)
        .max_by_key(|shape| shape.total().accelerators)
}
