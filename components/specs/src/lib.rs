//! Model checks of the protocols: each state space is explored exhaustively up to a stated bound.
//!
//! The models simulate the network, the crashes and the clock. Decisions are made by the functions of
//! `membership`; the model of takeovers states its rules itself.

pub mod claims;
pub mod clock;
pub mod dispatch;
pub mod explore;
pub mod gang;
pub mod gang_steps;
pub mod ownership;
pub mod placements;
pub mod revisions;
