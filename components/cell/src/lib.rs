//! Controllers that run job graphs on a cell of workers.
//!
//! The controllers share a [`CellBoard`]: each section has one controller that writes it, and
//! requests read snapshots without locking. Scheduling decisions are made by the `graph` crate, and
//! durable state is kept in the key-value service.

mod admission;
mod advisor;
pub mod agent;
mod board;
mod cancel;
pub mod clock;
mod configuration;
mod configure;
mod confirmations;
mod dependency;
pub mod entry;
mod evacuations;
mod in_force;
mod keys;
mod leader;
mod members;
mod metrics;
mod notify;
mod ownership;
mod peers;
mod query;
mod records;
mod serve;
mod settings;
mod submit;
mod supervise;

pub use advisor::{Advisor, Approval};
pub use board::CellBoard;
pub use configuration::{AccountTokens, Configuration, Route};
pub use entry::Entry;
pub use leader::JobStates;
pub use metrics::OwnerMetrics;
pub use settings::{AgentSettings, EntrySettings, EvacuationSettings, ORDER_VALIDITY};
