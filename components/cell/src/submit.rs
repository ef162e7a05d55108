//! Submissions of jobs.

use std::sync::Arc;
use std::time::Duration;

use error_stack::Report;
use errors::{Error, ErrorKind, Result, Verdict};
use model::{AcceptedJob, JobId};
use store::{Committed, Transaction};
use tokio::task::JoinSet;
use wire::{Call, StoredSubmission, Submission};

use crate::clock::boot_now;
use crate::entry::Entry;
use crate::keys;
use crate::notify::notify;
use crate::records::{self, JobRecord};

/// The longest wait for one answer of the store before the call is made again on another connection.
pub(crate) const STORE_TIMEOUT: Duration = Duration::from_millis(700);
/// Pause before a failed call is made again.
pub(crate) const RETRY_PAUSE: Duration = Duration::from_millis(60);
/// How long an entry tries to store what another entry sent it.
const RELAYED_LIMIT: Duration = Duration::from_millis(1500);
/// How long an entry tries to learn whether the store has a job; the client then asks another entry.
const UNKNOWN_LIMIT: Duration = Duration::from_millis(1300);
/// An answer of the store that takes longer makes the entry ask the others too, above the answers of a slow store.
const HEDGE_AFTER: Duration = Duration::from_millis(350);
/// Earliest time after which a client should try again when the store turns this entry and its peers away.
const STORE_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Entry {
    /// Accepts a job; it is stored once this succeeds. "Not run" means that it never runs by this submission.
    ///
    /// Another entry is asked as soon as the store is slow to answer this one. While the store is away, nothing is written
    /// to it from here, so that the refusal is certain and comes at once.
    pub async fn submit(
        self: &Arc<Self>,
        id: JobId,
        job: AcceptedJob,
        limit: Duration,
    ) -> Result<()> {
        let now = boot_now();
        let deadline = now + limit.min(UNKNOWN_LIMIT);
        if self.is_store_lost() {
            return store_elsewhere(self, id, &job, deadline).await;
        }
        let own = store_until(self, id, &job, deadline);
        tokio::pin!(own);
        let early = tokio::select! {
            result = &mut own => Some(result),
            () = tokio::time::sleep(HEDGE_AFTER) => None,
        };
        match early {
            Some(Ok(())) => return Ok(()),
            Some(Err(report)) => {
                let relayed = relay(self, id, &job, deadline).await;
                return either(&report, relayed);
            }
            None => {}
        }
        let relayed = relay(self, id, &job, deadline);
        tokio::pin!(relayed);
        tokio::select! {
            result = &mut own => match result {
                Ok(()) => Ok(()),
                Err(report) => either(&report, relayed.await),
            },
            result = &mut relayed => match result {
                Some(Ok(())) => Ok(()),
                // What the others answered counts too: one of them may have stored the job.
                relayed => match own.await {
                    Ok(()) => Ok(()),
                    Err(report) => either(&report, relayed),
                },
            },
        }
    }
}

pub(crate) fn unexpected() -> Report<Error> {
    Error::not_run(ErrorKind::Internal, "unexpected reply of the owner").report()
}

fn away() -> Report<Error> {
    Error::not_run(ErrorKind::Unavailable, "the store is away").report()
}

fn unknown_outcome() -> Report<Error> {
    let message = "the store did not say whether the job is stored";
    Error::may_have_run(ErrorKind::Timeout, message).report()
}

/// Tells the client when to come back, if the job is certain not to run.
fn refusal(report: &Report<Error>) -> Report<Error> {
    let error = report.current_context();
    if error.verdict != Verdict::NotRun {
        return unknown_outcome();
    }
    let message = format!("the job is not stored: {}", error.message);
    Error::not_run(ErrorKind::Unavailable, message)
        .retry_after(STORE_RETRY_AFTER)
        .report()
}

/// Returns the outcome of a submission that this entry could not store and that others were asked to store.
fn either(own: &Report<Error>, relayed: Option<Result<()>>) -> Result<()> {
    match relayed {
        Some(Ok(())) => Ok(()),
        _ if own.current_context().verdict != Verdict::NotRun => Err(unknown_outcome()),
        Some(Err(report)) => Err(refusal(&report)),
        None => Err(refusal(own)),
    }
}

/// Lets the others store a job while the store does not answer here; should it answer again before they do, the job is stored
/// from here too.
async fn store_elsewhere(
    entry: &Arc<Entry>,
    id: JobId,
    job: &AcceptedJob,
    deadline: Duration,
) -> Result<()> {
    let relayed = relay(entry, id, job, deadline);
    tokio::pin!(relayed);
    tokio::select! {
        relayed = &mut relayed => match relayed {
            Some(result) => result.map_err(|report| refusal(&report)),
            None => Err(refusal(&away())),
        },
        () = entry.store_regained() => match store_until(entry, id, job, deadline).await {
            Ok(()) => Ok(()),
            Err(report) => either(&report, relayed.await),
        },
    }
}

/// Lets the other entries store the job, all at once; nothing if there are none.
async fn relay(
    entry: &Arc<Entry>,
    id: JobId,
    job: &AcceptedJob,
    deadline: Duration,
) -> Option<Result<()>> {
    let left = deadline.saturating_sub(boot_now());
    let mut asked = JoinSet::new();
    for addr in entry.answering() {
        let submission = Submission {
            id,
            job: job.clone(),
        };
        let call = Call::Submit(Box::new(submission));
        let entry = Arc::clone(entry);
        asked.spawn(async move { entry.call(addr, &call, left).await });
    }
    let mut result: Option<Result<()>> = None;
    while let Some(answer) = asked.join_next().await {
        let Ok(answer) = answer else {
            continue;
        };
        match answer {
            Ok(_) => return Some(Ok(())),
            Err(report) => {
                let maybe = report.current_context().verdict != Verdict::NotRun;
                if maybe || result.is_none() {
                    result = Some(Err(report));
                }
            }
        }
    }
    result
}

/// Stores a job that another entry sent.
pub(crate) async fn store(entry: &Arc<Entry>, id: JobId, job: AcceptedJob) -> Result<()> {
    if entry.is_store_lost() {
        return Err(away());
    }
    store_until(entry, id, &job, boot_now() + RELAYED_LIMIT).await
}

/// Creates the record of a job, unless there is one; tries again while the outcome is unknown.
async fn store_until(
    entry: &Arc<Entry>,
    id: JobId,
    job: &AcceptedJob,
    deadline: Duration,
) -> Result<()> {
    let key = keys::job(id);
    let record = records::encode(&JobRecord::Accepted(job.clone()))?;
    let transaction = Transaction {
        expect: vec![(key.clone(), 0)],
        puts: vec![(key.clone(), record, None)],
        deletes: Vec::new(),
    };
    let mut unknown = false;
    loop {
        match timed_write(entry.store.commit(&transaction)).await {
            Ok(Committed::Written { revision }) => {
                entry.note_store(true, &"job stored");
                tell_stored(entry, id, job.clone(), revision);
                return Ok(());
            }
            Ok(Committed::Conflict { current }) => {
                entry.note_store(true, &"job found");
                let found = current.into_iter().find(|found| found.key == key);
                if let Some(found) = found
                    && let JobRecord::Accepted(job) = records::decode(&key, &found.value)?
                {
                    tell_stored(entry, id, job, found.revision);
                }
                return Ok(());
            }
            Ok(Committed::NoLease) => return Err(unexpected()),
            Err(report) => {
                entry.note_store(false, report.current_context());
                unknown |= report.current_context().verdict != Verdict::NotRun;
                if !unknown {
                    return Err(report);
                }
                if boot_now() + RETRY_PAUSE >= deadline {
                    return Err(unknown_outcome());
                }
            }
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

fn tell_stored(entry: &Arc<Entry>, id: JobId, job: AcceptedJob, revision: u64) {
    let stored = StoredSubmission { id, job, revision };
    notify(entry, Call::JobStored(Box::new(stored)));
}

/// Bounds the wait for a write, which may still happen afterwards.
pub(crate) async fn timed_write<T>(call: impl Future<Output = Result<T>>) -> Result<T> {
    match tokio::time::timeout(STORE_TIMEOUT, call).await {
        Ok(result) => result,
        Err(_) => Err(Error::may_have_run(ErrorKind::Timeout, "no answer of the store").report()),
    }
}

/// Bounds the wait for a read.
pub(crate) async fn timed<T>(call: impl Future<Output = Result<T>>) -> Result<T> {
    match tokio::time::timeout(STORE_TIMEOUT, call).await {
        Ok(result) => result,
        Err(_) => Err(Error::not_run(ErrorKind::Timeout, "no answer of the store").report()),
    }
}
