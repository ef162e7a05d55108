//! The simulated workers.

mod faults;
mod handler;
mod task;
mod tasks;

pub use faults::{FailMode, UnreachableMode, WorkerFaults};
pub use handler::start_workers;
pub use task::TaskRecord;
