//! Encoding of job records.

use bytes::Bytes;
use errors::{Error, ErrorKind, Result};
use serde::{Deserialize, Serialize};

use crate::lifecycle::{Accepted, Answered, Cancelling, Job, JobHeader, Refused, Running};

/// The version of the encoding, which is the first byte of each record.
const VERSION: u8 = 1;

/// A job in any state, as it is stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobRecord {
    /// The job waits for an attempt.
    Accepted(Job<Accepted>),
    /// An attempt was dispatched, or is about to be.
    Running(Job<Running>),
    /// The job was cancelled while an attempt ran.
    Cancelling(Job<Cancelling>),
    /// The job ended with an answer.
    Answered(Job<Answered>),
    /// The job ended without an answer.
    Refused(Job<Refused>),
}

#[derive(Serialize, Deserialize)]
enum State {
    Accepted(Accepted),
    Running(Running),
    Cancelling(Cancelling),
    Answered(Answered),
    Refused(Refused),
}

impl JobRecord {
    /// Returns the fields that all states share.
    pub fn header(&self) -> &JobHeader {
        match self {
            Self::Accepted(job) => &job.header,
            Self::Running(job) => &job.header,
            Self::Cancelling(job) => &job.header,
            Self::Answered(job) => &job.header,
            Self::Refused(job) => &job.header,
        }
    }

    /// Returns the name of the state in the HTTP API and in logs.
    pub fn state_name(&self) -> &'static str {
        match self {
            Self::Accepted(_) => "accepted",
            Self::Running(_) => "running",
            Self::Cancelling(_) => "cancelling",
            Self::Answered(_) => "answered",
            Self::Refused(_) => "refused",
        }
    }

    fn state(&self) -> State {
        match self {
            Self::Accepted(job) => State::Accepted(job.state.clone()),
            Self::Running(job) => State::Running(job.state.clone()),
            Self::Cancelling(job) => State::Cancelling(job.state.clone()),
            Self::Answered(job) => State::Answered(job.state.clone()),
            Self::Refused(job) => State::Refused(job.state.clone()),
        }
    }
}

macro_rules! from_job {
    ($($state:ident),*) => {$(
        impl From<Job<$state>> for JobRecord {
            fn from(job: Job<$state>) -> Self {
                Self::$state(job)
            }
        }
    )*};
}

from_job!(Accepted, Running, Cancelling, Answered, Refused);

/// Encodes a job record.
pub fn encode_record(job: &JobRecord) -> Result<Bytes> {
    postcard::to_stdvec(&(VERSION, job.header(), job.state()))
        .map(Bytes::from)
        .map_err(|e| {
            Error::not_run(
                ErrorKind::Internal,
                format!("cannot encode a job record: {e}"),
            )
            .report()
        })
}

/// Decodes a job record.
pub fn decode_record(value: &[u8]) -> Result<JobRecord> {
    let corrupt_error = |reason: &dyn std::fmt::Display| {
        let message = format!("cannot decode a job record: {reason}");
        Error::may_have_run(ErrorKind::Corrupt, message).report()
    };
    if value.first() != Some(&VERSION) {
        return Err(corrupt_error(&"unknown version"));
    }
    let (_, header, state): (u8, JobHeader, State) =
        postcard::from_bytes(value).map_err(|e| corrupt_error(&e))?;
    Ok(match state {
        State::Accepted(state) => Job { header, state }.into(),
        State::Running(state) => Job { header, state }.into(),
        State::Cancelling(state) => Job { header, state }.into(),
        State::Answered(state) => Job { header, state }.into(),
        State::Refused(state) => Job { header, state }.into(),
    })
}
