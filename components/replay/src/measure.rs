//! Measures that are integrated over virtual time.

use std::time::Duration;

use board::{Board, Fleet, Queue};
use model::{Document, Shape};

use crate::trace::{Line, Trace, TraceEvent};
use crate::windows::{task_room, windows};

/// Integrals of busy, free and fragmented accelerators, up to the last submission of the trace.
///
/// The phase after the last submission is left out: the emptying fleet says nothing about a policy under load.
#[derive(Debug)]
pub(crate) struct Meter {
    until: Duration,
    last: Duration,
    total: f64,
    free: f64,
    unusable: f64,
}

impl Meter {
    pub(crate) fn new(trace: &Trace) -> Self {
        let last_submit = trace
            .lines
            .iter()
            .rfind(|line| matches!(line.event, TraceEvent::Submit(_)));
        Self {
            until: last_submit.map_or(Duration::ZERO, Line::at),
            last: Duration::ZERO,
            total: 0.0,
            free: 0.0,
            unusable: 0.0,
        }
    }

    /// Adds the time since the last call, during which the board did not change.
    pub(crate) fn advance(&mut self, board: &Board, at: Duration) {
        let end = at.min(self.until);
        let seconds = end.saturating_sub(self.last).as_secs_f64();
        if seconds == 0.0 {
            return;
        }
        self.last = end;
        let fleet = board.fleet.load();
        let capacity: u32 = fleet
            .workers
            .values()
            .map(|w| w.capacity.accelerators)
            .sum();
        let free: u32 = fleet.free.iter().map(|free| free.accelerators).sum();
        self.total += seconds * f64::from(capacity);
        self.free += seconds * f64::from(free);
        let document = &board.config.load().document;
        if let Some(shape) = largest_shape(document, &board.queue.load()) {
            let usable = usable_accelerators(&fleet, &shape);
            self.unusable += seconds * f64::from(free - usable.min(free));
        }
    }

    /// Returns the share of free accelerator time that could not serve the largest shape.
    pub(crate) fn fragmentation(&self) -> f64 {
        ratio(self.unusable, self.free)
    }

    /// Returns the share of accelerator time that was reserved.
    pub(crate) fn utilisation(&self) -> f64 {
        ratio(self.total - self.free, self.total)
    }
}

fn ratio(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { 0.0 }
}

/// Returns the largest guaranteed or queued shape by accelerators.
fn largest_shape(document: &Document, queue: &Queue) -> Option<Shape> {
    let guaranteed = document
        .accounts
        .values()
        .flat_map(|account| account.guarantees.iter().copied());
    let queued = queue.queued.values().filter_map(|job| job.request.shape);
    guaranteed
        .chain(queued)
        .filter(|shape| shape.accelerators > 0)
        .max_by_key(|shape| shape.total().accelerators)
}

/// Returns the free accelerators in windows that have room for the whole shape.
fn usable_accelerators(fleet: &Fleet, shape: &Shape) -> u32 {
    windows(fleet, shape.adjacency)
        .into_iter()
        .map(|window| task_room(&fleet.free[window], shape))
        .filter(|tasks| *tasks >= shape.tasks)
        .map(|tasks| tasks * shape.accelerators)
        .sum()
}
