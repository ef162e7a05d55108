//! The request controller: the at-most-once record and the cancellation of requests at this agent.

use std::time::Instant;

use error_stack::Report;
use errors::{Error, Result};
use indexmap::IndexMap;
use membership::attempts::{AttemptId, Attempts, Permit};
use model::{Epoch, RequestId};
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;
use wire::{DispatchClaim, FindRequest, FoundRequest, RecordedAttempt};

use crate::keyed_requests::{Joined, KeyedRequests, Outcome, Publisher};

/// Maximum number of attempts in the record, about 20 MB.
const MAX_RECORDED_ATTEMPTS: usize = 262_144;

/// An event for the request controller.
#[derive(Debug)]
pub(crate) enum RequestEvent {
    /// A request is about to start and can be cancelled with the token.
    Register {
        request: RequestId,
        cancel: CancellationToken,
    },
    /// A request has ended.
    Unregister { request: RequestId },
    /// A request is cancelled.
    Cancel { request: RequestId },
    /// A non-idempotent request needs a permit to call the endpoint.
    Begin {
        id: AttemptId,
        epoch: Epoch,
        tx: oneshot::Sender<Result<Permit>>,
    },
    /// The call of the endpoint ended.
    Finish { permit: Permit },
    /// The endpoint did not receive the request.
    Abandon { permit: Permit },
    /// A dispatch is refused; late duplicates of it must be refused too.
    Refuse {
        id: AttemptId,
        tx: oneshot::Sender<Report<Error>>,
    },
    /// A submission of a request with an idempotency key arrived.
    Join {
        request: RequestId,
        claim: DispatchClaim,
        tx: oneshot::Sender<Result<Joined>>,
    },
    /// A request with an idempotency key ended.
    Complete {
        request: RequestId,
        outcome: Box<Outcome>,
        publisher: Publisher,
    },
    /// An entry looks up a request that was sent here under an earlier owner.
    Find {
        find: FindRequest,
        tx: oneshot::Sender<Result<Option<FoundRequest>>>,
    },
    /// Lists the attempts that began, for the announcement.
    ListRecorded {
        tx: oneshot::Sender<Vec<RecordedAttempt>>,
    },
}

/// Runs the controller until all senders are dropped.
pub(crate) async fn run(mut rx: mpsc::UnboundedReceiver<RequestEvent>, incarnation: u64) {
    let mut attempts = Attempts::start(incarnation, MAX_RECORDED_ATTEMPTS);
    let mut cancel_tokens: IndexMap<RequestId, CancellationToken> = IndexMap::new();
    let mut keyed = KeyedRequests::default();
    while let Some(event) = rx.recv().await {
        if let Some(event) = apply_keyed(event, &mut keyed, timer::now()) {
            apply(event, &mut attempts, &mut cancel_tokens, timer::now());
        }
    }
}

/// Applies the event if it concerns a request with an idempotency key; otherwise returns it.
fn apply_keyed(
    event: RequestEvent,
    keyed: &mut KeyedRequests,
    now: Instant,
) -> Option<RequestEvent> {
    match event {
        RequestEvent::Join { request, claim, tx } => {
            let _ = tx.send(keyed.join(request, &claim, now));
        }
        RequestEvent::Complete {
            request,
            outcome,
            publisher,
        } => {
            keyed.complete(request, &outcome, now);
            publisher.send_replace(Some(*outcome));
        }
        RequestEvent::Find { find, tx } => {
            let _ = tx.send(keyed.find(&find, now));
        }
        other => return Some(other),
    }
    None
}

fn apply(
    event: RequestEvent,
    attempts: &mut Attempts,
    cancel_tokens: &mut IndexMap<RequestId, CancellationToken>,
    now: Instant,
) {
    match event {
        RequestEvent::Register { request, cancel } => {
            cancel_tokens.insert(request, cancel);
        }
        RequestEvent::Unregister { request } => {
            cancel_tokens.swap_remove(&request);
        }
        RequestEvent::Cancel { request } => {
            if let Some(cancel) = cancel_tokens.get(&request) {
                cancel.cancel();
            }
        }
        RequestEvent::Begin { id, epoch, tx } => {
            // If the dispatch was dropped in the meantime, the endpoint was not called, but the record stays.
            let _ = tx.send(attempts.begin(id, epoch, false, now));
        }
        RequestEvent::Finish { permit } => attempts.finish(permit, now),
        RequestEvent::Abandon { permit } => attempts.abandon(permit, now),
        RequestEvent::Refuse { id, tx } => {
            let _ = tx.send(attempts.refuse(id, now));
        }
        RequestEvent::ListRecorded { tx } => {
            let recorded = attempts.recorded();
            let recorded = recorded.map(|(request, attempt)| RecordedAttempt { request, attempt });
            let _ = tx.send(recorded.collect());
        }
        RequestEvent::Join { .. } | RequestEvent::Complete { .. } | RequestEvent::Find { .. } => {}
    }
}
