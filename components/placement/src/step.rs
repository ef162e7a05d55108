//! One step of the placement controller.

use std::collections::{HashMap, HashSet};
use std::time::Instant;

use board::{Board, Fleet, Queue};

use crate::actions::Action;
use crate::apply::apply;
use crate::claims::{guarantees, reconcile_claims};
use crate::context::StepContext;
use crate::eligibility::Eligibility;
use crate::endpoints::EndpointSlots;
use crate::events::Event;
use crate::refuse::{refuse_repeatedly_failed, refuse_without_workers};
use crate::repair::repair_allocations;
use crate::schedule::schedule;
use crate::topology::Topology;

/// How queued jobs are chosen. The owner of a cell uses `Guarded`; the others are baselines for comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Strategy {
    /// First come, first served; the oldest job that does not fit blocks all later ones.
    FirstFit,
    /// Jobs are tried oldest first, and any that fits runs; no capacity is reserved for blocked jobs.
    Backfill,
    /// Guarantees with reclaim, a queue order by attained service and expected run time, and a backfill reservation for
    /// one blocked job.
    Guarded,
}

/// Applies a batch of events, publishes the fleet and queue sections, and returns the actions to carry out.
///
/// Each batch copies the two sections once, so that a burst of cancellations takes time linear in its size.
pub fn step(board: &Board, strategy: Strategy, events: Vec<Event>, now: Instant) -> Vec<Action> {
    let membership = board.membership.snapshot();
    let config = board.config.snapshot();
    let history = board.history.snapshot();
    let blame = board.blame.snapshot();
    let fleet = Fleet::clone(&board.fleet.load());
    let mut cx = StepContext {
        topology: Topology::new(&fleet),
        slots: EndpointSlots::count(&fleet, &membership),
        fleet,
        queue: Queue::clone(&board.queue.load()),
        membership: &membership,
        document: &config.document,
        history: &history,
        blame: &blame,
        now,
        actions: Vec::new(),
        claims_stale: false,
        removed: HashSet::new(),
        infeasible: HashMap::new(),
        strategy,
    };
    for event in events {
        apply(&mut cx, event);
    }
    cx.apply_removals();
    refuse_without_workers(&mut cx);
    run_strategy(&mut cx);
    cx.apply_removals();
    let StepContext {
        fleet,
        queue,
        actions,
        ..
    } = cx;
    board.fleet.publish(fleet);
    board.queue.publish(queue);
    actions
}

/// Updates the claims and plans gangs, as the strategy requires.
fn run_strategy(cx: &mut StepContext) {
    refuse_repeatedly_failed(cx);
    match cx.strategy {
        Strategy::FirstFit => crate::baseline::schedule(cx, true),
        Strategy::Backfill => crate::baseline::schedule(cx, false),
        Strategy::Guarded => {
            // The sizes also differ, without an event, after the owner has reset the fleet section.
            let sizes_differ = cx.fleet.spare.len() != cx.fleet.workers.len()
                || cx.fleet.claims.len() != guarantees(cx.document).count();
            if cx.claims_stale || sizes_differ {
                reconcile_claims(&mut cx.fleet, &cx.topology, &cx.queue, cx.document);
            }
            let eligibility = Eligibility::new(cx);
            repair_allocations(cx, &eligibility);
            schedule(cx, eligibility);
        }
    }
}
