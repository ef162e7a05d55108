//! The interface to a key-value service, and a client that implements it over HTTP/JSON.
//!
//! The HTTP protocol is described in docs/platform.md.

mod calls;
mod confirm;
mod frames;
mod http;
mod kv;
mod transport;
mod wire;

pub use calls::{CallCounters, CallCounts, CallKind};
pub use confirm::{ConfirmedOutcome, PutRequest, put_confirmed};
pub use frames::{FrameHeader, decode_frames, encode_frames};
pub use http::{HttpStore, HttpStoreSettings};
pub use kv::{
    Change, CheckOutcome, CommitOutcome, Key, KvPair, KvStore, LeaseId, Listing, MAX_VALUE_BYTES,
    Precondition, Transaction, TransactionStore, WatchOutcome, WriteOutcome,
};
pub use wire::{
    ErrorResponse, LEASE_HEADER, LeaseRequest, LeaseResponse, REVISION_HEADER, WriteResponse,
};
