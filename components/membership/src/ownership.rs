//! The duty of a cell owner: candidate and holder over a store with compare-and-swap and leases.
//!
//! A candidate first creates the holder key under its lease and then raises the epoch, so that only the holder raises
//! it. After each write it reads both keys again and decides from what it read; a lost answer needs no other treatment.

use std::time::{Duration, Instant};

use model::{EntryId, Epoch, Revision};

/// The term of the store lease of an owner.
pub const OWNER_LEASE_TERM: Duration = Duration::from_secs(3);

/// How often an owner renews its store lease.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(1);

/// Identifies a lease at the store; unique for each grant.
pub type LeaseId = u64;

/// The value of `cells/<cell>`, which outlives every owner.
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
    /// The lease that holds the cell, if one does.
    pub holder: Option<LeaseId>,
}

/// One process's part in the ownership of a cell.
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
    expires: Instant,
}

/// The process owns the cell.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Holder {
    /// The epoch to put into every message.
    pub epoch: Epoch,
    lease: LeaseId,
    checked_until: Instant,
}

/// What a candidate does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Another process holds the cell; wait for a change of the holder key.
    Wait(Duty<Candidate>),
    /// Create the holder key under this lease if it is absent, then read again.
    TakeHolder(Duty<Candidate>, LeaseId),
    /// Replace the cell record if its revision is still `expected` (0: absent), then read again.
    RaiseEpoch {
        /// The candidate.
        duty: Duty<Candidate>,
        /// The record to write.
        record: CellRecord,
        /// The revision that was read.
        expected: Revision,
    },
    /// The cell is owned.
    Own(Duty<Holder>),
    /// The lease is over; ask for a new one.
    Restart(EntryId),
}

/// The store's answer to a renewal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Renewal {
    /// The lease is valid.
    Renewed,
    /// The lease is gone.
    Gone,
    /// The store did not answer.
    Silent,
}

/// What an owner does before it sends reservations.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Clearance {
    /// Send.
    Send,
    /// Renew the lease first.
    RenewFirst,
}

impl Duty<Candidate> {
    /// Becomes a candidate under a lease that was asked for at `asked`.
    pub fn granted(owner: EntryId, lease: LeaseId, asked: Instant) -> Self {
        let expires = asked + OWNER_LEASE_TERM;
        Self {
            owner,
            state: Candidate { lease, expires },
        }
    }

    /// Decides from a read that was asked for at `asked`.
    pub fn decide(self, view: &CellView, asked: Instant, now: Instant) -> Step {
        let lease = self.state.lease;
        if now >= self.state.expires {
            return Step::Restart(self.owner);
        }
        match view.holder {
            None => Step::TakeHolder(self, lease),
            Some(holder) if holder != lease => Step::Wait(self),
            Some(_) => self.raise_or_own(view, asked),
        }
    }

    fn raise_or_own(self, view: &CellView, asked: Instant) -> Step {
        let lease = self.state.lease;
        let (epoch, expected) = match &view.record {
            Some((record, _)) if record.lease == lease => {
                let epoch = record.epoch;
                return Step::Own(self.hold(epoch, asked));
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

    fn hold(self, epoch: Epoch, asked: Instant) -> Duty<Holder> {
        let lease = self.state.lease;
        let checked_until = self.state.expires.min(asked + OWNER_LEASE_TERM);
        Duty {
            owner: self.owner,
            state: Holder {
                epoch,
                lease,
                checked_until,
            },
        }
    }
}

impl Duty<Holder> {
    /// Returns the lease to renew.
    pub fn lease(&self) -> LeaseId {
        self.state.lease
    }

    /// Says whether reservations may be sent, or the lease must be renewed first.
    pub fn clearance(&self, now: Instant) -> Clearance {
        if now < self.state.checked_until {
            return Clearance::Send;
        }
        Clearance::RenewFirst
    }

    /// Applies the answer to a renewal asked for at `asked`, or ends the duty if the lease is gone.
    ///
    /// A silent store does not end the duty: the owner cannot tell an outage from its own isolation, and agents that
    /// heard a newer owner refuse it.
    pub fn renewal(
        mut self,
        answer: Renewal,
        asked: Instant,
        now: Instant,
    ) -> Result<Self, EntryId> {
        let until = match answer {
            Renewal::Renewed => asked + OWNER_LEASE_TERM,
            Renewal::Silent => now + RENEW_INTERVAL,
            Renewal::Gone => return Err(self.owner),
        };
        self.state.checked_until = self.state.checked_until.max(until);
        Ok(self)
    }

    /// Ends the duty if an agent has seen a higher epoch.
    pub fn refused(self, agent_epoch: Epoch) -> Result<Self, EntryId> {
        if agent_epoch > self.state.epoch {
            return Err(self.owner);
        }
        Ok(self)
    }
}
