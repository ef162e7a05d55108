//! One attempt of a job: dispatches it to its agent, waits for its outcome and cancels it.

use std::time::{Duration, Instant, SystemTime};

use bytes::Bytes;
use errors::{Error, ErrorKind, Result};
use jobs::Run;
use model::{JobId, Request};
use wire::{Answer, Attach, Call, Dispatch, Reply};

use crate::context::Context;
use crate::jobs::OwnedContext;
use crate::jobs::target::cancel_placement;

/// Timeout for the dispatch of an attempt; allows for a body of 900 KB over a link of 30 Mbit/s.
const DISPATCH_TIMEOUT: Duration = Duration::from_secs(5);
/// How long one `Attach` call waits for the outcome; each call costs one message per running job.
const ATTACH_WAIT: Duration = Duration::from_secs(10);
/// Like `ATTACH_WAIT`, while the attempt is being cancelled; the cancellation is repeated after each wait.
const CANCEL_WAIT: Duration = Duration::from_millis(500);
/// Additional time for the reply to arrive after the wait.
const REPLY_GRACE: Duration = Duration::from_secs(2);
/// Time without a reply after which an idempotent job runs again and a cancelled one ends; several times the 3 s after which an
/// agent leaves the directory.
const AGENT_LOSS_TIMEOUT: Duration = Duration::from_secs(10);
const RETRY_DELAY: Duration = Duration::from_millis(300);
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// Dispatches an attempt to its agent, which runs it even if this process ends.
pub(crate) async fn dispatch(cx: &Context, request: Request, run: &Run, body: Bytes) -> Result<()> {
    let call = Call::Dispatch(Dispatch {
        request,
        attempt: run.attempt,
        incarnation: run.incarnation,
        gang: run.gang,
        compress: false,
        claim: None,
        body,
        detached: true,
    });
    cx.peers
        .call(run.agent_addr, &call, DISPATCH_TIMEOUT)
        .await
        .map(drop)
}

/// Waits for the outcome of an attempt until `deadline`, or until the outcome is lost.
///
/// An agent that does not reply may have the outcome later. It is waited for unless its process has ended or nothing is gained:
/// after `AGENT_LOSS_TIMEOUT` an idempotent job may run again, and a cancelled one ends with the same verdict anyway.
pub(crate) async fn wait_for_outcome(
    cx: &OwnedContext,
    id: JobId,
    run: &Run,
    idempotent: bool,
    deadline: Instant,
) -> std::result::Result<Answer, Error> {
    let mut last_reply = timer::now();
    loop {
        let cancelling = is_cancelling(cx, id);
        if cancelling {
            cancel_attempt(cx, id, run).await;
        }
        let reply = tokio::select! {
            reply = attach(cx, id, run, idempotent, cancelling) => reply,
            () = wait_for_cancel(cx, id), if !cancelling => continue,
        };
        match reply {
            Ok(Reply::Answer(answer)) => return verify_answer(id, run, answer),
            Ok(Reply::AttemptFailed(error)) => return Err(error),
            Ok(_) => last_reply = timer::now(),
            Err(_) => {
                let may_give_up = idempotent || cancelling || timer::now() >= deadline;
                if is_silent(last_reply) && (may_give_up || has_agent_ended(cx, run).await) {
                    return Err(agent_lost(run));
                }
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
    let wait = if cancelling { CANCEL_WAIT } else { ATTACH_WAIT };
    let age = SystemTime::now().duration_since(run.recorded_at);
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

fn is_cancelling(cx: &OwnedContext, id: JobId) -> bool {
    cx.jobs_satisfy(|jobs| jobs.live.get(&id).is_some_and(|live| live.cancelling))
}

async fn wait_for_cancel(cx: &OwnedContext, id: JobId) {
    let mut changes = cx.ownership.jobs.changes();
    while !is_cancelling(cx, id) {
        if changes.changed().await.is_err() {
            return;
        }
    }
}

/// Waits until another writer has recorded an outcome of the job, such as a cancellation while it was queued.
pub(crate) async fn wait_for_end(cx: &OwnedContext, id: JobId) {
    let mut changes = cx.ownership.jobs.changes();
    while cx.jobs_satisfy(|jobs| jobs.live.contains_key(&id)) {
        if changes.changed().await.is_err() {
            return;
        }
    }
}

async fn cancel_attempt(cx: &Context, id: JobId, run: &Run) {
    if run.gang.is_some() {
        cancel_placement(cx, id);
    }
    // A failed call is ignored, because the caller repeats it until the attempt ends.
    let _ = cx
        .peers
        .call(run.agent_addr, &Call::CancelRequest(id), CANCEL_TIMEOUT)
        .await;
}

/// Checks that the answer is complete and belongs to this attempt.
fn verify_answer(id: JobId, run: &Run, answer: Answer) -> std::result::Result<Answer, Error> {
    let is_intact = answer.length == answer.body.len() as u64
        && *blake3::hash(&answer.body).as_bytes() == answer.digest;
    if (answer.request, answer.attempt) == (id, run.attempt) && is_intact {
        return Ok(answer);
    }
    let message = "the answer of the agent is incomplete, corrupt or belongs to another attempt";
    Err(Error::ran(ErrorKind::Corrupt, message))
}

fn is_silent(last_reply: Instant) -> bool {
    timer::now().saturating_duration_since(last_reply) >= AGENT_LOSS_TIMEOUT
}

/// Returns whether the process that runs an attempt has ended: its host refuses connections, or a later process of the agent has
/// announced itself.
async fn has_agent_ended(cx: &Context, run: &Run) -> bool {
    let agent = cx.board.membership.load().agents.get(&run.agent).cloned();
    agent.is_some_and(|agent| agent.incarnation != run.incarnation)
        || cx.peers.is_refused(run.agent_addr).await
}

fn agent_lost(run: &Run) -> Error {
    let message = format!(
        "agent {} does not reply; the outcome of its attempt is unknown",
        run.agent
    );
    Error::may_have_run(ErrorKind::Unavailable, message)
}
