//! Scheduling decisions: placement, queue order, guarantees and reclaim. Performs no I/O.
//!
//! [`step`] reads the membership, configuration, history and blame sections of a [`board::Board`], which holds the
//! state that controllers share. It updates the fleet and queue sections, and returns the actions that the caller
//! carries out.
//!
//! Terms used in this crate:
//!
//! - A *claim* is a guaranteed shape of a client account, with the capacity *allocated* to it. Gangs of the account
//!   that run in the allocation are *charged* to the claim. A claim is *unused* while nothing is charged to it.
//! - A *preemptible* job is idempotent: its gang may be stopped and run again later. A *borrower* is a preemptible gang
//!   that is not charged to a claim. It may use any available capacity, including that of claims, and is stopped when a
//!   claim needs the capacity.
//! - *Free* capacity is not used by a gang. *Available* capacity is free and not kept by a hold. *Spare* capacity lies
//!   outside all allocations and is not used by an uncharged non-preemptible gang, but may be in use by borrowers.
//!   *Movable* capacity is the spare capacity together with the allocations of unused claims.
//! - A *hold* keeps capacity for a queued job while the borrowers that use it are stopping.
//! - The *backfill reservation* keeps capacity for one blocked job; other jobs may use it if they end in time.
//! - A *task slot* is room for one task of a shape on a worker.

mod actions;
mod adopt;
mod allocations;
mod apply;
mod backfill;
mod baseline;
mod borrowers;
mod capacity;
mod check;
mod claims;
mod context;
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
