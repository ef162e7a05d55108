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
    /// The file that messages name.
    pub file: Box<str>,
    /// The first line.
    pub header: Header,
    /// The lines after the first.
    pub lines: Vec<Line>,
}

/// The first line of a trace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Header {
    /// The version of the format.
    pub version: u32,
    /// The name of the deployment.
    pub deployment: Box<str>,
    /// The seed of a generated trace.
    pub seed: Option<u64>,
    /// The workers that are present at the start.
    pub workers: Vec<Worker>,
    /// The endpoints, which stay present.
    pub endpoints: Vec<EndpointSpec>,
    /// The configuration in force.
    pub document: Document,
    /// Bounds that every replayed policy must keep.
    pub bounds: Option<Bounds>,
}

/// An endpoint of the deployment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointSpec {
    /// The id of the endpoint.
    pub id: EndpointId,
    /// The agent beside it.
    pub agent: AgentId,
    /// The service it provides.
    pub service: ServiceId,
    /// Where it stands.
    pub place: Location,
    /// How many requests it handles at once.
    pub slots: u32,
}

/// Limits on the result of a whole run.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// Every job has its outcome by this time.
    pub ends_by_ms: Option<u64>,
    /// The highest mean slowdown.
    pub mean_slowdown: Option<f64>,
    /// The longest wait of the largest class of jobs.
    pub longest_wait_ms: Option<u64>,
}

/// One event with its time.
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

/// What a trace records.
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

/// A job with its true run time and behaviour, which the decision code does not see.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Submit {
    /// The number of the job in this trace.
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
    /// The stated outcome; none means either.
    pub expect: Option<Expect>,
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
    /// It answers after its true run time.
    EndsWell,
    /// It fails on every worker.
    FailsAlways,
    /// It fails when one of these workers is a member of its gang.
    FailsOn(Vec<WorkerId>),
}

/// The outcome that a trace states for a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Expect {
    /// The job is answered.
    Answered,
    /// The job is refused; a verdict or a kind that is not stated may be any.
    Refused {
        /// The verdict of the refusal.
        verdict: Option<Verdict>,
        /// The kind of the refusal.
        kind: Option<ErrorKind>,
    },
    /// Both are correct.
    Either,
}

/// Returns the job id of a number in a trace.
///
/// The id of a gang is the sum of job id and attempt, so consecutive numbers would give equal gang ids.
pub(crate) fn job_id(number: u64) -> JobId {
    JobId::from(number) << 32
}
