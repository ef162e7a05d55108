//! Decisions on placement, queue order, guarantees and reclaim, without I/O.
//!
//! [`step`] reads the membership and configuration sections of the board, writes the fleet and queue sections, and
//! returns the actions that the caller carries out.

mod actions;
mod adopt;
mod apply;
mod avoid;
mod baseline;
mod borrowers;
mod check;
mod claims;
mod cx;
mod drain;
mod endpoints;
mod events;
mod feasible;
mod fit;
mod fleet;
mod homes;
mod layout;
mod masks;
mod order;
mod packing;
mod reclaim;
mod refuse;
mod rehome;
mod repair;
mod rooms;
mod schedule;
mod score;
mod step;

pub use actions::{Action, StopReason};
pub use check::{Shortfall, guarantee_faults, guarantee_shortfall, packing_fault};
pub use events::{Event, GangEnd};
pub use feasible::infeasible_reason;
pub use fit::fit_gang;
pub use step::{Strategy, step};
