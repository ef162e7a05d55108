//! Simulates the platform for development and tests: the key-value service, workers and endpoints.
//!
//! Tests start the servers in-process on port 0. docs/platform.md describes the protocols and the control paths.

mod endpoint;
mod faults;
mod fleet;
mod http;
mod kv;
mod program;
mod server;
mod settings;

pub use endpoint::{Echo, EndpointFaults, ResponseFault, RunCounts, RunOptions, start_endpoint};
pub use faults::Selection;
pub use fleet::{FailMode, TaskRecord, UnreachableMode, WorkerFaults, start_workers};
pub use kv::{Outage, StoreFaults, start_store};
pub use program::{RunningServers, start};
pub use server::Server;
pub use settings::{EndpointSettings, Settings, StoreSettings, WorkersSettings};
