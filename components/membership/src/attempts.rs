//! The at-most-once record of an agent: an attempt is recorded before the endpoint is called.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use error_stack::Report;
use errors::{Error, ErrorKind, Result};
use model::{Attempt, Epoch, RequestId};

use crate::orders::Incarnation;

/// How long an attempt is remembered after its end; no message is expected to arrive later than this.
pub const ATTEMPT_RETENTION: Duration = Duration::from_mins(10);

/// How many attempts are remembered, about 8 MB.
pub const ATTEMPT_LIMIT: usize = 65_536;

/// Names an attempt and the life of the agent to which it was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// The attempt, from 1.
    pub attempt: Attempt,
    /// The life of the agent that the sender knows from the directory.
    pub incarnation: Incarnation,
}

/// The right to call the endpoint once.
#[derive(Debug, PartialEq, Eq)]
pub struct Permit {
    request: RequestId,
    attempt: Attempt,
}

/// What the agent knows of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Record {
    /// The endpoint may have been called.
    Begun {
        /// The epoch under which the attempt was placed.
        epoch: Epoch,
    },
    /// The call of the endpoint ended.
    Finished,
    /// The attempt did not run and never will.
    Refused,
}

/// The attempts that one life of an agent has seen.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Attempts {
    incarnation: Incarnation,
    limit: usize,
    records: BTreeMap<(RequestId, Attempt), Record>,
    ended_order: VecDeque<(Instant, (RequestId, Attempt))>,
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
    /// Starts with no attempts in a life that no earlier one shares.
    pub fn start(incarnation: Incarnation, limit: usize) -> Self {
        Self {
            incarnation,
            limit,
            records: BTreeMap::new(),
            ended_order: VecDeque::new(),
        }
    }

    /// Records an attempt and gives the right to call the endpoint, once for each attempt.
    ///
    /// A non-idempotent request is refused if any attempt of it has begun here.
    pub fn begin(
        &mut self,
        id: AttemptId,
        epoch: Epoch,
        idempotent: bool,
        now: Instant,
    ) -> Result<Permit> {
        self.forget(now);
        self.check_life(id)?;
        if let Some(record) = self.records.get(&(id.request, id.attempt)) {
            return Err(told(*record));
        }
        if !idempotent && let Some(record) = self.begun(id.request) {
            return Err(told(record));
        }
        self.insert(id, Record::Begun { epoch })?;
        Ok(Permit {
            request: id.request,
            attempt: id.attempt,
        })
    }

    /// Records that the call of the endpoint ended; consumes the right to make it.
    #[expect(clippy::needless_pass_by_value, reason = "a permit is used once")]
    pub fn finish(&mut self, permit: Permit, now: Instant) {
        let Permit { request, attempt } = permit;
        let key = (request, attempt);
        self.records.insert(key, Record::Finished);
        self.ended_order.push_back((now, key));
    }

    /// Records that the endpoint was never called, such as after a refused connection; consumes the right to call it.
    #[expect(clippy::needless_pass_by_value, reason = "a permit is used once")]
    pub fn abandon(&mut self, permit: Permit, now: Instant) {
        let Permit { request, attempt } = permit;
        let key = (request, attempt);
        self.records.insert(key, Record::Refused);
        self.ended_order.push_back((now, key));
    }

    /// Refuses an attempt for good if it has not begun; otherwise says what is known of it.
    ///
    /// The returned error has the verdict "not run" only when a late dispatch of the attempt is refused from now on.
    /// The agent uses this for a question about an attempt, for a cancellation, and whenever it turns a dispatch away.
    pub fn refuse(&mut self, id: AttemptId, now: Instant) -> Report<Error> {
        self.forget(now);
        if let Err(error) = self.check_life(id) {
            return error;
        }
        let key = (id.request, id.attempt);
        if let Some(record) = self.records.get(&key) {
            return told(*record);
        }
        if let Err(error) = self.insert(id, Record::Refused) {
            return error;
        }
        self.ended_order.push_back((now, key));
        told(Record::Refused)
    }

    /// Returns what is known of an attempt.
    pub fn record(&self, request: RequestId, attempt: Attempt) -> Option<Record> {
        self.records.get(&(request, attempt)).copied()
    }

    /// Returns the attempts that began, for `Announce`.
    pub fn recorded(&self) -> impl Iterator<Item = (RequestId, Attempt)> {
        let begun = self
            .records
            .iter()
            .filter(|(_, record)| **record != Record::Refused);
        begun.map(|(key, _)| *key)
    }

    /// Returns the number of attempts in memory.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no attempt is in memory.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn begun(&self, request: RequestId) -> Option<Record> {
        let mut attempts = self.records.range((request, 0)..=(request, Attempt::MAX));
        let begun = attempts.find(|(_, record)| **record != Record::Refused);
        begun.map(|(_, record)| *record)
    }

    fn check_life(&self, id: AttemptId) -> Result<()> {
        if id.incarnation == self.incarnation {
            return Ok(());
        }
        let message = "the agent restarted after the attempt was sent to it";
        Err(Error::may_have_run(ErrorKind::Unavailable, message).report())
    }

    /// Without a record there is no proof that a repeated dispatch never runs, hence "may have run".
    fn insert(&mut self, id: AttemptId, record: Record) -> Result<()> {
        if self.records.len() >= self.limit {
            let message = "the agent's record of attempts is full";
            return Err(Error::may_have_run(ErrorKind::Overloaded, message).report());
        }
        self.records.insert((id.request, id.attempt), record);
        Ok(())
    }

    fn forget(&mut self, now: Instant) {
        while let Some((ended, key)) = self.ended_order.front() {
            if *ended + ATTEMPT_RETENTION > now {
                break;
            }
            self.records.remove(key);
            self.ended_order.pop_front();
        }
    }
}

/// Returns whether an entry may still believe "not run" for an attempt that it dispatched at `dispatched`.
///
/// The agent keeps a record for `ATTEMPT_RETENTION`; a later answer could come from an agent that has forgotten it.
pub fn believes_not_run(dispatched: Instant, now: Instant) -> bool {
    now < dispatched + ATTEMPT_RETENTION
}

fn told(record: Record) -> Report<Error> {
    let error = match record {
        Record::Begun { .. } => Error::may_have_run(ErrorKind::Conflict, "the attempt has begun"),
        Record::Finished => Error::ran(ErrorKind::Conflict, "the attempt ran to its end"),
        Record::Refused => Error::not_run(ErrorKind::Cancelled, "the attempt was refused"),
    };
    error.report()
}
