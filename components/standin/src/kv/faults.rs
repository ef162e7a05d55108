//! Faults of the key-value service.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::faults::{Selection, Selector};

/// How the service behaves during an outage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// Requests are rejected with status 503.
    Refuse,
    /// Requests get no response until the outage ends.
    Hang,
}

/// Body of `POST /control/faults`; it replaces all faults.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// The outage, if any.
    pub outage: Option<Outage>,
    /// The delay of each response, in milliseconds.
    pub slow_ms: u64,
    /// The writes and deletes of keys that are applied but whose connection closes without a response.
    pub lost_answers: Option<Selection>,
}

/// The faults in the form used by request handlers.
pub(crate) struct ActiveFaults {
    pub(crate) outage: Option<Outage>,
    pub(crate) delay: Duration,
    pub(crate) lost_responses: Option<Selector>,
}

impl From<&StoreFaults> for ActiveFaults {
    fn from(faults: &StoreFaults) -> Self {
        Self {
            outage: faults.outage,
            delay: Duration::from_millis(faults.slow_ms),
            lost_responses: faults.lost_answers.as_ref().map(Selector::new),
        }
    }
}
