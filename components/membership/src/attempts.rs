//! The at-most-once record of an agent: every attempt is recorded before the endpoint is called.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use error_stack::Report;
use errors::{Error, ErrorKind, Result};
use model::{Attempt, Epoch, RequestId};

use crate::protocol::Incarnation;

/// How long an attempt stays recorded after its end; no message is expected to arrive later than this.
pub const ATTEMPT_RETENTION: Duration = Duration::from_mins(10);

/// Maximum number of recorded attempts, about 8 MB.
pub const ATTEMPT_LIMIT: usize = 65_536;

/// Identifies an attempt and the incarnation of the agent to which it was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// The attempt number, starting at 1.
    pub attempt: Attempt,
    /// The incarnation of the agent that the sender read from the directory.
    pub incarnation: Incarnation,
}

/// Single-use permission to call the endpoint.
#[derive(Debug, PartialEq, Eq)]
pub struct Permit {
    request: RequestId,
    attempt: Attempt,
}

/// The state of an attempt at the agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AttemptState {
    /// The attempt started, so the endpoint may have been called.
    Started {
        /// The epoch under which the attempt was placed.
        epoch: Epoch,
    },
    /// The endpoint call returned.
    Finished,
    /// The attempt did not run and never will.
    Refused,
}

/// The attempts that one incarnation of an agent has seen.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Attempts {
    incarnation: Incarnation,
    limit: usize,
    states: BTreeMap<(RequestId, Attempt), AttemptState>,
    expiry_queue: VecDeque<(Instant, (RequestId, Attempt))>,
}

impl Permit {
    /// Returns the request that may be sent to the endpoint.
    pub fn request(&self) -> RequestId {
        self.request
    }

    /// Returns the attempt that may be sent to the endpoint.
    pub fn attempt(&self) -> Attempt {
        self.attempt
    }
}

impl Attempts {
    /// Creates an empty record for an incarnation that no earlier process of the agent used.
    pub fn start(incarnation: Incarnation, limit: usize) -> Self {
        Self {
            incarnation,
            limit,
            states: BTreeMap::new(),
            expiry_queue: VecDeque::new(),
        }
    }

    /// Records an attempt and returns the permission to call the endpoint, once for each attempt.
    ///
    /// A non-idempotent request is refused if any of its attempts has already started at this agent.
    pub fn begin(
        &mut self,
        id: AttemptId,
        epoch: Epoch,
        idempotent: bool,
        now: Instant,
    ) -> Result<Permit> {
        self.remove_expired(now);
        self.check_incarnation(id)?;
        if let Some(state) = self.states.get(&(id.request, id.attempt)) {
            return Err(state_error(*state));
        }
        if !idempotent && let Some(state) = self.find_started(id.request) {
            return Err(state_error(state));
        }
        self.insert(id, AttemptState::Started { epoch })?;
        Ok(Permit {
            request: id.request,
            attempt: id.attempt,
        })
    }

    /// Records that the endpoint call returned; consumes the permit.
    #[expect(clippy::needless_pass_by_value, reason = "a permit is single-use")]
    pub fn finish(&mut self, permit: Permit, now: Instant) {
        let Permit { request, attempt } = permit;
        let key = (request, attempt);
        self.states.insert(key, AttemptState::Finished);
        self.expiry_queue.push_back((now, key));
    }

    /// Records that the endpoint was never called, such as after a refused connection; consumes the permit.
    #[expect(clippy::needless_pass_by_value, reason = "a permit is single-use")]
    pub fn abandon(&mut self, permit: Permit, now: Instant) {
        let Permit { request, attempt } = permit;
        let key = (request, attempt);
        self.states.insert(key, AttemptState::Refused);
        self.expiry_queue.push_back((now, key));
    }

    /// Permanently refuses an attempt that has not started, and returns the state of the attempt as an error.
    ///
    /// The error has the verdict "not run" only if a late dispatch of the attempt is refused from now on. The agent
    /// calls this for a query about an attempt, for a cancellation, and whenever it rejects a dispatch.
    pub fn refuse(&mut self, id: AttemptId, now: Instant) -> Report<Error> {
        self.remove_expired(now);
        if let Err(error) = self.check_incarnation(id) {
            return error;
        }
        let key = (id.request, id.attempt);
        if let Some(state) = self.states.get(&key) {
            return state_error(*state);
        }
        if let Err(error) = self.insert(id, AttemptState::Refused) {
            return error;
        }
        self.expiry_queue.push_back((now, key));
        state_error(AttemptState::Refused)
    }

    /// Returns the state of an attempt, or `None` if it is not recorded.
    pub fn state(&self, request: RequestId, attempt: Attempt) -> Option<AttemptState> {
        self.states.get(&(request, attempt)).copied()
    }

    /// Returns the attempts that started, for `Announce`.
    pub fn recorded(&self) -> impl Iterator<Item = (RequestId, Attempt)> {
        let started = self
            .states
            .iter()
            .filter(|(_, state)| **state != AttemptState::Refused);
        started.map(|(key, _)| *key)
    }

    /// Returns the number of recorded attempts.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Returns whether no attempt is recorded.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    fn find_started(&self, request: RequestId) -> Option<AttemptState> {
        let mut attempts = self.states.range((request, 0)..=(request, Attempt::MAX));
        let started = attempts.find(|(_, state)| **state != AttemptState::Refused);
        started.map(|(_, state)| *state)
    }

    fn check_incarnation(&self, id: AttemptId) -> Result<()> {
        if id.incarnation == self.incarnation {
            return Ok(());
        }
        let message = "the agent restarted after the attempt was sent to it";
        Err(Error::may_have_run(ErrorKind::Unavailable, message).report())
    }

    /// Records the state of an attempt.
    ///
    /// Fails with "may have run" at the limit, because an unrecorded attempt could still run after a repeated dispatch.
    fn insert(&mut self, id: AttemptId, state: AttemptState) -> Result<()> {
        if self.states.len() >= self.limit {
            let message = "the agent's record of attempts has reached its limit";
            return Err(Error::may_have_run(ErrorKind::Overloaded, message).report());
        }
        self.states.insert((id.request, id.attempt), state);
        Ok(())
    }

    fn remove_expired(&mut self, now: Instant) {
        while let Some((ended_at, key)) = self.expiry_queue.front() {
            if *ended_at + ATTEMPT_RETENTION > now {
                break;
            }
            self.states.remove(key);
            self.expiry_queue.pop_front();
        }
    }
}

/// Returns whether an entry may still rely on a "not run" answer for an attempt that it dispatched at `dispatched_at`.
///
/// The agent drops the record after `ATTEMPT_RETENTION`, so a later "not run" proves nothing.
pub fn may_trust_not_run(dispatched_at: Instant, now: Instant) -> bool {
    now < dispatched_at + ATTEMPT_RETENTION
}

fn state_error(state: AttemptState) -> Report<Error> {
    let error = match state {
        AttemptState::Started { .. } => {
            Error::may_have_run(ErrorKind::Conflict, "the attempt has already started")
        }
        AttemptState::Finished => {
            Error::ran(ErrorKind::Conflict, "the attempt has already finished")
        }
        AttemptState::Refused => Error::not_run(ErrorKind::Cancelled, "the attempt was refused"),
    };
    error.report()
}
