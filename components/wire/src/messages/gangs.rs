//! Messages of the gang protocol.

use std::net::SocketAddr;
use std::time::Duration;

use errors::{Error, ErrorKind};
use model::{AgentId, Attempt, CellId, Epoch, GangId, JobId, Member, Request, WorkerId};
use serde::{Deserialize, Serialize};

/// A reservation of gang members at one agent.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Reserve {
    /// The cell.
    pub cell: CellId,
    /// The epoch of the owner.
    pub epoch: Epoch,
    /// The gang.
    pub gang: GangId,
    /// The job.
    pub job: JobId,
    /// The members at this agent.
    pub members: Vec<Member>,
    /// Whether the request will run at this agent's endpoint.
    pub slot: bool,
}

/// Asks the leader of a gang to arm all members and let them run.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StartGang {
    /// The epoch of the owner.
    pub epoch: Epoch,
    /// The gang.
    pub gang: GangId,
    /// The try of the request, from 1.
    pub attempt: Attempt,
    /// The agents of the gang with their addresses.
    pub agents: Vec<(AgentId, SocketAddr)>,
    /// All members of the gang.
    pub members: Vec<Member>,
    /// The request that the gang runs.
    pub request: Request,
}

/// Asks a member to extend its reservation to the gang lease.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ArmGang {
    /// The gang.
    pub gang: GangId,
    /// The epoch of the reservation.
    pub epoch: Epoch,
    /// The life of the leader's agent, which gives the stamps their meaning.
    pub life: u64,
    /// When the leader sent this, by the leader's clock for this gang.
    pub stamp: Duration,
    /// The address of the leader.
    pub leader: SocketAddr,
    /// The request that the gang runs.
    pub request: Request,
}

/// Asks an agent to stop its part of a gang.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StopGang {
    /// The gang.
    pub gang: GangId,
    /// The epoch of the owner that asks; none if the leader asks.
    pub epoch: Option<Epoch>,
    /// Why it is stopped.
    pub reason: ErrorKind,
    /// Whether no member can run any more, so that the accelerators are free.
    pub release: bool,
}

/// Tells the leader that a worker failed a task.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MemberFailed {
    /// The gang.
    pub gang: GangId,
    /// The worker.
    pub worker: WorkerId,
    /// What the worker reported.
    pub message: Box<str>,
}

/// Tells the owner that a gang ended and holds nothing any more.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GangEnded {
    /// The gang.
    pub gang: GangId,
    /// The highest epoch that the leader has seen; an older owner must not take the report from a newer one.
    pub epoch: Epoch,
    /// The error; none if the endpoint answered.
    pub error: Option<Error>,
    /// The workers that failed a task.
    pub failed_workers: Vec<WorkerId>,
}

/// A gang as one of its agents reports it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HeldGang {
    /// The gang.
    pub gang: GangId,
    /// The epoch of its reservation.
    pub epoch: Epoch,
    /// The job.
    pub job: JobId,
    /// The members at this agent, or all members if this agent leads the gang.
    pub members: Vec<Member>,
    /// Whether the request runs at this agent's endpoint.
    pub slot: bool,
    /// The request; none before the gang was armed.
    pub request: Option<Request>,
    /// Whether this agent leads the gang.
    pub leads: bool,
}

/// Lets a member run and renews the gang lease.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Pulse {
    /// The gang.
    pub gang: GangId,
    /// The life of the leader's agent.
    pub life: u64,
    /// The leader's stamp.
    pub stamp: Duration,
    /// The member's last stamp that the leader heard.
    pub echo: Duration,
}

/// A member's answer to `ArmGang` and `Pulse`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PulseAck {
    /// The gang.
    pub gang: GangId,
    /// The member.
    pub agent: AgentId,
    /// The life of the leader's agent.
    pub life: u64,
    /// The leader's stamp that is answered.
    pub echo: Duration,
    /// The member's stamp.
    pub stamp: Duration,
}
