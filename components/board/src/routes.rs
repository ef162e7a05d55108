//! Endpoints by service, as the request path of this process sees them.

use std::sync::Arc;
use std::sync::atomic::AtomicI64;

use indexmap::IndexMap;
use model::{Endpoint, ServiceId, Serving};

/// A serving endpoint with the requests that this process has in flight there.
#[derive(Debug, Clone)]
pub struct Target {
    /// The endpoint at its last heartbeat.
    pub endpoint: Arc<Endpoint<Serving>>,
    /// Requests of this process in flight.
    pub in_flight: Arc<AtomicI64>,
    /// Requests in flight when the last heartbeat was read; the free slots of the heartbeat account for them.
    pub counted: i64,
}

/// The endpoints of one service.
#[derive(Debug, Clone, Default)]
pub struct ServiceRoutes {
    /// Endpoints in the region of this process.
    pub local: Vec<Target>,
    /// Endpoints in other regions.
    pub remote: Vec<Target>,
}

/// The serving endpoints of every service.
#[derive(Debug, Clone, Default)]
pub struct Routes {
    /// Endpoints by service.
    pub services: IndexMap<ServiceId, ServiceRoutes>,
}
