//! Claims of requests with an `Idempotency-Key`: the current attempt of each request and its agent.
//!
//! Two entries may serve the same request if its caller retries. The owner of the home cell grants each attempt once,
//! so that two entries that both receive "not run" for an attempt do not both dispatch the next one. This is the
//! abstract rule; the claim table in `membership::key_claims` adds placement, limits and retention, which are not
//! explored.

use std::collections::BTreeMap;

use model::{AgentId, RequestId};

use membership::attempts::AttemptId;

/// The current attempt of a request and the agent to which it is dispatched.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Claim {
    /// The attempt.
    pub id: AttemptId,
    /// The agent.
    pub agent: AgentId,
}

/// The claims that an owner has granted.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Claims {
    current: BTreeMap<RequestId, Claim>,
}

impl Claims {
    /// Grants an attempt, or returns the current claim, whose result the entry waits for instead.
    ///
    /// Each further attempt is granted only as the successor of the current one. The entry claims it after the agent of
    /// the current attempt answered "not run".
    pub fn claim(&mut self, claim: Claim) -> Result<(), Claim> {
        let request = claim.id.request;
        if let Some(current) = self.current.get(&request)
            && claim.id.attempt != current.id.attempt + 1
        {
            return Err(current.clone());
        }
        self.current.insert(request, claim);
        Ok(())
    }

    /// Confirms that no later attempt was granted, so that "not run" for this attempt applies to the request.
    pub fn confirm_current(&self, id: AttemptId) -> Result<(), Claim> {
        match self.current.get(&id.request) {
            Some(current) if current.id != id => Err(current.clone()),
            _ => Ok(()),
        }
    }

    /// Removes the claim of a request after its retention time.
    pub fn remove(&mut self, request: RequestId) {
        self.current.remove(&request);
    }
}
