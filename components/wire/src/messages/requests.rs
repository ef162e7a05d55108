//! Messages that carry requests and answers.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use model::{AgentId, Attempt, EntryId, Epoch, GangId, JobId, Request, RequestId, WorkerId};
use serde::{Deserialize, Serialize};

use crate::claims::ClaimTicket;

/// A request for an endpoint.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Dispatch {
    /// The request.
    pub request: Request,
    /// The try, from 1.
    pub attempt: Attempt,
    /// The life of the agent that the sender knows; a restarted agent has lost its record of attempts.
    pub incarnation: u64,
    /// The gang that runs for it.
    pub gang: Option<GangId>,
    /// Whether the answer crosses regions and should be compressed.
    pub pack: bool,
    /// The claim under which it is sent, if it has an idempotency key.
    pub claim: Option<ClaimTicket>,
    /// The body.
    pub body: Bytes,
    /// Whether the agent replies at once and runs the request whatever becomes of the connection.
    pub detached: bool,
}

/// Asks for the outcome of a detached attempt.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Attach {
    /// The request.
    pub request: RequestId,
    /// The try.
    pub attempt: Attempt,
    /// The life of the agent to which the attempt was sent.
    pub incarnation: u64,
    /// Whether the request is idempotent; the at-most-once record holds only those that are not.
    pub idempotent: bool,
    /// The time since the attempt was recorded; an old attempt may be gone from the at-most-once record.
    pub age: Duration,
    /// How long the agent waits for the end before it replies that the attempt still runs.
    pub wait: Duration,
}

/// The answer of an endpoint.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Answer {
    /// The request that it answers.
    pub request: RequestId,
    /// The try that it answers.
    pub attempt: Attempt,
    /// The HTTP status of the endpoint.
    pub status: u16,
    /// The content type of the body.
    pub content_type: Box<str>,
    /// Length of the plain body in bytes.
    pub length: u64,
    /// BLAKE3 hash of the plain body.
    pub digest: [u8; 32],
    /// Whether the body is compressed.
    pub packed: bool,
    /// The body.
    pub body: Bytes,
}

/// A request with a shape for the owner of a cell.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Place {
    /// The request.
    pub request: Request,
    /// The entry that waits.
    pub entry: EntryId,
    /// Tells apart the submissions that wait for one job.
    pub waiter: u64,
    /// The gang of the last placement, which this submission knows to have ended.
    pub ended: Option<GangId>,
}

/// A gang that runs.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Placed {
    /// The gang.
    pub gang: GangId,
    /// The epoch of its reservation.
    pub epoch: Epoch,
    /// The try, from 1.
    pub attempt: Attempt,
    /// The agent whose endpoint takes the request.
    pub agent: AgentId,
    /// The address of that agent.
    pub agent_addr: SocketAddr,
    /// When that agent started, in milliseconds since 1970.
    pub incarnation: u64,
    /// The workers of the gang.
    pub workers: Vec<WorkerId>,
}

/// A cancellation.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Cancel {
    /// The job.
    pub job: JobId,
    /// The submission that no longer waits for the placement of a job that others may wait for; none to end the job.
    pub waiter: Option<u64>,
}
