//! Liveness: from announcements and heartbeats to the states of agents and endpoints on the board.

use std::sync::Arc;
use std::time::{Duration, Instant};

use board::{Agent, Membership};
use errors::{Error, ErrorKind, Result};
use model::{AgentId, Announced, Endpoint, EndpointId, Revision};

/// How often an agent sends a heartbeat.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// How long an agent may be silent before it counts as gone.
pub const SILENCE_LIMIT: Duration = Duration::from_secs(3);

/// What an agent says of itself every second.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Beat {
    /// The agent.
    pub agent: AgentId,
    /// Its endpoint, if it has one.
    pub endpoint: Option<EndpointId>,
    /// Free slots of the endpoint.
    pub free: u32,
    /// The configuration revision in force.
    pub config_revision: Revision,
    /// Whether it leaves.
    pub draining: bool,
}

/// An agent that was silent for too long, with its endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Gone {
    /// The agent.
    pub agent: AgentId,
    /// Its endpoints.
    pub endpoints: Vec<EndpointId>,
}

/// Records an agent and its endpoint; an announcement of a known agent replaces what was known.
pub fn announce(membership: &mut Membership, agent: Agent, endpoint: Option<Endpoint<Announced>>) {
    forget_endpoints(membership, &agent.id);
    membership.agents.insert(agent.id.clone(), Arc::new(agent));
    if let Some(endpoint) = endpoint {
        membership
            .announced
            .insert(endpoint.id.clone(), Arc::new(endpoint));
    }
}

/// Applies a heartbeat; an agent that is not known must announce itself first.
pub fn heartbeat(membership: &mut Membership, beat: &Beat, now: Instant) -> Result<()> {
    let Some(agent) = membership.agents.get_mut(&beat.agent) else {
        let error = Error::not_run(ErrorKind::NotFound, "the agent has not announced itself");
        return Err(error.report());
    };
    let agent = Arc::make_mut(agent);
    agent.heard = agent.heard.max(now);
    agent.config_revision = agent.config_revision.max(beat.config_revision);
    if let Some(endpoint) = &beat.endpoint {
        endpoint_heartbeat(membership, endpoint, beat, now);
    }
    Ok(())
}

/// Removes agents that were silent for `SILENCE_LIMIT`, with their endpoints.
pub fn sweep(membership: &mut Membership, now: Instant) -> Vec<Gone> {
    let silent = |agent: &Agent| now.saturating_duration_since(agent.heard) >= SILENCE_LIMIT;
    let agents = membership.agents.extract_if(.., |_, agent| silent(agent));
    let agents: Vec<_> = agents.map(|(id, _)| id).collect();
    let gone = agents.into_iter().map(|agent| Gone {
        endpoints: forget_endpoints(membership, &agent),
        agent,
    });
    gone.collect()
}

/// Extends the time of all agents by a pause in which this process heard nobody.
pub fn excuse_silence(membership: &mut Membership, pause: Duration) {
    for agent in membership.agents.values_mut() {
        let agent = Arc::make_mut(agent);
        agent.heard += pause;
    }
}

fn endpoint_heartbeat(membership: &mut Membership, id: &str, beat: &Beat, now: Instant) {
    if beat.draining {
        drain(membership, id, now);
        return;
    }
    if let Some(endpoint) = membership.announced.swap_remove(id) {
        let endpoint = Arc::unwrap_or_clone(endpoint).serve(beat.free, now);
        membership.serving.insert(id.into(), Arc::new(endpoint));
    } else if let Some(endpoint) = membership.serving.get_mut(id) {
        let renewed = Endpoint::clone(endpoint).heartbeat(beat.free, now);
        *endpoint = Arc::new(renewed);
    }
}

/// An endpoint that drains never serves again before it announces itself anew.
fn drain(membership: &mut Membership, id: &str, now: Instant) {
    let announced = membership.announced.swap_remove(id);
    let announced = announced.map(|endpoint| Arc::unwrap_or_clone(endpoint).drain(now));
    let serving = membership.serving.swap_remove(id);
    let serving = serving.map(|endpoint| Arc::unwrap_or_clone(endpoint).drain(now));
    if let Some(endpoint) = announced.or(serving) {
        membership.draining.insert(id.into(), Arc::new(endpoint));
    }
}

fn forget_endpoints(membership: &mut Membership, agent: &str) -> Vec<EndpointId> {
    let mut gone = Vec::new();
    gone.extend(
        membership
            .announced
            .extract_if(.., |_, e| *e.agent == *agent)
            .map(|(id, _)| id),
    );
    gone.extend(
        membership
            .serving
            .extract_if(.., |_, e| *e.agent == *agent)
            .map(|(id, _)| id),
    );
    gone.extend(
        membership
            .draining
            .extract_if(.., |_, e| *e.agent == *agent)
            .map(|(id, _)| id),
    );
    gone
}
