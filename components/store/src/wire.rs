//! JSON bodies and headers of the protocol, as described in docs/platform.md.

use model::Revision;
use serde::{Deserialize, Serialize};

use crate::kv::LeaseId;

/// Carries the revision of an entry or, in a listing or a watch, of the store.
pub const REVISION_HEADER: &str = "kv-revision";
/// Carries the lease of an entry.
pub const LEASE_HEADER: &str = "kv-lease";

/// Answers a write: the new revision, or with status 412 the current one.
#[derive(Debug, Serialize, Deserialize)]
pub struct WriteAnswer {
    /// The revision of the change or of the key that stands in its way.
    pub revision: Option<Revision>,
}

/// Asks for a lease.
#[derive(Debug, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The term in milliseconds.
    pub ttl_ms: u64,
}

/// Answers the grant of a lease.
#[derive(Debug, Serialize, Deserialize)]
pub struct LeaseAnswer {
    /// The lease.
    pub lease: LeaseId,
}

/// Answers a call that the service refused.
#[derive(Debug, Serialize, Deserialize)]
pub struct ErrorAnswer {
    /// A message for people.
    pub error: Box<str>,
}
