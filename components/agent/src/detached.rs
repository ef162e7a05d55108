//! The controller of detached attempts: they run whatever becomes of the owner, and their outcomes wait for it.

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

/// Bytes of outcomes that are kept, a quarter of the agent's memory limit of 128 MB.
const MAX_OUTCOME_BYTES: usize = 32 * 1024 * 1024;
/// How long an outcome is kept; an outage of the store or of all entries may last as long.
const OUTCOME_RETENTION: Duration = Duration::from_hours(1);
/// What an outcome costs besides its body.
const OUTCOME_OVERHEAD_BYTES: usize = 512;
/// How often old outcomes are looked for.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(10);
/// The longest wait of one `Attach`, so that an owner notices a frozen agent.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// An attempt of at most this age is still in the at-most-once record if it began; the other half of the retention
/// covers clocks that differ.
const RECORDED_AGE: Duration = ATTEMPT_RETENTION.checked_div(2).unwrap();

type Key = (RequestId, Attempt);
type Ended = std::result::Result<Answer, Error>;

/// An event for the controller of detached attempts.
#[derive(Debug)]
pub(crate) enum DetachedEvent {
    /// An owner sends an attempt.
    Start {
        dispatch: Dispatch,
        tx: oneshot::Sender<()>,
    },
    /// An attempt ended, or never began and is refused from now on.
    Ended { key: Key, outcome: Ended },
    /// An owner asks for the outcome.
    Attach {
        attach: Attach,
        tx: oneshot::Sender<Ended>,
    },
    /// An owner stops a request.
    Cancel { request: RequestId },
}

#[derive(Default)]
struct Waiting {
    cancel: CancellationToken,
    readers: Vec<oneshot::Sender<Ended>>,
}

struct State {
    cx: Arc<Context>,
    outcomes: Outcomes<Ended>,
    running: IndexMap<Key, Waiting>,
    unread: Vec<Key>,
}

/// Runs the controller until its last sender is gone.
pub(crate) async fn run(mut rx: mpsc::UnboundedReceiver<DetachedEvent>, cx: Arc<Context>) {
    let mut ticks = cx.timer.subscribe_every(EXPIRE_INTERVAL);
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
        let is_kept = |key: &Key| matches!(outcomes.get(key.0, key.1), Some(Outcome::Ended(_)));
        state.unread.retain(is_kept);
        state.cx.unread.store(state.unread.len(), Ordering::Release);
    }
}

fn apply(state: &mut State, event: DetachedEvent, now: Instant) {
    match event {
        DetachedEvent::Start { dispatch, tx } => {
            start_once(state, dispatch);
            let _ = tx.send(());
        }
        DetachedEvent::Ended { key, outcome } => ended(state, key, outcome, now),
        DetachedEvent::Attach { attach, tx } => read(state, &attach, tx),
        DetachedEvent::Cancel { request } => {
            let of_request = state.running.iter().filter(|(key, _)| key.0 == request);
            of_request.for_each(|(_, waiting)| waiting.cancel.cancel());
        }
    }
}

/// Runs an attempt unless it is known; a repeated dispatch reads the outcome of the first one.
fn start_once(state: &mut State, dispatched: Dispatch) {
    let key = (dispatched.request.id, dispatched.attempt);
    if !state.outcomes.start(key.0, key.1) {
        return;
    }
    let cancel = CancellationToken::new();
    let waiting = Waiting {
        cancel: cancel.clone(),
        readers: Vec::new(),
    };
    state.running.insert(key, waiting);
    let cx = Arc::clone(&state.cx);
    tokio::spawn(async move {
        let result = dispatch(&cx, dispatched, cancel).await;
        let outcome = result.map_err(|report| report.current_context().clone());
        let _ = cx.detached.send(DetachedEvent::Ended { key, outcome });
    });
}

fn ended(state: &mut State, key: Key, outcome: Ended, now: Instant) {
    let readers = state.running.swap_remove(&key);
    let readers = readers.map(|waiting| waiting.readers).unwrap_or_default();
    let mut was_read = false;
    for tx in readers {
        was_read |= tx.send(outcome.clone()).is_ok();
    }
    let bytes = outcome.as_ref().map_or(0, |answer| answer.body.len());
    let bytes = bytes + OUTCOME_OVERHEAD_BYTES;
    state.outcomes.end(key, outcome, bytes, now);
    if !was_read {
        state.unread.push(key);
    }
}

fn read(state: &mut State, attach: &Attach, tx: oneshot::Sender<Ended>) {
    let key = (attach.request, attach.attempt);
    let outcome = match state.outcomes.get(key.0, key.1) {
        Some(Outcome::Ended(outcome)) => outcome.clone(),
        Some(Outcome::Dropped) => Err(dropped()),
        Some(Outcome::Running) => return wait_for_end(state, key, tx),
        None => {
            refuse_unknown(state, attach);
            return wait_for_end(state, key, tx);
        }
    };
    if tx.send(outcome).is_ok() {
        state.unread.retain(|unread| *unread != key);
    }
}

fn wait_for_end(state: &mut State, key: Key, tx: oneshot::Sender<Ended>) {
    if let Some(waiting) = state.running.get_mut(&key) {
        waiting.readers.retain(|tx| !tx.is_closed());
        waiting.readers.push(tx);
    }
}

/// Makes sure that an attempt which never arrived does not run later, and finds out what is known of it.
fn refuse_unknown(state: &mut State, attach: &Attach) {
    let key = (attach.request, attach.attempt);
    if !state.outcomes.start(key.0, key.1) {
        return;
    }
    state.running.insert(key, Waiting::default());
    let cx = Arc::clone(&state.cx);
    let attach = attach.clone();
    tokio::spawn(async move {
        let outcome = Err(refusal(&cx, &attach).await);
        let _ = cx.detached.send(DetachedEvent::Ended { key, outcome });
    });
}

/// Asks the at-most-once record, which holds only recent requests that are not idempotent.
async fn refusal(cx: &Context, attach: &Attach) -> Error {
    if attach.idempotent || attach.age > RECORDED_AGE {
        let message = "the agent does not know the attempt";
        return Error::may_have_run(ErrorKind::NotFound, message);
    }
    let (tx, rx) = oneshot::channel();
    let id = AttemptId {
        request: attach.request,
        attempt: attach.attempt,
        incarnation: attach.incarnation,
    };
    let _ = cx.requests.send(RequestEvent::Refuse { id, tx });
    match rx.await {
        Ok(report) => report.current_context().clone(),
        Err(_) => ended_controller(),
    }
}

/// Takes an attempt over and replies as soon as it is known here.
pub(crate) async fn start(cx: &Arc<Context>, dispatch: Dispatch) -> Result<Reply> {
    if dispatch.incarnation != cx.datagrams.incarnation() {
        return Err(restarted().report());
    }
    let (tx, rx) = oneshot::channel();
    let _ = cx.detached.send(DetachedEvent::Start { dispatch, tx });
    rx.await.map_err(|_| ended_controller().report())?;
    Ok(Reply::Done)
}

/// Replies with the outcome of an attempt, or that it still runs.
pub(crate) async fn attach(cx: &Arc<Context>, attach: Attach) -> Result<Reply> {
    if attach.incarnation != cx.datagrams.incarnation() {
        return Ok(Reply::AttemptFailed(restarted()));
    }
    let wait = attach.wait.min(MAX_WAIT);
    let (tx, rx) = oneshot::channel();
    let _ = cx.detached.send(DetachedEvent::Attach { attach, tx });
    match timeout(wait, rx).await {
        Ok(Ok(Ok(answer))) => Ok(Reply::Answer(answer)),
        Ok(Ok(Err(error))) => Ok(Reply::AttemptFailed(error)),
        Ok(Err(_)) => Err(ended_controller().report()),
        Err(_) => Ok(Reply::StillRunning),
    }
}

fn restarted() -> Error {
    let message = "the agent restarted after the attempt was sent to it";
    Error::may_have_run(ErrorKind::Unavailable, message)
}

fn dropped() -> Error {
    let message = "the attempt ended and the agent no longer keeps its outcome";
    Error::may_have_run(ErrorKind::NotFound, message)
}

fn ended_controller() -> Error {
    let message = "the controller of detached attempts ended";
    Error::may_have_run(ErrorKind::Internal, message)
}
