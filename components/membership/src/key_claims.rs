//! Claims of requests with an idempotency key: the cell and the agent to which each request is assigned.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use errors::{Error, ErrorKind, Result};
use indexmap::IndexMap;
use model::{AccountId, AgentId, Attempt, CellId, Epoch, GangId, RequestId};

use crate::attempts::ATTEMPT_RETENTION;
use crate::protocol::Incarnation;

/// How long a claim is retained after the deadline of its request; agents retain attempts for the same time.
pub const CLAIM_RETENTION: Duration = ATTEMPT_RETENTION;
/// Maximum number of claims in one cell, about 40 MB.
pub const CLAIM_LIMIT: usize = 131_072;
/// Maximum number of claims of one client account, so that one account cannot fill the table.
pub const ACCOUNT_CLAIM_LIMIT: usize = 16_384;

/// Retry delay for callers whose claim is refused at a limit.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Returns whether a request may have a claim that was made under an earlier owner and is unknown to the one that took over at
/// `since`.
///
/// A claim is kept for its timeout and `CLAIM_RETENTION`. The timeout of the earlier submission is unknown; callers repeat
/// theirs or the time that is left of it, and so `timeout` stands for both.
pub fn may_miss_claim(epoch: Epoch, since: Instant, timeout: Duration, now: Instant) -> bool {
    epoch > 1 && now < since + timeout + CLAIM_RETENTION
}

/// The agent to which a request is assigned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// The agent.
    pub agent: AgentId,
    /// Its address.
    pub addr: SocketAddr,
    /// The incarnation of the agent.
    pub incarnation: Incarnation,
    /// The gang that runs the request.
    pub gang: Option<GangId>,
}

/// Why a claim may be released from its current assignment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReleaseReason {
    /// The holder permanently refused this attempt, or the request may run again.
    Ended(Attempt),
    /// The calling entry did not send this attempt to the holder.
    Unsent(Attempt),
    /// The cell cannot place the request.
    Unplaceable,
}

/// Arguments of [`ClaimTable::claim`]: the request and the assignment to make if it has none.
#[derive(Debug, Clone)]
pub struct ClaimRequest {
    /// The request.
    pub request: RequestId,
    /// The client account.
    pub account: AccountId,
    /// Digest of all content that must match between requests with the same key.
    pub content_digest: u128,
    /// The cell that places the request; `None` for a request without a shape.
    pub cell: Option<CellId>,
    /// The agent to assign if the request has none.
    pub holder: Option<Holder>,
    /// The time left until the deadline of the request.
    pub timeout: Duration,
    /// Set if the calling entry knows that the current assignment is not used.
    pub release: Option<ReleaseReason>,
}

/// The current assignment of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimStatus {
    /// The attempt to dispatch; 0 while no agent is assigned.
    pub attempt: Attempt,
    /// The cell that places the request.
    pub cell: Option<CellId>,
    /// The assigned agent.
    pub holder: Option<Holder>,
    /// Whether this call made the assignment.
    pub new: bool,
    /// How long the claim is still retained; the agent must retain the request for longer.
    pub retention: Duration,
}

#[derive(Debug)]
struct Claim {
    account: AccountId,
    content_digest: u128,
    attempt: Attempt,
    cell: Option<CellId>,
    holder: Option<Holder>,
    /// Whether more than one call was answered with the current attempt.
    shared: bool,
    expires_at: Instant,
}

/// The claims of a cell under one owner epoch.
#[derive(Debug, Default)]
pub struct ClaimTable {
    by_request: IndexMap<RequestId, Claim>,
    by_account: IndexMap<AccountId, usize>,
    expiry: BTreeSet<(Instant, RequestId)>,
}

impl ClaimTable {
    /// Returns the assignment of a request; the first call for a request creates the claim.
    pub fn claim(&mut self, call: ClaimRequest, now: Instant) -> Result<ClaimStatus> {
        self.remove_expired(now);
        let Some(claim) = self.by_request.get_mut(&call.request) else {
            return self.insert(call, now);
        };
        if claim.content_digest != call.content_digest {
            let message = "the idempotency key was used for another body, service or shape";
            return Err(Error::not_run(ErrorKind::Conflict, message).report());
        }
        let previous_expiry = claim.expires_at;
        let request = call.request;
        let status = claim.resolve(call, now);
        if claim.expires_at != previous_expiry {
            self.expiry.remove(&(previous_expiry, request));
            self.expiry.insert((claim.expires_at, request));
        }
        Ok(status)
    }

    /// Returns the number of claims.
    pub fn len(&self) -> usize {
        self.by_request.len()
    }

    /// Returns whether there are no claims.
    pub fn is_empty(&self) -> bool {
        self.by_request.is_empty()
    }

    fn insert(&mut self, call: ClaimRequest, now: Instant) -> Result<ClaimStatus> {
        let account_claims = self.by_account.get(&call.account).copied();
        if self.by_request.len() >= CLAIM_LIMIT
            || account_claims.unwrap_or_default() >= ACCOUNT_CLAIM_LIMIT
        {
            let error = Error::not_run(ErrorKind::Overloaded, "too many idempotency keys in use");
            return Err(error.retry_after(FULL_RETRY_AFTER).report());
        }
        *self.by_account.entry(call.account.clone()).or_default() += 1;
        let expires_at = now + call.timeout + CLAIM_RETENTION;
        self.expiry.insert((expires_at, call.request));
        let claim = Claim {
            account: call.account,
            content_digest: call.content_digest,
            attempt: Attempt::from(call.holder.is_some()),
            cell: call.cell,
            holder: call.holder,
            shared: false,
            expires_at,
        };
        let status = claim.status(true, now);
        self.by_request.insert(call.request, claim);
        Ok(status)
    }

    fn remove_expired(&mut self, now: Instant) {
        while let Some((expires_at, request)) = self.expiry.first().copied() {
            if expires_at > now {
                return;
            }
            self.expiry.pop_first();
            self.remove(request);
        }
    }

    fn remove(&mut self, request: RequestId) {
        let Some(claim) = self.by_request.swap_remove(&request) else {
            return;
        };
        if let Some(count) = self.by_account.get_mut(&claim.account) {
            *count -= 1;
            if *count == 0 {
                self.by_account.swap_remove(&claim.account);
            }
        }
    }
}

impl Claim {
    fn resolve(&mut self, call: ClaimRequest, now: Instant) -> ClaimStatus {
        if call.release == Some(ReleaseReason::Unplaceable) && self.holder.is_none() {
            self.cell.clone_from(&call.cell);
        }
        if self.holder.is_some() && !self.may_release(call.release) {
            self.shared |= call.release != Some(ReleaseReason::Unsent(self.attempt));
            return self.status(false, now);
        }
        let Some(holder) = call.holder.filter(|_| call.cell == self.cell) else {
            self.holder = None;
            return self.status(false, now);
        };
        self.holder = Some(holder);
        self.attempt += 1;
        self.shared = false;
        self.expires_at = self.expires_at.max(now + call.timeout + CLAIM_RETENTION);
        self.status(true, now)
    }

    /// An attempt that another entry may have sent is released only after its holder refused it.
    fn may_release(&self, release: Option<ReleaseReason>) -> bool {
        match release {
            Some(ReleaseReason::Ended(attempt)) => attempt >= self.attempt,
            Some(ReleaseReason::Unsent(attempt)) => attempt >= self.attempt && !self.shared,
            Some(ReleaseReason::Unplaceable) | None => false,
        }
    }

    fn status(&self, new: bool, now: Instant) -> ClaimStatus {
        ClaimStatus {
            attempt: self.attempt,
            cell: self.cell.clone(),
            holder: self.holder.clone(),
            new,
            retention: self.expires_at.saturating_duration_since(now),
        }
    }
}
