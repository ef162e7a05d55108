//! The simulated key-value service.

mod faults;
mod handler;
mod routes;
mod state;

pub use faults::{Outage, StoreFaults};
pub use handler::start_store;
