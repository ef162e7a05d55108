//! The interface to the platform's workers and its HTTP/JSON adapter.
//!
//! The protocol is described in docs/platform.md.

mod http;
mod platform;
mod wire;

pub use http::{HttpWorkers, HttpWorkersSettings};
pub use platform::{
    EndedTask, Renewed, StartTask, TaskEnd, TaskId, TaskUsage, Usage, WorkerPlatform,
};
pub use wire::{RenewRequest, StartRequest, ThrottleRequest, UsageAnswer, gang_from_hex, hex};
