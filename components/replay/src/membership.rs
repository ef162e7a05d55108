//! Builds the membership section that the membership controller would publish.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Instant;

use board::{Agent, Membership};
use indexmap::{IndexMap, IndexSet};
use model::{AgentId, Endpoint, EndpointId, Epoch, Serving, WorkerId};

use crate::trace::{EndpointSpec, Header};

/// The epoch of the owner; it never changes in a replay.
pub(crate) const EPOCH: Epoch = 1;

/// Returns the membership with all agents and endpoints, and the workers that are not lost.
pub(crate) fn membership(header: &Header, lost: &IndexSet<WorkerId>, now: Instant) -> Membership {
    let mut agents: IndexMap<AgentId, Agent> = IndexMap::new();
    for worker in &header.workers {
        let agent = agents
            .entry(worker.agent.clone())
            .or_insert_with(|| new_agent(&worker.agent, now));
        if !lost.contains(&worker.id) {
            agent.workers.push(worker.clone());
        }
    }
    for spec in &header.endpoints {
        agents
            .entry(spec.agent.clone())
            .or_insert_with(|| new_agent(&spec.agent, now));
    }
    let agents = agents.into_iter().map(|(id, agent)| (id, Arc::new(agent)));
    Membership {
        since: None,
        epoch: EPOCH,
        agents: agents.collect(),
        announced: IndexMap::new(),
        serving: header
            .endpoints
            .iter()
            .map(|spec| serving_endpoint(spec, now))
            .collect(),
        draining: IndexMap::new(),
    }
}

fn new_agent(id: &AgentId, now: Instant) -> Agent {
    Agent {
        id: id.clone(),
        incarnation: 1,
        addr: placeholder_addr(),
        workers: Vec::new(),
        last_seen: now,
        config_revision: 1,
    }
}

fn serving_endpoint(spec: &EndpointSpec, now: Instant) -> (EndpointId, Arc<Endpoint<Serving>>) {
    let endpoint = Endpoint {
        id: spec.id.clone(),
        agent: spec.agent.clone(),
        agent_addr: placeholder_addr(),
        incarnation: 1,
        service: spec.service.clone(),
        location: spec.place.clone(),
        slots: spec.slots,
        state: Serving {
            free: spec.slots,
            last_heartbeat: now,
        },
    };
    (spec.id.clone(), Arc::new(endpoint))
}

/// Returns an address for fields that are not used, because a replay sends no messages.
fn placeholder_addr() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}
