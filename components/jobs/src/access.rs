//! Access to job records in the store, with compare-and-swap for writes.

use errors::{Error, ErrorKind, Result};
use model::{JobId, Revision};
use store::{ConfirmedOutcome, KvStore, Precondition, PutRequest, put_confirmed};

use crate::keys::{job_key, public_id};
use crate::lifecycle::{Accepted, Job};
use crate::record::{JobRecord, decode_record, encode_record};

/// The outcome of replacing a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplaceOutcome {
    /// The new record is durable at this revision.
    Written(Revision),
    /// Another writer has changed the record.
    Conflict,
}

/// Reads a record and its revision.
pub async fn read_record(
    store: &dyn KvStore,
    cell: &str,
    id: JobId,
) -> Result<Option<(JobRecord, Revision)>> {
    match store.get(&job_key(cell, id)).await? {
        Some(pair) => Ok(Some((decode_record(&pair.value)?, pair.revision))),
        None => Ok(None),
    }
}

/// Replaces a record if it is still at the given revision.
pub async fn replace_record(
    store: &dyn KvStore,
    cell: &str,
    job: &JobRecord,
    revision: Revision,
) -> Result<ReplaceOutcome> {
    match put(store, cell, job, Precondition::Revision(revision)).await? {
        ConfirmedOutcome::Written { revision } => Ok(ReplaceOutcome::Written(revision)),
        ConfirmedOutcome::Conflict { .. } => Ok(ReplaceOutcome::Conflict),
        ConfirmedOutcome::Unknown(error) => Err(error.report()),
    }
}

/// Stores a new job and returns it, or returns the existing job if the submission is a repeated one. `admit` decides whether a new job may be
/// stored; a job that exists needs no room, and a refusal would say that it does not run.
///
/// Unless the write succeeded, the stored record determines the result, because a write whose response was lost cannot
/// be told from a repeated submission.
pub async fn submit(
    store: &dyn KvStore,
    cell: &str,
    job: Job<Accepted>,
    admit: impl Fn() -> Result<()>,
) -> Result<JobRecord> {
    let (id, fingerprint) = (job.id(), job.header.fingerprint);
    let may_exist = job.header.has_idempotency_key;
    if !may_exist {
        admit()?;
    }
    // If the store is down, this read fails as "not run", whereas a failed write may have run.
    if let Some((existing, _)) = read_record(store, cell, id).await? {
        return match_submission(existing, fingerprint);
    }
    if may_exist {
        admit()?;
    }
    let stored = JobRecord::from(job);
    let write_error = match put(store, cell, &stored, Precondition::Absent).await? {
        ConfirmedOutcome::Written { .. } => return Ok(stored),
        ConfirmedOutcome::Conflict { .. } => None,
        ConfirmedOutcome::Unknown(error) => Some(error),
    };
    match read_record(store, cell, id).await {
        Ok(Some((existing, _))) => match_submission(existing, fingerprint),
        Ok(None) | Err(_) => Err(unknown_outcome_error(cell, id, write_error)),
    }
}

/// Returns the existing job if it was created by the same submission.
fn match_submission(existing: JobRecord, fingerprint: [u8; 32]) -> Result<JobRecord> {
    if existing.header().fingerprint == fingerprint {
        return Ok(existing);
    }
    let message = "the idempotency key belongs to a job with a different body or different headers";
    Err(Error::not_run(ErrorKind::Conflict, message).report())
}

fn unknown_outcome_error(
    cell: &str,
    id: JobId,
    write_error: Option<Error>,
) -> error_stack::Report<Error> {
    let reason = write_error.map_or_else(
        || "its record no longer exists".into(),
        |error| error.message,
    );
    let id = public_id(cell, id);
    let message = format!("job {id} may or may not have been accepted: {reason}");
    Error::may_have_run(ErrorKind::Unavailable, message).report()
}

async fn put(
    store: &dyn KvStore,
    cell: &str,
    job: &JobRecord,
    precondition: Precondition,
) -> Result<ConfirmedOutcome> {
    let req = PutRequest {
        key: job_key(cell, job.header().request.id).into(),
        value: encode_record(job)?,
        precondition,
        lease: None,
        known_revision: 0,
    };
    put_confirmed(store, &req).await
}
