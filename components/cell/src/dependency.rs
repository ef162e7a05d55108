//! What a process depends on: each loss and each return is reported once.

use std::sync::atomic::{AtomicBool, Ordering};

use tokio::sync::Notify;

/// Whether a dependency is lost.
#[derive(Debug)]
pub(crate) struct Dependency {
    lost: AtomicBool,
    regained: Notify,
}

impl Dependency {
    /// Creates a dependency that is lost or not.
    pub(crate) fn new(lost: bool) -> Self {
        Self {
            lost: AtomicBool::new(lost),
            regained: Notify::new(),
        }
    }

    /// Returns whether the last call was not answered.
    pub(crate) fn is_lost(&self) -> bool {
        self.lost.load(Ordering::Acquire)
    }

    /// Waits until calls are answered again.
    pub(crate) async fn regained(&self) {
        let regained = self.regained.notified();
        if self.is_lost() {
            regained.await;
        }
    }

    /// Notes whether a call was answered; returns the name of the change if this is one.
    pub(crate) fn note(&self, answered: bool) -> Option<&'static str> {
        let changed = self.lost.swap(!answered, Ordering::AcqRel) == answered;
        if changed && answered {
            self.regained.notify_waiters();
        }
        let change = if answered { "regained" } else { "lost" };
        changed.then_some(change)
    }
}
