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

pub use calls::{CallCounts, CallKind, Calls};
pub use confirm::{Confirmed, PutRequest, put_confirmed};
pub use frames::{Frame, decode_frames, encode_frames};
pub use http::{HttpStore, HttpStoreSettings};
pub use kv::{
    Change, Committed, Entry, Expect, Key, KvStore, LeaseId, Listing, MAX_VALUE_BYTES, PutOutcome,
    Transaction, TransactionStore, Watched,
};
pub use wire::{
    ErrorAnswer, LEASE_HEADER, LeaseAnswer, LeaseRequest, REVISION_HEADER, WriteAnswer,
};
