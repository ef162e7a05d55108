//! The life cycle of a reservation at an agent: held, armed, active, stopped.
//!
//! A member runs its task for at most `RUN_TERM` after the moment at which it sent the acknowledgement that the
//! leader's pulse echoes. It keeps its accelerators for `GANG_LEASE_TERM` after the last pulse that it received. The
//! leader pulses only while every member acknowledged a pulse sent less than `RUN_TERM` ago. Because the two run terms
//! add up to the gang lease term, every task has stopped before any member gives its accelerators back.

use std::sync::Arc;
use std::time::{Duration, Instant};

use model::{Epoch, GangId, Resources, WorkerId};

use crate::orders::Incarnation;

/// How long an agent keeps a reservation that nobody arms.
pub const RESERVATION_TERM: Duration = Duration::from_secs(2);

/// How long a member keeps its accelerators after the last pulse; a task runs no longer after the loss of a member.
pub const GANG_LEASE_TERM: Duration = Duration::from_secs(2);

/// Half of the gang lease: how long an acknowledgement counts at the leader, and an echo at a member.
pub const RUN_TERM: Duration = Duration::from_secs(1);

/// What a gang reserves on one worker.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Part {
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
    /// The epoch of the owner that asked for it.
    pub epoch: Epoch,
    /// What it reserves, by worker.
    pub parts: Arc<[Part]>,
    /// What is known in this state.
    pub state: S,
}

/// The accelerators are reserved and wait for the leader.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Held {
    /// When the reservation ends unless it is armed.
    pub until: Instant,
}

/// The leader asked for the gang lease; the task does not run yet.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Armed {
    /// The life of the leader's agent that armed the gang.
    pub leader: Incarnation,
    /// The origin of the stamps that this member sends.
    pub since: Instant,
    /// When the accelerators are given back.
    pub until: Instant,
}

/// The task runs.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Active {
    /// The life of the leader's agent that armed the gang.
    pub leader: Incarnation,
    /// The origin of the stamps that this member sends.
    pub since: Instant,
    /// When the task stops unless a pulse renews it.
    pub run_until: Instant,
    /// When the accelerators are given back.
    pub until: Instant,
}

/// The task never runs again; tasks of other members may still run.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Stopped {
    /// When the accelerators are given back.
    pub until: Instant,
}

impl<S> Reservation<S> {
    fn with<T>(self, state: T) -> Reservation<T> {
        Reservation {
            gang: self.gang,
            epoch: self.epoch,
            parts: self.parts,
            state,
        }
    }
}

impl Reservation<Held> {
    /// Creates a reservation that lapses after `RESERVATION_TERM`.
    pub fn hold(gang: GangId, epoch: Epoch, parts: Arc<[Part]>, now: Instant) -> Self {
        Self {
            gang,
            epoch,
            parts,
            state: Held {
                until: now + RESERVATION_TERM,
            },
        }
    }

    /// Extends the reservation to the gang lease.
    pub fn arm(self, leader: Incarnation, now: Instant) -> Reservation<Armed> {
        self.with(Armed {
            leader,
            since: now,
            until: now + GANG_LEASE_TERM,
        })
    }
}

impl Reservation<Armed> {
    /// Extends the gang lease after a repeated request to arm.
    #[must_use]
    pub fn rearm(mut self, now: Instant) -> Self {
        self.state.until = self.state.until.max(now + GANG_LEASE_TERM);
        self
    }

    /// Starts the task, or hands the reservation back if the echoed stamp is too old or not from this life cycle.
    pub fn go(self, echo: Duration, now: Instant) -> Result<Reservation<Active>, Self> {
        let Armed { leader, since, .. } = self.state;
        match run_until(since, echo, now) {
            Some(run_until) if now < run_until => Ok(self.with(Active {
                leader,
                since,
                run_until,
                until: now + GANG_LEASE_TERM,
            })),
            _ => Err(self),
        }
    }

    /// Ends the right to start the task; the accelerators stay reserved.
    pub fn stop(self) -> Reservation<Stopped> {
        let until = self.state.until;
        self.with(Stopped { until })
    }
}

impl Reservation<Active> {
    /// Extends the run term and the gang lease after a pulse.
    #[must_use]
    pub fn renew(mut self, echo: Duration, now: Instant) -> Self {
        let state = &mut self.state;
        if let Some(run_until) = run_until(state.since, echo, now) {
            state.run_until = state.run_until.max(run_until);
        }
        state.until = state.until.max(now + GANG_LEASE_TERM);
        self
    }

    /// Stops the task; the accelerators stay reserved until the tasks of all members have stopped.
    pub fn stop(self) -> Reservation<Stopped> {
        let until = self.state.until;
        self.with(Stopped { until })
    }
}

/// Returns when the right to run ends; none if the stamp lies in the future and so is not from this life cycle.
fn run_until(since: Instant, echo: Duration, now: Instant) -> Option<Instant> {
    let sent = since.checked_add(echo)?;
    (sent <= now).then_some(sent + RUN_TERM)
}
