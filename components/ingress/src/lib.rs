//! Limits on the memory, the descriptors and the time that clients can make a process spend.
//!
//! `decide` says how much a connection may hold and which one is closed, without I/O. The servers of a process share one
//! [`ClientBoard`] with an account of each connection; the controller in `controller` closes the ones that take too long.

mod connection;
mod controller;
pub mod decide;
mod http;
mod ledger;
mod rlimit;
mod short_reads;

pub use connection::{Connection, Exchange, Receiving, Serving};
pub use controller::spawn as spawn_controller;
pub use http::{BodyParts, limited_server, read_body, serve, track_exchanges};
pub use ledger::{ClientBoard, HeldBytes};
pub use rlimit::descriptors;
pub use short_reads::{ShortReadStream, ShortReads};
