//! Endpoints that are missing in the directories although nothing proves that their agents' requests ended.

use std::time::{Duration, Instant};

use board::Membership;
use indexmap::IndexMap;
use membership::key_claims::CLAIM_RETENTION;
use model::{AgentId, ServiceId};
use wire::ClaimHolder;

use crate::claim::holder_of;

/// How long an agent is remembered: an owner asks for earlier claims for as long after its takeover.
const SILENT_RETENTION: Duration = CLAIM_RETENTION;

/// An endpoint whose agent left the directories without having reported a drain.
#[derive(Debug, Clone)]
pub(crate) struct SilentEndpoint {
    pub(crate) holder: ClaimHolder,
    pub(crate) service: ServiceId,
    forget_at: Instant,
}

/// The silent endpoints by agent.
pub(crate) type SilentEndpoints = IndexMap<AgentId, SilentEndpoint>;

/// Adds the endpoints that left with the change from `before` to `after`, and removes those of agents that are back.
///
/// An agent with a later incarnation is one that is back, because its earlier process has ended. An agent that has drained
/// ends by itself.
pub(crate) fn update_silent(
    silent: &mut SilentEndpoints,
    before: &Membership,
    after: &Membership,
    now: Instant,
) {
    for endpoint in before.serving.values() {
        let left = SilentEndpoint {
            holder: holder_of(endpoint),
            service: endpoint.service.clone(),
            forget_at: now + SILENT_RETENTION,
        };
        silent.insert(endpoint.agent.clone(), left);
    }
    silent.retain(|agent, left| now < left.forget_at && !is_listed(after, agent));
}

fn is_listed(membership: &Membership, agent: &AgentId) -> bool {
    let mut serving = membership.serving.values();
    let mut draining = membership.draining.values();
    serving.any(|e| e.agent == *agent) || draining.any(|e| e.agent == *agent)
}
