//! Events that the cell owner reports.

use std::sync::Arc;

use errors::Error;
use model::{AgentId, Epoch, Gang, GangId, JobId, Request, Running};

/// An event that may change the fleet or the queue.
#[derive(Debug, Clone)]
pub enum Event {
    /// An entry or the job store submitted a request. It is refused if it has no shape.
    Submitted(Arc<Request>),
    /// The caller cancelled a job.
    Cancelled(JobId),
    /// Every member of a gang is reserved.
    Reserved {
        /// Planned gang that can start.
        gang: GangId,
        /// Epoch of the reservation.
        epoch: Epoch,
    },
    /// An agent refused a reservation; no task of the gang runs.
    ReservationRefused {
        /// Planned gang, which is withdrawn.
        gang: GangId,
        /// Agent that refused.
        agent: AgentId,
        /// Reason of the refusal.
        error: Error,
    },
    /// A running gang ended.
    Ended {
        /// Gang whose resources are now free.
        gang: GangId,
        /// How the gang ended.
        end: GangEnd,
    },
    /// An agent announced a gang that already runs, after a change of the owner.
    Recovered {
        /// Gang with the members that are known.
        gang: Arc<Gang<Running>>,
        /// Request of its job.
        request: Arc<Request>,
    },
    /// The membership section changed.
    MembershipChanged,
    /// The configuration section changed.
    ConfigChanged,
    /// A periodic tick, at which decisions that depend on time are made.
    Tick,
}

/// How a running gang ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GangEnd {
    /// The endpoint answered the request.
    Answered,
    /// The job failed, with the verdict in the error.
    Failed(Error),
    /// The gang was stopped, usually to reclaim its capacity. The owner reports every end with an error of kind
    /// `Stopped` in this way.
    Stopped,
    /// A member was lost, so the gang could not finish.
    MemberLost,
    /// The gang did not start, so its request was not run.
    NeverRan,
}
