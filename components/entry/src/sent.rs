//! Whether an agent may have a request, for a verdict while the request is in progress.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use error_stack::Report;
use errors::{Error, ErrorKind};

/// Set while an agent may have the request.
#[derive(Debug, Clone, Default)]
pub(crate) struct Sent(Arc<AtomicBool>);

impl Sent {
    /// Records that an agent may get the request from now on.
    pub(crate) fn set(&self) {
        self.0.store(true, Ordering::Release);
    }

    /// Records that the request surely did not run so far.
    pub(crate) fn clear(&self) {
        self.0.store(false, Ordering::Release);
    }

    /// Returns the error of a request whose entry ends at once.
    pub(crate) fn cut_off(&self) -> Report<Error> {
        let message = "the entry ended before the request did";
        let error = if self.0.load(Ordering::Acquire) {
            Error::may_have_run(ErrorKind::Draining, message)
        } else {
            Error::not_run(ErrorKind::Draining, message)
        };
        error.report()
    }
}
