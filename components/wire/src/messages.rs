//! The messages between processes.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use errors::{Error, ErrorKind};
use model::{
    AccountId, AgentId, Attempt, CellId, EndpointId, EntryId, Epoch, GangId, JobId, Member,
    Place as Position, RegionId, Request, RequestId, Resources, Revision, SectionName, ServiceId,
    Worker, WorkerId,
};
use serde::{Deserialize, Serialize};

use crate::claims::{Claim, ClaimTicket, Claimed, FindRequest, FoundRequest};

/// A call over TCP.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Call {
    /// Owner to agent: reserve the members of a gang and, if asked, an endpoint slot.
    Reserve(Reserve),
    /// Owner to leader: let a reserved gang run.
    StartGang(StartGang),
    /// Leader to member: extend the reservation to the gang lease.
    ArmGang(ArmGang),
    /// Owner to leader, leader to member: stop or release a gang.
    StopGang(StopGang),
    /// Member to leader: a worker failed a task.
    MemberFailed(MemberFailed),
    /// Leader to owner: a gang ended.
    GangEnded(GangEnded),
    /// Entry or owner to agent: run a request at the endpoint.
    Dispatch(Dispatch),
    /// Entry or owner to agent: stop a request that is queued or running.
    CancelRequest(RequestId),
    /// Owner to agent: configuration sections that changed.
    Sections(Sections),
    /// Agent to owner: everything the agent has.
    Announce(Announce),
    /// Entry to owner: queue a request with a shape and answer when its gang runs.
    Place(Place),
    /// Entry to owner: cancel a job.
    Cancel(Cancel),
    /// Entry to owner: the endpoint directory once it is newer than the version stated.
    Directory {
        /// The version that the entry has.
        after: u64,
    },
    /// Any process to any other: which process owns this cell.
    WhoOwns(CellId),
    /// Any process to any other: the sections above a revision.
    SectionsAfter(Revision),
    /// Owner to agent: the outcome of a detached attempt, or that it still runs.
    Attach(Attach),
    /// Entry to owner: where a request with an idempotency key is, or this place if it is nowhere.
    Claim(Claim),
    /// Entry to agent: is the request known; otherwise refuse it under older epochs.
    FindRequest(FindRequest),
    /// Entry to relay: the sections above a revision, once there are any.
    NextSections {
        /// The revision that the entry holds.
        after: Revision,
        /// The entry.
        follower: EntryId,
    },
    /// Entry to owner: the workers of the cell.
    Workers,
}

/// The reply to a call.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Reply {
    /// The call took effect.
    Done,
    /// The epoch at which the call took effect.
    Epoch(Epoch),
    /// The owner of a cell, if known.
    Owner(Option<OwnerRecord>),
    /// A member extended its reservation.
    Armed(PulseAck),
    /// The gang of a request runs.
    Placed(Placed),
    /// The endpoint answered.
    Answer(Answer),
    /// The endpoint directory.
    Directory(Directory),
    /// Configuration sections.
    Sections(Sections),
    /// Where a claimed request is.
    Claimed(Claimed),
    /// The request, if the agent knows it.
    Found(Option<FoundRequest>),
    /// The call failed.
    Failed(Error),
    /// A detached attempt still runs.
    StillRunning,
    /// A detached attempt ended without an answer; unlike `Failed`, this is the outcome itself.
    AttemptFailed(Error),
    /// The workers of a cell.
    Workers(Vec<Worker>),
}

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

/// A request for an endpoint.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Dispatch {
    /// The request.
    pub request: Request,
    /// The try, from 1.
    pub attempt: Attempt,
    /// The life of the agent that the sender knows; a restarted agent has lost its record of attempts.
    pub incarnation: u64,
    /// The gang that runs for it.
    pub gang: Option<GangId>,
    /// Whether the answer crosses regions and should be compressed.
    pub pack: bool,
    /// The claim under which it is sent, if it has an idempotency key.
    pub claim: Option<ClaimTicket>,
    /// The body.
    pub body: Bytes,
    /// Whether the agent replies at once and runs the request whatever becomes of the connection.
    pub detached: bool,
}

/// Asks for the outcome of a detached attempt.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Attach {
    /// The request.
    pub request: RequestId,
    /// The try.
    pub attempt: Attempt,
    /// The life of the agent to which the attempt was sent.
    pub incarnation: u64,
    /// Whether the request is idempotent; the at-most-once record holds only those that are not.
    pub idempotent: bool,
    /// The time since the attempt was recorded; an old attempt may be gone from the at-most-once record.
    pub age: Duration,
    /// How long the agent waits for the end before it replies that the attempt still runs.
    pub wait: Duration,
}

/// The answer of an endpoint.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Answer {
    /// The request that it answers.
    pub request: RequestId,
    /// The try that it answers.
    pub attempt: Attempt,
    /// The HTTP status of the endpoint.
    pub status: u16,
    /// The content type of the body.
    pub content_type: Box<str>,
    /// Length of the plain body in bytes.
    pub length: u64,
    /// BLAKE3 hash of the plain body.
    pub digest: [u8; 32],
    /// Whether the body is compressed.
    pub packed: bool,
    /// The body.
    pub body: Bytes,
}

/// Configuration sections with the store's revisions.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Sections {
    /// The highest revision that the sender has applied.
    pub revision: Revision,
    /// The sections.
    pub sections: Vec<Section>,
    /// The names of all sections at that revision, if the sender may not know every deletion that the receiver missed.
    pub present: Option<Vec<SectionName>>,
}

/// One configuration section.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Section {
    /// The name.
    pub name: SectionName,
    /// The revision that last changed it.
    pub revision: Revision,
    /// The JSON text; none if the section was deleted.
    pub text: Option<Box<str>>,
}

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

/// A request with a shape for the owner of a cell.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Place {
    /// The request.
    pub request: Request,
    /// The entry that waits.
    pub entry: EntryId,
    /// Tells apart the submissions that wait for one job.
    pub waiter: u64,
    /// The gang of the last placement, which this submission knows to have ended.
    pub ended: Option<GangId>,
}

/// A gang that runs.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Placed {
    /// The gang.
    pub gang: GangId,
    /// The epoch of its reservation.
    pub epoch: Epoch,
    /// The try, from 1.
    pub attempt: Attempt,
    /// The agent whose endpoint takes the request.
    pub agent: AgentId,
    /// The address of that agent.
    pub agent_addr: SocketAddr,
    /// When that agent started, in milliseconds since 1970.
    pub incarnation: u64,
    /// The workers of the gang.
    pub workers: Vec<WorkerId>,
}

/// A cancellation.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Cancel {
    /// The job.
    pub job: JobId,
    /// The submission that no longer waits for the placement of a job that others may wait for; none to end the job.
    pub waiter: Option<u64>,
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
