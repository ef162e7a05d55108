//! A development program that plays the platform: the key-value service, workers and endpoints.
//!
//! Tests start it in-process on port 0. The protocols and the control paths are described in docs/platform.md.

mod endpoint;
mod faults;
mod fleet;
mod kv;
mod program;
mod reply;
mod server;
mod settings;

pub use endpoint::{AnswerFault, Ask, Echo, EndpointFaults, RunCounts, start_endpoint};
pub use faults::Selection;
pub use fleet::{FailMode, TaskRecord, Vanish, WorkerFaults, start_workers};
pub use kv::{Outage, StoreFaults, start_store};
pub use program::{Program, start};
pub use server::Server;
pub use settings::{EndpointSettings, Settings, StoreSettings, WorkersSettings};
