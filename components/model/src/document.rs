//! The operators' configuration document: client accounts, services and the policy.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::ids::{AccountId, ServiceId};
use crate::shape::Shape;

/// Name of a section of the document, such as `accounts/faro` or `policy`.
pub type SectionName = Box<str>;

/// The complete document, assembled from its sections.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Document {
    /// Client accounts, one section each.
    pub accounts: IndexMap<AccountId, Account>,
    /// Services, one section each.
    pub services: IndexMap<ServiceId, Service>,
    /// Scheduling policy, one section.
    pub policy: Policy,
}

/// A client account.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Account {
    /// Salted hashes of the tokens, as `salt:hash` in hexadecimal.
    pub tokens: Vec<Box<str>>,
    /// Shapes that are guaranteed to the account.
    pub guarantees: Vec<Shape>,
    /// Admission limits.
    pub limits: AccountLimits,
}

/// Admission limits of a client account at each entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AccountLimits {
    /// Maximum number of requests in flight.
    pub requests: u32,
    /// Maximum total size of the request bodies in flight, in bytes.
    pub bytes: u64,
    /// Maximum number of retries per hundred requests.
    pub retry_percent: u32,
}

impl Default for AccountLimits {
    fn default() -> Self {
        Self {
            requests: 256,
            bytes: 64 * 1024 * 1024,
            retry_percent: 20,
        }
    }
}

/// A service that endpoints provide.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Service {
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: u64,
    /// Timeout of a request for which the caller sets none, in milliseconds.
    pub timeout_ms: u64,
    /// Whether requests are idempotent by default.
    pub idempotent: bool,
}

impl Service {
    /// Returns the default timeout of a request.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}

impl Default for Service {
    fn default() -> Self {
        Self {
            max_body_bytes: 8 * 1024 * 1024,
            timeout_ms: 30_000,
            idempotent: false,
        }
    }
}

/// Weights and limits of scheduling decisions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// Weight of fragmentation in placement, from 0 to 1.
    pub fragmentation_weight: f64,
    /// Weight of completion time in placement, from 0 to 1.
    pub completion_weight: f64,
    /// Maximum number of queued jobs in a cell.
    pub queue_limit: u32,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            fragmentation_weight: 0.5,
            completion_weight: 0.5,
            queue_limit: 10_000,
        }
    }
}
