//! The life cycle of an endpoint: announced, serving, draining.

use std::net::SocketAddr;
use std::time::Instant;

use crate::ids::{AgentId, EndpointId, Incarnation, ServiceId};
use crate::location::Location;

/// An endpoint in one state of its life cycle.
#[derive(Debug, Clone)]
pub struct Endpoint<S> {
    /// Id of the endpoint.
    pub id: EndpointId,
    /// Agent of the endpoint.
    pub agent: AgentId,
    /// Address of that agent.
    pub agent_addr: SocketAddr,
    /// Incarnation of that agent; an agent loses its record of attempts when it restarts.
    pub incarnation: Incarnation,
    /// Service that it provides.
    pub service: ServiceId,
    /// Location of the endpoint.
    pub location: Location,
    /// Number of requests that it can handle concurrently.
    pub slots: u32,
    /// Data that is specific to the state.
    pub state: S,
}

/// The endpoint was announced and has not sent a heartbeat yet.
#[derive(Debug, Clone)]
pub struct Announced {
    /// When it was announced.
    pub at: Instant,
}

/// The endpoint accepts requests.
#[derive(Debug, Clone)]
pub struct Serving {
    /// Free slots at the last heartbeat.
    pub free: u32,
    /// When the last heartbeat arrived.
    pub last_heartbeat: Instant,
}

/// The endpoint completes its current requests and accepts no new ones.
#[derive(Debug, Clone)]
pub struct Draining {
    /// When the endpoint started to drain.
    pub since: Instant,
}

impl<S> Endpoint<S> {
    fn with_state<T>(self, state: T) -> Endpoint<T> {
        Endpoint {
            id: self.id,
            agent: self.agent,
            agent_addr: self.agent_addr,
            incarnation: self.incarnation,
            service: self.service,
            location: self.location,
            slots: self.slots,
            state,
        }
    }

    /// Records that the endpoint started to drain.
    pub fn drain(self, now: Instant) -> Endpoint<Draining> {
        self.with_state(Draining { since: now })
    }
}

impl Endpoint<Announced> {
    /// Records the first heartbeat.
    pub fn serve(self, free: u32, now: Instant) -> Endpoint<Serving> {
        let free = free.min(self.slots);
        self.with_state(Serving {
            free,
            last_heartbeat: now,
        })
    }
}

impl Endpoint<Serving> {
    /// Records a subsequent heartbeat.
    #[must_use]
    pub fn heartbeat(self, free: u32, now: Instant) -> Self {
        let free = free.min(self.slots);
        self.with_state(Serving {
            free,
            last_heartbeat: now,
        })
    }
}
