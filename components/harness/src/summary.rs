//! Counts of request outcomes, checked against the runs that endpoints recorded.

use std::fmt;

use indexmap::IndexMap;
use serde_json::Value;

use crate::audit::keyed_request_id;
use crate::caller::{Outcome, Submission};

/// A completed request with its outcome.
#[derive(Debug, Clone)]
pub struct CompletedRequest {
    /// The submitted request.
    pub submission: Submission,
    /// The outcome seen by the caller.
    pub outcome: Outcome,
}

/// Counts of outcomes, and the requests whose outcome contradicts the recorded runs.
#[derive(Debug, Clone, Default)]
pub struct OutcomeSummary {
    /// Requests with a complete response from the endpoint.
    pub answered: usize,
    /// Rejections with the verdict `not_run`.
    pub not_run: usize,
    /// Errors with the verdict `may_have_run`.
    pub may_have_run: usize,
    /// Errors with the verdict `ran`.
    pub ran: usize,
    /// Requests that were not sent because no connection to the entry could be established.
    pub not_connected: usize,
    /// Requests whose connection broke after it was established.
    pub broken: usize,
    /// Requests by kind of outcome.
    pub kinds: IndexMap<Box<str>, usize>,
    /// Requests that ran although their verdict is `not_run`.
    pub false_not_run: Vec<Box<str>>,
    /// Non-idempotent requests that ran more than once.
    pub duplicate_runs: Vec<Box<str>>,
    /// Answered requests without a recorded run, or whose response does not match the request.
    pub foreign: Vec<Box<str>>,
    /// Requests whose response has no known verdict.
    pub without_verdict: Vec<Box<str>>,
}

impl OutcomeSummary {
    /// Counts outcomes; `runs` is the number of runs of each request id at all endpoints.
    pub fn new(requests: &[CompletedRequest], runs: &IndexMap<Box<str>, u64>) -> Self {
        let mut summary = Self::default();
        for request in requests {
            summary.add(request, runs);
        }
        summary
    }

    fn add(&mut self, request: &CompletedRequest, runs: &IndexMap<Box<str>, u64>) {
        let (submission, outcome) = (&request.submission, &request.outcome);
        let id = request_id(request);
        let ran = runs.get(&id).copied().unwrap_or(0);
        *self.kinds.entry(outcome.kind.clone()).or_default() += 1;
        match (&*outcome.verdict, outcome.is_answered()) {
            (_, true) => self.answered += 1,
            ("not_run", _) => self.not_run += 1,
            ("may_have_run", _) => self.may_have_run += 1,
            ("ran", _) => self.ran += 1,
            _ if &*outcome.kind == "not_connected" => self.not_connected += 1,
            _ if outcome.status == 0 => self.broken += 1,
            _ => self.without_verdict.push(id.clone()),
        }
        if &*outcome.verdict == "not_run" && ran > 0 {
            self.false_not_run.push(id.clone());
        }
        if submission.idempotent == Some(false) && ran > 1 {
            self.duplicate_runs.push(id.clone());
        }
        if outcome.is_answered() && (ran == 0 || !matches_request(request, &id)) {
            self.foreign.push(id);
        }
    }

    /// Returns whether no outcome contradicts the recorded runs.
    pub fn is_consistent(&self) -> bool {
        let violations = [
            &self.false_not_run,
            &self.duplicate_runs,
            &self.foreign,
            &self.without_verdict,
        ];
        violations.into_iter().all(Vec::is_empty)
    }
}

impl fmt::Display for OutcomeSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "answered={} not_run={} may_have_run={} ran={} not_connected={} broken={} \
             duplicate_runs={} false_not_run={} foreign={} without_verdict={} kinds={:?}",
            self.answered,
            self.not_run,
            self.may_have_run,
            self.ran,
            self.not_connected,
            self.broken,
            self.duplicate_runs.len(),
            self.false_not_run.len(),
            self.foreign.len(),
            self.without_verdict.len(),
            self.kinds,
        )
    }
}

fn request_id(request: &CompletedRequest) -> Box<str> {
    match &request.submission.idempotency_key {
        Some(key) => keyed_request_id(&request.submission.account, key),
        None => request.outcome.request.clone(),
    }
}

/// Returns whether the response has status 200 and echoes the request id and the digest of the submitted body.
fn matches_request(request: &CompletedRequest, id: &str) -> bool {
    let response: Value = serde_json::from_slice(&request.outcome.body).unwrap_or_default();
    let digest = blake3::hash(request.submission.body.to_string().as_bytes());
    request.outcome.status == 200
        && response["request"] == id
        && response["digest"] == digest.to_hex().as_str()
}
