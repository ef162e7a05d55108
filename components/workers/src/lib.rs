//! The interface to workers, and a client that implements it over HTTP/JSON.
//!
//! The HTTP protocol is described in docs/platform.md.

mod http;
mod platform;
mod wire;

pub use http::{HttpWorkers, HttpWorkersSettings};
pub use platform::{
    EndedTask, RenewOutcome, StartTask, TaskEnd, TaskId, TaskUsage, Usage, WorkerPlatform,
};
pub use wire::{
    RenewRequest, StartRequest, ThrottleRequest, UsageResponse, gang_from_hex, gang_to_hex,
};
