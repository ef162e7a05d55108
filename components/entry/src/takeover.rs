//! Waiting for a cell to get a new owner.

use std::time::{Duration, Instant};

use error_stack::Report;
use errors::{Error, ErrorKind, Result};
use tokio::sync::watch;
use tokio::time::timeout;

use crate::call::{Admitted, Call};
use crate::context::Context;

/// Maximum wait for a new owner: covers the lease of the previous owner and the agents' announcements to the new one.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(8);
/// Retry interval while the owner stays the same, because it may have been unreachable only briefly.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum delay between two calls.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Retries a step that needs a cell owner.
///
/// Such a step has not dispatched anything, so its retries do not count against the retry budget.
pub(crate) struct TakeoverWait {
    started: Instant,
    owner_changes: watch::Receiver<u64>,
}

impl TakeoverWait {
    /// Starts the takeover timeout and subscribes to changes of cell owners.
    pub(crate) fn start(cx: &Context) -> Self {
        let owner_changes = cx.entry_board.owners.changes();
        Self {
            started: timer::now(),
            owner_changes,
        }
    }

    /// Waits before the step is retried, or returns the error if it is not retryable or the time is up.
    pub(crate) async fn wait(
        &mut self,
        cx: &Context,
        call: &Call<Admitted>,
        report: Report<Error>,
    ) -> Result<()> {
        let now = timer::now();
        let waited = now.saturating_duration_since(self.started);
        let unavailable = report.current_context().kind == ErrorKind::Unavailable;
        if !unavailable || waited >= TAKEOVER_TIMEOUT || call.remaining(now).is_err() {
            return Err(report);
        }
        // Wakes up early when an owner changes, since the new owner may be the one awaited.
        let _ = timeout(RETRY_INTERVAL, self.owner_changes.changed()).await;
        cx.timer.subscribe_after(MIN_RETRY_DELAY).recv().await;
        Ok(())
    }
}
