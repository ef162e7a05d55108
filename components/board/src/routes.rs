//! Endpoints by service, for routing requests in this process.

use std::sync::Arc;
use std::sync::atomic::AtomicI64;

use indexmap::IndexMap;
use model::{Endpoint, ServiceId, Serving};

/// A serving endpoint and the requests that this process has in flight to it.
#[derive(Debug, Clone)]
pub struct Target {
    /// The endpoint as of its last heartbeat.
    pub endpoint: Arc<Endpoint<Serving>>,
    /// Number of requests that this process has in flight.
    pub in_flight: Arc<AtomicI64>,
    /// Value of `in_flight` when the last heartbeat was processed; its free slots already account for these requests.
    pub in_flight_at_heartbeat: i64,
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
