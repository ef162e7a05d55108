//! Messages of the gang protocol.

use std::net::SocketAddr;
use std::time::Duration;

use errors::{Error, ErrorKind};
use model::{
    AgentId, Attempt, CellId, Epoch, GangId, Incarnation, JobId, Member, Request, WorkerId,
};
use serde::{Deserialize, Serialize};

/// A reservation of gang members at one agent.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Reserve {
    /// Cell of the owner.
    pub cell: CellId,
    /// Epoch of the owner.
    pub epoch: Epoch,
    /// Id of the gang.
    pub gang: GangId,
    /// Job that the gang runs.
    pub job: JobId,
    /// Members at this agent.
    pub members: Vec<Member>,
    /// Whether the request will run at this agent's endpoint, which then reserves a slot.
    pub runs_request: bool,
}

/// Instructs the gang leader to arm all members and then let them run.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StartGang {
    /// Epoch of the owner.
    pub epoch: Epoch,
    /// Id of the gang.
    pub gang: GangId,
    /// Attempt of the request.
    pub attempt: Attempt,
    /// Agents of the gang with their addresses.
    pub agents: Vec<(AgentId, SocketAddr)>,
    /// All members of the gang.
    pub members: Vec<Member>,
    /// Request that the gang runs.
    pub request: Request,
}

/// Instructs a member to extend its reservation to the gang lease.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ArmGang {
    /// Id of the gang.
    pub gang: GangId,
    /// Epoch of the reservation.
    pub epoch: Epoch,
    /// Incarnation of the leader's agent; timestamps are comparable only within one incarnation.
    pub leader_incarnation: Incarnation,
    /// When the leader sent this message, by its clock for this gang.
    pub timestamp: Duration,
    /// Address of the leader.
    pub leader: SocketAddr,
    /// Request that the gang runs.
    pub request: Request,
}

/// Instructs an agent to stop its members of a gang.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StopGang {
    /// Id of the gang.
    pub gang: GangId,
    /// Epoch of the owner that sent the message; `None` if the gang leader sent it.
    pub epoch: Option<Epoch>,
    /// Why the gang is stopped.
    pub reason: ErrorKind,
    /// Whether no member can still be running, so that the accelerators can be released.
    pub release: bool,
}

/// Notifies the gang leader that a task failed on a worker.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MemberFailed {
    /// Id of the gang.
    pub gang: GangId,
    /// Worker on which the task failed.
    pub worker: WorkerId,
    /// Error message of the worker.
    pub message: Box<str>,
}

/// Notifies the owner that a gang ended and released its resources.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GangEnded {
    /// Id of the gang.
    pub gang: GangId,
    /// Highest epoch that the leader has seen; owners with a lower epoch must not process the message.
    pub epoch: Epoch,
    /// Error with which the gang ended; `None` if the endpoint answered.
    pub error: Option<Error>,
    /// Workers on which a task failed.
    pub failed_workers: Vec<WorkerId>,
}

/// The report of an agent about a gang with members at this agent.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HeldGang {
    /// Id of the gang.
    pub gang: GangId,
    /// Epoch of the reservation.
    pub epoch: Epoch,
    /// Job that the gang runs.
    pub job: JobId,
    /// Members at this agent, or all members if this agent leads the gang.
    pub members: Vec<Member>,
    /// Whether the request runs at this agent's endpoint.
    pub runs_request: bool,
    /// Request; `None` until the gang is armed.
    pub request: Option<Request>,
    /// Whether this agent leads the gang.
    pub is_leader: bool,
}

/// Allows a member to run and renews its gang lease.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Pulse {
    /// Id of the gang.
    pub gang: GangId,
    /// Incarnation of the leader's agent.
    pub leader_incarnation: Incarnation,
    /// Timestamp of the leader.
    pub timestamp: Duration,
    /// Last timestamp that the leader received from the member.
    pub echo: Duration,
}

/// The reply of a member to `ArmGang` and `Pulse`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PulseAck {
    /// Id of the gang.
    pub gang: GangId,
    /// Agent of the member.
    pub agent: AgentId,
    /// Incarnation of the leader's agent.
    pub leader_incarnation: Incarnation,
    /// Timestamp of the leader's message.
    pub echo: Duration,
    /// Timestamp of the member.
    pub timestamp: Duration,
}
