//! Asynchronous jobs at the entry: acceptance, state, result, cancellation.

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

/// When a caller should try again while the store is down; its outages last long.
const STORE_RETRY_AFTER: Duration = Duration::from_secs(5);
/// When a caller should try again while the cell has too many jobs, most of which take hours.
const QUEUE_RETRY_AFTER: Duration = Duration::from_mins(1);
/// When a caller should ask again for a result that is not there yet.
const RESULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Changes of the record by others that one cancellation tolerates; a job changes a few times in its life.
const CANCEL_TRIES: u32 = 8;

/// A job as its caller may see it.
pub(crate) struct Visible {
    pub(crate) id: String,
    pub(crate) job: JobRecord,
}

/// Makes a job durable and returns it; a repeated submission returns the existing job.
pub(crate) async fn submit(cx: &Context, admitted: Call<Admitted>) -> Result<Visible> {
    let Admitted {
        request,
        body,
        admission: _admission,
        content,
        ..
    } = admitted.state;
    let keyed = content.is_some();
    if body.len() > MAX_BODY_BYTES {
        let message = format!("the body of a job is limited to {MAX_BODY_BYTES} bytes");
        return Err(Error::not_run(ErrorKind::TooLarge, message).report());
    }
    let id = request.id;
    let cell = if keyed {
        claim_cell(cx, id).await.map_err(with_retry_after)?
    } else {
        cx.settings.cell.clone()
    };
    check_feasible(cx, &cell, request.shape.as_ref())?;
    check_queue(cx, &cell)?;
    let job = Job::<Accepted>::accept(request, body, keyed, SystemTime::now());
    let job = jobs::submit(&*cx.store, &cell, job)
        .await
        .map_err(with_retry_after)?;
    log::info!(target: "limpethook", job:% = public_id(&cell, id), state = job.state_name(); "job_submitted");
    Ok(Visible {
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

/// Refuses a job while the cell has as many as the policy allows; the number is up to a second old.
fn check_queue(cx: &Context, cell: &str) -> Result<()> {
    let limit = cx.board.config.load().document.policy.queue_limit;
    let live = cx.entry_board.live_jobs.load().get(cell).copied();
    if live.unwrap_or_default() < limit {
        return Ok(());
    }
    let message = format!("cell {cell} has {limit} jobs without an outcome");
    let error = Error::not_run(ErrorKind::Overloaded, message);
    Err(error.retry_after(QUEUE_RETRY_AFTER).report())
}

/// Returns the cell of a job with an idempotency key: that of the entry that saw the key first.
async fn claim_cell(cx: &Context, id: JobId) -> Result<CellId> {
    let key = job_cell_key(id);
    if let Some(cell) = claimed(cx, &key).await? {
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
    // Writers of one cell store the same value, so it does not matter which of them made the claim.
    if let ConfirmedOutcome::Written { .. } = put_confirmed(&*cx.store, &req).await? {
        return Ok(own);
    }
    claimed(cx, &key).await?.ok_or_else(|| {
        let message = "the claim of the idempotency key could not be stored";
        Error::not_run(ErrorKind::Unavailable, message).report()
    })
}

async fn claimed(cx: &Context, key: &str) -> Result<Option<CellId>> {
    let entry = cx.store.get(key).await?;
    Ok(entry.map(|entry| String::from_utf8_lossy(&entry.value).into()))
}

/// Returns a job of the account; another account's job does not exist for it.
pub(crate) async fn find(cx: &Context, account: &AccountId, id: &str) -> Result<Visible> {
    let (cell, job) = locate(id)?;
    let (job, _) = read(cx, account, &cell, job).await?;
    Ok(Visible { id: id.into(), job })
}

fn locate(id: &str) -> Result<(CellId, JobId)> {
    parse_public_id(id).ok_or_else(not_found)
}

async fn read(
    cx: &Context,
    account: &AccountId,
    cell: &str,
    id: JobId,
) -> Result<(JobRecord, model::Revision)> {
    let found = jobs::read_record(&*cx.store, cell, id)
        .await
        .map_err(about_job)?;
    found
        .filter(|(job, _)| job.header().request.account == *account)
        .ok_or_else(not_found)
}

/// A job that ended long ago is deleted, so its absence does not mean that it did not run.
fn not_found() -> error_stack::Report<Error> {
    Error::may_have_run(ErrorKind::NotFound, "there is no such job").report()
}

/// A call on a job that fails says nothing about the job itself.
fn about_job(report: error_stack::Report<Error>) -> error_stack::Report<Error> {
    let report = with_retry_after(report);
    Error {
        verdict: Verdict::MayHaveRun,
        ..report.current_context().clone()
    }
    .report()
}

/// Asks for the end of a job and returns its state; a job that ended stays as it is.
pub(crate) async fn cancel(cx: &Context, account: &AccountId, id: &str) -> Result<Visible> {
    let (cell, job) = locate(id)?;
    for _ in 0..CANCEL_TRIES {
        let (found, revision) = read(cx, account, &cell, job).await?;
        let next: JobRecord = match found {
            JobRecord::Accepted(job) => job.cancel(SystemTime::now()).into(),
            JobRecord::Running(job) => job.cancel().into(),
            ended => {
                return Ok(Visible {
                    id: id.into(),
                    job: ended,
                });
            }
        };
        let written = jobs::replace_record(&*cx.store, &cell, &next, revision).await;
        if let ReplaceOutcome::Written(_) = written.map_err(about_job)? {
            return Ok(Visible {
                id: id.into(),
                job: next,
            });
        }
    }
    let message = format!("key {}: changed too often", job_key(&cell, job));
    Err(Error::may_have_run(ErrorKind::Conflict, message).report())
}

/// What `GET /v1/jobs/{id}/result` finds.
pub(crate) enum Outcome {
    /// The whole answer.
    Answer(Answered, Bytes),
    /// The error of a job that ended without an answer.
    Refused(Error),
    /// There is no outcome yet.
    Pending(Error),
}

/// Returns the outcome of a job; an answer is checked as a whole.
pub(crate) async fn result(cx: &Context, account: &AccountId, id: &str) -> Result<Outcome> {
    let (cell, job_id) = locate(id)?;
    let (job, _) = read(cx, account, &cell, job_id).await?;
    let answered = match job {
        JobRecord::Answered(job) => job.state,
        JobRecord::Refused(job) => return Ok(Outcome::Refused(job.state.error)),
        unfinished => return Ok(Outcome::Pending(pending(&unfinished))),
    };
    let length = usize::try_from(answered.length).unwrap_or_default();
    let mut body = BytesMut::with_capacity(length.min(MAX_ANSWER_BYTES));
    for n in 0..answered.chunks {
        let key = result_key(&cell, job_id, answered.attempt, n);
        match cx.store.get(&key).await {
            Ok(Some(entry)) => body.extend_from_slice(&entry.value),
            Ok(None) => break,
            Err(report) => return Err(ran_but_unreadable(report.current_context())),
        }
    }
    let body = verify_answer(&answered, body.freeze())?;
    Ok(Outcome::Answer(answered, body))
}

fn pending(job: &JobRecord) -> Error {
    let message = format!("the job is {} and has no outcome yet", job.state_name());
    Error::may_have_run(ErrorKind::Unavailable, message).retry_after(RESULT_RETRY_AFTER)
}

/// The job ran; only the reading of its answer failed.
fn ran_but_unreadable(error: &Error) -> error_stack::Report<Error> {
    Error {
        verdict: Verdict::Ran,
        ..error.clone()
    }
    .retry_after(STORE_RETRY_AFTER)
    .report()
}

/// Tells the caller when to try again after a call that the store did not answer.
fn with_retry_after(report: error_stack::Report<Error>) -> error_stack::Report<Error> {
    let error = report.current_context();
    if error.kind != ErrorKind::Unavailable {
        return report;
    }
    error.clone().retry_after(STORE_RETRY_AFTER).report()
}
