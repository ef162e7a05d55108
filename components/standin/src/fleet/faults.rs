//! Faults of one worker.

use model::Resources;
use serde::{Deserialize, Serialize};

/// When the tasks of a worker fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FailMode {
    /// The start is answered with a failure.
    Start,
    /// The start succeeds and the task fails after `fail_after_ms`.
    Run,
}

/// How a worker is gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Vanish {
    /// The machine is lost: its tasks end at once and calls get no answer.
    Lost,
    /// The machine is cut off: its tasks run until their leases lapse and calls get no answer.
    CutOff,
}

/// Body of `POST /control/workers/{worker}`; it replaces all faults of the worker.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkerFaults {
    /// Whether every task fails.
    pub fail: Option<FailMode>,
    /// The run time of a failing task in milliseconds.
    pub fail_after_ms: u64,
    /// The delay of each answer in milliseconds.
    pub slow_ms: u64,
    /// Whether the worker is gone.
    pub vanish: Option<Vanish>,
    /// Starts beyond this capacity are refused; without it the capacity is unlimited.
    pub capacity: Option<Resources>,
}
