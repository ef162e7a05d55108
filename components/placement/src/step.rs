//! One step of the placement controller.

use std::collections::{HashMap, HashSet};
use std::time::Instant;

use board::{Board, Fleet, Queue};

use crate::actions::Action;
use crate::apply::apply;
use crate::claims::{guarantees, settle};
use crate::cx::Cx;
use crate::endpoints::Slots;
use crate::events::Event;
use crate::layout::Layout;
use crate::masks::Masks;
use crate::refuse::{refuse_condemned, refuse_without_workers};
use crate::repair::repair_homes;
use crate::schedule::schedule;

/// How queued jobs are chosen; daemons use `Guarded`, the others serve as baselines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Strategy {
    /// First come, first served; the oldest job blocks all later ones.
    FirstFit,
    /// Any job that fits runs, without a reservation for blocked ones.
    Backfill,
    /// Guarantees, inferred urgency, reservation and reclaim.
    Guarded,
}

/// Applies a batch of events, publishes the fleet and queue sections, and returns what must be done.
///
/// A batch costs one copy of the two sections, so that a wave of cancellations stays linear.
pub fn step(board: &Board, strategy: Strategy, events: Vec<Event>, now: Instant) -> Vec<Action> {
    let membership = board.membership.snapshot();
    let config = board.config.snapshot();
    let history = board.history.snapshot();
    let blame = board.blame.snapshot();
    let fleet = Fleet::clone(&board.fleet.load());
    let mut cx = Cx {
        layout: Layout::of(&fleet),
        slots: Slots::count(&fleet, &membership),
        fleet,
        queue: Queue::clone(&board.queue.load()),
        membership: &membership,
        document: &config.document,
        history: &history,
        blame: &blame,
        now,
        actions: Vec::new(),
        unsettled: false,
        gone: HashSet::new(),
        infeasible: HashMap::new(),
        strategy,
    };
    for event in events {
        apply(&mut cx, event);
    }
    cx.flush();
    refuse_without_workers(&mut cx);
    decide(&mut cx);
    cx.flush();
    let Cx {
        fleet,
        queue,
        actions,
        ..
    } = cx;
    board.fleet.publish(fleet);
    board.queue.publish(queue);
    actions
}

fn decide(cx: &mut Cx) {
    refuse_condemned(cx);
    match cx.strategy {
        Strategy::FirstFit => crate::baseline::schedule(cx, true),
        Strategy::Backfill => crate::baseline::schedule(cx, false),
        Strategy::Guarded => {
            let new = cx.fleet.spare.len() != cx.fleet.workers.len()
                || cx.fleet.claims.len() != guarantees(cx.document).count();
            if cx.unsettled || new {
                settle(&mut cx.fleet, &cx.layout, &cx.queue, cx.document);
            }
            let masks = Masks::of(cx);
            repair_homes(cx, &masks);
            schedule(cx, masks);
        }
    }
}
