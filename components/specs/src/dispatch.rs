//! At-most-once dispatch: two entries serve the same non-idempotent request with an `Idempotency-Key`.
//!
//! The second entry serves a retry of the caller. Messages are never removed from the network, so each of them may be
//! lost, delayed or duplicated.

use std::collections::BTreeSet;

use crate::claims::{Claim, Claims};
use errors::Verdict;
use membership::Incarnation;
use membership::attempts::{AttemptId, Attempts};
use model::Attempt;

use crate::clock::instant;

const REQUEST: u128 = 7;
const MAX_RECORDS: usize = 16;

/// A fault to inject into the protocol: a safeguard that is removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// No fault: the protocol as shipped.
    None,
    /// A busy agent answers "not run" without recording the attempt.
    BusyWithoutRecord,
    /// A restarted agent keeps the incarnation that it had before.
    SameIncarnation,
    /// An entry dispatches the next attempt without a reply to the current one.
    RetryWithoutReply,
    /// An entry dispatches the next attempt without a claim.
    RetryWithoutClaim,
    /// An entry reports "not run" without confirming that no later attempt was claimed.
    ReportWithoutConfirmation,
}

/// The limits of an exploration.
#[derive(Debug, Clone, Copy)]
pub struct Bound {
    /// Maximum number of attempts.
    pub attempts: Attempt,
    /// Maximum number of agent restarts.
    pub restarts: u8,
    /// The injected fault.
    pub mutant: Mutant,
}

/// A message of the dispatch protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Message {
    /// Asks an agent to run an attempt.
    Dispatch(usize, AttemptId),
    /// Asks an agent to refuse an attempt unless it has started.
    Query(usize, AttemptId),
    /// The agent's reply; true for an authoritative "not run".
    Reply(AttemptId, bool),
}

/// The state of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Entry {
    /// The request has not arrived.
    Idle,
    /// The entry waits for a reply from an agent.
    Waiting(usize, AttemptId),
    /// The entry has answered the caller or crashed.
    Finished,
}

/// An agent.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Agent {
    attempts: Attempts,
    incarnation: Incarnation,
}

/// One state of the system.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    agents: Vec<Agent>,
    entries: Vec<Entry>,
    claims: Claims,
    network: BTreeSet<Message>,
    restarts: u8,
    /// The attempts for which the endpoint was called.
    calls: Vec<Attempt>,
    /// The highest attempt that had been claimed when a caller received "not run".
    reported_not_run: Attempt,
}

impl State {
    /// Returns the state before the request arrives.
    pub fn initial() -> Self {
        let agent = Agent {
            attempts: Attempts::start(1, MAX_RECORDS),
            incarnation: 1,
        };
        Self {
            agents: vec![agent; 2],
            entries: vec![Entry::Idle; 2],
            claims: Claims::default(),
            network: BTreeSet::new(),
            restarts: 0,
            calls: Vec::new(),
            reported_not_run: 0,
        }
    }

    /// Returns whether the endpoint was called twice, or "not run" was reported for a request that ran.
    ///
    /// An attempt that is claimed after the report is a new request from the caller's point of view.
    pub fn violates(&self) -> bool {
        let was_reported = |call: &Attempt| *call <= self.reported_not_run;
        self.calls.len() > 1 || self.calls.iter().any(was_reported)
    }

    /// Returns all states that are reachable in one step.
    pub fn successors(&self, bound: Bound) -> Vec<Self> {
        let mut next = Vec::new();
        for entry in 0..self.entries.len() {
            next.extend(self.entry_steps(entry, bound));
        }
        for agent in 0..self.agents.len() {
            next.extend(self.restart(agent, bound));
        }
        for message in &self.network {
            match *message {
                Message::Dispatch(agent, id) => next.extend(self.handle_dispatch(agent, id, bound)),
                Message::Query(agent, id) => next.push(self.refuse(agent, id)),
                Message::Reply(id, not_run) => next.extend(self.handle_reply(id, not_run, bound)),
            }
        }
        next
    }

    fn with_change(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut next = self.clone();
        change(&mut next);
        next
    }

    fn entry_steps(&self, entry: usize, bound: Bound) -> Vec<Self> {
        let finished = self.with_change(|next| next.entries[entry] = Entry::Finished);
        match self.entries[entry] {
            Entry::Finished => Vec::new(),
            Entry::Idle => (0..self.agents.len())
                .map(|agent| self.claim(entry, agent, 1))
                .collect(),
            Entry::Waiting(agent, id) => {
                let queried = self.with_change(|next| {
                    next.network.insert(Message::Query(agent, id));
                });
                let mut next = vec![finished, queried];
                if bound.mutant == Mutant::RetryWithoutReply && id.attempt < bound.attempts {
                    next.push(self.claim(entry, 1 - agent, id.attempt + 1));
                }
                next
            }
        }
    }

    /// Claims and dispatches an attempt, or waits for the current attempt if another one was claimed.
    fn claim(&self, entry: usize, agent: usize, attempt: Attempt) -> Self {
        let id = AttemptId {
            request: REQUEST,
            attempt,
            incarnation: self.agents[agent].incarnation,
        };
        let claim = Claim {
            id,
            agent: agent.to_string().into(),
        };
        self.with_change(|next| match next.claims.claim(claim) {
            Ok(()) => next.dispatch(entry, agent, id),
            Err(current) => {
                let agent = usize::from(&*current.agent == "1");
                next.entries[entry] = Entry::Waiting(agent, current.id);
            }
        })
    }

    fn dispatch(&mut self, entry: usize, agent: usize, id: AttemptId) {
        self.entries[entry] = Entry::Waiting(agent, id);
        self.network.insert(Message::Dispatch(agent, id));
    }

    fn restart(&self, agent: usize, bound: Bound) -> Option<Self> {
        if self.restarts >= bound.restarts {
            return None;
        }
        Some(self.with_change(|next| {
            next.restarts += 1;
            let agent = &mut next.agents[agent];
            if bound.mutant != Mutant::SameIncarnation {
                agent.incarnation += 1;
            }
            agent.attempts = Attempts::start(agent.incarnation, MAX_RECORDS);
        }))
    }

    /// Returns the states in which the agent runs the attempt, or is busy and refuses it.
    fn handle_dispatch(&self, agent: usize, id: AttemptId, bound: Bound) -> Vec<Self> {
        let started = self.with_change(|next| {
            let attempts = &mut next.agents[agent].attempts;
            match attempts.begin(id, 1, false, instant(0)) {
                Ok(permit) => next.calls.push(permit.attempt()),
                Err(error) => next.reply(id, error.current_context().verdict),
            }
        });
        let busy = if bound.mutant == Mutant::BusyWithoutRecord {
            self.with_change(|next| next.reply(id, Verdict::NotRun))
        } else {
            self.refuse(agent, id)
        };
        vec![started, busy]
    }

    fn refuse(&self, agent: usize, id: AttemptId) -> Self {
        self.with_change(|next| {
            let error = next.agents[agent].attempts.refuse(id, instant(0));
            next.reply(id, error.current_context().verdict);
        })
    }

    fn reply(&mut self, id: AttemptId, verdict: Verdict) {
        self.network
            .insert(Message::Reply(id, verdict == Verdict::NotRun));
    }

    fn handle_reply(&self, id: AttemptId, not_run: bool, bound: Bound) -> Vec<Self> {
        let mut next = Vec::new();
        for (entry, state) in self.entries.iter().enumerate() {
            let Entry::Waiting(agent, awaited) = *state else {
                continue;
            };
            if awaited != id || !not_run {
                continue;
            }
            next.push(self.report_not_run(entry, id, bound));
            if id.attempt < bound.attempts {
                next.push(self.retry(entry, 1 - agent, id.attempt + 1, bound));
            }
        }
        next
    }

    fn retry(&self, entry: usize, agent: usize, attempt: Attempt, bound: Bound) -> Self {
        if bound.mutant != Mutant::RetryWithoutClaim {
            return self.claim(entry, agent, attempt);
        }
        // The two entries choose different agents for the next attempt.
        let agent = (agent + entry) % 2;
        let id = AttemptId {
            request: REQUEST,
            attempt,
            incarnation: self.agents[agent].incarnation,
        };
        self.with_change(|next| next.dispatch(entry, agent, id))
    }

    fn report_not_run(&self, entry: usize, id: AttemptId, bound: Bound) -> Self {
        let confirmed = self.claims.confirm_current(id);
        self.with_change(|next| match confirmed {
            Err(current) if bound.mutant != Mutant::ReportWithoutConfirmation => {
                let agent = usize::from(&*current.agent == "1");
                next.entries[entry] = Entry::Waiting(agent, current.id);
            }
            _ => {
                let current = self
                    .claims
                    .confirm_current(id)
                    .err()
                    .map_or(id.attempt, |claim| claim.id.attempt);
                next.entries[entry] = Entry::Finished;
                next.reported_not_run = next.reported_not_run.max(current);
            }
        })
    }
}
