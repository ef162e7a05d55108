//! The life cycle of a job: queued, placed, active. Only the outcome of a finished job is kept.

use std::sync::Arc;
use std::time::Instant;

use errors::Error;

use crate::ids::{Attempt, Epoch, GangId, JobId};
use crate::request::Request;

/// Number of low bits of an attempt number that count the attempts under one owner.
const ATTEMPT_BITS: u32 = 16;

/// Returns the number of the first attempt of a job under an owner.
///
/// An owner does not know the attempts of earlier owners. The epoch in the high bits keeps it from reusing their
/// attempt numbers, and thus their gang ids.
pub fn first_attempt(epoch: Epoch) -> Attempt {
    // Attempt numbers must be unique only within one request, so it is safe that the epoch wraps after 65,536 owners.
    let low = u16::try_from(epoch.saturating_sub(1) & u64::from(u16::MAX)).unwrap_or(0);
    (Attempt::from(low) << ATTEMPT_BITS) + 1
}

/// Returns the number of an attempt among the attempts under the same owner, starting at 1.
pub fn attempt_within_epoch(attempt: Attempt) -> u32 {
    attempt & ((1 << ATTEMPT_BITS) - 1)
}

/// A request with a shape in one state of its life cycle.
#[derive(Debug, Clone)]
pub struct Job<S> {
    /// Request that the job runs.
    pub request: Arc<Request>,
    /// Number of the current attempt.
    pub attempt: Attempt,
    /// Number of earlier attempts whose gang started; an attempt with a refused reservation does not count.
    pub runs: u32,
    /// Number of these attempts that were stopped to reclaim capacity and not because they failed.
    pub reclaims: u32,
    /// When the owner accepted the job.
    pub accepted_at: Instant,
    /// Accelerator seconds used by earlier attempts.
    pub attained_service: f64,
    /// Data that is specific to the state.
    pub state: S,
}

/// The job is waiting for capacity.
#[derive(Debug, Clone)]
pub struct Queued {
    /// When the job entered the queue for this attempt.
    pub since: Instant,
}

/// The members of the job's gang are being reserved.
#[derive(Debug, Clone)]
pub struct Placed {
    /// Gang whose members are being reserved.
    pub gang: GangId,
    /// When the job entered the queue for this attempt.
    pub queued_since: Instant,
}

/// The gang of the job is running.
#[derive(Debug, Clone)]
pub struct Active {
    /// Gang that is running.
    pub gang: GangId,
    /// When the gang started.
    pub since: Instant,
}

/// The final outcome of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobOutcome {
    /// The complete answer was delivered.
    Answered,
    /// The job was refused or failed; the error contains the verdict.
    Refused(Error),
}

impl<S> Job<S> {
    /// Returns the id of the job.
    pub fn id(&self) -> JobId {
        self.request.id
    }

    fn with_state<T>(self, state: T) -> Job<T> {
        Job {
            request: self.request,
            attempt: self.attempt,
            runs: self.runs,
            reclaims: self.reclaims,
            accepted_at: self.accepted_at,
            attained_service: self.attained_service,
            state,
        }
    }
}

impl Job<Queued> {
    /// Creates a job for a request that is accepted by the owner with this epoch.
    pub fn accept(request: Arc<Request>, epoch: Epoch, now: Instant) -> Self {
        Self {
            request,
            attempt: first_attempt(epoch),
            runs: 0,
            reclaims: 0,
            accepted_at: now,
            attained_service: 0.0,
            state: Queued { since: now },
        }
    }

    /// Records that a gang was planned for the job.
    pub fn place(self, gang: GangId) -> Job<Placed> {
        let queued_since = self.state.since;
        self.with_state(Placed { gang, queued_since })
    }
}

impl Job<Placed> {
    /// Records that the gang started.
    pub fn start(self, now: Instant) -> Job<Active> {
        let gang = self.state.gang;
        self.with_state(Active { gang, since: now })
    }

    /// Returns the job to its previous position in the queue after a refused reservation.
    pub fn requeue(self) -> Job<Queued> {
        let since = self.state.queued_since;
        let mut job = self.with_state(Queued { since });
        job.attempt += 1;
        job
    }
}

impl Job<Active> {
    /// Returns the number of attempts that failed, including the current one if it did.
    pub fn failures(&self, current_failed: bool) -> u32 {
        (self.runs + u32::from(current_failed)).saturating_sub(self.reclaims)
    }

    /// Returns a stopped or failed job to the queue for its next attempt; `reclaimed` tells whether it was stopped to
    /// reclaim capacity.
    pub fn requeue(self, reclaimed: bool, now: Instant) -> Job<Queued> {
        let ran = now.saturating_duration_since(self.state.since);
        let accelerators = self.request.shape.map_or(0, |s| s.total().accelerators);
        let mut job = self.with_state(Queued { since: now });
        job.runs += 1;
        job.reclaims += u32::from(reclaimed);
        job.attained_service += ran.as_secs_f64() * f64::from(accelerators);
        job.attempt += 1;
        job
    }
}
