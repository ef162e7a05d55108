//! The gang controller: reservations of this agent's workers and the gangs that it leads.

mod controller;
mod leader;
mod member;
pub(crate) mod state;
mod termination;

use std::net::SocketAddr;

use errors::{Error, Result};
use model::{AgentId, Epoch, GangId, WorkerId};
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;
use wire::{ArmGang, MemberFailed, Pulse, PulseAck, Reserve, StartGang, StopGang};
use workers::TaskId;

use crate::slots::Slot;

pub(crate) use controller::run;

/// Returns the result of an event to its sender.
pub(crate) type ReplySender<T> = oneshot::Sender<Result<T>>;

/// An event for the gang controller.
#[derive(Debug)]
pub(crate) enum GangEvent {
    /// A new owner was found; its epoch is adopted before the agent announces itself.
    AdoptEpoch {
        epoch: Epoch,
        tx: oneshot::Sender<()>,
    },
    /// The owner reserves members.
    Reserve {
        reserve: Reserve,
        tx: ReplySender<()>,
    },
    /// The owner starts a gang that this agent leads.
    Start {
        start: StartGang,
        tx: ReplySender<()>,
    },
    /// The leader arms this agent's members.
    Arm {
        arm: ArmGang,
        tx: ReplySender<PulseAck>,
    },
    /// A member answered `ArmGang`, or the call failed.
    ArmResult {
        gang: GangId,
        agent: AgentId,
        result: Result<PulseAck>,
    },
    /// The leader renews the gang lease.
    Pulse { from: SocketAddr, pulse: Pulse },
    /// A member answered a pulse.
    PulseAck { ack: PulseAck },
    /// The owner or the leader stops a gang.
    Stop { stop: StopGang, tx: ReplySender<()> },
    /// A member stopped its part of a gang that this agent leads.
    MemberStopped { gang: GangId, agent: AgentId },
    /// A worker of this agent started a task.
    TaskStarted {
        gang: GangId,
        worker: WorkerId,
        task: TaskId,
    },
    /// A worker confirmed that it stopped the tasks of one gang.
    StopConfirmed { worker: WorkerId },
    /// A worker of this agent failed a task.
    TaskFailed {
        gang: GangId,
        worker: WorkerId,
        message: Box<str>,
    },
    /// A worker of another member failed a task.
    MemberFailed { failed: MemberFailed },
    /// The request of a gang that this agent leads is about to run.
    Claim {
        gang: GangId,
        tx: ReplySender<ClaimedGang>,
    },
    /// The request of a gang ended.
    RequestEnded { gang: GangId, error: Option<Error> },
    /// A pulse interval has passed.
    Tick,
}

/// The right to run the request of a gang.
#[derive(Debug)]
pub(crate) struct ClaimedGang {
    /// The slot of the endpoint.
    pub(crate) slot: Slot,
    /// Cancelled when the gang stops.
    pub(crate) stopped: CancellationToken,
    /// The workers of the gang.
    pub(crate) workers: Vec<WorkerId>,
}
