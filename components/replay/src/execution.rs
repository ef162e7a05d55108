//! The life cycle of a running gang on the platform: free, stopping, ended.

use std::sync::Arc;
use std::time::Duration;

use errors::{Error, ErrorKind};
use model::{Gang, Running, WorkerId};
use placement::{GangEnd, StopReason};

/// A running gang in one state of its end.
#[derive(Debug, Clone)]
pub(crate) struct Execution<S> {
    pub(crate) gang: Arc<Gang<Running>>,
    pub(crate) started: Duration,
    pub(crate) ends: Duration,
    pub(crate) state: S,
}

/// The gang runs towards its own end.
#[derive(Debug, Clone)]
pub(crate) struct Free {
    pub(crate) end: RunOutcome,
}

/// The gang was told to stop.
#[derive(Debug, Clone)]
pub(crate) struct Stopping {
    pub(crate) reason: StopReason,
}

impl Execution<Free> {
    pub(crate) fn stop(self, reason: StopReason, ends: Duration) -> Execution<Stopping> {
        Execution {
            gang: self.gang,
            started: self.started,
            ends,
            state: Stopping { reason },
        }
    }
}

/// How a run ends by itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RunOutcome {
    Answered,
    Failed(WorkerId),
    MemberLost,
    Stopped(StopReason),
}

impl RunOutcome {
    /// Returns the end as agents report it.
    pub(crate) fn gang_end(&self) -> GangEnd {
        match self {
            Self::Answered => GangEnd::Answered,
            Self::Failed(worker) => {
                let message = format!("a task failed on worker {worker}");
                GangEnd::Failed(Error::may_have_run(ErrorKind::Failed, message))
            }
            Self::MemberLost | Self::Stopped(StopReason::MemberLost) => GangEnd::MemberLost,
            Self::Stopped(StopReason::Reclaimed) => GangEnd::Stopped,
            Self::Stopped(StopReason::Cancelled) => GangEnd::Failed(Error::may_have_run(
                ErrorKind::Cancelled,
                "cancelled while running",
            )),
        }
    }
}

impl<S> Execution<S> {
    /// Records how the run ended.
    pub(crate) fn ended(self, end: RunOutcome) -> Execution<RunOutcome> {
        Execution {
            gang: self.gang,
            started: self.started,
            ends: self.ends,
            state: end,
        }
    }
}
