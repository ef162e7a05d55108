//! Actions that the cell owner must carry out.

use std::sync::Arc;

use errors::Error;
use model::{Gang, GangId, JobId, Planned, Running};

/// An action that follows from a decision.
#[derive(Debug, Clone)]
pub enum Action {
    /// Reserve every member and the endpoint slot of a gang.
    Reserve(Arc<Gang<Planned>>),
    /// Start a reserved gang and notify the waiting entry.
    Start(Arc<Gang<Running>>),
    /// Release the reservations of a gang that never ran.
    Release(Arc<Gang<Planned>>),
    /// Stop a running gang; its members then report that it ended.
    Stop {
        /// Gang to stop.
        gang: Arc<Gang<Running>>,
        /// Why it is stopped.
        reason: StopReason,
    },
    /// Tell the entry that the job is refused.
    Refuse {
        /// Job that left the queue or was not accepted.
        job: JobId,
        /// Error for the caller, with the verdict.
        error: Error,
    },
    /// Note that a gang ended and its resources are free again. The owner has nothing to do; replay removes the gang
    /// from its simulated platform.
    Free {
        /// Gang that ended.
        gang: GangId,
    },
}

/// Why a running gang is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// The caller cancelled the job.
    Cancelled,
    /// The capacity is reclaimed for a guarantee.
    Reclaimed,
    /// A member was lost. `step` does not stop gangs for this reason.
    MemberLost,
}
