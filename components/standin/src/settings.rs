//! Settings of the program.

use std::net::SocketAddr;

use indexmap::IndexMap;
use model::EndpointId;
use serde::{Deserialize, Serialize};

/// What the program plays; a missing part is not played.
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
    /// The number of changes that watches can still see.
    pub history: usize,
}

impl Default for StoreSettings {
    fn default() -> Self {
        Self {
            listen: any_port(),
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
    /// The time between two usage reports, in milliseconds.
    pub usage_lag_ms: u64,
    /// The time that a checkpoint takes, in milliseconds.
    pub checkpoint_ms: u64,
}

impl Default for WorkersSettings {
    fn default() -> Self {
        Self {
            listen: any_port(),
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
    /// The number of requests that run at once; others wait on their connections.
    pub slots: usize,
    /// The number of connections; others wait in the listen queue.
    pub connections: usize,
}

impl Default for EndpointSettings {
    fn default() -> Self {
        Self {
            listen: any_port(),
            slots: 8,
            connections: 60,
        }
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
