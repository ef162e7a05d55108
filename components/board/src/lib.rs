//! The blackboard: immutable snapshots that one controller each writes and everyone reads.

mod limits;
mod routes;
mod section;
mod sections;

use std::sync::Arc;

pub use limits::{Allowance, Limits, RETRY_WINDOW_SLOTS, Usage};
pub use routes::{Routes, ServiceRoutes, Target};
pub use section::Section;
pub use sections::{
    Agent, Blame, Claim, ConfigSnapshot, Estimate, Fleet, History, Hold, Membership, Quarantine,
    Queue, SectionText,
};

/// All sections of one process or of one duty.
///
/// A process that owns a cell has a second board for the cell; both share the configuration section.
#[derive(Debug, Default)]
pub struct Board {
    /// Agents and endpoints; written by the membership controller.
    pub membership: Section<Membership>,
    /// The configuration in force; written by the configuration controller.
    pub config: Arc<Section<ConfigSnapshot>>,
    /// Workers, free capacity and gangs; written by the placement controller.
    pub fleet: Section<Fleet>,
    /// Jobs that wait; written by the placement controller.
    pub queue: Section<Queue>,
    /// Run times and attained service; written by the history controller.
    pub history: Section<History>,
    /// Quarantined workers and faulty jobs; written by the blame controller.
    pub blame: Section<Blame>,
    /// Admission limits and request counters; written by the limits controller.
    pub limits: Section<Limits>,
    /// Endpoints by service; written by the routing controller.
    pub routes: Section<Routes>,
}
