//! Claims of a request with an `Idempotency-Key`: which attempt is the current one, and where.
//!
//! Two entries may serve the same request when its caller retries. The owner of the home cell grants each attempt once,
//! so that two entries that both learn "not run" for one attempt do not both dispatch a next one. This is the abstract
//! rule; the owner's table in `membership::key_claims` adds places, limits and retention, which are not explored.

use std::collections::BTreeMap;

use model::{AgentId, RequestId};

use membership::attempts::AttemptId;

/// The current attempt of a request and the agent it goes to.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Claim {
    /// The attempt.
    pub id: AttemptId,
    /// The agent.
    pub agent: AgentId,
}

/// The claims that an owner granted.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Claims {
    current: BTreeMap<RequestId, Claim>,
}

impl Claims {
    /// Grants an attempt, or returns the current claim to which the entry attaches.
    ///
    /// An attempt above the first is granted only as the successor of the current one; the entry asks for it after the
    /// agent of the current attempt said "not run".
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

    /// Confirms that no later attempt was granted, so that "not run" for this attempt holds for the request.
    pub fn close(&self, id: AttemptId) -> Result<(), Claim> {
        match self.current.get(&id.request) {
            Some(current) if current.id != id => Err(current.clone()),
            _ => Ok(()),
        }
    }

    /// Forgets a request after its retention.
    pub fn forget(&mut self, request: RequestId) {
        self.current.remove(&request);
    }
}
