//! One attempt at its agent: dispatch, the wait for its outcome, cancellation.

use std::time::{Duration, Instant, SystemTime};

use bytes::Bytes;
use errors::{Error, ErrorKind, Result};
use jobs::Run;
use model::{JobId, Request};
use wire::{Answer, Attach, Call, Dispatch, Reply};

use crate::context::Context;
use crate::jobs::target::give_back;

/// Time for an agent to take an attempt over, with a body of 900 KB over a link of 30 Mbit/s.
const DISPATCH_TIMEOUT: Duration = Duration::from_secs(5);
/// How long one question for the outcome waits; each wait costs one message per running job.
const ATTACH_WAIT: Duration = Duration::from_secs(10);
/// The same while the attempt is being stopped; each wait repeats the cancellation.
const STOP_WAIT: Duration = Duration::from_millis(500);
/// Time for the reply to arrive after the wait.
const REPLY_GRACE: Duration = Duration::from_secs(2);
/// Silence after which an agent counts as gone, several times the 3 s after which it leaves the directory.
const GONE_LIMIT: Duration = Duration::from_secs(10);
const RETRY_DELAY: Duration = Duration::from_millis(300);
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// Hands an attempt to its agent, which runs it whatever becomes of this process.
pub(crate) async fn dispatch(cx: &Context, request: Request, run: &Run, body: Bytes) -> Result<()> {
    let call = Call::Dispatch(Dispatch {
        request,
        attempt: run.attempt,
        incarnation: run.incarnation,
        gang: run.gang,
        pack: false,
        claim: None,
        body,
        detached: true,
    });
    cx.peers
        .call(run.agent_addr, &call, DISPATCH_TIMEOUT)
        .await
        .map(drop)
}

/// Waits for the outcome of an attempt; an agent that stays silent is gone with it.
pub(crate) async fn follow(
    cx: &Context,
    id: JobId,
    run: &Run,
    idempotent: bool,
) -> std::result::Result<Answer, Error> {
    let mut heard = timer::now();
    loop {
        let cancelling = is_cancelling(cx, id);
        if cancelling {
            stop(cx, id, run).await;
        }
        let reply = tokio::select! {
            reply = attach(cx, id, run, idempotent, cancelling) => reply,
            () = wait_for_cancel(cx, id), if !cancelling => continue,
        };
        match reply {
            Ok(Reply::Answer(answer)) => return check(id, run, answer),
            Ok(Reply::AttemptFailed(error)) => return Err(error),
            Ok(_) => heard = timer::now(),
            Err(_) if is_gone(heard) => return Err(gone(run)),
            Err(_) => {
                cx.timer.subscribe_after(RETRY_DELAY).recv().await;
            }
        }
    }
}

async fn attach(
    cx: &Context,
    id: JobId,
    run: &Run,
    idempotent: bool,
    cancelling: bool,
) -> Result<Reply> {
    let wait = if cancelling { STOP_WAIT } else { ATTACH_WAIT };
    let age = SystemTime::now().duration_since(run.since);
    let call = Call::Attach(Attach {
        request: id,
        attempt: run.attempt,
        incarnation: run.incarnation,
        idempotent,
        age: age.unwrap_or_default(),
        wait,
    });
    cx.peers
        .call(run.agent_addr, &call, wait + REPLY_GRACE)
        .await
}

fn is_cancelling(cx: &Context, id: JobId) -> bool {
    let jobs = cx.jobs.load();
    jobs.live.get(&id).is_some_and(|live| live.cancelling)
}

async fn wait_for_cancel(cx: &Context, id: JobId) {
    let mut changes = cx.jobs.changes();
    while !is_cancelling(cx, id) {
        if changes.changed().await.is_err() {
            return;
        }
    }
}

/// Waits until the job has an outcome that somebody else recorded, such as a cancellation in the queue.
pub(crate) async fn wait_for_end(cx: &Context, id: JobId) {
    let mut changes = cx.jobs.changes();
    while cx.jobs.load().live.contains_key(&id) {
        if changes.changed().await.is_err() {
            return;
        }
    }
}

async fn stop(cx: &Context, id: JobId, run: &Run) {
    if run.gang.is_some() {
        give_back(cx, id);
    }
    // It is repeated until the attempt ends.
    let _ = cx
        .peers
        .call(run.agent_addr, &Call::CancelRequest(id), CANCEL_TIMEOUT)
        .await;
}

/// Checks that the answer is whole and belongs to this attempt.
fn check(id: JobId, run: &Run, answer: Answer) -> std::result::Result<Answer, Error> {
    let whole = answer.length == answer.body.len() as u64
        && *blake3::hash(&answer.body).as_bytes() == answer.digest;
    if (answer.request, answer.attempt) == (id, run.attempt) && whole {
        return Ok(answer);
    }
    let message = "the answer of the agent failed its check";
    Err(Error::ran(ErrorKind::Corrupt, message))
}

fn is_gone(heard: Instant) -> bool {
    timer::now().saturating_duration_since(heard) >= GONE_LIMIT
}

fn gone(run: &Run) -> Error {
    let message = format!("agent {} is gone and its outcome with it", run.agent);
    Error::may_have_run(ErrorKind::Unavailable, message)
}
