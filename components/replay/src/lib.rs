//! Replays a recorded trace through [`placement::step`] in virtual time and compares policies.
//!
//! `docs/replay.md` describes the trace format and how each measure is computed.

mod carry_out;
mod engine;
mod execution;
mod fleet_check;
mod generate;
mod guarantee_check;
mod jobs;
mod learn;
mod measure;
mod membership;
mod occurrences;
mod options;
mod parse;
mod platform;
mod report;
mod score;
mod timeline;
mod trace;
mod windows;

pub use engine::run;
pub use generate::{Deployment, Scale, generate};
pub use learn::{FinishedRun, Learner, RunEnd};
pub use options::Options;
pub use report::{Fault, JobReport, PolicyReport, Report, Spread};
pub use trace::{Behaviour, Bounds, EndpointSpec, Expect, Header, Line, Submit, Trace, TraceEvent};
