//! The life cycle of a job: queued, placed, active; a job that ended has only its outcome.

use std::sync::Arc;
use std::time::Instant;

use errors::Error;

use crate::ids::{Attempt, Epoch, GangId, JobId};
use crate::request::Request;

/// Bits of an attempt that count the tries of one owner.
const TRY_BITS: u32 = 16;

/// Returns the first attempt of a job at an owner.
///
/// An owner does not know the attempts of earlier owners; with the epoch in the high bits it never repeats one of them,
/// and so no id of a gang.
pub fn first_attempt(epoch: Epoch) -> Attempt {
    // Only the attempts of one request must differ, so that the wrap of the epoch after 65,536 owners does no harm.
    let low = u16::try_from(epoch.saturating_sub(1) & u64::from(u16::MAX)).unwrap_or(0);
    (Attempt::from(low) << TRY_BITS) + 1
}

/// Returns the number of a try at its owner, from 1.
pub fn try_number(attempt: Attempt) -> u32 {
    attempt & ((1 << TRY_BITS) - 1)
}

/// A request with a shape in one state of its life cycle.
#[derive(Debug, Clone)]
pub struct Job<S> {
    /// The request that the job carries out.
    pub request: Arc<Request>,
    /// The current try, from 1.
    pub attempt: Attempt,
    /// Earlier tries whose gang was started; a refused reservation is a try without a run.
    pub runs: u32,
    /// When the owner accepted the job.
    pub accepted: Instant,
    /// Accelerator seconds that earlier attempts used.
    pub attained: f64,
    /// What is known in this state.
    pub state: S,
}

/// The job waits for capacity.
#[derive(Debug, Clone)]
pub struct Queued {
    /// When the job entered the queue for this attempt.
    pub since: Instant,
}

/// A gang is being reserved for the job.
#[derive(Debug, Clone)]
pub struct Placed {
    /// The gang under reservation.
    pub gang: GangId,
    /// When the job entered the queue for this attempt.
    pub queued_since: Instant,
}

/// The gang of the job runs.
#[derive(Debug, Clone)]
pub struct Active {
    /// The running gang.
    pub gang: GangId,
    /// When the gang started.
    pub since: Instant,
}

/// The one outcome of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobOutcome {
    /// The whole answer was delivered.
    Answered,
    /// The job was refused or failed, with the verdict in the error.
    Refused(Error),
}

impl<S> Job<S> {
    /// Returns the id of the job.
    pub fn id(&self) -> JobId {
        self.request.id
    }

    fn with<T>(self, state: T) -> Job<T> {
        Job {
            request: self.request,
            attempt: self.attempt,
            runs: self.runs,
            accepted: self.accepted,
            attained: self.attained,
            state,
        }
    }
}

impl Job<Queued> {
    /// Accepts a request as a job of the owner with this epoch.
    pub fn accept(request: Arc<Request>, epoch: Epoch, now: Instant) -> Self {
        Self {
            request,
            attempt: first_attempt(epoch),
            runs: 0,
            accepted: now,
            attained: 0.0,
            state: Queued { since: now },
        }
    }

    /// Records that a gang was planned for the job.
    pub fn place(self, gang: GangId) -> Job<Placed> {
        let queued_since = self.state.since;
        self.with(Placed { gang, queued_since })
    }
}

impl Job<Placed> {
    /// Records that the gang started.
    pub fn start(self, now: Instant) -> Job<Active> {
        let gang = self.state.gang;
        self.with(Active { gang, since: now })
    }

    /// Returns the job to the queue after a refused reservation, with its original place in the queue.
    pub fn requeue(self) -> Job<Queued> {
        let since = self.state.queued_since;
        let mut job = self.with(Queued { since });
        job.attempt += 1;
        job
    }
}

impl Job<Active> {
    /// Returns a stopped or failed job to the queue for its next attempt.
    pub fn requeue(self, now: Instant) -> Job<Queued> {
        let ran = now.saturating_duration_since(self.state.since);
        let accelerators = self.request.shape.map_or(0, |s| s.total().accelerators);
        let mut job = self.with(Queued { since: now });
        job.runs += 1;
        job.attained += ran.as_secs_f64() * f64::from(accelerators);
        job.attempt += 1;
        job
    }
}
