//! Requests to an agent about a gang and their effects, shared by the leader and the reservations.

use std::sync::Arc;
use std::time::Duration;

use error_stack::Report;
use errors::{Error, ErrorKind, Result};
use model::{Epoch, GangId};

use crate::fencing::Fence;
use crate::leader::Ack;
use crate::reservation::WorkerShare;

/// Identifies the lifetime of one agent process; no two processes of an agent have the same value.
///
/// A restarted agent has lost its memory and cannot report what an earlier incarnation did.
pub type Incarnation = u64;

/// An owner's request to reserve the agent's part of a gang.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Reserve {
    /// The gang.
    pub gang: GangId,
    /// The owner's epoch.
    pub epoch: Epoch,
    /// The resources to reserve, by worker.
    pub shares: Arc<[WorkerShare]>,
}

/// The sender of a request to stop or release a gang.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Sender {
    /// The owner at this epoch, which does not know whether other members still run.
    Owner(Epoch),
    /// The leader, which releases only after no member can run any more.
    Leader,
}

/// The effect of a pulse on a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Renewal {
    /// The acknowledgement to send to the leader.
    pub ack: Ack,
    /// Whether the task starts now.
    pub starts: bool,
    /// The remaining run term to set for the task at the worker platform.
    pub run_for: Duration,
}

/// A change of a reservation that the agent must apply at the worker platform.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ReservationEvent {
    /// The gang.
    pub gang: GangId,
    /// The kind of change.
    pub kind: ReservationEventKind,
}

/// The kind of a [`ReservationEvent`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ReservationEventKind {
    /// The task must stop; its accelerators stay reserved.
    Stopped,
    /// The accelerators are free again.
    Freed,
}

impl Sender {
    /// Checks the epoch of an owner; a leader's messages are valid as long as its gang is reserved.
    pub(crate) fn admit(self, fence: &mut Fence) -> Result<()> {
        if let Self::Owner(epoch) = self {
            fence.admit(epoch)?;
        }
        Ok(())
    }
}

pub(crate) fn check_epoch(reserved: Epoch, requested: Epoch) -> Result<()> {
    if reserved == requested {
        return Ok(());
    }
    Err(refused("the gang is reserved under another epoch"))
}

pub(crate) fn refused(message: &'static str) -> Report<Error> {
    Error::not_run(ErrorKind::Conflict, message).report()
}
