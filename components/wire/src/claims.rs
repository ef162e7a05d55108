//! Messages about requests with an idempotency key.

use std::net::SocketAddr;
use std::time::Duration;

use model::{AccountId, AgentId, Attempt, CellId, Epoch, GangId, Incarnation, RequestId};
use serde::{Deserialize, Serialize};

/// The claim under which a request is dispatched to an agent.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DispatchClaim {
    /// Digest of all content that must match between requests with the same key.
    pub content_digest: u128,
    /// Epoch of the owner that retains the claim.
    pub epoch: Epoch,
    /// How long that owner retains the claim.
    pub retention: Duration,
}

/// A claim of a request, sent to the owner of its home cell.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Claim {
    /// Id of the request.
    pub request: RequestId,
    /// Client account of the request.
    pub account: AccountId,
    /// Digest of all content that must match between requests with the same key.
    pub content_digest: u128,
    /// Time until the deadline of the request.
    pub timeout: Duration,
    /// Cell that places the request; `None` for a request without a shape.
    pub cell: Option<CellId>,
    /// Agent to assign if the request has none.
    pub holder: Option<ClaimHolder>,
    /// Why the current assignment may be released, if it may.
    pub release: Option<ClaimReleaseReason>,
}

/// The agent to which a claimed request is assigned.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimHolder {
    /// Id of the agent.
    pub agent: AgentId,
    /// Address of the agent.
    pub addr: SocketAddr,
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// Gang that runs the request.
    pub gang: Option<GangId>,
}

/// Why a claim may be released from its current assignment.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub enum ClaimReleaseReason {
    /// The agent permanently refused this attempt, or the request may run again.
    Ended(Attempt),
    /// The calling entry did not send this attempt.
    Unsent(Attempt),
    /// The cell cannot place the request.
    Unplaceable,
}

/// The current assignment of a claimed request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ClaimReply {
    /// Epoch of the owner.
    pub epoch: Epoch,
    /// Attempt to dispatch; 0 while no agent is assigned.
    pub attempt: Attempt,
    /// Cell that places the request.
    pub cell: Option<CellId>,
    /// Assigned agent.
    pub holder: Option<ClaimHolder>,
    /// Whether this call made the assignment.
    pub newly_assigned: bool,
    /// How long the claim is still retained.
    pub retention: Duration,
    /// Whether the owner took over too recently to know all claims made under earlier owners.
    pub incomplete: bool,
}

/// Looks up a request that may have been dispatched to an agent under an earlier owner.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FindRequest {
    /// Id of the request.
    pub request: RequestId,
    /// If the request is unknown, the agent refuses dispatches of it under lower epochs.
    pub epoch: Epoch,
    /// How long the agent retains this refusal.
    pub retention: Duration,
}

/// A request that is known to an agent.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FoundRequest {
    /// Digest of all content that must match between requests with the same key.
    pub content_digest: u128,
}
