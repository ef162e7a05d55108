//! Access to job records in the store, with compare-and-swap for writes.

use errors::{Error, ErrorKind, Result};
use model::{JobId, Revision};
use store::{ConfirmedOutcome, KvStore, Precondition, PutRequest, put_confirmed};

use crate::keys::{job_key, public_id};
use crate::lifecycle::{Accepted, Job};
use crate::stored::{Stored, decode, encode};

/// The outcome of replacing a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Written {
    /// The new record is durable at this revision.
    Done(Revision),
    /// Another writer has changed the record.
    Conflict,
}

/// Reads a record and its revision.
pub async fn read(
    store: &dyn KvStore,
    cell: &str,
    id: JobId,
) -> Result<Option<(Stored, Revision)>> {
    match store.get(&job_key(cell, id)).await? {
        Some(pair) => Ok(Some((decode(&pair.value)?, pair.revision))),
        None => Ok(None),
    }
}

/// Replaces a record if it is still at the given revision.
pub async fn replace(
    store: &dyn KvStore,
    cell: &str,
    job: &Stored,
    revision: Revision,
) -> Result<Written> {
    match put(store, cell, job, Precondition::Revision(revision)).await? {
        ConfirmedOutcome::Written { revision } => Ok(Written::Done(revision)),
        ConfirmedOutcome::Conflict { .. } => Ok(Written::Conflict),
        ConfirmedOutcome::Unknown(error) => Err(error.report()),
    }
}

/// Stores a new job and returns it, or returns the existing job if the submission is a repeated one.
///
/// Unless the write succeeded, the stored record determines the result, because a write whose response was lost cannot be
/// told from a repeated submission.
pub async fn submit(store: &dyn KvStore, cell: &str, job: Job<Accepted>) -> Result<Stored> {
    let (id, fingerprint) = (job.id(), job.head.fingerprint);
    // If the store is down, this read fails as "not run", whereas a failed write may have run.
    if let Some((existing, _)) = read(store, cell, id).await? {
        return match_submission(existing, fingerprint);
    }
    let stored = Stored::from(job);
    let write_error = match put(store, cell, &stored, Precondition::Absent).await? {
        ConfirmedOutcome::Written { .. } => return Ok(stored),
        ConfirmedOutcome::Conflict { .. } => None,
        ConfirmedOutcome::Unknown(error) => Some(error),
    };
    match read(store, cell, id).await {
        Ok(Some((existing, _))) => match_submission(existing, fingerprint),
        Ok(None) | Err(_) => Err(unknown_outcome_error(cell, id, write_error)),
    }
}

/// Returns the existing job if it was created by the same submission.
fn match_submission(existing: Stored, fingerprint: [u8; 32]) -> Result<Stored> {
    if existing.head().fingerprint == fingerprint {
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
    job: &Stored,
    precondition: Precondition,
) -> Result<ConfirmedOutcome> {
    let req = PutRequest {
        key: job_key(cell, job.head().request.id).into(),
        value: encode(job)?,
        precondition,
        lease: None,
        known_revision: 0,
    };
    put_confirmed(store, &req).await
}
