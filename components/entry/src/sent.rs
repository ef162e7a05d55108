//! Tracks whether a request may have reached an agent, for the verdict if it is aborted.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use error_stack::Report;
use errors::{Error, ErrorKind};

/// Flag that is set while an agent may have received the request.
#[derive(Debug, Clone, Default)]
pub(crate) struct SentFlag(Arc<AtomicBool>);

impl SentFlag {
    /// Records that an agent may receive the request from now on.
    pub(crate) fn set(&self) {
        self.0.store(true, Ordering::Release);
    }

    /// Records that the request is known not to have run.
    pub(crate) fn clear(&self) {
        self.0.store(false, Ordering::Release);
    }

    /// Returns the error for a request that is aborted because the entry exits.
    pub(crate) fn abort_error(&self) -> Report<Error> {
        let message = "the entry shut down before the request completed";
        let error = if self.0.load(Ordering::Acquire) {
            Error::may_have_run(ErrorKind::Draining, message)
        } else {
            Error::not_run(ErrorKind::Draining, message)
        };
        error.report()
    }
}
