//! The runner of one job: advances its record from state to state until the job has an outcome.

use std::time::{Duration, SystemTime};

use bytes::Bytes;
use errors::{Error, ErrorKind, Verdict};
use jobs::{
    Accepted, Answered, FailureOutcome, Job, JobRecord, MAX_ANSWER_BYTES, MAX_ATTEMPTS, Run,
    chunk_count, chunks, result_key,
};
use model::{JobId, Request, Revision};
use wire::Answer;

use crate::context::Context;
use crate::jobs::OwnedContext;
use crate::jobs::attempt::{dispatch, wait_for_end, wait_for_outcome};
use crate::jobs::persist::{put_chunk, read_record, replace_record};
use crate::jobs::section::JobUpdate;
use crate::jobs::target::{Target, cancel_placement, choose_target};

/// A larger body is dropped while its job waits and read again afterwards, so that waiting jobs use little memory.
const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;

/// Delay before the second attempt. All delays together exceed the 3 s after which a dead agent leaves the directory.
const FIRST_RETRY_DELAY: Duration = Duration::from_secs(1);

/// A record with its revision; `None` if it was changed concurrently and must be read again.
type CurrentRecord = Option<(JobRecord, Revision)>;

/// Runs a job until its record has an outcome or is deleted, and returns that state.
pub(crate) async fn run_job(cx: OwnedContext, id: JobId) -> JobUpdate {
    let mut current = None;
    // Dropped when the attempt ends, so that it no longer counts as in flight at its endpoint.
    let mut target = None;
    loop {
        let found = match current.take() {
            Some(found) => Some(found),
            None => read_record(&cx, id).await,
        };
        let Some((stored, revision)) = found else {
            return JobUpdate::Deleted(id);
        };
        current = match stored {
            JobRecord::Accepted(job) => start_attempt(&cx, job, revision, &mut target).await,
            JobRecord::Running(job) => await_attempt(&cx, &job, &job.state.run).await,
            JobRecord::Cancelling(job) => await_attempt(&cx, &job, &job.state.run).await,
            JobRecord::Answered(_) | JobRecord::Refused(_) => {
                return finish(&cx, &stored, revision);
            }
        };
    }
}

fn finish(cx: &Context, stored: &JobRecord, revision: Revision) -> JobUpdate {
    let header = stored.header();
    if header.request.shape.is_some() && matches!(stored, JobRecord::Refused(_)) {
        // The placement controller may have queued the job again after a failed attempt.
        cancel_placement(cx, header.request.id);
    }
    log::info!(
        target: "limpethook",
        job:% = format!("{:032x}", header.request.id), state = stored.state_name();
        "job_ended"
    );
    JobUpdate::from_record(stored, revision)
}

/// Waits for a target, records the attempt and only then dispatches it to the agent.
async fn start_attempt(
    cx: &OwnedContext,
    mut job: Job<Accepted>,
    revision: Revision,
    held_target: &mut Option<Target>,
) -> CurrentRecord {
    let id = job.id();
    *held_target = None;
    let is_large = job.header.body.len() > MAX_BUFFERED_BODY_BYTES;
    if is_large {
        job.header.body = Bytes::new();
    }
    let chosen = tokio::select! {
        chosen = wait_for_target(cx, &job) => chosen,
        () = wait_for_end(cx, id) => return None,
    };
    let target = match chosen {
        Ok(target) => target,
        Err(error) => {
            return write_record(cx, job.refuse(error, SystemTime::now()), revision).await;
        }
    };
    if is_large {
        job = match read_record(cx, id).await {
            Some((JobRecord::Accepted(full), current)) if current == revision => full,
            other => {
                cancel_placement(cx, id);
                return other;
            }
        };
    }
    let run = new_run(cx, &job, &target);
    let running = job.start(run.clone());
    let request = remaining_request(&running);
    let body = running.header.body.clone();
    let Some((stored, revision)) = write_record(cx, running, revision).await else {
        cancel_placement(cx, id);
        return None;
    };
    *held_target = Some(target);
    match dispatch(cx, request, &run, body).await {
        // Only an attempt that was never sent is known not to have run; otherwise the agent is asked for the outcome.
        Err(report) if report.current_context().verdict == Verdict::NotRun => {
            record_outcome(cx, id, &run, Err(report.current_context().clone())).await
        }
        _ => Some((stored, revision)),
    }
}

async fn wait_for_target(cx: &Context, job: &Job<Accepted>) -> Result<Target, Error> {
    let request = remaining_request(job);
    if job.state.attempts > 0 {
        let delay = retry_delay(job.state.attempts).min(request.timeout);
        cx.timer.subscribe_after(delay).recv().await;
    }
    choose_target(cx, remaining_request(job)).await
}

/// Doubles the delay with each attempt; half of it is random, so that jobs that failed together do not retry together.
fn retry_delay(attempts: u32) -> Duration {
    let max = FIRST_RETRY_DELAY * (1 << attempts.saturating_sub(1).min(MAX_ATTEMPTS));
    max.mul_f64(0.5 + 0.5 * fastrand::f64())
}

fn new_run(cx: &OwnedContext, job: &Job<Accepted>, target: &Target) -> Run {
    Run {
        attempt: job.state.attempts + 1,
        epoch: cx.ownership.epoch,
        agent: target.agent.clone(),
        agent_addr: target.addr,
        incarnation: target.incarnation,
        gang: target.gang,
        recorded_at: SystemTime::now(),
    }
}

fn remaining_request<S>(job: &Job<S>) -> Request {
    Request {
        timeout: job.remaining(SystemTime::now()),
        ..job.header.request.clone()
    }
}

/// Waits for the outcome of a recorded attempt and records the next state of the job.
async fn await_attempt<S>(cx: &OwnedContext, job: &Job<S>, run: &Run) -> CurrentRecord {
    let id = job.id();
    let idempotent = job.header.request.idempotent;
    let deadline = timer::now() + job.remaining(SystemTime::now());
    let outcome = match wait_for_outcome(cx, id, run, idempotent, deadline).await {
        Ok(answer) => store_answer(cx, id, run, answer).await,
        Err(error) => Err(error),
    };
    record_outcome(cx, id, run, outcome).await
}

/// Writes the chunks of an answer; the record refers to them only afterwards.
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
        ended_at: SystemTime::now(),
    })
}

/// Records the outcome of an attempt if the record still refers to this attempt.
///
/// The record is read again, because the caller may have cancelled the job and because the body is not held in memory.
async fn record_outcome(
    cx: &Context,
    id: JobId,
    run: &Run,
    outcome: Result<Answered, Error>,
) -> CurrentRecord {
    let now = SystemTime::now();
    let (stored, revision) = read_record(cx, id).await?;
    let next = match (stored, outcome) {
        (JobRecord::Running(job), Ok(answered)) if job.state.run == *run => {
            job.answer(answered).into()
        }
        (JobRecord::Cancelling(job), Ok(answered)) if job.state.run == *run => {
            job.answer(answered).into()
        }
        (JobRecord::Running(job), Err(error)) if job.state.run == *run => {
            log_failure(id, run, &error);
            match job.fail(error, now) {
                FailureOutcome::Retry(job) => JobRecord::from(job),
                FailureOutcome::End(job) => job.into(),
            }
        }
        (JobRecord::Cancelling(job), Err(error)) if job.state.run == *run => {
            job.refuse(error, now).into()
        }
        (other, _) => return Some((other, revision)),
    };
    write_record(cx, next, revision).await
}

fn log_failure(id: JobId, run: &Run, error: &Error) {
    log::info!(
        target: "limpethook",
        job:% = format!("{id:032x}"), attempt = run.attempt, agent:% = run.agent, error:% = error;
        "job_attempt_failed"
    );
}

async fn write_record(
    cx: &Context,
    job: impl Into<JobRecord>,
    revision: Revision,
) -> CurrentRecord {
    let stored = job.into();
    let revision = replace_record(cx, &stored, revision).await?;
    Some((stored, revision))
}
