//! Faults of the key-value service.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::faults::{Selection, Selector};

/// How the service is down.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// Calls are answered with status 503.
    Refuse,
    /// Calls wait until the outage ends.
    Hang,
}

/// Body of `POST /control/faults`; it replaces all faults.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// The outage, if any.
    pub outage: Option<Outage>,
    /// The delay of each answer in milliseconds.
    pub slow_ms: u64,
    /// The writes and deletes of keys that take effect and whose connection closes without an answer.
    pub lost_answers: Option<Selection>,
}

/// The faults in the form that calls read.
pub(crate) struct ActiveFaults {
    pub(crate) outage: Option<Outage>,
    pub(crate) slow: Duration,
    pub(crate) lost: Option<Selector>,
}

impl From<&StoreFaults> for ActiveFaults {
    fn from(faults: &StoreFaults) -> Self {
        Self {
            outage: faults.outage,
            slow: Duration::from_millis(faults.slow_ms),
            lost: faults.lost_answers.as_ref().map(Selector::new),
        }
    }
}
