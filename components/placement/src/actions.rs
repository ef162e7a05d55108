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
        /// The gang.
        gang: Arc<Gang<Running>>,
        /// Why it is stopped.
        reason: StopReason,
    },
    /// Tell the entry that the job is refused.
    Refuse {
        /// The job.
        job: JobId,
        /// The refusal with its verdict.
        error: Error,
    },
    /// Release the accelerators of a gang that ended.
    Free {
        /// The gang.
        gang: GangId,
    },
}

/// Why a running gang is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// The caller cancelled the job.
    Cancelled,
    /// A client account claims its guarantee.
    Reclaimed,
    /// A member was lost.
    MemberLost,
}
