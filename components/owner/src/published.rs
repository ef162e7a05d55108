//! What the owner of a cell publishes while it owns the cell.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use board::Section;
use model::Epoch;
use wire::CellSummary;

use crate::jobs::Jobs;

/// An ownership of the cell by this process, with the sections that its controllers write.
///
/// The sections begin and end with the ownership, and have no value until it is known, because an empty one would read as a cell
/// without jobs or gangs.
#[derive(Debug)]
pub(crate) struct Ownership {
    pub(crate) epoch: Epoch,
    /// When this process began to own the cell.
    pub(crate) since: Instant,
    /// The asynchronous jobs of the cell, once they have been listed; written by the jobs controller.
    pub(crate) jobs: Section<Option<Jobs>>,
    /// The state of the cell for operators, once the gangs of earlier owners are known; written by the summary controller.
    pub(crate) summary: Section<Option<CellSummary>>,
    recovering: AtomicBool,
    /// Until when another owner can't have replaced this one unnoticed, in milliseconds after `since`.
    current_until_ms: AtomicU64,
}

impl Ownership {
    /// Creates an ownership that waits for the gangs of earlier owners.
    pub(crate) fn new(epoch: Epoch, current_until: Instant) -> Arc<Self> {
        let ownership = Self {
            epoch,
            since: timer::now(),
            jobs: Section::new(None),
            summary: Section::new(None),
            recovering: AtomicBool::new(true),
            current_until_ms: AtomicU64::new(0),
        };
        ownership.extend(current_until);
        Arc::new(ownership)
    }

    /// Returns whether the gangs of earlier owners are not known yet.
    pub(crate) fn is_recovering(&self) -> bool {
        self.recovering.load(Ordering::Acquire)
    }

    /// Records that the gangs of earlier owners are known and are in the fleet section. Returns whether they were not before.
    pub(crate) fn end_recovery(&self) -> bool {
        self.recovering.swap(false, Ordering::AcqRel)
    }

    /// Records that another owner can't replace this one unnoticed before `until`.
    pub(crate) fn extend(&self, until: Instant) {
        let after = until.saturating_duration_since(self.since);
        let after = u64::try_from(after.as_millis()).unwrap_or(u64::MAX);
        self.current_until_ms.fetch_max(after, Ordering::AcqRel);
    }

    /// Returns whether another owner can't have replaced this one unnoticed, as it can while the process is paused.
    pub(crate) fn is_current(&self, now: Instant) -> bool {
        let until = Duration::from_millis(self.current_until_ms.load(Ordering::Acquire));
        now < self.since + until
    }
}
