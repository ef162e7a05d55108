//! Builders of jobs and runs for tests.

use std::time::{Duration, SystemTime};

use bytes::Bytes;
use jobs::{Accepted, Job, Run};
use model::Request;

pub(crate) fn accepted(id: u128, idempotent: bool, body: impl Into<Bytes>) -> Job<Accepted> {
    let request = Request {
        id,
        account: "faro".into(),
        service: "workshop".into(),
        shape: None,
        idempotent,
        stoppable: false,
        timeout: Duration::from_mins(1),
        declared_run_time: None,
    };
    Job::<Accepted>::accept(request, body.into(), true, SystemTime::now())
}

pub(crate) fn run(attempt: u32) -> Run {
    Run {
        attempt,
        epoch: 3,
        agent: "agent-0".into(),
        agent_addr: ([127, 0, 0, 1], 1).into(),
        incarnation: 7,
        gang: Some(9),
        recorded_at: SystemTime::now(),
    }
}
