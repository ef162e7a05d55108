//! JSON bodies of the protocol, as described in docs/platform.md.

use std::time::Duration;

use model::{AccountId, GangId, Resources, ServiceId};
use serde::{Deserialize, Serialize};

use crate::platform::{StartTask, TaskId, TaskUsage, Usage};

/// Starts a task.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StartRequest {
    /// The task.
    pub task: TaskId,
    /// The gang in hexadecimal, because JSON numbers lose the low bits of 128.
    pub gang: Box<str>,
    /// The client account.
    pub account: AccountId,
    /// The service.
    pub service: ServiceId,
    /// What the task may use.
    pub resources: Resources,
    /// The term of the lease in milliseconds.
    pub lease_ms: u64,
}

/// Renews the leases of tasks.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RenewRequest {
    /// The tasks.
    pub tasks: Vec<TaskId>,
    /// The term of the leases in milliseconds.
    pub lease_ms: u64,
}

/// Throttles a task.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ThrottleRequest {
    /// The share of its speed at which the task runs.
    pub percent: u8,
}

/// Answers a usage call.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct UsageAnswer {
    /// The age of the report in milliseconds.
    pub age_ms: u64,
    /// The sum over all tasks.
    pub used: Resources,
    /// The running tasks.
    pub tasks: Vec<TaskUsage>,
}

impl From<&StartTask> for StartRequest {
    fn from(task: &StartTask) -> Self {
        Self {
            task: task.task.clone(),
            gang: hex(task.gang),
            account: task.account.clone(),
            service: task.service.clone(),
            resources: task.resources,
            lease_ms: millis(task.lease),
        }
    }
}

impl StartRequest {
    /// Returns the task, or nothing if the gang is not hexadecimal.
    pub fn into_task(self) -> Option<StartTask> {
        Some(StartTask {
            task: self.task,
            gang: gang_from_hex(&self.gang)?,
            account: self.account,
            service: self.service,
            resources: self.resources,
            lease: Duration::from_millis(self.lease_ms),
        })
    }
}

impl From<UsageAnswer> for Usage {
    fn from(answer: UsageAnswer) -> Self {
        Self {
            age: Duration::from_millis(answer.age_ms),
            used: answer.used,
            tasks: answer.tasks,
        }
    }
}

/// Returns the hexadecimal form of a gang id.
pub fn hex(gang: GangId) -> Box<str> {
    format!("{gang:032x}").into()
}

/// Reads the hexadecimal form of a gang id.
pub fn gang_from_hex(text: &str) -> Option<GangId> {
    GangId::from_str_radix(text, 16).ok()
}

pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
