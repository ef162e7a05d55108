//! The life cycle of a running gang on the simulated platform: active, stopping, ended.

use std::sync::Arc;
use std::time::Duration;

use errors::{Error, ErrorKind};
use model::{Gang, Running, WorkerId};
use placement::{GangEnd, StopReason};

/// A running gang in one state of its life cycle.
#[derive(Debug, Clone)]
pub(crate) struct Execution<S> {
    pub(crate) gang: Arc<Gang<Running>>,
    pub(crate) started: Duration,
    pub(crate) ends: Duration,
    pub(crate) state: S,
}

/// The gang runs until it ends by itself.
#[derive(Debug, Clone)]
pub(crate) struct Active {
    pub(crate) outcome: RunOutcome,
}

/// The gang was requested to stop.
#[derive(Debug, Clone)]
pub(crate) struct Stopping {
    pub(crate) reason: StopReason,
}

impl Execution<Active> {
    pub(crate) fn stop(self, reason: StopReason, ends: Duration) -> Execution<Stopping> {
        Execution {
            gang: self.gang,
            started: self.started,
            ends,
            state: Stopping { reason },
        }
    }
}

/// How a run ends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RunOutcome {
    Answered,
    Failed(WorkerId),
    MemberLost,
    Stopped(StopReason),
}

impl RunOutcome {
    /// Returns the end as an agent would report it.
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
    /// Ends the run with an outcome.
    pub(crate) fn end(self, outcome: RunOutcome) -> Execution<RunOutcome> {
        Execution {
            gang: self.gang,
            started: self.started,
            ends: self.ends,
            state: outcome,
        }
    }
}
