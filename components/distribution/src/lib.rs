//! Passing configuration sections from the store to every process.
//!
//! A relay watches the store; every other process asks its owner or its peers for the sections above its own revision.

mod apply;
mod controller;
mod peers;
mod watch;

pub use apply::{apply, sections_after};
pub use controller::{Updates, run_controller, updates};
pub use peers::fetch;
pub use watch::{CONFIG_PREFIX, read_store, watch_store};
