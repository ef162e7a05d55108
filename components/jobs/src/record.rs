//! The life cycle of an asynchronous job: accepted, running, cancelling, answered, refused.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

use bytes::Bytes;
use errors::{Error, ErrorKind, Verdict};
use model::{AgentId, Attempt, Epoch, GangId, JobId, Request};
use serde::{Deserialize, Serialize};

/// The largest body in bytes; the record with all its fields stays below the 1 MB of one value.
pub const MAX_BODY_BYTES: usize = 900_000;
/// Attempts of one job; this bounds the store calls of a job.
pub const MAX_ATTEMPTS: Attempt = 5;

/// What does not change during the life of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The request; its timeout counts from the submission.
    pub request: Request,
    /// The body; empty after the end.
    pub body: Bytes,
    /// The hash of all that the caller sent.
    pub fingerprint: [u8; 32],
    /// When the entry received the job.
    pub submitted: SystemTime,
    /// Whether the id is derived from an idempotency key.
    pub keyed: bool,
}

/// A job in one state of its life cycle.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job<S> {
    /// What does not change.
    pub head: Head,
    /// What is known in this state.
    pub state: S,
}

/// The job waits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Attempts that ended without an outcome.
    pub attempts: Attempt,
}

/// One attempt at an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The attempt, from 1.
    pub attempt: Attempt,
    /// The epoch of the owner that dispatched it.
    pub epoch: Epoch,
    /// The agent that has it.
    pub agent: AgentId,
    /// The address of the agent.
    pub agent_addr: SocketAddr,
    /// The life of the agent.
    pub incarnation: u64,
    /// The gang that runs for it.
    pub gang: Option<GangId>,
    /// When the attempt was recorded, before it was dispatched.
    pub since: SystemTime,
}

/// The job was dispatched, or is about to be.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running {
    /// The attempt.
    pub run: Run,
}

/// The caller cancelled the job while it ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancelling {
    /// The attempt.
    pub run: Run,
}

/// The whole answer is in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answered {
    /// The attempt that was answered.
    pub attempt: Attempt,
    /// The HTTP status of the endpoint.
    pub status: u16,
    /// The content type.
    pub content_type: Box<str>,
    /// Length of the body in bytes.
    pub length: u64,
    /// BLAKE3 hash of the body.
    pub digest: [u8; 32],
    /// Number of chunks of the body.
    pub chunks: u32,
    /// When the outcome was recorded.
    pub ended: SystemTime,
}

/// The job ended without an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// The last attempt, 0 if there was none.
    pub attempt: Attempt,
    /// Why, with the verdict.
    pub error: Error,
    /// When the outcome was recorded.
    pub ended: SystemTime,
}

/// What follows a failed attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Next {
    /// Another attempt is safe.
    Retry(Job<Accepted>),
    /// The job ends.
    End(Job<Refused>),
}

/// Returns the hash of all that identifies a submission, so that a repeated one can be compared.
pub fn fingerprint(request: &Request, body: &[u8]) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    // A request holds plain data, so it always encodes.
    hasher.update(&postcard::to_stdvec(request).unwrap_or_default());
    hasher.update(body);
    *hasher.finalize().as_bytes()
}

/// An outcome is final, so it does not say when to try again.
fn refused(attempt: Attempt, error: Error, ended: SystemTime) -> Refused {
    let error = Error {
        retry_after: None,
        ..error
    };
    Refused {
        attempt,
        error,
        ended,
    }
}

impl<S> Job<S> {
    /// Returns the id.
    pub fn id(&self) -> JobId {
        self.head.request.id
    }

    /// Returns the time left until the deadline; zero after it.
    pub fn remaining(&self, now: SystemTime) -> Duration {
        let deadline = self.head.submitted + self.head.request.timeout;
        deadline.duration_since(now).unwrap_or_default()
    }

    fn with<T>(self, state: T) -> Job<T> {
        Job {
            head: self.head,
            state,
        }
    }

    /// The body is of no use after the end.
    fn end<T>(mut self, state: T) -> Job<T> {
        self.head.body = Bytes::new();
        self.with(state)
    }
}

impl Job<Accepted> {
    /// Accepts a request.
    pub fn accept(request: Request, body: Bytes, keyed: bool, now: SystemTime) -> Self {
        let head = Head {
            fingerprint: fingerprint(&request, &body),
            request,
            body,
            submitted: now,
            keyed,
        };
        let state = Accepted { attempts: 0 };
        Self { head, state }
    }

    /// Records the next attempt.
    pub fn start(self, run: Run) -> Job<Running> {
        self.with(Running { run })
    }

    /// Ends the job before a further attempt.
    pub fn refuse(self, error: Error, ended: SystemTime) -> Job<Refused> {
        let attempt = self.state.attempts;
        self.end(refused(attempt, error, ended))
    }

    /// Ends the job at the caller's wish; no attempt of it runs.
    pub fn cancel(self, ended: SystemTime) -> Job<Refused> {
        let error = Error::not_run(ErrorKind::Cancelled, "cancelled before an attempt ran");
        self.refuse(error, ended)
    }
}

impl Job<Running> {
    /// Records the caller's wish to stop.
    pub fn cancel(self) -> Job<Cancelling> {
        let run = self.state.run.clone();
        self.with(Cancelling { run })
    }

    /// Decides on a failed attempt: only "not run" and, for an idempotent job, "may have run" allow another one.
    pub fn fail(self, error: Error, now: SystemTime) -> Next {
        let attempt = self.state.run.attempt;
        let safe = match error.verdict {
            Verdict::NotRun => true,
            Verdict::MayHaveRun => self.head.request.idempotent,
            Verdict::Ran => false,
        };
        if safe && attempt < MAX_ATTEMPTS && !self.remaining(now).is_zero() {
            return Next::Retry(self.with(Accepted { attempts: attempt }));
        }
        Next::End(self.end(refused(attempt, error, now)))
    }

    /// Records the answer.
    pub fn answer(self, answered: Answered) -> Job<Answered> {
        self.end(answered)
    }
}

impl Job<Cancelling> {
    /// Ends the job as cancelled, with the verdict and the message of the stopped attempt.
    pub fn refuse(self, error: Error, ended: SystemTime) -> Job<Refused> {
        let attempt = self.state.run.attempt;
        let error = Error::new(error.verdict, ErrorKind::Cancelled, error.message);
        self.end(refused(attempt, error, ended))
    }

    /// Records an answer that came before the attempt was stopped.
    pub fn answer(self, answered: Answered) -> Job<Answered> {
        self.end(answered)
    }
}
