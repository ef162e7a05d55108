//! The blackboard: immutable snapshots that one controller each writes and everyone reads.

mod section;
mod sections;

pub use section::Section;
pub use sections::{
    Agent, Blame, Claim, ConfigSnapshot, Estimate, Fleet, History, Hold, Membership, Quarantine,
    Queue,
};

/// All sections of one process.
#[derive(Debug, Default)]
pub struct Board {
    /// Agents and endpoints; written by the membership controller.
    pub membership: Section<Membership>,
    /// The configuration in force; written by the configuration controller.
    pub config: Section<ConfigSnapshot>,
    /// Workers, free capacity and gangs; written by the placement controller.
    pub fleet: Section<Fleet>,
    /// Jobs that wait; written by the placement controller.
    pub queue: Section<Queue>,
    /// Run times and attained service; written by the history controller.
    pub history: Section<History>,
    /// Quarantined workers and condemned jobs; written by the blame controller.
    pub blame: Section<Blame>,
}
