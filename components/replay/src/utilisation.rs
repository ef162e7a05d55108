//! Metrics that are integrated over virtual time.

use std::time::Duration;

use board::{Board, Fleet, Queue};
use model::{Document, Shape};

use crate::trace::{Line, Trace, TraceEvent};
use crate::windows::{task_capacity, windows};

/// Accelerator time in total, free, and free but unusable, up to the last submission of the trace.
///
/// The time after the last submission is excluded, because an emptying fleet does not show how a policy performs under
/// load.
#[derive(Debug)]
pub(crate) struct UtilisationMeter {
    end: Duration,
    last_update: Duration,
    total_seconds: f64,
    free_seconds: f64,
    unusable_seconds: f64,
}

impl UtilisationMeter {
    pub(crate) fn new(trace: &Trace) -> Self {
        let last_submit = trace
            .lines
            .iter()
            .rfind(|line| matches!(line.event, TraceEvent::Submit(_)));
        Self {
            end: last_submit.map_or(Duration::ZERO, Line::at),
            last_update: Duration::ZERO,
            total_seconds: 0.0,
            free_seconds: 0.0,
            unusable_seconds: 0.0,
        }
    }

    /// Adds the time since the last call, during which the board has not changed.
    pub(crate) fn advance(&mut self, board: &Board, at: Duration) {
        let at = at.min(self.end);
        let seconds = at.saturating_sub(self.last_update).as_secs_f64();
        if seconds == 0.0 {
            return;
        }
        self.last_update = at;
        let fleet = board.fleet.load();
        let capacity: u32 = fleet
            .workers
            .values()
            .map(|w| w.capacity.accelerators)
            .sum();
        let free: u32 = fleet.free.iter().map(|free| free.accelerators).sum();
        self.total_seconds += seconds * f64::from(capacity);
        self.free_seconds += seconds * f64::from(free);
        let document = &board.config.load().document;
        if let Some(shape) = largest_shape(document, &board.queue.load()) {
            let usable = usable_accelerators(&fleet, &shape);
            self.unusable_seconds += seconds * f64::from(free - usable.min(free));
        }
    }

    /// Returns the share of free accelerator time that could not be used by the largest shape.
    pub(crate) fn fragmentation(&self) -> f64 {
        ratio(self.unusable_seconds, self.free_seconds)
    }

    /// Returns the share of accelerator time that was reserved.
    pub(crate) fn utilisation(&self) -> f64 {
        ratio(self.total_seconds - self.free_seconds, self.total_seconds)
    }
}

fn ratio(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { 0.0 }
}

/// Returns the guaranteed or queued shape with the most accelerators.
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

/// Returns the number of free accelerators in windows that can hold the whole shape.
fn usable_accelerators(fleet: &Fleet, shape: &Shape) -> u32 {
    windows(fleet, shape.adjacency)
        .into_iter()
        .map(|window| task_capacity(&fleet.free[window], shape))
        .filter(|tasks| *tasks >= shape.tasks)
        .map(|tasks| tasks * shape.accelerators)
        .sum()
}
