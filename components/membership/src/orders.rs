//! What an agent is asked to do with a gang, and what follows from it.

use std::sync::Arc;
use std::time::Duration;

use error_stack::Report;
use errors::{Error, ErrorKind, Result};
use model::{Epoch, GangId};

use crate::fencing::Fence;
use crate::leader::Ack;
use crate::reservation::Part;

/// Identifies one life of an agent process; no two lives of an agent have the same value.
///
/// A restarted agent has lost its memory, so it cannot answer for what an earlier life did.
pub type Incarnation = u64;

/// An owner's request to reserve the agent's part of a gang.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Reserve {
    /// The gang.
    pub gang: GangId,
    /// The owner's epoch.
    pub epoch: Epoch,
    /// What to reserve, by worker.
    pub parts: Arc<[Part]>,
}

/// Who asks to stop or to release a gang.
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
    /// What to send to the leader.
    pub ack: Ack,
    /// Whether the task starts now.
    pub starts: bool,
    /// The remaining term to give the task at the worker platform.
    pub run_for: Duration,
}

/// A change of a reservation that the agent must carry out at the worker platform.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Lapse {
    /// The gang.
    pub gang: GangId,
    /// What happened.
    pub kind: LapseKind,
}

/// What happened to a reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LapseKind {
    /// The task must stop; its accelerators stay reserved.
    Stopped,
    /// The accelerators are free again.
    Freed,
}

impl Sender {
    /// Fences owners; a leader's messages are valid as long as its gang is reserved.
    pub(crate) fn admit(self, fence: &mut Fence) -> Result<()> {
        if let Self::Owner(epoch) = self {
            fence.admit(epoch)?;
        }
        Ok(())
    }
}

pub(crate) fn check_epoch(reserved: Epoch, asked: Epoch) -> Result<()> {
    if reserved == asked {
        return Ok(());
    }
    Err(refused("the gang is reserved at another epoch"))
}

pub(crate) fn refused(message: &'static str) -> Report<Error> {
    Error::not_run(ErrorKind::Conflict, message).report()
}
