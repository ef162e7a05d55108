//! JSON bodies and headers of the protocol, which is described in docs/platform.md.

use model::Revision;
use serde::{Deserialize, Serialize};

use crate::kv::LeaseId;

/// Header with the revision of a key or, in list and watch responses, of the store.
pub const REVISION_HEADER: &str = "kv-revision";
/// Header with the lease that a key is attached to.
pub const LEASE_HEADER: &str = "kv-lease";

/// Response to a put or a delete.
#[derive(Debug, Serialize, Deserialize)]
pub struct WriteResponse {
    /// The revision of the change or, with status 412, the current revision of the key.
    pub revision: Option<Revision>,
}

/// Request for a lease.
#[derive(Debug, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The TTL of the lease in milliseconds.
    pub ttl_ms: u64,
}

/// Response to a request for a lease.
#[derive(Debug, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// The id of the new lease.
    pub lease: LeaseId,
}

/// Response to a call that the service rejected.
#[derive(Debug, Serialize, Deserialize)]
pub struct ErrorResponse {
    /// A human-readable message.
    pub error: Box<str>,
}
