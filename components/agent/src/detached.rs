//! The controller of detached attempts: they run even if the owner that sent them ends, and their outcomes are stored
//! until an owner reads them.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use errors::{Error, ErrorKind, Result};
use indexmap::IndexMap;
use jobs::{Outcome, Outcomes};
use membership::attempts::{ATTEMPT_RETENTION, AttemptId};
use model::{Attempt, RequestId};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use wire::{Answer, Attach, Dispatch, Reply};

use crate::context::Context;
use crate::dispatch::dispatch;
use crate::requests::RequestEvent;

/// Maximum size of the stored outcomes, a quarter of the agent's memory limit of 128 MB.
const MAX_OUTCOME_BYTES: usize = 32 * 1024 * 1024;
/// How long an outcome is stored; covers an outage of the store or of all entries.
const OUTCOME_RETENTION: Duration = Duration::from_hours(1);
/// Memory of a stored outcome without its body.
const OUTCOME_OVERHEAD_BYTES: usize = 512;
/// Interval between removals of expired outcomes.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(10);
/// Maximum wait of one `Attach` call; bounded so that an owner notices an unresponsive agent.
const MAX_ATTACH_WAIT: Duration = Duration::from_secs(10);

/// Maximum age at which an attempt that began is certain to be in the at-most-once record; the other half of the
/// retention time allows for clock differences.
const MAX_RECORDED_AGE: Duration = ATTEMPT_RETENTION.checked_div(2).unwrap();

type AttemptKey = (RequestId, Attempt);
type AttemptOutcome = std::result::Result<Answer, Error>;

/// An event for the controller of detached attempts.
#[derive(Debug)]
pub(crate) enum DetachedEvent {
    /// An owner dispatched an attempt.
    Start {
        dispatch: Dispatch,
        tx: oneshot::Sender<()>,
    },
    /// An attempt ended, or it never began and is refused from now on.
    Ended {
        key: AttemptKey,
        outcome: AttemptOutcome,
    },
    /// An owner waits for the outcome of an attempt.
    Attach {
        attach: Attach,
        tx: oneshot::Sender<AttemptOutcome>,
    },
    /// A request is cancelled.
    Cancel { request: RequestId },
}

#[derive(Default)]
struct RunningAttempt {
    cancel: CancellationToken,
    waiters: Vec<oneshot::Sender<AttemptOutcome>>,
}

struct State {
    cx: Arc<Context>,
    outcomes: Outcomes<AttemptOutcome>,
    running: IndexMap<AttemptKey, RunningAttempt>,
    /// Attempts whose stored outcome no owner has read.
    unread: Vec<AttemptKey>,
}

/// Runs the controller until all senders are dropped.
pub(crate) async fn run(mut rx: mpsc::UnboundedReceiver<DetachedEvent>, cx: Arc<Context>) {
    let mut ticks = cx.timer.subscribe_every(EXPIRY_INTERVAL);
    let mut state = State {
        cx,
        outcomes: Outcomes::new(MAX_OUTCOME_BYTES, OUTCOME_RETENTION),
        running: IndexMap::new(),
        unread: Vec::new(),
    };
    loop {
        tokio::select! {
            event = rx.recv() => match event {
                Some(event) => apply(&mut state, event, timer::now()),
                None => return,
            },
            _ = ticks.recv() => state.outcomes.expire(timer::now()),
        }
        let outcomes = &state.outcomes;
        let is_kept =
            |key: &AttemptKey| matches!(outcomes.get(key.0, key.1), Some(Outcome::Ended(_)));
        state.unread.retain(is_kept);
        state
            .cx
            .unread_outcomes
            .store(state.unread.len(), Ordering::Release);
    }
}

fn apply(state: &mut State, event: DetachedEvent, now: Instant) {
    match event {
        DetachedEvent::Start { dispatch, tx } => {
            start_attempt(state, dispatch);
            let _ = tx.send(());
        }
        DetachedEvent::Ended { key, outcome } => record_outcome(state, key, outcome, now),
        DetachedEvent::Attach { attach, tx } => reply_to_attach(state, &attach, tx),
        DetachedEvent::Cancel { request } => {
            let attempts = state.running.iter().filter(|(key, _)| key.0 == request);
            attempts.for_each(|(_, attempt)| attempt.cancel.cancel());
        }
    }
}

/// Runs an attempt unless it is known; a repeated dispatch shares the outcome of the first one.
fn start_attempt(state: &mut State, dispatched: Dispatch) {
    let key = (dispatched.request.id, dispatched.attempt);
    if !state.outcomes.start(key.0, key.1) {
        return;
    }
    let cancel = CancellationToken::new();
    let attempt = RunningAttempt {
        cancel: cancel.clone(),
        waiters: Vec::new(),
    };
    state.running.insert(key, attempt);
    let cx = Arc::clone(&state.cx);
    tokio::spawn(async move {
        let result = dispatch(&cx, dispatched, cancel).await;
        let outcome = result.map_err(|report| report.current_context().clone());
        let _ = cx.detached_tx.send(DetachedEvent::Ended { key, outcome });
    });
}

fn record_outcome(state: &mut State, key: AttemptKey, outcome: AttemptOutcome, now: Instant) {
    let waiters = state.running.swap_remove(&key);
    let waiters = waiters.map(|attempt| attempt.waiters).unwrap_or_default();
    let mut was_read = false;
    for tx in waiters {
        was_read |= tx.send(outcome.clone()).is_ok();
    }
    let bytes = outcome.as_ref().map_or(0, |answer| answer.body.len());
    let bytes = bytes + OUTCOME_OVERHEAD_BYTES;
    state.outcomes.end(key, outcome, bytes, now);
    if !was_read {
        state.unread.push(key);
    }
}

fn reply_to_attach(state: &mut State, attach: &Attach, tx: oneshot::Sender<AttemptOutcome>) {
    let key = (attach.request, attach.attempt);
    let outcome = match state.outcomes.get(key.0, key.1) {
        Some(Outcome::Ended(outcome)) => outcome.clone(),
        Some(Outcome::Dropped) => Err(outcome_dropped_error()),
        Some(Outcome::Running) => return add_waiter(state, key, tx),
        None => {
            refuse_unknown(state, attach);
            return add_waiter(state, key, tx);
        }
    };
    if tx.send(outcome).is_ok() {
        state.unread.retain(|unread| *unread != key);
    }
}

fn add_waiter(state: &mut State, key: AttemptKey, tx: oneshot::Sender<AttemptOutcome>) {
    if let Some(attempt) = state.running.get_mut(&key) {
        attempt.waiters.retain(|tx| !tx.is_closed());
        attempt.waiters.push(tx);
    }
}

/// Refuses later dispatches of an attempt that has not arrived, and looks up whether it ran before.
fn refuse_unknown(state: &mut State, attach: &Attach) {
    let key = (attach.request, attach.attempt);
    if !state.outcomes.start(key.0, key.1) {
        return;
    }
    state.running.insert(key, RunningAttempt::default());
    let cx = Arc::clone(&state.cx);
    let attach = attach.clone();
    tokio::spawn(async move {
        let outcome = Err(query_attempt_record(&cx, &attach).await);
        let _ = cx.detached_tx.send(DetachedEvent::Ended { key, outcome });
    });
}

/// Looks up an attempt in the at-most-once record, which contains only recent attempts of non-idempotent requests.
async fn query_attempt_record(cx: &Context, attach: &Attach) -> Error {
    if attach.idempotent || attach.age > MAX_RECORDED_AGE {
        let message = "the agent does not know the attempt";
        return Error::may_have_run(ErrorKind::NotFound, message);
    }
    let (tx, rx) = oneshot::channel();
    let id = AttemptId {
        request: attach.request,
        attempt: attach.attempt,
        incarnation: attach.incarnation,
    };
    let _ = cx.requests_tx.send(RequestEvent::Refuse { id, tx });
    match rx.await {
        Ok(report) => report.current_context().clone(),
        Err(_) => controller_stopped_error(),
    }
}

/// Accepts an attempt and replies as soon as it is registered, before it runs.
pub(crate) async fn start(cx: &Arc<Context>, dispatch: Dispatch) -> Result<Reply> {
    if dispatch.incarnation != cx.datagrams.incarnation() {
        return Err(agent_restarted_error().report());
    }
    let (tx, rx) = oneshot::channel();
    let _ = cx.detached_tx.send(DetachedEvent::Start { dispatch, tx });
    rx.await.map_err(|_| controller_stopped_error().report())?;
    Ok(Reply::Done)
}

/// Replies with the outcome of an attempt, or that it is still running when the wait ends.
pub(crate) async fn attach(cx: &Arc<Context>, attach: Attach) -> Result<Reply> {
    if attach.incarnation != cx.datagrams.incarnation() {
        return Ok(Reply::AttemptFailed(agent_restarted_error()));
    }
    let wait = attach.wait.min(MAX_ATTACH_WAIT);
    let (tx, rx) = oneshot::channel();
    let _ = cx.detached_tx.send(DetachedEvent::Attach { attach, tx });
    match timeout(wait, rx).await {
        Ok(Ok(Ok(answer))) => Ok(Reply::Answer(answer)),
        Ok(Ok(Err(error))) => Ok(Reply::AttemptFailed(error)),
        Ok(Err(_)) => Err(controller_stopped_error().report()),
        Err(_) => Ok(Reply::StillRunning),
    }
}

fn agent_restarted_error() -> Error {
    let message = "the agent restarted after the attempt was sent to it";
    Error::may_have_run(ErrorKind::Unavailable, message)
}

fn outcome_dropped_error() -> Error {
    let message = "the attempt ended, but its outcome is no longer stored";
    Error::may_have_run(ErrorKind::NotFound, message)
}

fn controller_stopped_error() -> Error {
    let message = "the controller of detached attempts stopped";
    Error::may_have_run(ErrorKind::Internal, message)
}
