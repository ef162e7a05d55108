//! Availability of the dependencies of a process. Each loss and each recovery is reported once.

use std::sync::atomic::{AtomicBool, Ordering};

use tokio::sync::Notify;

/// Tracks whether a dependency is lost.
#[derive(Debug)]
pub(crate) struct Dependency {
    lost: AtomicBool,
    regained: Notify,
}

impl Dependency {
    /// Creates a dependency in the given state.
    pub(crate) fn new(lost: bool) -> Self {
        Self {
            lost: AtomicBool::new(lost),
            regained: Notify::new(),
        }
    }

    /// Returns whether the last call went unanswered.
    pub(crate) fn is_lost(&self) -> bool {
        self.lost.load(Ordering::Acquire)
    }

    /// Waits until calls are answered; returns at once if the dependency is not lost.
    pub(crate) async fn wait_until_regained(&self) {
        let regained = self.regained.notified();
        if self.is_lost() {
            regained.await;
        }
    }

    /// Records whether a call was answered. Returns the name of the change if the state changed.
    pub(crate) fn record(&self, answered: bool) -> Option<&'static str> {
        let changed = self.lost.swap(!answered, Ordering::AcqRel) == answered;
        if changed && answered {
            self.regained.notify_waiters();
        }
        let change = if answered { "regained" } else { "lost" };
        changed.then_some(change)
    }
}
