//! Job submission.

use std::sync::Arc;
use std::time::Duration;

use error_stack::Report;
use errors::{Error, ErrorKind, Result, Verdict};
use graph::{job_bytes, storing_bytes};
use model::{AcceptedJob, JobId};
use store::{CommitOutcome, Transaction};
use tokio::task::JoinSet;
use wire::{Call, StoredSubmission, Submission};

use crate::admission::Admission;
use crate::clock::boot_now;
use crate::entry::Entry;
use crate::keys;
use crate::notify::notify_stored;
use crate::records::{self, JobRecord};

/// Timeout of one store call, after which the call is repeated on another connection.
pub(crate) const STORE_TIMEOUT: Duration = Duration::from_millis(700);
/// Delay before a failed call is repeated.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(60);
/// How long an entry tries to store a job that another entry relayed.
const RELAYED_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long an entry tries to find out whether the store has a job; the client then asks another
/// entry.
const OUTCOME_TIMEOUT: Duration = Duration::from_millis(1300);
/// If the store takes longer than this, the other entries are asked as well. This is longer than a
/// slow store takes to answer.
const HEDGE_DELAY: Duration = Duration::from_millis(350);
/// Number of entries that are asked at the same time to store a job. Each of them writes to the store.
const RELAY_BATCH: usize = 4;
/// Maximum number of entries that are asked, so that a refusal is quick while the store rejects all of
/// them. If it rejects half of the entries, one submission in 256 is refused without need.
const MAX_RELAYS: usize = 8;
/// Delay after which more entries are asked: several times the latency between regions.
const RELAY_DELAY: Duration = Duration::from_millis(120);
/// Delay after which a client should retry if the store rejects this entry and its peers.
const CLIENT_RETRY_DELAY: Duration = Duration::from_secs(1);

impl Entry {
    /// Accepts a job; it is stored once this succeeds. A "not run" error means that the job never
    /// runs because of this submission.
    ///
    /// The other entries are asked as soon as the store is slow to answer this one. While the store
    /// is unreachable, this entry writes nothing to it, so that a refusal is certain. It is immediate
    /// if no other entry could reach the store a moment ago.
    pub async fn submit(
        self: &Arc<Self>,
        id: JobId,
        job: AcceptedJob,
        timeout: Duration,
    ) -> Result<()> {
        // All steps share one copy, because a decoded job may take some megabytes.
        let job = Arc::new(job);
        let now = boot_now();
        let deadline = now + timeout.min(OUTCOME_TIMEOUT);
        if self.is_outage_confirmed() {
            return Err(refusal(&store_unreachable()));
        }
        let admission = self.admit(id, &job.account, job_bytes(&job)).await?;
        let _permit = self.begin_client_call().await?;
        if boot_now() >= deadline {
            return Err(refusal(&too_late()));
        }
        if self.is_store_lost() {
            return store_via_entries(self, id, &job, deadline, admission).await;
        }
        let direct = store_with_retries(self, id, &job, deadline, Some(admission));
        tokio::pin!(direct);
        let first = tokio::select! {
            result = &mut direct => Some(result),
            () = tokio::time::sleep(HEDGE_DELAY) => None,
        };
        match first {
            Some(Ok(())) => return Ok(()),
            Some(Err(report)) => {
                let relayed = relay_to_entries(self, id, &job, deadline).await;
                return combine_results(&report, relayed);
            }
            None => {}
        }
        let relayed = relay_to_entries(self, id, &job, deadline);
        tokio::pin!(relayed);
        tokio::select! {
            result = &mut direct => match result {
                Ok(()) => Ok(()),
                Err(report) => combine_results(&report, relayed.await),
            },
            result = &mut relayed => match result {
                Some(Ok(())) => Ok(()),
                // The answers of the other entries count as well: one of them may have stored the
                // job.
                relayed => match direct.await {
                    Ok(()) => Ok(()),
                    Err(report) => combine_results(&report, relayed),
                },
            },
        }
    }
}

pub(crate) fn unexpected_reply() -> Report<Error> {
    Error::not_run(
        ErrorKind::Internal,
        "unexpected reply from the owner or the store",
    )
    .report()
}

fn store_unreachable() -> Report<Error> {
    Error::not_run(ErrorKind::Unavailable, "the store is unreachable").report()
}

fn unknown_outcome() -> Report<Error> {
    let message = "the store did not confirm whether the job is stored";
    Error::may_have_run(ErrorKind::Timeout, message).report()
}

/// Returns the error for the client, with a retry delay if the job is certain not to run.
fn refusal(report: &Report<Error>) -> Report<Error> {
    let error = report.current_context();
    if error.verdict != Verdict::NotRun {
        return unknown_outcome();
    }
    let message = format!("the job was not stored: {}", error.message);
    Error::not_run(ErrorKind::Unavailable, message)
        .retry_after(CLIENT_RETRY_DELAY)
        .report()
}

/// Combines the error of storing a job from this entry with the result of relaying it to other
/// entries.
fn combine_results(direct: &Report<Error>, relayed: Option<Result<()>>) -> Result<()> {
    match relayed {
        Some(Ok(())) => Ok(()),
        _ if direct.current_context().verdict != Verdict::NotRun => Err(unknown_outcome()),
        Some(Err(report)) => Err(refusal(&report)),
        None => Err(refusal(direct)),
    }
}

/// Relays a job to the other entries while the store is unreachable from here. If the store answers
/// again before they do, this entry stores the job as well.
async fn store_via_entries(
    entry: &Arc<Entry>,
    id: JobId,
    job: &Arc<AcceptedJob>,
    deadline: Duration,
    admission: Admission,
) -> Result<()> {
    let relayed = relay_to_entries(entry, id, job, deadline);
    tokio::pin!(relayed);
    tokio::select! {
        relayed = &mut relayed => match relayed {
            Some(Ok(())) => Ok(()),
            Some(Err(report)) => {
                let error = report.current_context();
                // An entry without room for the job may reach the store.
                if error.verdict == Verdict::NotRun && error.kind != ErrorKind::Overloaded {
                    entry.confirm_outage();
                }
                Err(refusal(&report))
            }
            None => Err(refusal(&store_unreachable())),
        },
        () = entry.wait_for_store() => match store_with_retries(entry, id, job, deadline, Some(admission)).await {
            Ok(()) => Ok(()),
            Err(report) => combine_results(&report, relayed.await),
        },
    }
}

/// Asks responsive entries to store a job, a few at a time, until one has stored it or the deadline
/// has passed; returns `None` if there are none.
async fn relay_to_entries(
    entry: &Arc<Entry>,
    id: JobId,
    job: &Arc<AcceptedJob>,
    deadline: Duration,
) -> Option<Result<()>> {
    let addrs = entry.responsive_entries().into_iter();
    let mut addrs = addrs.take(MAX_RELAYS).peekable();
    let mut calls = JoinSet::new();
    let mut result: Option<Result<()>> = None;
    loop {
        let remaining = deadline.saturating_sub(boot_now());
        if addrs.peek().is_none() && calls.is_empty() {
            return result;
        }
        if !remaining.is_zero() {
            for addr in addrs.by_ref().take(RELAY_BATCH) {
                let submission = Submission {
                    id,
                    job: Arc::clone(job),
                };
                let call = Call::Submit(Box::new(submission));
                let entry = Arc::clone(entry);
                calls.spawn(async move { entry.call(addr, &call, remaining).await });
            }
        } else if calls.is_empty() {
            return result;
        }
        // The calls have timeouts of their own.
        let batch_wait = if addrs.peek().is_some() && !remaining.is_zero() {
            RELAY_DELAY
        } else {
            RELAYED_TIMEOUT
        };
        let batch_end = tokio::time::sleep(batch_wait);
        tokio::pin!(batch_end);
        loop {
            let answer = tokio::select! {
                answer = calls.join_next() => answer,
                () = &mut batch_end => break,
            };
            match answer {
                None => break,
                Some(Ok(Ok(_))) => return Some(Ok(())),
                Some(Ok(Err(report))) => {
                    let may_be_stored = report.current_context().verdict != Verdict::NotRun;
                    if may_be_stored || result.is_none() {
                        result = Some(Err(report));
                    }
                }
                Some(Err(_)) => {}
            }
        }
    }
}

/// Stores a job that another entry relayed.
pub(crate) async fn store_relayed(
    entry: &Arc<Entry>,
    id: JobId,
    job: Arc<AcceptedJob>,
) -> Result<()> {
    if entry.is_store_lost() {
        return Err(store_unreachable());
    }
    let held = entry.clients.hold(storing_bytes(&job));
    let _held = held.ok_or_else(no_memory)?;
    let _permit = entry.begin_client_call().await?;
    let deadline = boot_now() + RELAYED_TIMEOUT;
    store_with_retries(entry, id, &job, deadline, None).await
}

/// Creates the record of a job unless it exists, and repeats the write while its outcome is
/// unknown.
async fn store_with_retries(
    entry: &Arc<Entry>,
    id: JobId,
    job: &Arc<AcceptedJob>,
    deadline: Duration,
    admission: Option<Admission>,
) -> Result<()> {
    let key = keys::job(id);
    let record = records::encode(&JobRecord::Accepted(Arc::clone(job)))?;
    let transaction = Transaction {
        preconditions: vec![(key.clone(), 0)],
        puts: vec![(key.clone(), record, None)],
        deletes: Vec::new(),
    };
    let mut outcome_unknown = false;
    loop {
        match write_with_timeout(entry.store.commit(&transaction)).await {
            Ok(CommitOutcome::Written { revision }) => {
                entry.record_store_result(true, &"job stored");
                notify_new(entry, id, Arc::clone(job), revision, admission);
                return Ok(());
            }
            Ok(CommitOutcome::Conflict { current }) => {
                entry.record_store_result(true, &"job already stored");
                let found = current.into_iter().find(|found| found.key == key);
                if let Some(found) = found
                    && let JobRecord::Accepted(job) = records::decode(&key, &found.value)?
                {
                    notify_new(entry, id, job, found.revision, admission);
                }
                return Ok(());
            }
            Ok(CommitOutcome::LeaseExpired) => return Err(unexpected_reply()),
            Err(report) => {
                entry.record_store_result(false, report.current_context());
                outcome_unknown |= report.current_context().verdict != Verdict::NotRun;
                if !outcome_unknown {
                    return Err(report);
                }
                if boot_now() + RETRY_DELAY >= deadline {
                    return Err(unknown_outcome());
                }
            }
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

fn notify_new(
    entry: &Arc<Entry>,
    id: JobId,
    job: Arc<AcceptedJob>,
    revision: u64,
    admission: Option<Admission>,
) {
    notify_stored(entry, StoredSubmission { id, job, revision }, admission);
}

fn too_late() -> Report<Error> {
    let message = "the entry could not store it within the time limit";
    Error::not_run(ErrorKind::Overloaded, message).report()
}

fn no_memory() -> Report<Error> {
    let message = "requests in progress use up the memory for requests";
    Error::not_run(ErrorKind::Overloaded, message)
        .retry_after(CLIENT_RETRY_DELAY)
        .report()
}

/// Limits the wait for a write, which may still take effect after the timeout.
pub(crate) async fn write_with_timeout<T>(call: impl Future<Output = Result<T>>) -> Result<T> {
    match tokio::time::timeout(STORE_TIMEOUT, call).await {
        Ok(result) => result,
        Err(_) => Err(
            Error::may_have_run(ErrorKind::Timeout, "the store did not answer in time").report(),
        ),
    }
}

/// Limits the wait for a call that changes no record; after the timeout it counts as not run.
pub(crate) async fn with_timeout<T>(call: impl Future<Output = Result<T>>) -> Result<T> {
    match tokio::time::timeout(STORE_TIMEOUT, call).await {
        Ok(result) => result,
        Err(_) => {
            Err(Error::not_run(ErrorKind::Timeout, "the store did not answer in time").report())
        }
    }
}
