//! The agent daemon: the only authority on what its endpoint and its workers do.

mod announce;
mod context;
mod detached;
mod dispatch;
mod drain;
mod endpoint;
mod gangs;
mod keyed;
mod link;
mod metrics;
mod requests;
mod run;
mod running;
mod serve;
mod shared;
mod slots;
mod tasks;

pub use run::run;
