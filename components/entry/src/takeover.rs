//! Waiting for the next owner of a cell.

use std::time::{Duration, Instant};

use error_stack::Report;
use errors::{Error, ErrorKind, Result};
use tokio::sync::watch;
use tokio::time::timeout;

use crate::call::{Admitted, Call};
use crate::context::Context;

/// How long a request waits for the next owner: the lease of the last one and the announcements to the next.
const LIMIT: Duration = Duration::from_secs(8);
/// How often an owner that may have been silent only for a moment is asked again.
const INTERVAL: Duration = Duration::from_millis(250);
/// The shortest pause between two questions.
const PAUSE: Duration = Duration::from_millis(50);

/// The wait of one step that needs an owner.
///
/// Nothing has been dispatched by such a step, so the wait takes nothing from the retry budget.
pub(crate) struct Takeover {
    started: Instant,
    changes: watch::Receiver<u64>,
}

impl Takeover {
    /// Starts to count the time.
    pub(crate) fn start(cx: &Context) -> Self {
        let changes = cx.entry_board.owners.changes();
        Self {
            started: timer::now(),
            changes,
        }
    }

    /// Waits before the step is repeated, or returns the error if waiting is of no use.
    pub(crate) async fn wait(
        &mut self,
        cx: &Context,
        call: &Call<Admitted>,
        report: Report<Error>,
    ) -> Result<()> {
        let now = timer::now();
        let waited = now.saturating_duration_since(self.started);
        let unavailable = report.current_context().kind == ErrorKind::Unavailable;
        if !unavailable || waited >= LIMIT || call.remaining(now).is_err() {
            return Err(report);
        }
        // A change of the directory may name the new owner.
        let _ = timeout(INTERVAL, self.changes.changed()).await;
        cx.timer.subscribe_after(PAUSE).recv().await;
        Ok(())
    }
}
