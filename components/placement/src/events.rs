//! Events that the cell owner reports.

use std::sync::Arc;

use errors::Error;
use model::{AgentId, Epoch, Gang, GangId, JobId, Request, Running};

/// An event that may change the fleet or the queue.
#[derive(Debug, Clone)]
pub enum Event {
    /// An entry or the job store submitted a request with a shape.
    Submitted(Arc<Request>),
    /// The caller cancelled a job.
    Cancelled(JobId),
    /// Every member of a gang is reserved.
    Reserved {
        /// The gang.
        gang: GangId,
        /// The epoch of the reservation.
        epoch: Epoch,
    },
    /// An agent refused a reservation; no task of the gang runs.
    ReservationRefused {
        /// The gang.
        gang: GangId,
        /// The agent that refused.
        agent: AgentId,
        /// Why it refused.
        error: Error,
    },
    /// A running gang ended.
    Ended {
        /// The gang.
        gang: GangId,
        /// How it ended.
        end: GangEnd,
    },
    /// An agent announced a gang that already runs, after a change of the owner.
    Recovered {
        /// The gang.
        gang: Arc<Gang<Running>>,
        /// The request of its job.
        request: Arc<Request>,
    },
    /// The membership section changed.
    MembershipChanged,
    /// The configuration section changed.
    ConfigChanged,
    /// Time passed.
    Tick,
}

/// How a running gang ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GangEnd {
    /// The endpoint answered.
    Answered,
    /// The job failed, with the verdict in the error.
    Failed(Error),
    /// The owner stopped the gang to reclaim its capacity.
    Stopped,
    /// A member was lost.
    MemberLost,
    /// The gang did not start, so its request was not run.
    NeverRan,
}
