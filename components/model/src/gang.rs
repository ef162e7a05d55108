//! The life cycle of a gang: planned, reserved, armed, running.

use std::time::Instant;

use serde::{Deserialize, Serialize};

use crate::ids::{AgentId, Attempt, EndpointId, Epoch, GangId, JobId, WorkerId};
use crate::resources::Resources;

/// The tasks of a gang on one worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// The agent that reserves the worker.
    pub agent: AgentId,
    /// The worker.
    pub worker: WorkerId,
    /// Number of tasks on the worker.
    pub tasks: u32,
    /// What one task needs.
    pub per_task: Resources,
}

impl Member {
    /// Returns what the member reserves on its worker.
    pub fn total(&self) -> Resources {
        self.per_task.scaled(self.tasks)
    }
}

/// The members that run one attempt of a job at the same time.
#[derive(Debug, Clone)]
pub struct Gang<S> {
    /// The id of the gang.
    pub id: GangId,
    /// The job it runs.
    pub job: JobId,
    /// The attempt of the job.
    pub attempt: Attempt,
    /// The workers and their tasks; the first member leads the gang.
    pub members: Vec<Member>,
    /// The agent whose endpoint handles the request.
    pub endpoint_agent: AgentId,
    /// The endpoint that handles the request.
    pub endpoint: EndpointId,
    /// What is known in this state.
    pub state: S,
}

/// Placement chose the members; nothing is reserved yet.
#[derive(Debug, Clone)]
pub struct Planned {
    /// When placement chose the members.
    pub at: Instant,
}

/// Every member is reserved at one epoch.
#[derive(Debug, Clone)]
pub struct Reserved {
    /// The epoch of the reservation.
    pub epoch: Epoch,
}

/// Every member extended its reservation to the gang lease.
#[derive(Debug, Clone)]
pub struct Armed {
    /// The epoch of the reservation.
    pub epoch: Epoch,
}

/// The tasks run.
#[derive(Debug, Clone)]
pub struct Running {
    /// The epoch of the reservation.
    pub epoch: Epoch,
    /// When the gang started.
    pub since: Instant,
}

/// Returns the id of the gang that runs an attempt of a job; request ids are random, so the sum is unique.
pub fn gang_id(job: JobId, attempt: Attempt) -> GangId {
    job.wrapping_add(GangId::from(attempt))
}

impl<S> Gang<S> {
    fn with<T>(self, state: T) -> Gang<T> {
        Gang {
            id: self.id,
            job: self.job,
            attempt: self.attempt,
            members: self.members,
            endpoint_agent: self.endpoint_agent,
            endpoint: self.endpoint,
            state,
        }
    }
}

impl Gang<Planned> {
    /// Records that every member is reserved.
    pub fn reserved(self, epoch: Epoch) -> Gang<Reserved> {
        self.with(Reserved { epoch })
    }
}

impl Gang<Reserved> {
    /// Records that every member extended its reservation to the gang lease.
    pub fn armed(self) -> Gang<Armed> {
        let epoch = self.state.epoch;
        self.with(Armed { epoch })
    }
}

impl Gang<Armed> {
    /// Records that the leader let the members run.
    pub fn run(self, now: Instant) -> Gang<Running> {
        let epoch = self.state.epoch;
        self.with(Running { epoch, since: now })
    }
}
