//! Runs requests at the endpoint.

use std::sync::Arc;
use std::time::Duration;

use errors::{Error, ErrorKind, Result, Verdict};
use membership::attempts::{AttemptId, Permit};
use model::WorkerId;
use telemetry::Span;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;
use wire::{Answer, Dispatch};

use crate::cancellation::CancelRegistration;
use crate::context::Context;
use crate::endpoint::EndpointClient;
use crate::gangs::{ClaimedGang, GangEvent};
use crate::requests::RequestEvent;
use crate::slots::Slot;

/// Runs a request and returns the whole answer.
///
/// A non-idempotent request that did not run is recorded as refused, so that a late duplicate of it is refused too.
/// `cancel` applies only to a request without a gang, while it waits for a slot or runs.
pub(crate) async fn dispatch(
    cx: &Arc<Context>,
    dispatch: Dispatch,
    cancel: CancellationToken,
) -> Result<Answer> {
    let result = match dispatch.gang {
        Some(_) => dispatch_gang(cx, &dispatch).await,
        None => dispatch_without_gang(cx, &dispatch, cancel).await,
    };
    cx.metrics.count_dispatch(&result);
    match result {
        Err(report) if did_not_run(&report) && !dispatch.request.idempotent => {
            Err(record_refusal(cx, &dispatch, report).await)
        }
        result => result,
    }
}

fn did_not_run(report: &error_stack::Report<Error>) -> bool {
    report.current_context().verdict == Verdict::NotRun
}

/// Records the refusal. If the attempt did begin, the error from the record replaces the original one.
async fn record_refusal(
    cx: &Context,
    dispatch: &Dispatch,
    report: error_stack::Report<Error>,
) -> error_stack::Report<Error> {
    let (tx, rx) = oneshot::channel();
    let _ = cx.requests_tx.send(RequestEvent::Refuse {
        id: attempt_id(dispatch),
        tx,
    });
    match rx.await {
        Ok(recorded) if recorded.current_context().verdict == Verdict::NotRun => report,
        Ok(recorded) => recorded,
        Err(_) => internal_error("the request controller stopped"),
    }
}

async fn dispatch_without_gang(
    cx: &Arc<Context>,
    dispatch: &Dispatch,
    cancel: CancellationToken,
) -> Result<Answer> {
    let _registration = CancelRegistration::new(cx, dispatch.request.id, &cancel);
    let slot = tokio::select! {
        biased;
        () = cancel.cancelled() => {
            let message = "the request was cancelled while it was queued for the endpoint";
            return Err(Error::not_run(ErrorKind::Cancelled, message).report());
        }
        slot = acquire_slot(cx, dispatch.request.timeout) => slot?,
    };
    run_recorded(cx, dispatch, &[], slot, cancel).await
}

async fn acquire_slot(cx: &Context, timeout: Duration) -> Result<Slot> {
    if cx.is_draining() {
        return Err(Error::not_run(ErrorKind::Draining, "the endpoint is shutting down").report());
    }
    tokio::select! {
        // An aborted request frees its slot, and a queued request must not start in it.
        biased;
        () = cx.abort.cancelled() => {
            let message = "the agent shut down before the endpoint was called";
            Err(Error::not_run(ErrorKind::Draining, message).report())
        }
        slot = cx.slots.acquire(timeout) => slot,
    }
}

async fn dispatch_gang(cx: &Arc<Context>, dispatch: &Dispatch) -> Result<Answer> {
    let gang = dispatch.gang.unwrap_or_default();
    let (tx, rx) = oneshot::channel();
    let _ = cx.gangs_tx.send(GangEvent::Claim { gang, tx });
    let claimed = rx
        .await
        .unwrap_or_else(|_| Err(internal_error("the gang controller stopped")))?;
    let ClaimedGang {
        slot,
        stopped,
        workers,
    } = claimed;
    let gang_guard = GangGuard {
        cx,
        gang,
        error: Some(cancelled_error()),
    };
    // A stopped gang cancels its request, but a cancelled request does not cancel the token of its gang.
    let cancel = stopped.child_token();
    let _registration = CancelRegistration::new(cx, dispatch.request.id, &cancel);
    let result = run_recorded(cx, dispatch, &workers, slot, cancel).await;
    let result = result.map_err(|report| {
        let is_cancelled = report.current_context().kind == ErrorKind::Cancelled;
        if is_cancelled && stopped.is_cancelled() {
            gang_stopped_error().report()
        } else {
            report
        }
    });
    gang_guard.finish(
        result
            .as_ref()
            .err()
            .map(|report| report.current_context().clone()),
    );
    result
}

/// Ends the gang of a request when dropped, even if the dispatch is dropped before it completes.
struct GangGuard<'a> {
    cx: &'a Context,
    gang: model::GangId,
    error: Option<Error>,
}

impl GangGuard<'_> {
    fn finish(mut self, error: Option<Error>) {
        self.error = error;
    }
}

impl Drop for GangGuard<'_> {
    fn drop(&mut self) {
        let error = self.error.take();
        let _ = self.cx.gangs_tx.send(GangEvent::RequestEnded {
            gang: self.gang,
            error,
        });
    }
}

async fn run_recorded(
    cx: &Context,
    dispatch: &Dispatch,
    workers: &[WorkerId],
    slot: Slot,
    cancel: CancellationToken,
) -> Result<Answer> {
    let endpoint = cx.endpoint.as_ref().ok_or_else(no_endpoint_error)?;
    let permit = if dispatch.request.idempotent {
        None
    } else {
        Some(begin_attempt(cx, dispatch).await?)
    };
    let result = call_endpoint(cx, endpoint, dispatch, workers, &cancel).await;
    drop(slot);
    if let Some(permit) = permit {
        let not_run = result.as_ref().is_err_and(did_not_run);
        let event = if not_run {
            RequestEvent::Abandon { permit }
        } else {
            RequestEvent::Finish { permit }
        };
        let _ = cx.requests_tx.send(event);
    }
    result
}

async fn call_endpoint(
    cx: &Context,
    endpoint: &EndpointClient,
    dispatch: &Dispatch,
    workers: &[WorkerId],
    cancel: &CancellationToken,
) -> Result<Answer> {
    let call = endpoint.call(dispatch, workers, dispatch.request.timeout);
    let call = Span::child("endpoint_call").run(call);
    tokio::select! {
        result = call => result,
        () = cancel.cancelled() => Err(cancelled_error().report()),
        () = cx.abort.cancelled() => {
            let message = "the agent shut down while the endpoint handled the request";
            Err(Error::may_have_run(ErrorKind::Draining, message).report())
        }
    }
}

/// Returns the error of a request whose gang stopped; unlike a cancelled request it may be retried if it is idempotent.
fn gang_stopped_error() -> Error {
    Error::may_have_run(
        ErrorKind::Stopped,
        "the gang stopped while the endpoint handled the request",
    )
}

fn cancelled_error() -> Error {
    Error::may_have_run(
        ErrorKind::Cancelled,
        "the request was cancelled while the endpoint handled it",
    )
}

async fn begin_attempt(cx: &Context, dispatch: &Dispatch) -> Result<Permit> {
    let (tx, rx) = oneshot::channel();
    let epoch = cx
        .board
        .owner
        .load()
        .as_ref()
        .as_ref()
        .map_or(0, |owner| owner.epoch);
    let _ = cx.requests_tx.send(RequestEvent::Begin {
        id: attempt_id(dispatch),
        epoch,
        tx,
    });
    rx.await
        .unwrap_or_else(|_| Err(internal_error("the request controller stopped")))
}

fn attempt_id(dispatch: &Dispatch) -> AttemptId {
    AttemptId {
        request: dispatch.request.id,
        attempt: dispatch.attempt,
        incarnation: dispatch.incarnation,
    }
}

fn no_endpoint_error() -> error_stack::Report<Error> {
    Error::not_run(ErrorKind::NotFound, "the agent has no endpoint").report()
}

fn internal_error(message: &str) -> error_stack::Report<Error> {
    Error::may_have_run(ErrorKind::Internal, message).report()
}
