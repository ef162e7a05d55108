//! The contents of the sections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use model::{
    AccountId, Active, AgentId, Announced, Document, Draining, Endpoint, EndpointId, Epoch, Gang,
    GangId, Job, JobId, Placed, Planned, Queued, Resources, Revision, Running, SectionName,
    ServiceId, Serving, Shape, Worker, WorkerId,
};

/// An agent that announced itself.
#[derive(Debug, Clone)]
pub struct Agent {
    /// The id of the agent.
    pub id: AgentId,
    /// Its address for calls.
    pub addr: SocketAddr,
    /// When the process started, in milliseconds since 1970; a restart forgets all reservations.
    pub incarnation: u64,
    /// The workers it stands for.
    pub workers: Vec<Worker>,
    /// When it was last heard.
    pub heard: Instant,
    /// The configuration revision it has in force.
    pub config_revision: Revision,
}

/// Agents and endpoints by state.
#[derive(Debug, Clone, Default)]
pub struct Membership {
    /// The epoch of the owner that reports this membership.
    pub epoch: Epoch,
    /// When that owner began; none at an entry.
    pub since: Option<Instant>,
    /// The agents.
    pub agents: IndexMap<AgentId, Arc<Agent>>,
    /// Endpoints that have not sent a heartbeat yet.
    pub announced: IndexMap<EndpointId, Arc<Endpoint<Announced>>>,
    /// Endpoints that take requests.
    pub serving: IndexMap<EndpointId, Arc<Endpoint<Serving>>>,
    /// Endpoints that leave.
    pub draining: IndexMap<EndpointId, Arc<Endpoint<Draining>>>,
}

/// One section of the configuration as the store has it.
#[derive(Debug, Clone)]
pub struct SectionText {
    /// The revision that last changed it.
    pub revision: Revision,
    /// The JSON text; none after the section was deleted.
    pub text: Option<Arc<str>>,
}

/// The configuration document with the revision of each section.
#[derive(Debug, Clone, Default)]
pub struct ConfigSnapshot {
    /// The highest revision applied.
    pub revision: Revision,
    /// The revision from which all deletions are known.
    pub deletions_from: Revision,
    /// The sections with their revisions.
    pub sections: IndexMap<SectionName, SectionText>,
    /// The document.
    pub document: Document,
}

/// A guaranteed shape and the capacity that is kept reclaimable for it.
///
/// The homes of all claims are disjoint, and work that may not be stopped stays out of the homes of other client
/// accounts. The homes thus are a packing of all guarantees that needs no new search at each decision.
#[derive(Debug, Clone)]
pub struct Claim {
    /// The client account.
    pub account: AccountId,
    /// The guaranteed shape.
    pub shape: Shape,
    /// The capacity kept for the claim, by worker index in rising order; empty while no packing is known.
    pub home: Vec<(usize, Resources)>,
    /// The part of the home that no gang of the client account uses.
    pub left: Vec<(usize, Resources)>,
    /// Number of gangs that run within the claim.
    pub gangs: u32,
}

/// Capacity that is reserved for one queued job.
#[derive(Debug, Clone)]
pub struct Hold {
    /// The job.
    pub job: JobId,
    /// The gang of its next attempt.
    pub gang: GangId,
    /// Tasks by worker index.
    pub spots: Vec<(usize, u32)>,
    /// What one task needs.
    pub per_task: Resources,
    /// When the capacity is expected to be free.
    pub at: Instant,
}

/// Workers, free capacity and gangs of a cell.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    /// The workers, sorted by place.
    pub workers: Arc<IndexMap<WorkerId, Worker>>,
    /// Free resources, by worker index.
    pub free: Vec<Resources>,
    /// Gangs under reservation.
    pub planned: IndexMap<GangId, Arc<Gang<Planned>>>,
    /// Gangs that run.
    pub running: IndexMap<GangId, Arc<Gang<Running>>>,
    /// Resources outside all claims that no work holds which may not be stopped, by worker index.
    pub spare: Vec<Resources>,
    /// The guaranteed shapes in force.
    pub claims: Vec<Arc<Claim>>,
    /// Gangs that run within a claim, with the index of the claim.
    pub charged: IndexMap<GangId, usize>,
    /// Capacity reserved for jobs that wait for stopped borrowers.
    pub holds: IndexMap<JobId, Arc<Hold>>,
    /// The window that is drained for the oldest blocked large job.
    pub drain: Option<Arc<Hold>>,
    /// Running gangs that were told to stop.
    pub stopping: IndexSet<GangId>,
}

/// Jobs of a cell by state.
#[derive(Debug, Clone, Default)]
pub struct Queue {
    /// Jobs that wait for capacity, oldest first.
    pub queued: IndexMap<JobId, Arc<Job<Queued>>>,
    /// Jobs whose gang is under reservation.
    pub placed: IndexMap<JobId, Arc<Job<Placed>>>,
    /// Jobs whose gang runs.
    pub active: IndexMap<JobId, Arc<Job<Active>>>,
    /// Active jobs that the caller cancelled and whose gang has not ended.
    pub cancelled: IndexSet<JobId>,
}

/// What past runs of one client account and service tell.
#[derive(Debug, Clone, Default)]
pub struct Estimate {
    /// Number of runs that were observed.
    pub runs: u32,
    /// Mean run time.
    pub mean: Duration,
    /// Run time that one of ten recent runs stays under.
    pub p10: Duration,
    /// Run time that nine of ten recent runs stay under.
    pub p90: Duration,
    /// Geometric mean of true over declared run times, if any were declared.
    pub declared_ratio: Option<f64>,
}

/// Run times and attained service, learned from runs.
#[derive(Debug, Clone, Default)]
pub struct History {
    /// Estimates by client account and service.
    pub estimates: IndexMap<(AccountId, ServiceId), Estimate>,
    /// Accelerator seconds that each client account used, with old use decayed.
    pub attained: IndexMap<AccountId, f64>,
}

/// A worker that takes only probes.
#[derive(Debug, Clone)]
pub struct Quarantine {
    /// When the quarantine began.
    pub since: Instant,
    /// When the next probe may run.
    pub next_probe: Instant,
}

/// Which workers and jobs are held responsible for failures.
#[derive(Debug, Clone, Default)]
pub struct Blame {
    /// Workers that fail the tasks of several jobs.
    pub quarantined: IndexMap<WorkerId, Quarantine>,
    /// Workers on which a task ended well since they joined.
    pub proven: IndexSet<WorkerId>,
    /// Jobs at fault for their failures, with the reason.
    pub faulty_jobs: IndexMap<JobId, Box<str>>,
    /// Jobs with the workers that failed their tasks; another try goes elsewhere.
    pub failed_on: IndexMap<JobId, IndexSet<WorkerId>>,
}
