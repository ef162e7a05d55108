//! Messages between the processes of limpethook: calls over TCP and datagrams over UDP.
//!
//! Messages are encoded with postcard and authenticated with a keyed hash.

mod auth;
mod claims;
mod client;
mod compression;
mod connection;
mod datagram;
mod frame;
mod messages;
mod metered;

mod server;
mod traffic;

pub use auth::Key;
pub use claims::{
    Claim, ClaimHolder, ClaimReleaseReason, ClaimReply, DispatchClaim, FindRequest, FoundRequest,
};
pub use client::Peers;
pub use compression::{compress_answer, decompress_answer};
pub use datagram::{DatagramCounters, DatagramSocket};
pub use messages::{
    Ack, Announce, Answer, ArmGang, Attach, Call, Cancel, Cancellation, CellSummary, CellView,
    Directory, Dispatch, EndpointEntry, GangEnded, Heartbeat, HeldGang, JobAdmission, KnownState,
    Leader, MemberFailed, OwnerRecord, Packet, Place, Placed, Pulse, PulseAck, RecordedAttempt,
    Reply, Reserve, Section, Sections, StartGang, StopGang, StoredSubmission, Submission,
};
pub use server::{CallContext, Server};
pub use traffic::PeerBytes;
