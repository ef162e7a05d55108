//! Counting the outcomes of requests and comparing them with what ran.

use std::fmt;

use indexmap::IndexMap;
use serde_json::Value;

use crate::audit::keyed_id;
use crate::caller::{Outcome, Submission};

/// A request with its outcome.
#[derive(Debug, Clone)]
pub struct Finished {
    /// What was asked.
    pub submission: Submission,
    /// How it ended.
    pub outcome: Outcome,
}

/// Counts of outcomes, and the requests whose outcome is not true.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    /// Requests with a whole answer.
    pub answered: usize,
    /// Refusals with the verdict "not run".
    pub not_run: usize,
    /// Errors with the verdict "may have run".
    pub may_have_run: usize,
    /// Errors with the verdict "ran".
    pub ran: usize,
    /// Requests that were not sent because their entry was gone.
    pub not_connected: usize,
    /// Broken connections.
    pub broken: usize,
    /// Errors by kind.
    pub kinds: IndexMap<Box<str>, usize>,
    /// Requests that were told "not run" and ran.
    pub false_not_run: Vec<Box<str>>,
    /// Non-idempotent requests that ran more than once.
    pub doubled: Vec<Box<str>>,
    /// Answers that are not the whole answer to their own request.
    pub foreign: Vec<Box<str>>,
    /// Responses without a verdict.
    pub unclear: Vec<Box<str>>,
}

impl Tally {
    /// Counts outcomes; `runs` is how often each request id started to run at any endpoint.
    pub fn new(finished: &[Finished], runs: &IndexMap<Box<str>, u64>) -> Self {
        let mut tally = Self::default();
        for one in finished {
            tally.add(one, runs);
        }
        tally
    }

    fn add(&mut self, one: &Finished, runs: &IndexMap<Box<str>, u64>) {
        let (submission, outcome) = (&one.submission, &one.outcome);
        let id = request_id(one);
        let ran = runs.get(&id).copied().unwrap_or(0);
        *self.kinds.entry(outcome.kind.clone()).or_default() += 1;
        match (&*outcome.verdict, outcome.is_answered()) {
            (_, true) => self.answered += 1,
            ("not_run", _) => self.not_run += 1,
            ("may_have_run", _) => self.may_have_run += 1,
            ("ran", _) => self.ran += 1,
            _ if &*outcome.kind == "not_connected" => self.not_connected += 1,
            _ if outcome.status == 0 => self.broken += 1,
            _ => self.unclear.push(id.clone()),
        }
        if &*outcome.verdict == "not_run" && ran > 0 {
            self.false_not_run.push(id.clone());
        }
        if submission.idempotent == Some(false) && ran > 1 {
            self.doubled.push(id.clone());
        }
        if outcome.is_answered() && (ran == 0 || !is_own_answer(one, &id)) {
            self.foreign.push(id);
        }
    }

    /// Returns whether every outcome is true.
    pub fn is_true(&self) -> bool {
        let lies = [
            &self.false_not_run,
            &self.doubled,
            &self.foreign,
            &self.unclear,
        ];
        lies.into_iter().all(Vec::is_empty)
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "answered={} not_run={} may_have_run={} ran={} not_connected={} broken={} doubled={} false_not_run={} foreign={} unclear={} \
             kinds={:?}",
            self.answered,
            self.not_run,
            self.may_have_run,
            self.ran,
            self.not_connected,
            self.broken,
            self.doubled.len(),
            self.false_not_run.len(),
            self.foreign.len(),
            self.unclear.len(),
            self.kinds,
        )
    }
}

fn request_id(one: &Finished) -> Box<str> {
    match &one.submission.idempotency_key {
        Some(key) => keyed_id(&one.submission.account, key),
        None => one.outcome.request.clone(),
    }
}

/// Returns whether the answer names the request and the digest of the body that was sent.
fn is_own_answer(one: &Finished, id: &str) -> bool {
    let answer: Value = serde_json::from_slice(&one.outcome.body).unwrap_or_default();
    let digest = blake3::hash(one.submission.body.to_string().as_bytes());
    one.outcome.status == 200
        && answer["request"] == id
        && answer["digest"] == digest.to_hex().as_str()
}
