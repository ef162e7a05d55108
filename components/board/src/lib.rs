//! The blackboard: immutable snapshots, each written by one controller and read by any thread.

mod limits;
mod routes;
mod section;
mod sections;

use std::sync::Arc;

pub use limits::{AccountQuota, AccountUsage, Limits, RETRY_WINDOW_SLOTS};
pub use routes::{Routes, ServiceRoutes, Target};
pub use section::Section;
pub use sections::{
    Agent, Blame, Claim, ConfigSnapshot, Fleet, History, Hold, Membership, Quarantine, Queue,
    RunTimeEstimate, SectionText,
};

/// The sections of a process or of a cell.
///
/// A process that owns a cell has a second board for the cell, which shares the configuration section with the first.
#[derive(Debug, Default)]
pub struct Board {
    /// Agents and endpoints; written by the membership controller.
    pub membership: Section<Membership>,
    /// The configuration in force; written by the configuration controller.
    pub config: Arc<Section<ConfigSnapshot>>,
    /// Workers, free capacity and gangs; written by the placement controller.
    pub fleet: Section<Fleet>,
    /// Jobs by state; written by the placement controller.
    pub queue: Section<Queue>,
    /// Run time estimates and attained service; written by the history controller.
    pub history: Section<History>,
    /// Quarantined workers and faulty jobs; written by the blame controller.
    pub blame: Section<Blame>,
    /// Admission limits and request counters; written by the limits controller.
    pub limits: Section<Limits>,
    /// Endpoints by service; written by the routing controller.
    pub routes: Section<Routes>,
}
