//! The messages about requests with an idempotency key.

use std::net::SocketAddr;
use std::time::Duration;

use model::{AccountId, AgentId, Attempt, CellId, Epoch, GangId, RequestId};
use serde::{Deserialize, Serialize};

/// What an agent needs to know of the claim of a request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ClaimTicket {
    /// Digest of everything that must be equal under one key.
    pub content: u128,
    /// The epoch of the owner that keeps the claim.
    pub epoch: Epoch,
    /// How long that owner keeps it.
    pub keep: Duration,
}

/// A question for the owner of the home cell of a request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Claim {
    /// The request.
    pub request: RequestId,
    /// Its client account.
    pub account: AccountId,
    /// Digest of everything that must be equal under one key.
    pub content: u128,
    /// The time left until its deadline.
    pub timeout: Duration,
    /// The cell that places it; none for a request without a shape.
    pub cell: Option<CellId>,
    /// The agent that gets it if no other agent has it.
    pub holder: Option<ClaimHolder>,
    /// Why the present place is not used.
    pub leave: Option<LeaveClaim>,
}

/// The agent that has a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimHolder {
    /// The agent.
    pub agent: AgentId,
    /// Its address.
    pub addr: SocketAddr,
    /// When it started, in milliseconds since 1970.
    pub incarnation: u64,
    /// The gang that runs for the request.
    pub gang: Option<GangId>,
}

/// Why a claim may leave its present place.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub enum LeaveClaim {
    /// The agent refused this attempt for good, or the request may run again.
    Ended(Attempt),
    /// The asking entry did not send this attempt.
    Unsent(Attempt),
    /// The cell cannot place the request.
    Cell,
}

/// Where a claimed request is.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Claimed {
    /// The epoch of the owner.
    pub epoch: Epoch,
    /// The attempt to dispatch; 0 while no agent has the request.
    pub attempt: Attempt,
    /// The cell that places it.
    pub cell: Option<CellId>,
    /// The agent that has it.
    pub holder: Option<ClaimHolder>,
    /// Whether this call put it there.
    pub new: bool,
    /// How long the claim is still kept.
    pub keep: Duration,
    /// Whether the owner is too new to know the claims of earlier owners.
    pub incomplete: bool,
}

/// Asks an agent for a request that an earlier owner may have sent there.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FindRequest {
    /// The request.
    pub request: RequestId,
    /// Dispatches under older epochs are refused from now on.
    pub epoch: Epoch,
    /// How long the refusal is kept.
    pub keep: Duration,
}

/// A request that an agent knows.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FoundRequest {
    /// Digest of everything that must be equal under one key.
    pub content: u128,
}
