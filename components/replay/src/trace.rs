//! The trace format: a header line, then events in time order.

use std::time::Duration;

use errors::{ErrorKind, Verdict};
use model::{
    AccountId, AgentId, Document, EndpointId, JobId, Location, ServiceId, Shape, Worker, WorkerId,
};
use serde::{Deserialize, Serialize};

/// A parsed trace.
#[derive(Debug, Clone)]
pub struct Trace {
    /// The file name used in error messages and reports.
    pub file: Box<str>,
    /// The header line.
    pub header: Header,
    /// The lines after the header.
    pub lines: Vec<Line>,
}

/// The header line of a trace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Header {
    /// The version of the format.
    pub version: u32,
    /// The name of the deployment.
    pub deployment: Box<str>,
    /// The seed, if the trace is generated.
    pub seed: Option<u64>,
    /// The workers that are available at the start.
    pub workers: Vec<Worker>,
    /// The endpoints, which are available for the whole trace.
    pub endpoints: Vec<EndpointSpec>,
    /// The configuration in force.
    pub document: Document,
    /// Limits that every replayed policy must meet.
    pub bounds: Option<Bounds>,
}

/// An endpoint of the deployment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointSpec {
    /// The id of the endpoint.
    pub id: EndpointId,
    /// The agent of the endpoint.
    pub agent: AgentId,
    /// The service it provides.
    pub service: ServiceId,
    /// Its location.
    pub place: Location,
    /// How many requests it handles concurrently.
    pub slots: u32,
}

/// Limits on the results of a replay.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// The latest time at which the last job gets its outcome.
    pub ends_by_ms: Option<u64>,
    /// The maximum mean slowdown.
    pub mean_slowdown: Option<f64>,
    /// The maximum wait of a job in the largest class.
    pub longest_wait_ms: Option<u64>,
}

/// An event and its time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Line {
    /// Milliseconds since the start of the trace.
    pub at_ms: u64,
    /// What happened.
    pub event: TraceEvent,
}

impl Line {
    /// Returns the time since the start of the trace.
    pub fn at(&self) -> Duration {
        Duration::from_millis(self.at_ms)
    }
}

/// An event recorded in a trace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum TraceEvent {
    /// A caller submits a job.
    Submit(Submit),
    /// The caller cancels a job.
    Cancel {
        /// The number of the job.
        job: u64,
    },
    /// A worker is lost with its tasks.
    WorkerLost {
        /// The worker.
        worker: WorkerId,
    },
    /// A lost worker returns, or a failing worker is repaired.
    WorkerBack {
        /// The worker.
        worker: WorkerId,
    },
    /// A worker starts to fail every task.
    WorkerFails {
        /// The worker.
        worker: WorkerId,
    },
}

/// A submitted job; the decision code does not see its true run time and behaviour.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Submit {
    /// The number of the job in the trace.
    pub job: u64,
    /// The client account.
    pub account: AccountId,
    /// The service.
    pub service: ServiceId,
    /// The shape of the gang.
    pub shape: Shape,
    /// Whether the job may run more than once.
    pub idempotent: bool,
    /// Whether the job can checkpoint.
    pub stoppable: bool,
    /// The run time that the caller declares.
    pub declared_ms: Option<u64>,
    /// The true run time.
    pub true_ms: u64,
    /// What the job does when it runs.
    pub behaviour: Behaviour,
    /// The expected outcome; `None` is the same as [`ExpectedOutcome::Either`].
    pub expect: Option<ExpectedOutcome>,
}

impl Submit {
    /// Returns the true run time.
    pub fn true_run_time(&self) -> Duration {
        Duration::from_millis(self.true_ms)
    }
}

/// What a job does when it runs on healthy workers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Behaviour {
    /// It is answered after its true run time.
    EndsWell,
    /// It fails on every worker.
    FailsAlways,
    /// It fails if its gang includes one of these workers.
    FailsOn(Vec<WorkerId>),
}

/// The outcome that a trace states for a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ExpectedOutcome {
    /// The job is answered.
    Answered,
    /// The job is refused; `None` accepts any verdict or kind.
    Refused {
        /// The verdict of the refusal.
        verdict: Option<Verdict>,
        /// The kind of the refusal.
        kind: Option<ErrorKind>,
    },
    /// The job may be answered or refused.
    Either,
}

/// Returns the job id for a job number of the trace.
///
/// The id of a gang is the sum of the job id and the attempt, so consecutive job ids would lead to equal gang ids.
pub(crate) fn job_id(number: u64) -> JobId {
    JobId::from(number) << 32
}
