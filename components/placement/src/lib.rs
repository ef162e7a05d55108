//! Scheduling decisions: placement, queue order, guarantees and reclaim. Performs no I/O.
//!
//! [`step`] reads the membership and configuration sections of the board, writes the fleet and queue sections, and
//! returns the actions that the caller carries out.

mod actions;
mod adopt;
mod allocations;
mod apply;
mod baseline;
mod borrowers;
mod capacity;
mod check;
mod claims;
mod context;
mod drain;
mod eligibility;
mod endpoints;
mod events;
mod exclusions;
mod feasible;
mod fit;
mod fleet;
mod order;
mod packing;
mod reclaim;
mod refuse;
mod repack;
mod repair;
mod schedule;
mod score;
mod step;
mod topology;

pub use actions::{Action, StopReason};
pub use check::{Shortfall, guarantee_faults, guarantee_shortfall, packing_fault};
pub use events::{Event, GangEnd};
pub use feasible::infeasible_reason;
pub use fit::fit_gang;
pub use step::{Strategy, step};
