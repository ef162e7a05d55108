//! Messages between the agents, owners and entries of a cell.

use std::net::SocketAddr;

use model::{
    AccountId, AgentId, Attempt, EndpointId, EntryId, Epoch, Incarnation, Location, RegionId,
    RequestId, Resources, Revision, ServiceId, Worker, WorkerId,
};
use serde::{Deserialize, Serialize};

use crate::messages::{HeldGang, Pulse, PulseAck};

/// The complete state of an agent, from which an owner builds its board.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Announce {
    /// Id of the agent.
    pub agent: AgentId,
    /// Address of the agent for calls and datagrams.
    pub addr: SocketAddr,
    /// Incarnation of the process, which loses all reservations when it restarts.
    pub incarnation: Incarnation,
    /// Workers of the agent.
    pub workers: Vec<Worker>,
    /// Endpoint of the agent, if it has one.
    pub endpoint: Option<EndpointEntry>,
    /// Gangs with members at this agent.
    pub gangs: Vec<HeldGang>,
    /// Attempts in the agent's at-most-once record.
    pub attempts: Vec<RecordedAttempt>,
}

/// An attempt in an agent's at-most-once record.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RecordedAttempt {
    /// Id of the request.
    pub request: RequestId,
    /// Number of the attempt.
    pub attempt: Attempt,
}

/// An entry of the endpoint directory.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// Id of the endpoint.
    pub id: EndpointId,
    /// Agent of the endpoint.
    pub agent: AgentId,
    /// Address of the agent.
    pub agent_addr: SocketAddr,
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// Service that the endpoint provides.
    pub service: ServiceId,
    /// Location of the endpoint.
    pub location: Location,
    /// Number of requests that the endpoint can handle concurrently.
    pub slots: u32,
    /// Free slots at the last heartbeat.
    pub free: u32,
    /// Whether the endpoint is draining.
    pub draining: bool,
}

/// The endpoint directory of a cell, with a summary of the cell's state.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Directory {
    /// Version, which increases with each change.
    pub version: u64,
    /// Epoch of the owner.
    pub epoch: Epoch,
    /// Configuration revision of the owner.
    pub revision: Revision,
    /// Whether endpoints may be missing because the owner took over recently and still waits for announcements.
    pub recovering: bool,
    /// Endpoints; empty if the entry already has this version.
    pub endpoints: Vec<EndpointEntry>,
    /// Number of asynchronous jobs without an outcome, once the owner has listed them.
    pub live_jobs: Option<u32>,
    /// Region of the owner.
    pub region: RegionId,
    /// State of the cell for operators, once the owner knows it.
    pub summary: Option<CellSummary>,
    /// Whether every live agent has had enough time to announce itself to this owner.
    pub settled: bool,
}

/// The state of a cell for operators.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct CellSummary {
    /// Free resources of the cell.
    pub free: Resources,
    /// Number of jobs that are waiting for capacity.
    pub queued: u32,
    /// Number of running gangs.
    pub gangs: u32,
    /// Guarantees that currently cannot be reclaimed, as client account and shape in JSON.
    pub shortfalls: Vec<(AccountId, Box<str>)>,
    /// Quarantined workers.
    pub quarantined: Vec<WorkerId>,
}

/// The owner of a cell; also the value stored under the key `cells/<cell>`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRecord {
    /// Id of the owner.
    pub owner: EntryId,
    /// Address of the owner for calls and datagrams.
    pub addr: SocketAddr,
    /// Epoch of the owner.
    pub epoch: Epoch,
    /// Store lease under which the owner increased the epoch.
    pub lease: u64,
}

/// The periodic status report of an agent.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Id of the agent.
    pub agent: AgentId,
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// Highest epoch that the agent has seen.
    pub epoch: Epoch,
    /// Free slots of the endpoint.
    pub free: u32,
    /// Configuration revision that the agent uses.
    pub revision: Revision,
    /// Whether the endpoint is draining.
    pub draining: bool,
}

/// The reply to a heartbeat.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Ack {
    /// Epoch of the owner.
    pub epoch: Epoch,
    /// Configuration revision of the owner.
    pub revision: Revision,
    /// Whether the agent must send an `Announce`.
    pub announce: bool,
}

/// A message over UDP.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Packet {
    /// Agent to owner, every second.
    Heartbeat(Heartbeat),
    /// Owner to agent, in reply.
    Ack(Ack),
    /// Gang leader to member while the gang runs.
    Pulse(Pulse),
    /// Member to gang leader, in reply.
    PulseAck(PulseAck),
}
