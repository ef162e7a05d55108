//! The key-value service.

mod data;
mod faults;
mod handler;
mod routes;

pub use faults::{Outage, StoreFaults};
pub use handler::start_store;
