//! At-most-once dispatch: two entries serve one non-idempotent request with an `Idempotency-Key`.
//!
//! The second entry is the caller's retry. Messages stay in the network for ever: each may be lost, late or repeated.

use std::collections::BTreeSet;

use crate::claims::{Claim, Claims};
use errors::Verdict;
use membership::Incarnation;
use membership::attempts::{AttemptId, Attempts};
use model::Attempt;

use crate::clock::at;

const REQUEST: u128 = 7;
const RECORDS: usize = 16;

/// A guard that is removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// The protocol as shipped.
    None,
    /// A busy agent says "not run" without a record of the attempt.
    BusyWithoutRecord,
    /// A restarted agent answers for its earlier life.
    SameLife,
    /// An entry that hears nothing dispatches the next attempt.
    RetryOnSilence,
    /// An entry dispatches the next attempt without a claim.
    RetryWithoutClaim,
    /// An entry tells "not run" without asking whether a later attempt was claimed.
    TellWithoutClose,
}

/// The limits of an exploration.
#[derive(Debug, Clone, Copy)]
pub struct Bound {
    /// The highest attempt.
    pub attempts: Attempt,
    /// Number of agent restarts.
    pub restarts: u8,
    /// The guard that is removed.
    pub mutant: Mutant,
}

/// A message of the dispatch protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Msg {
    /// Run this attempt at this agent.
    Dispatch(usize, AttemptId),
    /// Refuse this attempt at this agent unless it has begun.
    Question(usize, AttemptId),
    /// The agent's answer, true for an authoritative "not run".
    Reply(AttemptId, bool),
}

/// What an entry does for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Entry {
    /// The caller's request has not arrived.
    Idle,
    /// The entry waits for the agent.
    Waiting(usize, AttemptId),
    /// The caller was told, or the entry crashed.
    Over,
}

/// An agent.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Agent {
    attempts: Attempts,
    life: Incarnation,
}

/// One state of the system.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    agents: Vec<Agent>,
    entries: Vec<Entry>,
    claims: Claims,
    net: BTreeSet<Msg>,
    restarts: u8,
    /// Attempts for which the endpoint was called.
    calls: Vec<Attempt>,
    /// The highest attempt for whose request a caller was told "not run".
    told_not_run: Attempt,
}

impl State {
    /// Returns the state before the request arrives.
    pub fn initial() -> Self {
        let agent = Agent {
            attempts: Attempts::start(1, RECORDS),
            life: 1,
        };
        Self {
            agents: vec![agent; 2],
            entries: vec![Entry::Idle; 2],
            claims: Claims::default(),
            net: BTreeSet::new(),
            restarts: 0,
            calls: Vec::new(),
            told_not_run: 0,
        }
    }

    /// Returns whether the endpoint was called twice, or "not run" was told of a request that runs.
    ///
    /// An attempt that is claimed after the caller was told is a new try by the caller.
    pub fn violates(&self) -> bool {
        let told = |call: &Attempt| *call <= self.told_not_run;
        self.calls.len() > 1 || self.calls.iter().any(told)
    }

    /// Returns every state that one step reaches.
    pub fn successors(&self, bound: Bound) -> Vec<Self> {
        let mut next = Vec::new();
        for entry in 0..self.entries.len() {
            next.extend(self.entry_steps(entry, bound));
        }
        for agent in 0..self.agents.len() {
            next.extend(self.restart(agent, bound));
        }
        for msg in &self.net {
            match *msg {
                Msg::Dispatch(agent, id) => next.extend(self.dispatched(agent, id, bound)),
                Msg::Question(agent, id) => next.push(self.refused(agent, id)),
                Msg::Reply(id, not_run) => next.extend(self.replied(id, not_run, bound)),
            }
        }
        next
    }

    fn with(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut next = self.clone();
        change(&mut next);
        next
    }

    fn entry_steps(&self, entry: usize, bound: Bound) -> Vec<Self> {
        let over = self.with(|next| next.entries[entry] = Entry::Over);
        match self.entries[entry] {
            Entry::Over => Vec::new(),
            Entry::Idle => (0..self.agents.len())
                .map(|agent| self.claim(entry, agent, 1))
                .collect(),
            Entry::Waiting(agent, id) => {
                let ask = self.with(|next| {
                    next.net.insert(Msg::Question(agent, id));
                });
                let mut next = vec![over, ask];
                if bound.mutant == Mutant::RetryOnSilence && id.attempt < bound.attempts {
                    next.push(self.claim(entry, 1 - agent, id.attempt + 1));
                }
                next
            }
        }
    }

    /// Claims an attempt and dispatches it, or attaches to the attempt that was claimed before.
    fn claim(&self, entry: usize, agent: usize, attempt: Attempt) -> Self {
        let id = AttemptId {
            request: REQUEST,
            attempt,
            incarnation: self.agents[agent].life,
        };
        let claim = Claim {
            id,
            agent: agent.to_string().into(),
        };
        self.with(|next| match next.claims.claim(claim) {
            Ok(()) => next.dispatch(entry, agent, id),
            Err(current) => {
                let agent = usize::from(&*current.agent == "1");
                next.entries[entry] = Entry::Waiting(agent, current.id);
            }
        })
    }

    fn dispatch(&mut self, entry: usize, agent: usize, id: AttemptId) {
        self.entries[entry] = Entry::Waiting(agent, id);
        self.net.insert(Msg::Dispatch(agent, id));
    }

    fn restart(&self, agent: usize, bound: Bound) -> Option<Self> {
        if self.restarts >= bound.restarts {
            return None;
        }
        Some(self.with(|next| {
            next.restarts += 1;
            let agent = &mut next.agents[agent];
            if bound.mutant != Mutant::SameLife {
                agent.life += 1;
            }
            agent.attempts = Attempts::start(agent.life, RECORDS);
        }))
    }

    /// The agent has a free slot and runs the attempt, or is busy and refuses it.
    fn dispatched(&self, agent: usize, id: AttemptId, bound: Bound) -> Vec<Self> {
        let runs = self.with(|next| {
            let attempts = &mut next.agents[agent].attempts;
            match attempts.begin(id, 1, false, at(0)) {
                Ok(permit) => next.calls.push(permit.attempt()),
                Err(error) => next.reply(id, error.current_context().verdict),
            }
        });
        let busy = if bound.mutant == Mutant::BusyWithoutRecord {
            self.with(|next| next.reply(id, Verdict::NotRun))
        } else {
            self.refused(agent, id)
        };
        vec![runs, busy]
    }

    fn refused(&self, agent: usize, id: AttemptId) -> Self {
        self.with(|next| {
            let error = next.agents[agent].attempts.refuse(id, at(0));
            next.reply(id, error.current_context().verdict);
        })
    }

    fn reply(&mut self, id: AttemptId, verdict: Verdict) {
        self.net.insert(Msg::Reply(id, verdict == Verdict::NotRun));
    }

    fn replied(&self, id: AttemptId, not_run: bool, bound: Bound) -> Vec<Self> {
        let mut next = Vec::new();
        for (entry, state) in self.entries.iter().enumerate() {
            let Entry::Waiting(agent, waits) = *state else {
                continue;
            };
            if waits != id || !not_run {
                continue;
            }
            next.push(self.tell_not_run(entry, id, bound));
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
        // Each entry picks its own agent for the next attempt.
        let agent = (agent + entry) % 2;
        let id = AttemptId {
            request: REQUEST,
            attempt,
            incarnation: self.agents[agent].life,
        };
        self.with(|next| next.dispatch(entry, agent, id))
    }

    fn tell_not_run(&self, entry: usize, id: AttemptId, bound: Bound) -> Self {
        let closed = self.claims.close(id);
        self.with(|next| match closed {
            Err(current) if bound.mutant != Mutant::TellWithoutClose => {
                let agent = usize::from(&*current.agent == "1");
                next.entries[entry] = Entry::Waiting(agent, current.id);
            }
            _ => {
                let known = self
                    .claims
                    .close(id)
                    .err()
                    .map_or(id.attempt, |c| c.id.attempt);
                next.entries[entry] = Entry::Over;
                next.told_not_run = next.told_not_run.max(known);
            }
        })
    }
}
