//! Liveness: updates the states of agents and endpoints on the board from announcements and heartbeats.

use std::sync::Arc;
use std::time::{Duration, Instant};

use board::{Agent, Membership};
use errors::{Error, ErrorKind, Result};
use model::{AgentId, Announced, Endpoint, EndpointId, Incarnation, Revision};

/// Interval between the heartbeats of an agent.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// How long an agent may be silent before it is considered lost.
pub const SILENCE_LIMIT: Duration = Duration::from_secs(3);

/// The state that an agent reports with each heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// The agent.
    pub agent: AgentId,
    /// Its process.
    pub incarnation: Incarnation,
    /// Its endpoint, if it has one.
    pub endpoint: Option<EndpointId>,
    /// Free slots of the endpoint.
    pub free: u32,
    /// The configuration revision in force.
    pub config_revision: Revision,
    /// Whether it is draining.
    pub draining: bool,
}

/// An agent that was silent for `SILENCE_LIMIT`, with its endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LostAgent {
    /// The agent.
    pub agent: AgentId,
    /// Its endpoints.
    pub endpoints: Vec<EndpointId>,
}

/// Returns an error if a later process of the agent has announced itself. An announcement that was delayed until then would
/// end the gangs that the later process runs.
pub fn check_announcement(
    membership: &Membership,
    agent: &AgentId,
    incarnation: Incarnation,
) -> Result<()> {
    let known = membership.agents.get(agent);
    match known.map(|known| known.incarnation) {
        Some(known) if known > incarnation => {
            let message = "a later process of the agent has announced itself";
            Err(Error::not_run(ErrorKind::Conflict, message).report())
        }
        _ => Ok(()),
    }
}

/// Records an agent and its endpoint; a new announcement of a known agent replaces the previous one.
pub fn announce(membership: &mut Membership, agent: Agent, endpoint: Option<Endpoint<Announced>>) {
    remove_endpoints(membership, &agent.id);
    membership.agents.insert(agent.id.clone(), Arc::new(agent));
    if let Some(endpoint) = endpoint {
        membership
            .announced
            .insert(endpoint.id.clone(), Arc::new(endpoint));
    }
}

/// Applies a heartbeat; an unknown agent, or a new process of a known one, must announce itself first.
pub fn heartbeat(membership: &mut Membership, report: &Heartbeat, now: Instant) -> Result<()> {
    let known = membership.agents.get_mut(&report.agent);
    let Some(agent) = known.filter(|agent| agent.incarnation == report.incarnation) else {
        let error = Error::not_run(ErrorKind::NotFound, "the agent has not announced itself");
        return Err(error.report());
    };
    let agent = Arc::make_mut(agent);
    agent.last_seen = agent.last_seen.max(now);
    agent.config_revision = agent.config_revision.max(report.config_revision);
    if let Some(endpoint) = &report.endpoint {
        endpoint_heartbeat(membership, endpoint, report, now);
    }
    Ok(())
}

/// Removes the agents that were silent for `SILENCE_LIMIT`, with their endpoints.
pub fn remove_silent_agents(membership: &mut Membership, now: Instant) -> Vec<LostAgent> {
    let silent = |agent: &Agent| now.saturating_duration_since(agent.last_seen) >= SILENCE_LIMIT;
    let agents = membership.agents.extract_if(.., |_, agent| silent(agent));
    let agents: Vec<_> = agents.map(|(id, _)| id).collect();
    let lost = agents.into_iter().map(|agent| LostAgent {
        endpoints: remove_endpoints(membership, &agent),
        agent,
    });
    lost.collect()
}

/// Extends the silence limit of all agents by a pause during which this process received no messages.
pub fn extend_silence_limits(membership: &mut Membership, pause: Duration) {
    for agent in membership.agents.values_mut() {
        let agent = Arc::make_mut(agent);
        agent.last_seen += pause;
    }
}

fn endpoint_heartbeat(membership: &mut Membership, id: &str, report: &Heartbeat, now: Instant) {
    if report.draining {
        drain(membership, id, now);
        return;
    }
    if let Some(endpoint) = membership.announced.swap_remove(id) {
        let endpoint = Arc::unwrap_or_clone(endpoint).serve(report.free, now);
        membership.serving.insert(id.into(), Arc::new(endpoint));
    } else if let Some(endpoint) = membership.serving.get_mut(id) {
        let renewed = Endpoint::clone(endpoint).heartbeat(report.free, now);
        *endpoint = Arc::new(renewed);
    }
}

/// Moves an endpoint to draining; it serves again only after a new announcement.
fn drain(membership: &mut Membership, id: &str, now: Instant) {
    let announced = membership.announced.swap_remove(id);
    let announced = announced.map(|endpoint| Arc::unwrap_or_clone(endpoint).drain(now));
    let serving = membership.serving.swap_remove(id);
    let serving = serving.map(|endpoint| Arc::unwrap_or_clone(endpoint).drain(now));
    if let Some(endpoint) = announced.or(serving) {
        membership.draining.insert(id.into(), Arc::new(endpoint));
    }
}

fn remove_endpoints(membership: &mut Membership, agent: &str) -> Vec<EndpointId> {
    let mut removed = Vec::new();
    removed.extend(
        membership
            .announced
            .extract_if(.., |_, e| *e.agent == *agent)
            .map(|(id, _)| id),
    );
    removed.extend(
        membership
            .serving
            .extract_if(.., |_, e| *e.agent == *agent)
            .map(|(id, _)| id),
    );
    removed.extend(
        membership
            .draining
            .extract_if(.., |_, e| *e.agent == *agent)
            .map(|(id, _)| id),
    );
    removed
}
