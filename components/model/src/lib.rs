//! Domain types of limpethook: ids, locations, resources, shapes, requests and life cycles.

mod document;
mod endpoint;
mod gang;
mod graph;
pub mod ids;
mod job;
mod location;
mod request;
mod resources;
mod run;
mod shape;
mod worker;

pub use document::{Account, AccountLimits, Document, Policy, SectionName, Service};
pub use endpoint::{Announced, Draining, Endpoint, Serving};
pub use gang::{Armed, Gang, Member, Planned, Reserved, Running, gang_id};
pub use graph::{
    AcceptedJob, JobEnd, JobGraph, JobState, MAX_DURATION, MAX_TASKS, QueuePolicy, Recurrence,
    ResourceVector, RunEnd, Step, TaskId, TaskRun,
};
pub use ids::{
    AccountId, AgentId, Attempt, CellId, DataCentreId, EndpointId, EntryId, Epoch, GangId,
    Incarnation, JobId, QueueId, RackId, RegionId, RequestId, Revision, RunNumber, ServiceId,
    WorkerId,
};
pub use job::{Active, Job, JobOutcome, Placed, Queued, attempt_within_epoch, first_attempt};
pub use location::Location;
pub use request::Request;
pub use resources::Resources;
pub use run::{
    CrashedRun, EndReport, Instructions, Refusal, RunReport, RunStatus, StartOrder, WorkerCrash,
    WorkerReport,
};
pub use shape::{Adjacency, Shape};
pub use worker::Worker;
