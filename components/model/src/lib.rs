//! Domain types of limpethook: ids, places, resources, shapes, requests and life cycles.

mod document;
mod endpoint;
mod gang;
mod graph;
pub mod ids;
mod job;
mod place;
mod request;
mod resources;
mod run;
mod shape;
mod worker;

pub use document::{Account, AccountLimits, Document, Policy, SectionName, Service};
pub use endpoint::{Announced, Draining, Endpoint, Serving};
pub use gang::{Armed, Gang, Member, Planned, Reserved, Running, gang_id};
pub use graph::{
    AcceptedJob, JobEnd, JobGraph, JobState, MAX_TIME, QueuePolicy, Recurrence, Room, RunEnd, Step,
    TaskId, TaskRun,
};
pub use ids::{
    AccountId, AgentId, Attempt, CellId, DataCentreId, EndpointId, EntryId, Epoch, GangId,
    Incarnation, JobId, QueueId, RackId, RegionId, RequestId, Revision, RunNumber, ServiceId,
    WorkerId,
};
pub use job::{Active, Job, JobOutcome, Placed, Queued, first_attempt, try_number};
pub use place::Place;
pub use request::Request;
pub use resources::Resources;
pub use run::{EndReport, Instructions, Refusal, RunReport, RunStatus, StartOrder, WorkerReport};
pub use shape::{Adjacency, Shape};
pub use worker::Worker;
