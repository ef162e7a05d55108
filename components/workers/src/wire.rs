//! JSON bodies of the protocol, which is described in docs/platform.md.

use std::time::Duration;

use model::{AccountId, GangId, Resources, ServiceId};
use serde::{Deserialize, Serialize};

use crate::platform::{StartTask, TaskId, TaskUsage, Usage};

/// Request to start a task.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StartRequest {
    /// The id of the task.
    pub task: TaskId,
    /// The gang id in hexadecimal, because JSON numbers cannot represent 128 bits exactly.
    pub gang: Box<str>,
    /// The client account.
    pub account: AccountId,
    /// The service.
    pub service: ServiceId,
    /// The resources that the task may use.
    pub resources: Resources,
    /// The duration of the lease in milliseconds.
    pub lease_ms: u64,
}

/// Request to renew the leases of tasks.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RenewRequest {
    /// The ids of the tasks.
    pub tasks: Vec<TaskId>,
    /// The duration of the leases in milliseconds.
    pub lease_ms: u64,
}

/// Request to throttle a task.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ThrottleRequest {
    /// The speed of the task, in percent of its full speed.
    pub percent: u8,
}

/// Response with the resource usage of a worker.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct UsageResponse {
    /// The age of the report in milliseconds.
    pub age_ms: u64,
    /// The total usage of all tasks.
    pub used: Resources,
    /// The running tasks.
    pub tasks: Vec<TaskUsage>,
}

impl From<&StartTask> for StartRequest {
    fn from(task: &StartTask) -> Self {
        Self {
            task: task.task.clone(),
            gang: gang_to_hex(task.gang),
            account: task.account.clone(),
            service: task.service.clone(),
            resources: task.resources,
            lease_ms: as_millis(task.lease),
        }
    }
}

impl StartRequest {
    /// Converts the request to a task; returns `None` if the gang id is not hexadecimal.
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

impl From<UsageResponse> for Usage {
    fn from(res: UsageResponse) -> Self {
        Self {
            age: Duration::from_millis(res.age_ms),
            used: res.used,
            tasks: res.tasks,
        }
    }
}

/// Formats a gang id in hexadecimal.
pub fn gang_to_hex(gang: GangId) -> Box<str> {
    format!("{gang:032x}").into()
}

/// Parses a hexadecimal gang id.
pub fn gang_from_hex(text: &str) -> Option<GangId> {
    GangId::from_str_radix(text, 16).ok()
}

pub(crate) fn as_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
