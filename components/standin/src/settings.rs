//! Settings of the program, as read from its settings file.

use std::net::SocketAddr;

use indexmap::IndexMap;
use model::EndpointId;
use serde::{Deserialize, Serialize};

/// The servers to start; a missing part is not started.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The key-value service.
    pub store: Option<StoreSettings>,
    /// The workers.
    pub workers: Option<WorkersSettings>,
    /// The endpoints.
    pub endpoints: IndexMap<EndpointId, EndpointSettings>,
}

/// Settings of the key-value service.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreSettings {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The number of changes kept for watches.
    pub history: usize,
}

impl Default for StoreSettings {
    fn default() -> Self {
        Self {
            listen: loopback_with_free_port(),
            history: 10_000,
        }
    }
}

/// Settings of the workers.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkersSettings {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The interval between usage reports of a worker, in milliseconds.
    pub usage_lag_ms: u64,
    /// The duration of a checkpoint, in milliseconds.
    pub checkpoint_ms: u64,
}

impl Default for WorkersSettings {
    fn default() -> Self {
        Self {
            listen: loopback_with_free_port(),
            usage_lag_ms: 1_000,
            checkpoint_ms: 50,
        }
    }
}

/// Settings of one endpoint.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EndpointSettings {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The maximum number of requests that run concurrently; further requests wait on their connections.
    pub slots: usize,
    /// The maximum number of open connections; further connections wait in the listen queue.
    pub connections: usize,
}

impl Default for EndpointSettings {
    fn default() -> Self {
        Self {
            listen: loopback_with_free_port(),
            slots: 8,
            connections: 60,
        }
    }
}

fn loopback_with_free_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
