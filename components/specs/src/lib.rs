//! Small specifications of the protocols, explored exhaustively to a stated bound.
//!
//! Each specification supplies the network, the crashes and the clock. The decisions are those of `membership`.

pub mod claims;
pub mod clock;
pub mod dispatch;
pub mod explore;
pub mod gang;
pub mod gang_steps;
pub mod ownership;
pub mod revisions;
