//! Messages with requests and answers.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use model::{
    AgentId, Attempt, EntryId, Epoch, GangId, Incarnation, JobId, Request, RequestId, WorkerId,
};
use serde::{Deserialize, Serialize};

use crate::claims::DispatchClaim;

/// A request that is dispatched to the agent of an endpoint.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Dispatch {
    /// Request to run.
    pub request: Request,
    /// Number of the attempt.
    pub attempt: Attempt,
    /// Incarnation of the agent as known to the sender; an agent loses its record of attempts when it restarts.
    pub incarnation: Incarnation,
    /// Gang that runs the request, if it has a shape.
    pub gang: Option<GangId>,
    /// Whether the answer should be compressed because it is sent to another region.
    pub compress: bool,
    /// Claim under which the request is dispatched, if it has an idempotency key.
    pub claim: Option<DispatchClaim>,
    /// Body of the request.
    pub body: Bytes,
    /// Whether the agent replies immediately and runs the request independently of the connection.
    pub detached: bool,
}

/// Queries the outcome of a detached attempt.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Attach {
    /// Id of the request.
    pub request: RequestId,
    /// Number of the attempt.
    pub attempt: Attempt,
    /// Incarnation of the agent to which the attempt was sent.
    pub incarnation: Incarnation,
    /// Whether the request is idempotent; the at-most-once record contains only non-idempotent requests.
    pub idempotent: bool,
    /// Time since the attempt was recorded; old attempts may have been removed from the at-most-once record.
    pub age: Duration,
    /// How long the agent waits for the outcome before it replies that the attempt is still running.
    pub wait: Duration,
}

/// The answer of an endpoint.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Answer {
    /// Id of the request.
    pub request: RequestId,
    /// Number of the attempt.
    pub attempt: Attempt,
    /// HTTP status code of the endpoint's response.
    pub status: u16,
    /// Content type of the body.
    pub content_type: Box<str>,
    /// Length of the uncompressed body in bytes.
    pub length: u64,
    /// BLAKE3 hash of the uncompressed body.
    pub digest: [u8; 32],
    /// Whether the body is compressed.
    pub compressed: bool,
    /// Body of the answer.
    pub body: Bytes,
}

/// Asks the owner of a cell to place a request with a shape.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Place {
    /// Request to place.
    pub request: Request,
    /// Entry that waits for the placement.
    pub entry: EntryId,
    /// Distinguishes several submissions that wait for the same job.
    pub waiter: u64,
    /// Gang of the previous placement, if this submission knows that it has ended.
    pub ended: Option<GangId>,
}

/// The running gang of a request, as the reply to [`Place`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Placed {
    /// Id of the gang.
    pub gang: GangId,
    /// Epoch of the reservation.
    pub epoch: Epoch,
    /// Number of the attempt.
    pub attempt: Attempt,
    /// Agent whose endpoint handles the request.
    pub agent: AgentId,
    /// Address of that agent.
    pub agent_addr: SocketAddr,
    /// Incarnation of that agent.
    pub incarnation: Incarnation,
    /// Workers of the gang.
    pub workers: Vec<WorkerId>,
}

/// Cancels a job, or the wait of one submission for its placement.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Cancel {
    /// Id of the job.
    pub job: JobId,
    /// Submission that no longer waits for the placement while others may; `None` to cancel the job itself.
    pub waiter: Option<u64>,
}
