//! Replays recorded traces through [`placement::step`] in virtual time and compares scheduling policies.
//!
//! `docs/replay.md` describes the trace format and defines the metrics.

mod actions;
mod engine;
mod event_queue;
mod events;
mod execution;
mod generate;
mod guarantee_check;
mod invariants;
mod jobs;
mod learner;
mod membership;
mod metrics;
mod options;
mod parse;
mod platform;
mod report;
mod trace;
mod utilisation;
mod windows;

pub use engine::run;
pub use generate::{Deployment, Scale, generate};
pub use learner::{FinishedRun, Learner, RunEnd};
pub use options::Options;
pub use report::{Fault, JobReport, PolicyReport, Report, Summary};
pub use trace::{
    Behaviour, Bounds, EndpointSpec, ExpectedOutcome, Header, Line, Submit, Trace, TraceEvent,
};
