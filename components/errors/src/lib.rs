//! The error type of limpethook, which states with a verdict whether the request may have run.

use std::fmt;
use std::time::Duration;

use error_stack::Report;
use serde::{Deserialize, Serialize};

/// A result with an [`Error`] report.
pub type Result<T> = std::result::Result<T, Report<Error>>;

/// Whether a request may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The request did not run and will not run under this attempt.
    NotRun,
    /// The request may have run; only an idempotent request may be retried.
    MayHaveRun,
    /// The request ran to completion.
    Ran,
}

impl Verdict {
    /// Returns the name that is used in logs and error bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::MayHaveRun => "may_have_run",
            Self::Ran => "ran",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The class of an error, which is independent of its verdict.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// The request is malformed.
    InvalidRequest,
    /// The token is missing or invalid.
    Unauthenticated,
    /// The object does not exist or belongs to another client account.
    NotFound,
    /// A compare-and-swap failed, or an idempotency key was used with other content.
    Conflict,
    /// The body or the answer exceeds its size limit.
    TooLarge,
    /// The shape does not fit on any set of workers, even if all are idle.
    Infeasible,
    /// A queue, a budget or a slot limit is exhausted.
    Overloaded,
    /// The receiver is shutting down.
    Draining,
    /// A peer or an external system cannot be reached.
    Unavailable,
    /// The sender's epoch is lower than the highest epoch seen.
    StaleEpoch,
    /// The deadline passed.
    Timeout,
    /// The caller cancelled the request.
    Cancelled,
    /// The job was stopped to reclaim capacity or because a gang member was lost.
    Stopped,
    /// The endpoint or a worker reported a failure.
    Failed,
    /// An answer failed its integrity check.
    Corrupt,
    /// An internal error of limpethook.
    Internal,
}

impl ErrorKind {
    /// Returns the name that is used in logs and error bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::InvalidRequest => "invalid_request",
            Self::Unauthenticated => "unauthenticated",
            Self::NotFound => "not_found",
            Self::Conflict => "conflict",
            Self::TooLarge => "too_large",
            Self::Infeasible => "infeasible",
            Self::Overloaded => "overloaded",
            Self::Draining => "draining",
            Self::Unavailable => "unavailable",
            Self::StaleEpoch => "stale_epoch",
            Self::Timeout => "timeout",
            Self::Cancelled => "cancelled",
            Self::Stopped => "stopped",
            Self::Failed => "failed",
            Self::Corrupt => "corrupt",
            Self::Internal => "internal",
        }
    }
}

impl ErrorKind {
    /// Returns whether a retry could succeed; the verdict determines whether a retry is allowed.
    pub fn is_transient(self) -> bool {
        !matches!(
            self,
            Self::InvalidRequest
                | Self::Unauthenticated
                | Self::NotFound
                | Self::TooLarge
                | Self::Infeasible
                | Self::Timeout
                | Self::Cancelled
        )
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// An error with its verdict, as sent between processes and to callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Error {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Class of the error.
    pub kind: ErrorKind,
    /// Human-readable message.
    pub message: Box<str>,
    /// Minimum delay before a retry is worthwhile.
    pub retry_after: Option<Duration>,
}

impl Error {
    /// Creates an error for a request that did not run.
    pub fn not_run(kind: ErrorKind, message: impl Into<Box<str>>) -> Self {
        Self::new(Verdict::NotRun, kind, message)
    }

    /// Creates an error for a request that may have run.
    pub fn may_have_run(kind: ErrorKind, message: impl Into<Box<str>>) -> Self {
        Self::new(Verdict::MayHaveRun, kind, message)
    }

    /// Creates an error for a request that ran to completion and failed.
    pub fn ran(kind: ErrorKind, message: impl Into<Box<str>>) -> Self {
        Self::new(Verdict::Ran, kind, message)
    }

    /// Creates an error from its parts.
    pub fn new(verdict: Verdict, kind: ErrorKind, message: impl Into<Box<str>>) -> Self {
        Self {
            verdict,
            kind,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Sets the delay after which the caller may retry.
    #[must_use]
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Wraps the error in a report.
    pub fn report(self) -> Report<Self> {
        Report::new(self)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({}, {})", self.message, self.kind, self.verdict)
    }
}

impl std::error::Error for Error {}
