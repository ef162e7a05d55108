//! The contents of the board's sections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use model::{
    AccountId, Active, AgentId, Announced, Document, Draining, Endpoint, EndpointId, Epoch, Gang,
    GangId, Incarnation, Job, JobId, Placed, Planned, Queued, Resources, Revision, Running,
    SectionName, ServiceId, Serving, Shape, Worker, WorkerId,
};

/// An agent that has announced itself.
#[derive(Debug, Clone)]
pub struct Agent {
    /// Id of the agent.
    pub id: AgentId,
    /// Address for calls to the agent.
    pub addr: SocketAddr,
    /// Incarnation of the process, which loses all reservations when it restarts.
    pub incarnation: Incarnation,
    /// Workers that the agent represents.
    pub workers: Vec<Worker>,
    /// When the agent last sent an announcement or a heartbeat.
    pub last_seen: Instant,
    /// Configuration revision that the agent uses.
    pub config_revision: Revision,
}

/// Agents and endpoints by state.
#[derive(Debug, Clone, Default)]
pub struct Membership {
    /// Epoch of the owner that reports this membership.
    pub epoch: Epoch,
    /// When that owner took over; `None` at an entry.
    pub since: Option<Instant>,
    /// Known agents.
    pub agents: IndexMap<AgentId, Arc<Agent>>,
    /// Endpoints that have not sent a heartbeat yet.
    pub announced: IndexMap<EndpointId, Arc<Endpoint<Announced>>>,
    /// Endpoints that accept requests.
    pub serving: IndexMap<EndpointId, Arc<Endpoint<Serving>>>,
    /// Endpoints that are draining.
    pub draining: IndexMap<EndpointId, Arc<Endpoint<Draining>>>,
}

/// A section of the configuration as it is stored.
#[derive(Debug, Clone)]
pub struct SectionText {
    /// Revision that last changed the section.
    pub revision: Revision,
    /// JSON text; `None` if the section was deleted.
    pub text: Option<Arc<str>>,
}

/// The configuration document with the revision of each section.
#[derive(Debug, Clone, Default)]
pub struct ConfigSnapshot {
    /// Highest revision applied.
    pub revision: Revision,
    /// Revision from which all deletions are known.
    pub deletions_from: Revision,
    /// Sections with their revisions.
    pub sections: IndexMap<SectionName, SectionText>,
    /// Configuration document.
    pub document: Document,
}

/// A guaranteed shape and the capacity allocated to it, which can be reclaimed at any time.
///
/// The allocations of all claims are disjoint, and non-preemptible jobs are never placed in the allocations of other
/// client accounts. The allocations are therefore a packing of all guarantees, so that decisions need no new search.
#[derive(Debug, Clone)]
pub struct Claim {
    /// Client account of the guarantee.
    pub account: AccountId,
    /// Guaranteed shape.
    pub shape: Shape,
    /// Capacity allocated to the claim, in ascending order of worker index; empty while no packing is known.
    pub allocation: Vec<(usize, Resources)>,
    /// Part of the allocation that is not used by gangs of the client account.
    pub remaining: Vec<(usize, Resources)>,
    /// Number of gangs that run in the claim.
    pub gangs: u32,
}

/// Capacity that is reserved for one queued job.
#[derive(Debug, Clone)]
pub struct Hold {
    /// Job that the capacity is reserved for.
    pub job: JobId,
    /// Gang of the job's next attempt.
    pub gang: GangId,
    /// Number of tasks by worker index.
    pub assignment: Vec<(usize, u32)>,
    /// Resources that each task requires.
    pub per_task: Resources,
    /// When the capacity is expected to be available.
    pub available_at: Instant,
}

/// Workers, free capacity and gangs of a cell.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    /// Workers, sorted by location.
    pub workers: Arc<IndexMap<WorkerId, Worker>>,
    /// Free resources by worker index.
    pub free: Vec<Resources>,
    /// Gangs whose members are being reserved.
    pub planned: IndexMap<GangId, Arc<Gang<Planned>>>,
    /// Running gangs.
    pub running: IndexMap<GangId, Arc<Gang<Running>>>,
    /// Resources by worker index that neither belong to a claim nor are used by non-preemptible jobs.
    pub spare: Vec<Resources>,
    /// Guaranteed shapes of the current configuration.
    pub claims: Vec<Arc<Claim>>,
    /// Gangs that run in a claim, with the index of the claim.
    pub claim_by_gang: IndexMap<GangId, usize>,
    /// Capacity reserved for jobs that wait until borrowers have stopped.
    pub holds: IndexMap<JobId, Arc<Hold>>,
    /// Capacity reserved for one blocked job; other jobs may use it if they are expected to end in time.
    pub backfill_reservation: Option<Arc<Hold>>,
    /// Running gangs that have been asked to stop.
    pub stopping: IndexSet<GangId>,
}

/// Jobs of a cell by state.
#[derive(Debug, Clone, Default)]
pub struct Queue {
    /// Jobs that are waiting for capacity, oldest first.
    pub queued: IndexMap<JobId, Arc<Job<Queued>>>,
    /// Jobs whose gang is being reserved.
    pub placed: IndexMap<JobId, Arc<Job<Placed>>>,
    /// Jobs whose gang is running.
    pub active: IndexMap<JobId, Arc<Job<Active>>>,
    /// Active jobs that were cancelled and whose gang has not ended yet.
    pub cancelled: IndexSet<JobId>,
}

/// Run time estimate for the requests of one client account to one service.
#[derive(Debug, Clone, Default)]
pub struct RunTimeEstimate {
    /// Number of observed runs.
    pub runs: u32,
    /// Mean run time.
    pub mean: Duration,
    /// 10th percentile of recent run times.
    pub p10: Duration,
    /// 90th percentile of recent run times.
    pub p90: Duration,
    /// Geometric mean of the ratio of actual to declared run times; `None` if none were declared.
    pub declared_ratio: Option<f64>,
}

/// Run time estimates and attained service, learned from completed runs.
#[derive(Debug, Clone, Default)]
pub struct History {
    /// Estimates by client account and service.
    pub estimates: IndexMap<(AccountId, ServiceId), RunTimeEstimate>,
    /// Accelerator seconds used by each client account, decayed over time.
    pub attained_service: IndexMap<AccountId, f64>,
}

/// Quarantine of a worker, which runs only probes.
#[derive(Debug, Clone)]
pub struct Quarantine {
    /// When the quarantine began.
    pub since: Instant,
    /// When the next probe may start.
    pub next_probe: Instant,
}

/// Workers and jobs to which failures are attributed.
#[derive(Debug, Clone, Default)]
pub struct Blame {
    /// Workers on which tasks of several jobs failed.
    pub quarantined: IndexMap<WorkerId, Quarantine>,
    /// Workers on which a task has succeeded since they joined.
    pub proven: IndexSet<WorkerId>,
    /// Jobs that caused their own failures, with the reason.
    pub faulty_jobs: IndexMap<JobId, Box<str>>,
    /// Workers on which tasks of a job failed; later attempts of the job avoid them.
    pub failed_on: IndexMap<JobId, IndexSet<WorkerId>>,
}
