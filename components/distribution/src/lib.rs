//! Distribution of configuration sections from the store to all processes.
//!
//! One relay per region watches the store. The other entries of the region poll the relay, and agents poll their owner.

mod apply;
mod controller;
mod followers;
mod peers;
mod watch;

pub use apply::{Applied, agent_sections_after, apply, section_errors, sections_after};
pub use controller::{
    StagingParts, Update, UpdateSender, run_controller, run_staged_controller, update_channel,
};
pub use followers::Followers;
pub use peers::{fetch, fetch_for_agent, fetch_next, next_sections};
pub use watch::{CONFIG_PREFIX, read_changes, read_store, watch_store};
