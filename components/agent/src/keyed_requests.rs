//! Requests with an idempotency key: each runs once, and all its submissions receive the same outcome.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use errors::{Error, ErrorKind, Result, Verdict};
use indexmap::IndexMap;
use model::{Epoch, RequestId};
use tokio::sync::watch;
use wire::{Answer, DispatchClaim, FindRequest, FoundRequest};

/// The outcome that every submission of a request receives.
pub(crate) type Outcome = std::result::Result<Answer, Error>;
/// Publishes the outcome to all waiting submissions; `None` while the request runs.
pub(crate) type Publisher = watch::Sender<Option<Outcome>>;

/// How much longer a request is remembered than its claim; exceeds the delay of any message.
const RETENTION_MARGIN: Duration = Duration::from_mins(1);
/// Maximum number of remembered requests, about 40 MB without their answers.
const MAX_REQUESTS: usize = 131_072;
/// Maximum size of all stored answers; the memory limit of the agent is 128 MB.
const MAX_KEPT_BYTES: usize = 24 * 1024 * 1024;
/// Maximum size of an answer that is stored after the waiting submissions have received it.
const MAX_KEPT_ANSWER_BYTES: usize = 1024 * 1024;
/// When a caller may retry after the record was full.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(10);

/// How a submission takes part in a request.
#[derive(Debug)]
pub(crate) enum Joined {
    /// The submission runs the request.
    Run(Publisher),
    /// The submission waits for a request that runs or has run.
    Attach(watch::Receiver<Option<Outcome>>),
}

#[derive(Debug)]
struct KnownRequest {
    /// `None` for a request that was looked up before it arrived.
    content_digest: Option<u128>,
    /// Dispatches under older epochs are refused.
    epoch: Epoch,
    /// `None` until a submission runs the request.
    outcome: Option<watch::Receiver<Option<Outcome>>>,
    answer_bytes: usize,
    expires_at: Instant,
}

/// The requests with an idempotency key that this agent knows.
#[derive(Debug, Default)]
pub(crate) struct KeyedRequests {
    known: IndexMap<RequestId, KnownRequest>,
    expiry: BTreeSet<(Instant, RequestId)>,
    /// Requests with a stored answer, oldest first; the oldest answers are evicted at the limit.
    kept_answers: BTreeSet<(Instant, RequestId)>,
    kept_bytes: usize,
}

impl KeyedRequests {
    /// Registers a submission and returns whether it runs the request or waits for its outcome.
    pub(crate) fn join(
        &mut self,
        request: RequestId,
        claim: &DispatchClaim,
        now: Instant,
    ) -> Result<Joined> {
        self.remove_expired(now);
        let known = self.get_or_insert(request, claim.epoch, claim.retention, now)?;
        if known
            .content_digest
            .is_some_and(|content| content != claim.content_digest)
        {
            let message = "the idempotency key was used for another body, service or shape";
            return Err(Error::not_run(ErrorKind::Conflict, message).report());
        }
        if let Some(outcome) = &known.outcome {
            return Ok(Joined::Attach(outcome.clone()));
        }
        if claim.epoch < known.epoch {
            let message = "a newer owner has already sent or looked up the request";
            return Err(Error::not_run(ErrorKind::StaleEpoch, message).report());
        }
        let (tx, rx) = watch::channel(None);
        known.content_digest = Some(claim.content_digest);
        known.outcome = Some(rx);
        Ok(Joined::Run(tx))
    }

    /// Returns the request if it is known; otherwise refuses dispatches of it under older epochs.
    pub(crate) fn find(
        &mut self,
        find: &FindRequest,
        now: Instant,
    ) -> Result<Option<FoundRequest>> {
        self.remove_expired(now);
        let known = self.get_or_insert(find.request, find.epoch, find.retention, now)?;
        if known.outcome.is_some() {
            return Ok(known.content_digest.map(|content| FoundRequest {
                content_digest: content,
            }));
        }
        known.epoch = known.epoch.max(find.epoch);
        Ok(None)
    }

    /// Records the outcome of a request; a request that did not run may still run as another attempt.
    pub(crate) fn complete(&mut self, request: RequestId, outcome: &Outcome, now: Instant) {
        let Some(known) = self.known.get_mut(&request) else {
            return;
        };
        match outcome {
            Err(error) if error.verdict == Verdict::NotRun => known.outcome = None,
            Ok(answer) if answer.body.len() <= MAX_KEPT_ANSWER_BYTES => {
                known.answer_bytes = answer.body.len();
                self.kept_bytes += known.answer_bytes;
                self.kept_answers.insert((now, request));
            }
            Ok(_) => evict_answer(known),
            Err(_) => {}
        }
        self.evict_oldest_answers();
    }

    fn get_or_insert(
        &mut self,
        request: RequestId,
        epoch: Epoch,
        keep: Duration,
        now: Instant,
    ) -> Result<&mut KnownRequest> {
        let full = self.known.len() >= MAX_REQUESTS;
        let expires_at = now + keep + RETENTION_MARGIN;
        let known = match self.known.entry(request) {
            indexmap::map::Entry::Vacant(_) if full => {
                let message = "the agent's record of requests with an idempotency key is full";
                let error = Error::not_run(ErrorKind::Overloaded, message);
                return Err(error.retry_after(FULL_RETRY_AFTER).report());
            }
            entry => entry.or_insert(KnownRequest {
                content_digest: None,
                epoch,
                outcome: None,
                answer_bytes: 0,
                expires_at,
            }),
        };
        self.expiry.remove(&(known.expires_at, request));
        known.expires_at = known.expires_at.max(expires_at);
        self.expiry.insert((known.expires_at, request));
        Ok(known)
    }

    fn evict_oldest_answers(&mut self) {
        while self.kept_bytes > MAX_KEPT_BYTES {
            let Some((_, request)) = self.kept_answers.pop_first() else {
                return;
            };
            if let Some(known) = self.known.get_mut(&request) {
                self.kept_bytes -= known.answer_bytes;
                evict_answer(known);
            }
        }
    }

    fn remove_expired(&mut self, now: Instant) {
        while let Some((expires_at, request)) = self.expiry.first().copied() {
            if expires_at > now {
                return;
            }
            self.expiry.pop_first();
            if let Some(known) = self.known.swap_remove(&request) {
                self.kept_bytes -= known.answer_bytes;
            }
        }
    }
}

/// Replaces the answer with an error that states that the request ran.
fn evict_answer(known: &mut KnownRequest) {
    let message = "the request completed, but its answer is no longer stored";
    let (_, rx) = watch::channel(Some(Err(Error::ran(ErrorKind::Conflict, message))));
    known.outcome = Some(rx);
    known.answer_bytes = 0;
}
