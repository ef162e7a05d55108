//! The life cycle of a gang: planned, reserved, armed, running.

use std::time::Instant;

use serde::{Deserialize, Serialize};

use crate::ids::{AgentId, Attempt, EndpointId, Epoch, GangId, JobId, WorkerId};
use crate::resources::Resources;

/// The tasks of a gang on one worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Agent that reserves resources of the worker.
    pub agent: AgentId,
    /// The worker.
    pub worker: WorkerId,
    /// Number of tasks on the worker.
    pub tasks: u32,
    /// Resources that each task requires.
    pub per_task: Resources,
}

impl Member {
    /// Returns the resources to reserve on the worker.
    pub fn total(&self) -> Resources {
        self.per_task.saturating_mul(self.tasks)
    }
}

/// The members that run one attempt of a job concurrently.
#[derive(Debug, Clone)]
pub struct Gang<S> {
    /// Id of the gang.
    pub id: GangId,
    /// Job that the gang runs.
    pub job: JobId,
    /// Attempt of the job.
    pub attempt: Attempt,
    /// Workers and their tasks; the first member leads the gang.
    pub members: Vec<Member>,
    /// Agent whose endpoint handles the request.
    pub endpoint_agent: AgentId,
    /// Endpoint that handles the request.
    pub endpoint: EndpointId,
    /// Data that is specific to the state.
    pub state: S,
}

/// The members are selected, and nothing is reserved yet.
#[derive(Debug, Clone)]
pub struct Planned {
    /// When the members were selected.
    pub at: Instant,
}

/// Every member is reserved under the same epoch.
#[derive(Debug, Clone)]
pub struct Reserved {
    /// Epoch of the reservation.
    pub epoch: Epoch,
}

/// Every member extended its reservation to the gang lease.
#[derive(Debug, Clone)]
pub struct Armed {
    /// Epoch of the reservation.
    pub epoch: Epoch,
}

/// The tasks are running.
#[derive(Debug, Clone)]
pub struct Running {
    /// Epoch of the reservation.
    pub epoch: Epoch,
    /// When the gang started.
    pub since: Instant,
}

/// Returns the id of the gang that runs an attempt of a job.
///
/// Request ids are random, so the sum of request id and attempt is unique.
pub fn gang_id(job: JobId, attempt: Attempt) -> GangId {
    job.wrapping_add(GangId::from(attempt))
}

impl<S> Gang<S> {
    fn with_state<T>(self, state: T) -> Gang<T> {
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
        self.with_state(Reserved { epoch })
    }
}

impl Gang<Reserved> {
    /// Records that every member extended its reservation to the gang lease.
    pub fn armed(self) -> Gang<Armed> {
        let epoch = self.state.epoch;
        self.with_state(Armed { epoch })
    }
}

impl Gang<Armed> {
    /// Records that the leader allowed the members to run.
    pub fn run(self, now: Instant) -> Gang<Running> {
        let epoch = self.state.epoch;
        self.with_state(Running { epoch, since: now })
    }
}
