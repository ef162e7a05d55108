//! Decisions on placement, queue order, guarantees and reclaim, without I/O.
//!
//! [`step`] reads the membership and configuration sections of the board, writes the fleet and queue sections, and
//! returns the actions that the caller carries out.

mod actions;
mod events;
mod feasible;
mod fit;
mod fleet;
mod schedule;
mod step;

pub use actions::{Action, StopReason};
pub use events::{Event, GangEnd};
pub use feasible::infeasible_reason;
pub use fit::fit_gang;
pub use schedule::Strategy;
pub use step::step;
