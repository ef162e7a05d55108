//! Faults of a worker.

use model::Resources;
use serde::{Deserialize, Serialize};

/// When the tasks of a faulty worker fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FailMode {
    /// The start request is answered with an error.
    Start,
    /// The task starts and fails after `fail_after_ms`.
    Run,
}

/// How a worker is unreachable. In both modes, requests to it get no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UnreachableMode {
    /// The machine is lost: its tasks end at once.
    Lost,
    /// The machine is disconnected from the network: its tasks run until their leases expire.
    CutOff,
}

/// Body of `POST /control/workers/{worker}`; it replaces all faults of the worker.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkerFaults {
    /// When every task of the worker fails; `None` if tasks do not fail.
    pub fail: Option<FailMode>,
    /// The run time of a task that fails with [`FailMode::Run`], in milliseconds.
    pub fail_after_ms: u64,
    /// The delay of each response, in milliseconds.
    pub slow_ms: u64,
    /// How the worker is unreachable; `None` if it is reachable.
    pub vanish: Option<UnreachableMode>,
    /// The capacity beyond which task starts are rejected; `None` means unlimited.
    pub capacity: Option<Resources>,
}
