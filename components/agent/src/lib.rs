//! The agent daemon: runs requests at its endpoint and gang tasks on its workers.
//!
//! The agent is the only authority on what its endpoint and its workers do.

mod announce;
mod cancellation;
mod context;
mod detached;
mod dispatch;
mod drain;
mod endpoint;
mod gangs;
mod keyed_dispatch;
mod keyed_requests;
mod metrics;
mod owner_link;
mod requests;
mod run;
mod serve;
mod slots;
mod tasks;

pub use run::run;
