//! Decisions of the protocols between limpethook processes, without I/O, so that daemons and model checks run the same
//! functions.
//!
//! Maps are the ordered ones of the standard library, so that the model checks can hash whole states.

pub mod attempts;
mod ended;
pub mod fencing;
pub mod key_claims;
pub mod leader;
pub mod liveness;
pub mod ownership;
mod protocol;
pub mod reservation;
mod reservations;
pub mod revisions;

pub use protocol::{Incarnation, Renewal, ReservationEvent, ReservationEventKind, Reserve, Sender};
pub use reservations::Reservations;
