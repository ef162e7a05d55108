//! Requests with an idempotency key: each runs once, and all its submissions get the same outcome.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use errors::{Error, ErrorKind, Result, Verdict};
use indexmap::IndexMap;
use model::{Epoch, RequestId};
use tokio::sync::watch;
use wire::{Answer, ClaimTicket, FindRequest, FoundRequest};

/// What every submission of a request is told; none while it runs.
pub(crate) type Outcome = std::result::Result<Answer, Error>;
/// Publishes the outcome to all submissions that wait.
pub(crate) type Publisher = watch::Sender<Option<Outcome>>;

/// Time by which a request is remembered for longer than its claim, above the delay of any message.
const RETENTION_MARGIN: Duration = Duration::from_mins(1);
/// Requests that are remembered, about 40 MB without the answers.
const MAX_REQUESTS: usize = 131_072;
/// Bytes of kept answers; the agent has 128 MB for everything.
const MAX_KEPT_BYTES: usize = 24 * 1024 * 1024;
/// The largest answer that is kept after the submissions that wait for it were answered.
const MAX_KEPT_ANSWER_BYTES: usize = 1024 * 1024;
/// When a caller whose request found the record full may try again.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(10);

/// The part of a submission in the request.
#[derive(Debug)]
pub(crate) enum Joined {
    /// The submission runs the request.
    Run(Publisher),
    /// The request runs or has run.
    Attach(watch::Receiver<Option<Outcome>>),
}

#[derive(Debug)]
struct KnownRequest {
    /// None for a request that an owner asked for before it arrived.
    content_digest: Option<u128>,
    /// Dispatches under older epochs are refused.
    epoch: Epoch,
    outcome: Option<watch::Receiver<Option<Outcome>>>,
    answer_bytes: usize,
    expires_at: Instant,
}

/// The requests with an idempotency key that this agent knows.
#[derive(Debug, Default)]
pub(crate) struct KeyedRequests {
    known: IndexMap<RequestId, KnownRequest>,
    expiry: BTreeSet<(Instant, RequestId)>,
    /// Requests with a kept answer, oldest first; the oldest answers are dropped at the limit.
    kept_answers: BTreeSet<(Instant, RequestId)>,
    kept_bytes: usize,
}

impl KeyedRequests {
    /// Takes in a submission.
    pub(crate) fn join(
        &mut self,
        request: RequestId,
        ticket: &ClaimTicket,
        now: Instant,
    ) -> Result<Joined> {
        self.remove_expired(now);
        let known = self.get_or_insert(request, ticket.epoch, ticket.keep, now)?;
        if known
            .content_digest
            .is_some_and(|content| content != ticket.content)
        {
            let message = "the idempotency key was used for another body, service or shape";
            return Err(Error::not_run(ErrorKind::Conflict, message).report());
        }
        if let Some(outcome) = &known.outcome {
            return Ok(Joined::Attach(outcome.clone()));
        }
        if ticket.epoch < known.epoch {
            let message = "a newer owner has asked for the request";
            return Err(Error::not_run(ErrorKind::StaleEpoch, message).report());
        }
        let (tx, rx) = watch::channel(None);
        known.content_digest = Some(ticket.content);
        known.outcome = Some(rx);
        Ok(Joined::Run(tx))
    }

    /// Says whether the request is known, and otherwise refuses it under older epochs.
    pub(crate) fn find(
        &mut self,
        find: &FindRequest,
        now: Instant,
    ) -> Result<Option<FoundRequest>> {
        self.remove_expired(now);
        let known = self.get_or_insert(find.request, find.epoch, find.keep, now)?;
        if known.outcome.is_some() {
            return Ok(known.content_digest.map(|content| FoundRequest { content }));
        }
        known.epoch = known.epoch.max(find.epoch);
        Ok(None)
    }

    /// Records the end of a request; one that did not run may run later under another attempt.
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
                let message = "the agent remembers too many requests with an idempotency key";
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

/// Replaces the answer by the statement that the request ran.
fn evict_answer(known: &mut KnownRequest) {
    let message = "the request ran to its end; its answer is no longer kept";
    let (_, rx) = watch::channel(Some(Err(Error::ran(ErrorKind::Conflict, message))));
    known.outcome = Some(rx);
    known.answer_bytes = 0;
}
