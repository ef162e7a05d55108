//! The life cycle of a reservation at an agent: held, armed, active, stopped.
//!
//! A member runs its task for at most `RUN_TERM` after it sent the acknowledgement that the leader's pulse echoes. It
//! reserves its accelerators for `GANG_LEASE_TERM` after the last pulse that it received. The leader sends pulses only
//! while every member has acknowledged a pulse sent less than `RUN_TERM` ago. Because two run terms add up to the gang
//! lease term, every task has stopped before any member releases its accelerators.

use std::sync::Arc;
use std::time::{Duration, Instant};

use model::{Epoch, GangId, Resources, WorkerId};

use crate::protocol::Incarnation;

/// How long an agent keeps a reservation that is not armed.
pub const RESERVATION_TERM: Duration = Duration::from_secs(2);

/// How long a member reserves its accelerators after the last pulse, and the longest that a task runs after the loss of
/// another member.
pub const GANG_LEASE_TERM: Duration = Duration::from_secs(2);

/// Half of the gang lease term: how long an acknowledgement is valid at the leader, and its echo at a member.
pub const RUN_TERM: Duration = Duration::from_secs(1);

/// The resources that a gang reserves on one worker.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct WorkerShare {
    /// The worker.
    pub worker: WorkerId,
    /// The resources of all tasks on this worker.
    pub total: Resources,
}

/// The part of a gang that one agent reserves, in one state of its life cycle.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Reservation<S> {
    /// The gang.
    pub gang: GangId,
    /// The epoch of the owner that requested it.
    pub epoch: Epoch,
    /// The reserved resources, by worker.
    pub shares: Arc<[WorkerShare]>,
    /// What is known in this state.
    pub state: S,
}

/// The accelerators are reserved, and the leader has not armed the gang yet.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Held {
    /// When the reservation ends unless it is armed.
    pub reserved_until: Instant,
}

/// The leader requested the gang lease; the task does not run yet.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Armed {
    /// The incarnation of the leader's agent that armed the gang.
    pub leader_incarnation: Incarnation,
    /// The origin of the timestamps that this member sends.
    pub timestamp_origin: Instant,
    /// When the accelerators are released.
    pub reserved_until: Instant,
}

/// The task runs.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Active {
    /// The incarnation of the leader's agent that armed the gang.
    pub leader_incarnation: Incarnation,
    /// The origin of the timestamps that this member sends.
    pub timestamp_origin: Instant,
    /// When the task stops unless a pulse renews it.
    pub run_until: Instant,
    /// When the accelerators are released.
    pub reserved_until: Instant,
}

/// The task never runs again; tasks of other members may still run.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Stopped {
    /// When the accelerators are released.
    pub reserved_until: Instant,
}

impl<S> Reservation<S> {
    fn with_state<T>(self, state: T) -> Reservation<T> {
        Reservation {
            gang: self.gang,
            epoch: self.epoch,
            shares: self.shares,
            state,
        }
    }
}

impl Reservation<Held> {
    /// Creates a reservation that expires after `RESERVATION_TERM` unless it is armed.
    pub fn hold(gang: GangId, epoch: Epoch, shares: Arc<[WorkerShare]>, now: Instant) -> Self {
        Self {
            gang,
            epoch,
            shares,
            state: Held {
                reserved_until: now + RESERVATION_TERM,
            },
        }
    }

    /// Extends the reservation to the gang lease.
    pub fn arm(self, leader_incarnation: Incarnation, now: Instant) -> Reservation<Armed> {
        self.with_state(Armed {
            leader_incarnation,
            timestamp_origin: now,
            reserved_until: now + GANG_LEASE_TERM,
        })
    }
}

impl Reservation<Armed> {
    /// Extends the gang lease after a repeated `Arm` message.
    #[must_use]
    pub fn rearm(mut self, now: Instant) -> Self {
        self.state.reserved_until = self.state.reserved_until.max(now + GANG_LEASE_TERM);
        self
    }

    /// Starts the task, or returns `self` if the echoed timestamp is too old or from another reservation of the gang.
    pub fn activate(self, echo: Duration, now: Instant) -> Result<Reservation<Active>, Self> {
        let Armed {
            leader_incarnation,
            timestamp_origin,
            ..
        } = self.state;
        match run_until(timestamp_origin, echo, now) {
            Some(run_until) if now < run_until => Ok(self.with_state(Active {
                leader_incarnation,
                timestamp_origin,
                run_until,
                reserved_until: now + GANG_LEASE_TERM,
            })),
            _ => Err(self),
        }
    }

    /// Prevents the task from starting; the accelerators stay reserved.
    pub fn stop(self) -> Reservation<Stopped> {
        let reserved_until = self.state.reserved_until;
        self.with_state(Stopped { reserved_until })
    }
}

impl Reservation<Active> {
    /// Extends the run term and the gang lease after a pulse.
    #[must_use]
    pub fn renew(mut self, echo: Duration, now: Instant) -> Self {
        let state = &mut self.state;
        if let Some(run_until) = run_until(state.timestamp_origin, echo, now) {
            state.run_until = state.run_until.max(run_until);
        }
        state.reserved_until = state.reserved_until.max(now + GANG_LEASE_TERM);
        self
    }

    /// Stops the task; the accelerators stay reserved until the tasks of all members have stopped.
    pub fn stop(self) -> Reservation<Stopped> {
        let reserved_until = self.state.reserved_until;
        self.with_state(Stopped { reserved_until })
    }
}

/// Returns when the run term ends, or `None` if the echoed timestamp is in the future and so from another reservation.
fn run_until(timestamp_origin: Instant, echo: Duration, now: Instant) -> Option<Instant> {
    let sent_at = timestamp_origin.checked_add(echo)?;
    (sent_at <= now).then_some(sent_at + RUN_TERM)
}
