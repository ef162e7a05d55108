//! Claims of requests with an idempotency key: which cell or agent has the request.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use errors::{Error, ErrorKind, Result};
use indexmap::IndexMap;
use model::{AccountId, AgentId, Attempt, CellId, GangId, RequestId};

use crate::attempts::ATTEMPT_RETENTION;
use crate::orders::Incarnation;

/// How long a claim is kept after the deadline of its request, as long as agents remember attempts.
pub const CLAIM_RETENTION: Duration = ATTEMPT_RETENTION;
/// Claims of one cell, about 40 MB.
pub const CLAIM_LIMIT: usize = 131_072;
/// Claims of one client account, so that one account cannot use up the table.
pub const ACCOUNT_CLAIM_LIMIT: usize = 16_384;

/// When a caller whose claim found the table full may try again.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(10);

/// The agent that has a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// The agent.
    pub agent: AgentId,
    /// Its address.
    pub addr: SocketAddr,
    /// The life of the agent.
    pub incarnation: Incarnation,
    /// The gang that runs for the request.
    pub gang: Option<GangId>,
}

/// Why a claim may leave its present place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Leave {
    /// The holder refused this attempt for good, or the request may run again.
    Ended(Attempt),
    /// This attempt was not sent to the holder by the asking entry.
    Unsent(Attempt),
    /// The cell cannot place the request.
    Cell,
}

/// A question for the table: who has the request, or this place if nobody has it.
#[derive(Debug, Clone)]
pub struct Question {
    /// The request.
    pub request: RequestId,
    /// The client account.
    pub account: AccountId,
    /// Digest of everything that must be equal under one key.
    pub content: u128,
    /// The cell that places the request; none for a request without a shape.
    pub cell: Option<CellId>,
    /// The agent that gets the request if it is free.
    pub holder: Option<Holder>,
    /// The time left until the deadline of the request.
    pub timeout: Duration,
    /// Set when the asking entry knows that the present place is not used.
    pub leave: Option<Leave>,
}

/// Where a request is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claimed {
    /// The attempt to dispatch; 0 while no agent has the request.
    pub attempt: Attempt,
    /// The cell that places it.
    pub cell: Option<CellId>,
    /// The agent that has it.
    pub holder: Option<Holder>,
    /// Whether this question put it there.
    pub new: bool,
    /// How long the claim is still kept; the agent must remember the request for longer.
    pub keep: Duration,
}

#[derive(Debug)]
struct Claim {
    account: AccountId,
    content: u128,
    attempt: Attempt,
    cell: Option<CellId>,
    holder: Option<Holder>,
    /// Whether several questions were answered with the present attempt.
    shared: bool,
    until: Instant,
}

/// The claims of one ownership of a cell.
#[derive(Debug, Default)]
pub struct Claims {
    known: IndexMap<RequestId, Claim>,
    by_account: IndexMap<AccountId, usize>,
    expiry: BTreeSet<(Instant, RequestId)>,
}

impl Claims {
    /// Answers a question; the first one for a request makes the claim.
    pub fn claim(&mut self, question: Question, now: Instant) -> Result<Claimed> {
        self.forget(now);
        let Some(claim) = self.known.get_mut(&question.request) else {
            return self.insert(question, now);
        };
        if claim.content != question.content {
            let message = "the idempotency key was used for another body, service or shape";
            return Err(Error::not_run(ErrorKind::Conflict, message).report());
        }
        let before = claim.until;
        let request = question.request;
        let claimed = claim.answer(question, now);
        if claim.until != before {
            self.expiry.remove(&(before, request));
            self.expiry.insert((claim.until, request));
        }
        Ok(claimed)
    }

    /// Returns the number of claims.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Returns whether there are no claims.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    fn insert(&mut self, question: Question, now: Instant) -> Result<Claimed> {
        let own = self.by_account.get(&question.account).copied();
        if self.known.len() >= CLAIM_LIMIT || own.unwrap_or_default() >= ACCOUNT_CLAIM_LIMIT {
            let error = Error::not_run(ErrorKind::Overloaded, "too many idempotency keys in use");
            return Err(error.retry_after(FULL_RETRY_AFTER).report());
        }
        *self.by_account.entry(question.account.clone()).or_default() += 1;
        let until = now + question.timeout + CLAIM_RETENTION;
        self.expiry.insert((until, question.request));
        let claim = Claim {
            account: question.account,
            content: question.content,
            attempt: Attempt::from(question.holder.is_some()),
            cell: question.cell,
            holder: question.holder,
            shared: false,
            until,
        };
        let claimed = claim.claimed(true, now);
        self.known.insert(question.request, claim);
        Ok(claimed)
    }

    fn forget(&mut self, now: Instant) {
        while let Some((until, request)) = self.expiry.first().copied() {
            if until > now {
                return;
            }
            self.expiry.pop_first();
            self.remove(request);
        }
    }

    fn remove(&mut self, request: RequestId) {
        let Some(claim) = self.known.swap_remove(&request) else {
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
    fn answer(&mut self, question: Question, now: Instant) -> Claimed {
        if question.leave == Some(Leave::Cell) && self.holder.is_none() {
            self.cell.clone_from(&question.cell);
        }
        if self.holder.is_some() && !self.may_leave(question.leave) {
            self.shared |= question.leave != Some(Leave::Unsent(self.attempt));
            return self.claimed(false, now);
        }
        let Some(holder) = question.holder.filter(|_| question.cell == self.cell) else {
            self.holder = None;
            return self.claimed(false, now);
        };
        self.holder = Some(holder);
        self.attempt += 1;
        self.shared = false;
        self.until = self.until.max(now + question.timeout + CLAIM_RETENTION);
        self.claimed(true, now)
    }

    /// An attempt that another entry may have sent is left only when its holder refused it.
    fn may_leave(&self, leave: Option<Leave>) -> bool {
        match leave {
            Some(Leave::Ended(attempt)) => attempt >= self.attempt,
            Some(Leave::Unsent(attempt)) => attempt >= self.attempt && !self.shared,
            Some(Leave::Cell) | None => false,
        }
    }

    fn claimed(&self, new: bool, now: Instant) -> Claimed {
        Claimed {
            attempt: self.attempt,
            cell: self.cell.clone(),
            holder: self.holder.clone(),
            new,
            keep: self.until.saturating_duration_since(now),
        }
    }
}
