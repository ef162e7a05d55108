//! A request that an entry accepted, without its body.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{AccountId, RequestId, ServiceId};
use crate::shape::Shape;

/// A request of a client account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Request {
    /// Id of the request.
    pub id: RequestId,
    /// Client account that the request is charged to.
    pub account: AccountId,
    /// Service that handles the request.
    pub service: ServiceId,
    /// Shape of the gang that runs with the request; `None` for a short request.
    pub shape: Option<Shape>,
    /// Whether the request may run more than once. A stopped idempotent job restarts from the beginning.
    pub idempotent: bool,
    /// Whether the tasks support checkpoints. A stopped job that is also idempotent resumes from its checkpoint.
    pub stoppable: bool,
    /// Time until the deadline, measured when the request was forwarded.
    pub timeout: Duration,
    /// Run time declared by the caller, which is often wrong.
    pub declared_run_time: Option<Duration>,
}

impl Request {
    /// Returns whether the request may be stopped while it runs, and run again later.
    ///
    /// A stopped request is dispatched to an endpoint a second time. A non-idempotent request is therefore not
    /// preemptible, even if its tasks support checkpoints.
    pub fn is_preemptible(&self) -> bool {
        self.idempotent
    }
}
