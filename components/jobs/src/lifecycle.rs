//! The life cycle of an asynchronous job, whose states are accepted, running, cancelling, answered and refused.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

use bytes::Bytes;
use errors::{Error, ErrorKind, Verdict};
use model::{AgentId, Attempt, Epoch, GangId, JobId, Request};
use serde::{Deserialize, Serialize};

/// The maximum size of a request body in bytes, which keeps the whole record below the store's value limit of 1 MB.
pub const MAX_BODY_BYTES: usize = 900_000;
/// The maximum number of attempts of one job, which limits the number of store calls per job.
pub const MAX_ATTEMPTS: Attempt = 5;

/// The fields that all states of a job share.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobHeader {
    /// The request; its timeout counts from the submission.
    pub request: Request,
    /// The request body; removed when the job ends.
    pub body: Bytes,
    /// The hash of the request and its body, which identifies repeated submissions.
    pub fingerprint: [u8; 32],
    /// When the entry received the job.
    pub submitted_at: SystemTime,
    /// Whether the job id is derived from an idempotency key.
    pub has_idempotency_key: bool,
}

/// A job in one state of its life cycle.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job<S> {
    /// The fields that all states share.
    pub header: JobHeader,
    /// The fields specific to this state.
    pub state: S,
}

/// The job waits for an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// The number of failed attempts.
    pub attempts: Attempt,
}

/// An attempt to run the job at an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The number of the attempt, starting at 1.
    pub attempt: Attempt,
    /// The epoch of the owner that dispatched the attempt.
    pub epoch: Epoch,
    /// The agent that the attempt was dispatched to.
    pub agent: AgentId,
    /// The address of the agent.
    pub agent_addr: SocketAddr,
    /// The incarnation of the agent.
    pub incarnation: u64,
    /// The gang of the attempt, for a request with a shape.
    pub gang: Option<GangId>,
    /// When the attempt was recorded, which is before it was dispatched.
    pub recorded_at: SystemTime,
}

/// An attempt was dispatched, or is about to be.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running {
    /// The attempt.
    pub run: Run,
}

/// The caller cancelled the job while an attempt ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancelling {
    /// The attempt.
    pub run: Run,
}

/// The job ended with an answer, which is in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answered {
    /// The number of the attempt that produced the answer.
    pub attempt: Attempt,
    /// The HTTP status that the endpoint responded with.
    pub status: u16,
    /// The content type of the body.
    pub content_type: Box<str>,
    /// The length of the body in bytes.
    pub length: u64,
    /// The BLAKE3 hash of the body.
    pub digest: [u8; 32],
    /// The number of chunks of the body.
    pub chunks: u32,
    /// When the outcome was recorded.
    pub ended_at: SystemTime,
}

/// The job ended without an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// The number of the last attempt; 0 if there was none.
    pub attempt: Attempt,
    /// The reason, with the verdict.
    pub error: Error,
    /// When the outcome was recorded.
    pub ended_at: SystemTime,
}

/// How a job continues after a failed attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FailureOutcome {
    /// Another attempt may be made.
    Retry(Job<Accepted>),
    /// The job ends without an answer.
    End(Job<Refused>),
}

/// Returns a hash of the request and its body, to tell repeated submissions from different ones.
pub fn fingerprint(request: &Request, body: &[u8]) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    // Encoding cannot fail, because a request contains only plain data.
    hasher.update(&postcard::to_stdvec(request).unwrap_or_default());
    hasher.update(body);
    *hasher.finalize().as_bytes()
}

/// Creates the final state from an error, without its retry delay because the outcome is final.
fn final_refusal(attempt: Attempt, error: Error, ended_at: SystemTime) -> Refused {
    let error = Error {
        retry_after: None,
        ..error
    };
    Refused {
        attempt,
        error,
        ended_at,
    }
}

impl<S> Job<S> {
    /// Returns the job id.
    pub fn id(&self) -> JobId {
        self.header.request.id
    }

    /// Returns the time until the deadline, or zero if it has passed.
    pub fn remaining(&self, now: SystemTime) -> Duration {
        let deadline = self.header.submitted_at + self.header.request.timeout;
        deadline.duration_since(now).unwrap_or_default()
    }

    fn with_state<T>(self, state: T) -> Job<T> {
        Job {
            header: self.header,
            state,
        }
    }

    /// Enters a final state and removes the request body, which is no longer needed.
    fn finish<T>(mut self, state: T) -> Job<T> {
        self.header.body = Bytes::new();
        self.with_state(state)
    }
}

impl Job<Accepted> {
    /// Creates a job from a request.
    pub fn accept(
        request: Request,
        body: Bytes,
        has_idempotency_key: bool,
        now: SystemTime,
    ) -> Self {
        let header = JobHeader {
            fingerprint: fingerprint(&request, &body),
            request,
            body,
            submitted_at: now,
            has_idempotency_key,
        };
        let state = Accepted { attempts: 0 };
        Self { header, state }
    }

    /// Starts the next attempt.
    pub fn start(self, run: Run) -> Job<Running> {
        self.with_state(Running { run })
    }

    /// Ends the job without another attempt.
    pub fn refuse(self, error: Error, ended_at: SystemTime) -> Job<Refused> {
        let attempt = self.state.attempts;
        self.finish(final_refusal(attempt, error, ended_at))
    }

    /// Cancels the job; no attempt is running.
    pub fn cancel(self, ended_at: SystemTime) -> Job<Refused> {
        let error = Error::not_run(ErrorKind::Cancelled, "cancelled before an attempt ran");
        self.refuse(error, ended_at)
    }
}

impl Job<Running> {
    /// Cancels the job; its attempt has yet to be stopped.
    pub fn cancel(self) -> Job<Cancelling> {
        let run = self.state.run.clone();
        self.with_state(Cancelling { run })
    }

    /// Records a failed attempt. It may be retried if its verdict is "not run" or, for an idempotent job, "may have
    /// run".
    pub fn fail(self, error: Error, now: SystemTime) -> FailureOutcome {
        let attempt = self.state.run.attempt;
        let may_retry = match error.verdict {
            Verdict::NotRun => true,
            Verdict::MayHaveRun => self.header.request.idempotent,
            Verdict::Ran => false,
        };
        if may_retry && attempt < MAX_ATTEMPTS && !self.remaining(now).is_zero() {
            return FailureOutcome::Retry(self.with_state(Accepted { attempts: attempt }));
        }
        FailureOutcome::End(self.finish(final_refusal(attempt, error, now)))
    }

    /// Ends the job with an answer.
    pub fn answer(self, answered: Answered) -> Job<Answered> {
        self.finish(answered)
    }
}

impl Job<Cancelling> {
    /// Ends the job as cancelled, with the verdict and the message of the attempt that was stopped.
    pub fn refuse(self, error: Error, ended_at: SystemTime) -> Job<Refused> {
        let attempt = self.state.run.attempt;
        let error = Error::new(error.verdict, ErrorKind::Cancelled, error.message);
        self.finish(final_refusal(attempt, error, ended_at))
    }

    /// Ends the job with an answer that arrived before the attempt was stopped.
    pub fn answer(self, answered: Answered) -> Job<Answered> {
        self.finish(answered)
    }
}
