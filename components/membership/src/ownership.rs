//! Ownership of a cell: candidates and holders over a store with compare-and-swap and leases.
//!
//! A candidate first creates the holder key under its lease and then raises the epoch, so that only the holder raises
//! it. After each write it reads both keys again and decides from the result, which also covers a lost answer to the
//! write.

use std::time::{Duration, Instant};

use model::{EntryId, Epoch, Revision};

/// The term of the store lease of an owner.
pub const OWNER_LEASE_TERM: Duration = Duration::from_secs(3);

/// Interval between the renewals of the store lease of an owner.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(1);

/// Identifies a lease at the store; unique for each grant.
pub type LeaseId = u64;

/// The value of `cells/<cell>`, which persists when the owner changes.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct CellRecord {
    /// The epoch of the last owner.
    pub epoch: Epoch,
    /// The last owner.
    pub owner: EntryId,
    /// The lease under which that owner raised the epoch.
    pub lease: LeaseId,
}

/// Both keys of a cell as read from the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct CellView {
    /// The cell record with its revision.
    pub record: Option<(CellRecord, Revision)>,
    /// The lease that holds the cell, if any.
    pub holder: Option<LeaseId>,
}

/// The duty of a cell owner at one process, in one state of its life cycle.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Duty<S> {
    /// This process.
    pub owner: EntryId,
    /// What is known in this state.
    pub state: S,
}

/// The process has a store lease and tries to own the cell.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Candidate {
    lease: LeaseId,
    expires_at: Instant,
}

/// The process owns the cell.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Holder {
    /// The epoch to send with every message.
    pub epoch: Epoch,
    lease: LeaseId,
    recheck_at: Instant,
}

/// The next step of a candidate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Another process holds the cell; wait until the holder key changes.
    Wait(Duty<Candidate>),
    /// Create the holder key under this lease if it is absent, then read again.
    TakeHolder(Duty<Candidate>, LeaseId),
    /// Replace the cell record if its revision is still `expected`, where 0 means absent, then read again.
    RaiseEpoch {
        /// The candidate.
        duty: Duty<Candidate>,
        /// The record to write.
        record: CellRecord,
        /// The revision that was read.
        expected: Revision,
    },
    /// The process owns the cell.
    Own(Duty<Holder>),
    /// The lease has expired; request a new one.
    Restart(EntryId),
}

/// The result of a renewal request to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RenewalOutcome {
    /// The lease is valid.
    Renewed,
    /// The lease no longer exists.
    Expired,
    /// The store did not answer.
    NoAnswer,
}

/// Whether an owner may send reservations.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendDecision {
    /// The owner may send.
    Send,
    /// The owner must renew its lease first.
    RenewFirst,
}

impl Duty<Candidate> {
    /// Creates a candidate under a lease that was requested at `requested_at`.
    pub fn granted(owner: EntryId, lease: LeaseId, requested_at: Instant) -> Self {
        let expires_at = requested_at + OWNER_LEASE_TERM;
        Self {
            owner,
            state: Candidate { lease, expires_at },
        }
    }

    /// Returns the next step after a read of both keys that was requested at `requested_at`.
    pub fn decide(self, view: &CellView, requested_at: Instant, now: Instant) -> Step {
        let lease = self.state.lease;
        if now >= self.state.expires_at {
            return Step::Restart(self.owner);
        }
        match view.holder {
            None => Step::TakeHolder(self, lease),
            Some(holder) if holder != lease => Step::Wait(self),
            Some(_) => self.raise_or_own(view, requested_at),
        }
    }

    fn raise_or_own(self, view: &CellView, requested_at: Instant) -> Step {
        let lease = self.state.lease;
        let (epoch, expected) = match &view.record {
            Some((record, _)) if record.lease == lease => {
                let epoch = record.epoch;
                return Step::Own(self.hold(epoch, requested_at));
            }
            Some((record, revision)) => (record.epoch, *revision),
            None => (0, 0),
        };
        let record = CellRecord {
            epoch: epoch + 1,
            owner: self.owner.clone(),
            lease,
        };
        Step::RaiseEpoch {
            duty: self,
            record,
            expected,
        }
    }

    fn hold(self, epoch: Epoch, requested_at: Instant) -> Duty<Holder> {
        let lease = self.state.lease;
        let recheck_at = self.state.expires_at.min(requested_at + OWNER_LEASE_TERM);
        Duty {
            owner: self.owner,
            state: Holder {
                epoch,
                lease,
                recheck_at,
            },
        }
    }
}

impl Duty<Holder> {
    /// Returns the lease to renew.
    pub fn lease(&self) -> LeaseId {
        self.state.lease
    }

    /// Returns until when no other process can own the cell, as far as this one knows.
    pub fn valid_until(&self) -> Instant {
        self.state.recheck_at
    }

    /// Returns whether reservations may be sent or the lease must be renewed first.
    pub fn send_decision(&self, now: Instant) -> SendDecision {
        if now < self.state.recheck_at {
            return SendDecision::Send;
        }
        SendDecision::RenewFirst
    }

    /// Applies the result of a renewal requested at `requested_at`, or ends the duty if the lease has expired.
    ///
    /// A store that does not answer does not end the duty: the owner cannot tell an outage from its own isolation, and
    /// agents that know a newer owner refuse its messages.
    pub fn apply_renewal(
        mut self,
        outcome: RenewalOutcome,
        requested_at: Instant,
        now: Instant,
    ) -> Result<Self, EntryId> {
        let recheck_at = match outcome {
            RenewalOutcome::Renewed => requested_at + OWNER_LEASE_TERM,
            RenewalOutcome::NoAnswer => now + RENEW_INTERVAL,
            RenewalOutcome::Expired => return Err(self.owner),
        };
        self.state.recheck_at = self.state.recheck_at.max(recheck_at);
        Ok(self)
    }

    /// Ends the duty if an agent has seen a higher epoch.
    pub fn observe_epoch(self, agent_epoch: Epoch) -> Result<Self, EntryId> {
        if agent_epoch > self.state.epoch {
            return Err(self.owner);
        }
        Ok(self)
    }
}
