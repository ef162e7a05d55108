//! Protocol decisions between limpethook processes, without I/O: daemons and model checks run the same functions.
//!
//! Maps are ordered ones from the standard library, so that the model checks can hash whole states.

pub mod attempts;
mod ended;
pub mod fencing;
pub mod key_claims;
pub mod leader;
pub mod liveness;
mod orders;
pub mod ownership;
pub mod reservation;
mod reservations;
pub mod revisions;

pub use orders::{Incarnation, Lapse, LapseKind, Renewal, Reserve, Sender};
pub use reservations::Reservations;
