//! The runner of one job: it moves the record from state to state until the job has its one outcome.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use bytes::Bytes;
use errors::{Error, ErrorKind, Verdict};
use jobs::{
    Accepted, Answered, Job, MAX_ANSWER_BYTES, MAX_ATTEMPTS, Next, Run, Stored, chunk_count,
    chunks, result_key,
};
use model::{JobId, Request, Revision};
use wire::Answer;

use crate::context::Context;
use crate::jobs::follow::{dispatch, follow, wait_for_end};
use crate::jobs::persist::{put_chunk, read, replace};
use crate::jobs::section::Seen;
use crate::jobs::target::{Target, choose, give_back};

/// A larger body is read again when it is needed, so that waiting jobs use little memory.
const KEPT_BODY_BYTES: usize = 64 * 1024;

/// The delay before the second attempt. All delays together outlast the 3 s after which a dead agent leaves the directory.
const FIRST_RETRY_DELAY: Duration = Duration::from_secs(1);

/// A record with its revision; none after somebody else changed it.
type Current = Option<(Stored, Revision)>;

/// Runs a job until its record has an outcome, and returns that.
pub(crate) async fn run_job(cx: Arc<Context>, id: JobId) -> Seen {
    let mut current = None;
    // Dropped when the attempt ends, which frees its place in the counts of its endpoint.
    let mut target = None;
    loop {
        let found = match current.take() {
            Some(found) => Some(found),
            None => read(&cx, id).await,
        };
        let Some((stored, revision)) = found else {
            return Seen::Gone(id);
        };
        current = match stored {
            Stored::Accepted(job) => start(&cx, job, revision, &mut target).await,
            Stored::Running(job) => attempt(&cx, id, &job.head.request, &job.state.run).await,
            Stored::Cancelling(job) => attempt(&cx, id, &job.head.request, &job.state.run).await,
            Stored::Answered(_) | Stored::Refused(_) => return end(&cx, &stored, revision),
        };
    }
}

fn end(cx: &Context, stored: &Stored, revision: Revision) -> Seen {
    let head = stored.head();
    if head.request.shape.is_some() && matches!(stored, Stored::Refused(_)) {
        // The placement may have queued the job again after a failed attempt.
        give_back(cx, head.request.id);
    }
    log::info!(
        target: "limpethook",
        job:% = format!("{:032x}", head.request.id), state = stored.name();
        "job_ended"
    );
    Seen::of(stored, revision)
}

/// Waits for a place, records the attempt and only then hands it to the agent.
async fn start(
    cx: &Context,
    mut job: Job<Accepted>,
    revision: Revision,
    kept: &mut Option<Target>,
) -> Current {
    let id = job.id();
    *kept = None;
    let is_heavy = job.head.body.len() > KEPT_BODY_BYTES;
    if is_heavy {
        job.head.body = Bytes::new();
    }
    let chosen = tokio::select! {
        chosen = wait_for_place(cx, &job) => chosen,
        () = wait_for_end(cx, id) => return None,
    };
    let target = match chosen {
        Ok(target) => target,
        Err(error) => return write(cx, job.refuse(error, SystemTime::now()), revision).await,
    };
    if is_heavy {
        job = match read(cx, id).await {
            Some((Stored::Accepted(whole), at)) if at == revision => whole,
            other => {
                give_back(cx, id);
                return other;
            }
        };
    }
    let run = run_at(cx, &job, &target);
    let running = job.start(run.clone());
    let request = remaining_request(&running);
    let body = running.head.body.clone();
    let Some((stored, revision)) = write(cx, running, revision).await else {
        give_back(cx, id);
        return None;
    };
    *kept = Some(target);
    match dispatch(cx, request, &run, body).await {
        // Only an attempt that was never sent is known to have not run; otherwise the agent tells.
        Err(report) if report.current_context().verdict == Verdict::NotRun => {
            conclude(cx, id, &run, Err(report.current_context().clone())).await
        }
        _ => Some((stored, revision)),
    }
}

async fn wait_for_place(cx: &Context, job: &Job<Accepted>) -> Result<Target, Error> {
    let request = remaining_request(job);
    if job.state.attempts > 0 {
        let delay = retry_delay(job.state.attempts).min(request.timeout);
        cx.timer.subscribe_after(delay).recv().await;
    }
    choose(cx, remaining_request(job)).await
}

/// Doubles with each attempt; the random half keeps jobs that failed together apart.
fn retry_delay(attempts: u32) -> Duration {
    let full = FIRST_RETRY_DELAY * (1 << attempts.saturating_sub(1).min(MAX_ATTEMPTS));
    full.mul_f64(0.5 + 0.5 * fastrand::f64())
}

fn run_at(cx: &Context, job: &Job<Accepted>, target: &Target) -> Run {
    Run {
        attempt: job.state.attempts + 1,
        epoch: cx.epoch(),
        agent: target.agent.clone(),
        agent_addr: target.addr,
        incarnation: target.incarnation,
        gang: target.gang,
        since: SystemTime::now(),
    }
}

fn remaining_request<S>(job: &Job<S>) -> Request {
    Request {
        timeout: job.remaining(SystemTime::now()),
        ..job.head.request.clone()
    }
}

/// Waits for the outcome of a recorded attempt and records what follows from it.
async fn attempt(cx: &Context, id: JobId, request: &Request, run: &Run) -> Current {
    let outcome = match follow(cx, id, run, request.idempotent).await {
        Ok(answer) => store_answer(cx, id, run, answer).await,
        Err(error) => Err(error),
    };
    conclude(cx, id, run, outcome).await
}

/// Writes the chunks of an answer, which the record names only afterwards.
async fn store_answer(
    cx: &Context,
    id: JobId,
    run: &Run,
    answer: Answer,
) -> Result<Answered, Error> {
    if answer.body.len() > MAX_ANSWER_BYTES {
        let message = format!("the answer is larger than {MAX_ANSWER_BYTES} bytes");
        return Err(Error::ran(ErrorKind::TooLarge, message));
    }
    for (n, chunk) in (0..).zip(chunks(&answer.body)) {
        put_chunk(
            cx,
            &result_key(&cx.settings.cell, id, run.attempt, n),
            chunk,
        )
        .await;
    }
    Ok(Answered {
        attempt: run.attempt,
        status: answer.status,
        content_type: answer.content_type,
        length: answer.length,
        digest: answer.digest,
        chunks: chunk_count(answer.body.len()),
        ended: SystemTime::now(),
    })
}

/// Records the outcome of an attempt if the record still shows this attempt.
///
/// The record is read again, because the caller may have cancelled the job and because the body is not kept in memory.
async fn conclude(cx: &Context, id: JobId, run: &Run, outcome: Result<Answered, Error>) -> Current {
    let now = SystemTime::now();
    let (stored, revision) = read(cx, id).await?;
    let next = match (stored, outcome) {
        (Stored::Running(job), Ok(answered)) if job.state.run == *run => {
            job.answer(answered).into()
        }
        (Stored::Cancelling(job), Ok(answered)) if job.state.run == *run => {
            job.answer(answered).into()
        }
        (Stored::Running(job), Err(error)) if job.state.run == *run => {
            log_failure(id, run, &error);
            match job.fail(error, now) {
                Next::Retry(job) => Stored::from(job),
                Next::End(job) => job.into(),
            }
        }
        (Stored::Cancelling(job), Err(error)) if job.state.run == *run => {
            job.refuse(error, now).into()
        }
        (other, _) => return Some((other, revision)),
    };
    write(cx, next, revision).await
}

fn log_failure(id: JobId, run: &Run, error: &Error) {
    log::info!(
        target: "limpethook",
        job:% = format!("{id:032x}"), attempt = run.attempt, agent:% = run.agent, error:% = error;
        "job_attempt_failed"
    );
}

async fn write(cx: &Context, job: impl Into<Stored>, revision: Revision) -> Current {
    let stored = job.into();
    let revision = replace(cx, &stored, revision).await?;
    Some((stored, revision))
}
