//! Starts a whole deployment as separate processes on loopback, for examples and tests.

mod caller;
mod deployment;
pub mod fixtures;
mod observe;
mod plan;
mod ports;
mod process;

pub use caller::{Caller, Outcome, Submission};
pub use deployment::{Deployment, Programs};
pub use observe::Metrics;
pub use plan::{AgentPlan, Plan, WorkerPlan};
pub use ports::free_addr;
pub use process::Process;

/// The error type of the harness, which only people read.
pub type Error = Box<dyn std::error::Error + Send + Sync>;
/// A result of the harness.
pub type Result<T> = std::result::Result<T, Error>;
