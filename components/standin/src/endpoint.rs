//! An endpoint, the server that handles the requests of a service.

mod answer;
mod faults;
mod handler;

pub use answer::{Ask, Echo};
pub use faults::{AnswerFault, EndpointFaults};
pub use handler::{RunCounts, start_endpoint};
