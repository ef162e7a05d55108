//! The life cycle of an endpoint: announced, serving, draining.

use std::net::SocketAddr;
use std::time::Instant;

use crate::ids::{AgentId, EndpointId, ServiceId};
use crate::place::Place;

/// An endpoint in one state of its life cycle.
#[derive(Debug, Clone)]
pub struct Endpoint<S> {
    /// The id of the endpoint.
    pub id: EndpointId,
    /// The agent beside it.
    pub agent: AgentId,
    /// The address of that agent.
    pub agent_addr: SocketAddr,
    /// When that agent started, in milliseconds since 1970; a later life has lost its record of attempts.
    pub incarnation: u64,
    /// The service it provides.
    pub service: ServiceId,
    /// Where it stands.
    pub place: Place,
    /// How many requests it handles at once.
    pub slots: u32,
    /// What is known in this state.
    pub state: S,
}

/// The endpoint announced itself and has not yet sent a heartbeat.
#[derive(Debug, Clone)]
pub struct Announced {
    /// When it announced itself.
    pub at: Instant,
}

/// The endpoint takes requests.
#[derive(Debug, Clone)]
pub struct Serving {
    /// Slots free at the last heartbeat.
    pub free: u32,
    /// When the last heartbeat arrived.
    pub heard: Instant,
}

/// The endpoint finishes what it has and takes no new work.
#[derive(Debug, Clone)]
pub struct Draining {
    /// When the endpoint said that it leaves.
    pub since: Instant,
}

impl<S> Endpoint<S> {
    fn with<T>(self, state: T) -> Endpoint<T> {
        Endpoint {
            id: self.id,
            agent: self.agent,
            agent_addr: self.agent_addr,
            incarnation: self.incarnation,
            service: self.service,
            place: self.place,
            slots: self.slots,
            state,
        }
    }

    /// Records that the endpoint leaves.
    pub fn drain(self, now: Instant) -> Endpoint<Draining> {
        self.with(Draining { since: now })
    }
}

impl Endpoint<Announced> {
    /// Records the first heartbeat.
    pub fn serve(self, free: u32, now: Instant) -> Endpoint<Serving> {
        let free = free.min(self.slots);
        self.with(Serving { free, heard: now })
    }
}

impl Endpoint<Serving> {
    /// Records a further heartbeat.
    #[must_use]
    pub fn heartbeat(self, free: u32, now: Instant) -> Self {
        let free = free.min(self.slots);
        self.with(Serving { free, heard: now })
    }
}
