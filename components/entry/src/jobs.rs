//! Submission, status, result and cancellation of asynchronous jobs.

use std::time::{Duration, SystemTime};

use bytes::{Bytes, BytesMut};
use errors::{Error, ErrorKind, Result, Verdict};
use jobs::{
    Accepted, Answered, Job, JobRecord, MAX_ANSWER_BYTES, MAX_BODY_BYTES, ReplaceOutcome,
    job_cell_key, job_key, parse_public_id, public_id, result_key, verify_answer,
};
use model::{AccountId, CellId, JobId};
use store::{ConfirmedOutcome, KvStore, Precondition, PutRequest, put_confirmed};

use crate::call::{Admitted, Call};
use crate::context::Context;

/// `Retry-After` while the store is unavailable; its outages tend to be long.
const STORE_RETRY_AFTER: Duration = Duration::from_secs(5);
/// `Retry-After` while the job queue of the cell is full; most jobs take hours.
const QUEUE_RETRY_AFTER: Duration = Duration::from_mins(1);
/// `Retry-After` while the number of jobs in the cell is not known; owners tell it at least once a second.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// `Retry-After` for a result that is not available yet.
const RESULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Attempts at the compare-and-swap of a cancellation; a job record changes only a few times in its lifetime.
const MAX_CANCEL_ATTEMPTS: u32 = 8;

/// A job with its public id.
pub(crate) struct JobView {
    pub(crate) id: String,
    pub(crate) job: JobRecord,
}

/// Stores a job and returns it; a repeated submission returns the existing job.
pub(crate) async fn submit(cx: &Context, admitted: Call<Admitted>) -> Result<JobView> {
    let Admitted {
        request,
        body,
        admission: _admission,
        content_digest,
        ..
    } = admitted.state;
    let has_key = content_digest.is_some();
    if body.len() > MAX_BODY_BYTES {
        let message = format!("the body of a job is limited to {MAX_BODY_BYTES} bytes");
        return Err(Error::not_run(ErrorKind::TooLarge, message).report());
    }
    let id = request.id;
    let cell = if has_key {
        claim_cell(cx, id).await.map_err(with_retry_after)?
    } else {
        cx.settings.cell.clone()
    };
    let shape = request.shape;
    let admit = || {
        check_feasible(cx, &cell, shape.as_ref())?;
        check_queue(cx, &cell)
    };
    let job = Job::<Accepted>::accept(request, body, has_key, SystemTime::now());
    let job = jobs::submit(&*cx.store, &cell, job, admit)
        .await
        .map_err(with_retry_after)?;
    log::info!(target: "limpethook", job:% = public_id(&cell, id), state = job.state_name(); "job_submitted");
    Ok(JobView {
        id: public_id(&cell, id),
        job,
    })
}

fn check_feasible(cx: &Context, cell: &str, shape: Option<&model::Shape>) -> Result<()> {
    let reason = shape
        .zip(cx.owner.as_ref())
        .and_then(|(shape, owner)| owner.infeasible_reason(cell, shape));
    match reason {
        Some(reason) => Err(Error::not_run(ErrorKind::Infeasible, reason).report()),
        None => Ok(()),
    }
}

/// Rejects a job while the cell has as many as the policy allows; the known number may be up to a second old.
fn check_queue(cx: &Context, cell: &str) -> Result<()> {
    let limit = cx.board.config.load().document.policy.queue_limit;
    let Some(live) = cx.entry_board.live_jobs.load().get(cell).copied() else {
        let message = format!("no owner of cell {cell} has told the number of its jobs yet");
        let error = Error::not_run(ErrorKind::Unavailable, message);
        return Err(error.retry_after(UNKNOWN_RETRY_AFTER).report());
    };
    if live < limit {
        return Ok(());
    }
    let message = format!("cell {cell} has {limit} jobs without an outcome");
    let error = Error::not_run(ErrorKind::Overloaded, message);
    Err(error.retry_after(QUEUE_RETRY_AFTER).report())
}

/// Returns the cell of a job with an idempotency key: the cell of the entry that received the key first.
async fn claim_cell(cx: &Context, id: JobId) -> Result<CellId> {
    let key = job_cell_key(id);
    if let Some(cell) = read_claim(cx, &key).await? {
        return Ok(cell);
    }
    let own = cx.settings.cell.clone();
    let req = PutRequest {
        key: key.as_str().into(),
        value: Bytes::from(own.to_string()),
        precondition: Precondition::Absent,
        lease: None,
        known_revision: 0,
    };
    // All entries of a cell write the same value, so it does not matter which of them made the claim.
    if let ConfirmedOutcome::Written { .. } = put_confirmed(&*cx.store, &req).await? {
        return Ok(own);
    }
    read_claim(cx, &key).await?.ok_or_else(|| {
        let message = "the claim of the idempotency key could not be stored";
        Error::not_run(ErrorKind::Unavailable, message).report()
    })
}

async fn read_claim(cx: &Context, key: &str) -> Result<Option<CellId>> {
    let entry = cx.store.get(key).await?;
    Ok(entry.map(|entry| String::from_utf8_lossy(&entry.value).into()))
}

/// Returns a job of the account; jobs of other accounts are reported as not found.
pub(crate) async fn find(cx: &Context, account: &AccountId, id: &str) -> Result<JobView> {
    let (cell, job) = parse_id(id)?;
    let (job, _) = read_job(cx, account, &cell, job).await?;
    Ok(JobView { id: id.into(), job })
}

fn parse_id(id: &str) -> Result<(CellId, JobId)> {
    parse_public_id(id).ok_or_else(not_found)
}

async fn read_job(
    cx: &Context,
    account: &AccountId,
    cell: &str,
    id: JobId,
) -> Result<(JobRecord, model::Revision)> {
    let found = jobs::read_record(&*cx.store, cell, id)
        .await
        .map_err(job_call_error)?;
    found
        .filter(|(job, _)| job.header().request.account == *account)
        .ok_or_else(not_found)
}

/// The verdict is "may have run", because jobs are deleted some time after they end.
fn not_found() -> error_stack::Report<Error> {
    Error::may_have_run(ErrorKind::NotFound, "there is no such job").report()
}

/// Sets the verdict "may have run", because a failed call does not tell whether the job itself ran.
fn job_call_error(report: error_stack::Report<Error>) -> error_stack::Report<Error> {
    let report = with_retry_after(report);
    Error {
        verdict: Verdict::MayHaveRun,
        ..report.current_context().clone()
    }
    .report()
}

/// Requests cancellation of a job and returns its state; a job that has ended is left unchanged.
pub(crate) async fn cancel(cx: &Context, account: &AccountId, id: &str) -> Result<JobView> {
    let (cell, job) = parse_id(id)?;
    for _ in 0..MAX_CANCEL_ATTEMPTS {
        let (found, revision) = read_job(cx, account, &cell, job).await?;
        let next: JobRecord = match found {
            JobRecord::Accepted(job) => job.cancel(SystemTime::now()).into(),
            JobRecord::Running(job) => job.cancel().into(),
            ended => {
                return Ok(JobView {
                    id: id.into(),
                    job: ended,
                });
            }
        };
        let written = jobs::replace_record(&*cx.store, &cell, &next, revision).await;
        if let ReplaceOutcome::Written(_) = written.map_err(job_call_error)? {
            return Ok(JobView {
                id: id.into(),
                job: next,
            });
        }
    }
    let message = format!(
        "key {}: concurrent changes prevented the cancellation",
        job_key(&cell, job)
    );
    Err(Error::may_have_run(ErrorKind::Conflict, message).report())
}

/// The result of a job.
pub(crate) enum Outcome {
    /// The complete, verified answer.
    Answer(Answered, Bytes),
    /// The error of a job that ended without an answer.
    Refused(Error),
    /// There is no outcome yet.
    Pending(Error),
}

/// Returns the outcome of a job; an answer is verified before it is returned.
pub(crate) async fn result(cx: &Context, account: &AccountId, id: &str) -> Result<Outcome> {
    let (cell, job_id) = parse_id(id)?;
    let (job, _) = read_job(cx, account, &cell, job_id).await?;
    let answered = match job {
        JobRecord::Answered(job) => job.state,
        JobRecord::Refused(job) => return Ok(Outcome::Refused(job.state.error)),
        unfinished => return Ok(Outcome::Pending(pending_error(&unfinished))),
    };
    let length = usize::try_from(answered.length).unwrap_or_default();
    let mut body = BytesMut::with_capacity(length.min(MAX_ANSWER_BYTES));
    for chunk in 0..answered.chunks {
        let key = result_key(&cell, job_id, answered.attempt, chunk);
        match cx.store.get(&key).await {
            Ok(Some(entry)) => body.extend_from_slice(&entry.value),
            Ok(None) => break,
            Err(report) => return Err(answer_unreadable(report.current_context())),
        }
    }
    let body = verify_answer(&answered, body.freeze())?;
    Ok(Outcome::Answer(answered, body))
}

fn pending_error(job: &JobRecord) -> Error {
    let message = format!("the job is {} and has no outcome yet", job.state_name());
    Error::may_have_run(ErrorKind::Unavailable, message).retry_after(RESULT_RETRY_AFTER)
}

/// Sets the verdict "ran", because only the read of the answer failed.
fn answer_unreadable(error: &Error) -> error_stack::Report<Error> {
    Error {
        verdict: Verdict::Ran,
        ..error.clone()
    }
    .retry_after(STORE_RETRY_AFTER)
    .report()
}

/// Adds `Retry-After` to the error of a call that the store did not answer.
fn with_retry_after(report: error_stack::Report<Error>) -> error_stack::Report<Error> {
    let error = report.current_context();
    if error.kind != ErrorKind::Unavailable {
        return report;
    }
    error.clone().retry_after(STORE_RETRY_AFTER).report()
}
