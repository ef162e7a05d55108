//! A request as an entry accepts it, without its body.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{AccountId, RequestId, ServiceId};
use crate::shape::Shape;

/// What a client account asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Request {
    /// The id of the request.
    pub id: RequestId,
    /// The client account that pays for it.
    pub account: AccountId,
    /// The service that handles it.
    pub service: ServiceId,
    /// The gang it needs while it runs; none for a short request.
    pub shape: Option<Shape>,
    /// Whether it may run more than once; a stopped idempotent job starts again from its beginning.
    pub idempotent: bool,
    /// Whether its tasks can checkpoint; a stopped idempotent job of this kind continues from its checkpoint.
    pub stoppable: bool,
    /// The time left until its deadline when the request was sent on.
    pub timeout: Duration,
    /// The run time that the caller declares, which is often wrong.
    pub declared_run_time: Option<Duration>,
}

impl Request {
    /// Returns whether the request may be stopped while it runs and be run again later.
    ///
    /// A stopped request is dispatched to an endpoint again, so a non-idempotent one may not be stopped even if its
    /// tasks can checkpoint: it would run twice.
    pub fn may_stop(&self) -> bool {
        self.idempotent
    }
}
