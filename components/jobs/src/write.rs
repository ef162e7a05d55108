//! Reading and writing records with compare-and-swap.

use errors::{Error, ErrorKind, Result};
use model::{JobId, Revision};
use store::{Confirmed, Expect, KvStore, PutRequest, put_confirmed};

use crate::keys::job_key;
use crate::record::{Accepted, Job};
use crate::stored::{Stored, decode, encode};

/// What became of a change of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Written {
    /// The change is durable.
    Done(Revision),
    /// Somebody else changed the record first.
    Conflict,
}

/// Reads a record with its revision.
pub async fn read(
    store: &dyn KvStore,
    cell: &str,
    id: JobId,
) -> Result<Option<(Stored, Revision)>> {
    match store.get(&job_key(cell, id)).await? {
        Some(entry) => Ok(Some((decode(&entry.value)?, entry.revision))),
        None => Ok(None),
    }
}

/// Writes the next state of a record whose last revision is known.
pub async fn replace(
    store: &dyn KvStore,
    cell: &str,
    job: &Stored,
    revision: Revision,
) -> Result<Written> {
    match put(store, cell, job, Expect::Revision(revision)).await? {
        Confirmed::Written { revision } => Ok(Written::Done(revision)),
        Confirmed::Conflict { .. } => Ok(Written::Conflict),
        Confirmed::Unknown(error) => Err(error.report()),
    }
}

/// Makes a new job durable, or attaches to the job that has the same id; returns its current state.
///
/// Whatever the write answered, the record decides: a lost answer and a repeated submission look alike here.
pub async fn submit(store: &dyn KvStore, cell: &str, job: Job<Accepted>) -> Result<Stored> {
    let (id, fingerprint) = (job.id(), job.head.fingerprint);
    // The read also proves that the store answers, so that an outage is "not run" instead of a lost write.
    if let Some((known, _)) = read(store, cell, id).await? {
        return attach(known, fingerprint);
    }
    let stored = Stored::from(job);
    let lost = match put(store, cell, &stored, Expect::Absent).await? {
        Confirmed::Written { .. } => return Ok(stored),
        Confirmed::Conflict { .. } => None,
        Confirmed::Unknown(error) => Some(error),
    };
    match read(store, cell, id).await {
        Ok(Some((known, _))) => attach(known, fingerprint),
        Ok(None) | Err(_) => Err(unknown(cell, id, lost)),
    }
}

fn attach(known: Stored, fingerprint: [u8; 32]) -> Result<Stored> {
    if known.head().fingerprint == fingerprint {
        return Ok(known);
    }
    let message = "the idempotency key belongs to a job with another body or other headers";
    Err(Error::not_run(ErrorKind::Conflict, message).report())
}

fn unknown(cell: &str, id: JobId, lost: Option<Error>) -> error_stack::Report<Error> {
    let reason = lost.map_or_else(|| "the record vanished".into(), |error| error.message);
    let id = crate::keys::public_id(cell, id);
    let message = format!("it is not known whether job {id} was accepted: {reason}");
    Error::may_have_run(ErrorKind::Unavailable, message).report()
}

async fn put(store: &dyn KvStore, cell: &str, job: &Stored, expect: Expect) -> Result<Confirmed> {
    let req = PutRequest {
        key: job_key(cell, job.head().request.id).into(),
        value: encode(job)?,
        expect,
        lease: None,
        since: 0,
    };
    put_confirmed(store, &req).await
}
