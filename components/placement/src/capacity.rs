//! Capacity available to decisions within one step.

use std::collections::HashSet;

use model::{AccountId, Resources, Shape};

use crate::borrowers::{BorrowerGang, Borrowers};
use crate::claims::{guarantees, has_shortfall};
use crate::context::StepContext;
use crate::eligibility::Eligibility;
use crate::order::{ClaimCutoffs, claim_cutoffs};
use crate::score::Weights;
use crate::topology::{WorkerResources, assigned_resources};

/// Available capacity, with results that are cached for one step.
pub(crate) struct StepCapacity {
    /// Free resources that no hold keeps, by worker index.
    pub(crate) available: Vec<Resources>,
    /// Resources that holds keep beyond what is free; resources of stopped borrowers cover this deficit first.
    pub(crate) deficit: Vec<Resources>,
    /// Resources that the backfill reservation keeps.
    pub(crate) backfill_reserved: Vec<Resources>,
    pub(crate) eligibility: Eligibility,
    pub(crate) claim_cutoffs: ClaimCutoffs,
    /// Whether a claim lacks a full allocation; all spare capacity may then be needed to provide one.
    pub(crate) shortfall: bool,
    pub(crate) weights: Weights,
    /// Searches that found no assignment. They are not repeated within the step; capacity that is released later in the
    /// step is found by the next one.
    pub(crate) failed_searches: HashSet<UnchargedSearch>,
    /// Client accounts, shapes and non-preemptible flags for which no claim could be used; not repeated within the step
    /// either.
    pub(crate) failed_claim_searches: HashSet<(AccountId, Shape, bool)>,
    borrowers: Option<Borrowers>,
}

/// The inputs of a search for capacity that is not charged to a claim.
#[derive(PartialEq, Eq, Hash)]
pub(crate) struct UnchargedSearch {
    pub(crate) shape: Shape,
    pub(crate) non_preemptible: bool,
    pub(crate) idempotent: bool,
    pub(crate) may_use_reservation: bool,
    /// Workers that the job must not use, in ascending order.
    pub(crate) excluded: Vec<usize>,
}

impl StepCapacity {
    pub(crate) fn new(cx: &StepContext, eligibility: Eligibility) -> Self {
        let mut capacity = Self {
            available: cx.fleet.free.clone(),
            deficit: vec![Resources::default(); cx.fleet.free.len()],
            backfill_reserved: vec![Resources::default(); cx.fleet.free.len()],
            eligibility,
            claim_cutoffs: claim_cutoffs(&cx.fleet, &cx.queue),
            shortfall: has_shortfall(&cx.fleet),
            weights: Weights::new(&cx.document.policy, largest_shape(cx)),
            failed_searches: HashSet::new(),
            failed_claim_searches: HashSet::new(),
            borrowers: None,
        };
        for hold in cx.fleet.holds.values() {
            capacity.deduct(&assigned_resources(&hold.assignment, hold.per_task));
        }
        capacity.update_backfill_reserved(cx);
        capacity
    }

    /// Recomputes the resources that the backfill reservation keeps.
    pub(crate) fn update_backfill_reserved(&mut self, cx: &StepContext) {
        self.backfill_reserved.fill(Resources::default());
        let Some(reservation) = &cx.fleet.backfill_reservation else {
            return;
        };
        for (worker, amount) in assigned_resources(&reservation.assignment, reservation.per_task) {
            self.backfill_reserved[worker] = amount;
        }
    }

    /// Deducts capacity of a planned gang or a hold; what exceeds the available capacity is added to the deficit.
    pub(crate) fn deduct(&mut self, resources: &WorkerResources) {
        for (worker, amount) in resources {
            let available = self.available[*worker];
            self.available[*worker] = available.saturating_sub(*amount);
            self.deficit[*worker] =
                self.deficit[*worker].saturating_add(amount.saturating_sub(available));
        }
    }

    /// Adds the capacity of a withdrawn gang, after covering the deficit.
    pub(crate) fn add_released(&mut self, resources: &WorkerResources) {
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

    /// Marks borrowers as stopped and returns their gangs.
    pub(crate) fn take_victims(&mut self, victims: &[usize]) -> Vec<BorrowerGang> {
        let Some(borrowers) = &mut self.borrowers else {
            return Vec::new();
        };
        victims
            .iter()
            .map(|victim| borrowers.mark_stopped(*victim))
            .collect()
    }
}

/// Returns the guaranteed or queued shape with the most accelerators.
fn largest_shape(cx: &StepContext) -> Option<Shape> {
    let queued = cx.queue.queued.values().filter_map(|job| job.request.shape);
    guarantees(cx.document)
        .map(|(_, shape)| *shape)
        .chain(queued)
        .max_by_key(|shape| shape.total().accelerators)
}
