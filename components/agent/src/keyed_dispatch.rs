//! Dispatches requests with an idempotency key.

use std::sync::Arc;

use errors::{Error, ErrorKind, Result};
use telemetry::Span;
use tokio::sync::{oneshot, watch};
use tokio_util::sync::CancellationToken;
use wire::{Answer, Dispatch, DispatchClaim, FindRequest, FoundRequest};

use crate::context::Context;
use crate::dispatch::dispatch;
use crate::keyed_requests::{Joined, Outcome, Publisher};
use crate::requests::RequestEvent;

/// Runs a request once and returns the same outcome to all its submissions.
///
/// The request continues when a caller disconnects, because the caller may submit it again with the same key.
pub(crate) async fn dispatch_keyed(
    cx: &Arc<Context>,
    dispatch: Dispatch,
    claim: DispatchClaim,
) -> Result<Answer> {
    let (tx, rx) = oneshot::channel();
    let request = dispatch.request.id;
    let _ = cx
        .requests_tx
        .send(RequestEvent::Join { request, claim, tx });
    let joined = rx
        .await
        .unwrap_or_else(|_| Err(controller_stopped_error()))?;
    let outcome = match joined {
        Joined::Attach(outcome) => outcome,
        Joined::Run(publisher) => {
            let outcome = publisher.subscribe();
            let span = Span::child("agent_run");
            let running = span.run(run_request(Arc::clone(cx), dispatch, publisher));
            tokio::spawn(running);
            outcome
        }
    };
    wait_for_outcome(outcome).await
}

async fn run_request(cx: Arc<Context>, dispatched: Dispatch, publisher: Publisher) {
    let request = dispatched.request.id;
    let result = dispatch(&cx, dispatched, CancellationToken::new()).await;
    let outcome = result.map_err(|report| report.current_context().clone());
    let _ = cx.requests_tx.send(RequestEvent::Complete {
        request,
        outcome: Box::new(outcome),
        publisher,
    });
}

async fn wait_for_outcome(mut outcome: watch::Receiver<Option<Outcome>>) -> Result<Answer> {
    match outcome.wait_for(Option::is_some).await.as_deref() {
        Ok(Some(Ok(answer))) => Ok(answer.clone()),
        Ok(Some(Err(error))) => Err(error.clone().report()),
        Ok(None) | Err(_) => Err(controller_stopped_error()),
    }
}

/// Looks up a request that was sent here under an earlier owner.
pub(crate) async fn find_request(cx: &Context, find: FindRequest) -> Result<Option<FoundRequest>> {
    let (tx, rx) = oneshot::channel();
    let _ = cx.requests_tx.send(RequestEvent::Find { find, tx });
    rx.await.unwrap_or_else(|_| Err(controller_stopped_error()))
}

fn controller_stopped_error() -> error_stack::Report<Error> {
    let message = "the request controller stopped";
    Error::may_have_run(ErrorKind::Internal, message).report()
}
