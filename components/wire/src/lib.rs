//! Messages between the processes of limpethook: calls over TCP and datagrams over UDP.
//!
//! Both are encoded with postcard and authenticated with a keyed hash.

mod auth;
mod client;
mod connection;
mod datagram;
mod frame;
mod messages;
mod server;

pub use auth::Key;
pub use client::Peers;
pub use datagram::{DatagramCounts, Datagrams};
pub use messages::{
    Ack, Announce, Answer, Call, Cancel, Directory, Dispatch, EndpointEntry, Finish, FinishEnd,
    GangMessage, GangStep, Heartbeat, HeldGang, Packet, Place, Placed, Pulse, RecordedAttempt,
    Reply, Reserve, Section, Sections,
};
pub use server::{CallContext, Server};
