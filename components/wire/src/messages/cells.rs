//! Messages between agents, owners and entries of a cell.

use std::net::SocketAddr;

use model::{
    AccountId, AgentId, Attempt, EndpointId, EntryId, Epoch, Place as Position, RegionId,
    RequestId, Resources, Revision, ServiceId, Worker, WorkerId,
};
use serde::{Deserialize, Serialize};

use crate::messages::{HeldGang, Pulse, PulseAck};

/// Everything that an agent has, for an owner that builds its board.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Announce {
    /// The agent.
    pub agent: AgentId,
    /// Its address for calls and datagrams.
    pub addr: SocketAddr,
    /// When the process started, in milliseconds since 1970; a restart forgets all reservations.
    pub incarnation: u64,
    /// The workers.
    pub workers: Vec<Worker>,
    /// The endpoint.
    pub endpoint: Option<EndpointEntry>,
    /// Gangs with members at this agent.
    pub gangs: Vec<HeldGang>,
    /// Attempts that the agent remembers.
    pub attempts: Vec<RecordedAttempt>,
}

/// An attempt in an agent's at-most-once record.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RecordedAttempt {
    /// The request.
    pub request: RequestId,
    /// The try.
    pub attempt: Attempt,
}

/// An endpoint in the directory.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// The endpoint.
    pub id: EndpointId,
    /// The agent beside it.
    pub agent: AgentId,
    /// The address of the agent.
    pub agent_addr: SocketAddr,
    /// When the agent started, in milliseconds since 1970.
    pub incarnation: u64,
    /// The service it provides.
    pub service: ServiceId,
    /// Where it stands.
    pub place: Position,
    /// How many requests it handles at once.
    pub slots: u32,
    /// Slots free when last heard.
    pub free: u32,
    /// Whether it leaves.
    pub draining: bool,
}

/// The endpoints of a cell.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Directory {
    /// Rises with each change.
    pub version: u64,
    /// The epoch of the owner.
    pub epoch: Epoch,
    /// The configuration revision of the owner.
    pub revision: Revision,
    /// Whether the owner took over just now and still waits for announcements, so that endpoints may be missing.
    pub recovering: bool,
    /// The endpoints.
    /// The endpoints; none if the version is the one that the entry has.
    pub endpoints: Vec<EndpointEntry>,
    /// Free resources of the cell.
    pub free: Resources,
    /// Asynchronous jobs without an outcome.
    pub live_jobs: u32,
    /// The region of the owner.
    pub region: RegionId,
    /// The state of the cell for operators.
    pub summary: CellSummary,
    /// Whether every agent that is alive had the time to announce itself to this owner.
    pub settled: bool,
}

/// The state of a cell for operators.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct CellSummary {
    /// Jobs that wait for capacity.
    pub queued: u32,
    /// Gangs that run.
    pub gangs: u32,
    /// Guarantees that cannot be reclaimed now, as client account and shape in JSON.
    pub shortfalls: Vec<(AccountId, Box<str>)>,
    /// Workers that take only probes.
    pub quarantined: Vec<WorkerId>,
}

/// The owner of a cell, also the value of the key `cells/<cell>`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRecord {
    /// The owner.
    pub owner: EntryId,
    /// Its address for calls and datagrams.
    pub addr: SocketAddr,
    /// Its epoch.
    pub epoch: Epoch,
    /// The store lease under which it raised the epoch.
    pub lease: u64,
}

/// The state of an agent.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The agent.
    pub agent: AgentId,
    /// When the process started, in milliseconds since 1970.
    pub incarnation: u64,
    /// The highest epoch that the agent has seen.
    pub epoch: Epoch,
    /// Free slots of the endpoint.
    pub free: u32,
    /// The configuration revision in force.
    pub revision: Revision,
    /// Whether the endpoint leaves.
    pub draining: bool,
}

/// The reply to a heartbeat.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Ack {
    /// The epoch of the owner.
    pub epoch: Epoch,
    /// The configuration revision of the owner.
    pub revision: Revision,
    /// Whether the owner wants an `Announce`.
    pub announce: bool,
}

/// A message over UDP.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Packet {
    /// Agent to owner, each second.
    Heartbeat(Heartbeat),
    /// Owner to agent, in reply.
    Ack(Ack),
    /// Leader to member while a gang runs.
    Pulse(Pulse),
    /// Member to leader, in reply.
    PulseAck(PulseAck),
}
