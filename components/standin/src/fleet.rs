//! The simulated workers.

mod faults;
mod handler;
mod task;
mod tasks;

pub use faults::{FailMode, Vanish, WorkerFaults};
pub use handler::start_workers;
pub use task::TaskRecord;
