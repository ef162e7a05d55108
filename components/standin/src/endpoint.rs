//! A simulated endpoint: the server that handles the requests of a service.

mod exchange;
mod faults;
mod handler;

pub use exchange::{Echo, RunOptions};
pub use faults::{EndpointFaults, ResponseFault};
pub use handler::{RunCounts, start_endpoint};
