//! Runs complete deployments as separate processes on loopback, for examples and tests.

pub mod audit;
mod caller;
mod control;
mod deployment;
mod fault_injector;
pub mod fixtures;
pub mod jobs;
mod load;
mod observe;
mod plan;
mod ports;
mod process;
mod summary;

pub use caller::{Caller, Outcome, Submission};
pub use control::{OwnerView, wait_until};
pub use deployment::{Deployment, Programs};
pub use fault_injector::FaultInjector;
pub use load::LoadGenerator;
pub use observe::Metrics;
pub use plan::{AgentPlan, Plan, WorkerPlan};
pub use ports::free_addr;
pub use process::Process;
pub use summary::{CompletedRequest, OutcomeSummary};

/// The error type of the harness. Callers report errors and do not distinguish between them.
pub type Error = Box<dyn std::error::Error + Send + Sync>;
/// A result of the harness.
pub type Result<T> = std::result::Result<T, Error>;
