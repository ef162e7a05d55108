//! Answers calls of other processes.

use std::sync::Arc;
use std::time::Duration;

use error_stack::Report;
use errors::{Error, ErrorKind, Result};
use model::{JobId, JobState};
use wire::{Call, CellView, KnownState, Leader, Reply};

use crate::entry::Entry;
use crate::leader::Event;
use crate::{cancel, records, submit};

/// Answers one call.
pub(crate) async fn answer(entry: Arc<Entry>, call: Call) -> Result<Reply> {
    match call {
        Call::CellView => Ok(Reply::CellView(view(&entry))),
        Call::Leads(leader) => {
            told(&entry, leader);
            Ok(Reply::Done)
        }
        Call::ConfigurationAfter(version) => configuration(&entry, version),
        Call::Submit(submission) => submit::store(&entry, submission.id, submission.job)
            .await
            .map(|()| Reply::Done),
        Call::CancelJob(cancellation) => cancel::store_cancellation(&entry, &cancellation)
            .await
            .map(Reply::JobKnown),
        call => as_leader(&entry, call).await,
    }
}

/// Answers a call to the owner.
pub(crate) async fn as_leader(entry: &Arc<Entry>, call: Call) -> Result<Reply> {
    let leading = entry.board.leading.snapshot();
    let Some(leading) = leading.as_ref() else {
        return Err(no_leader());
    };
    match call {
        Call::Report(report) => {
            let instructions = leading.report(*report).await?;
            Ok(Reply::Instructions(Box::new(instructions)))
        }
        Call::JobStored(stored) => {
            leading
                .send(Event::Stored {
                    id: stored.id,
                    job: Arc::new(stored.job),
                    revision: stored.revision,
                })
                .await?;
            Ok(Reply::Done)
        }
        Call::JobCancelled(id) => {
            leading.send(Event::Cancelled(id)).await?;
            Ok(Reply::Done)
        }
        Call::JobState(id) => Ok(Reply::JobState(KnownState(settled_state(entry, id).await))),
        Call::QueueWaiting(queue) => {
            let states = entry.board.states.load();
            Ok(Reply::Count(
                states.waiting.get(&queue).copied().unwrap_or(0),
            ))
        }
        _ => {
            let message = "this entry does not answer such calls";
            Err(Error::not_run(ErrorKind::InvalidRequest, message).report())
        }
    }
}

/// How long the answer about a running job waits for its end: the time that an end takes from its worker over the owner into
/// the store when these are in two regions. Clients ask right after the work is done and come back only after a pause.
const END_WAIT: Duration = Duration::from_millis(100);

/// Returns the state of a job, after an end of it that is on its way.
async fn settled_state(entry: &Entry, id: JobId) -> Option<JobState> {
    let mut changes = entry.board.states.changes();
    let state = || entry.board.states.load().jobs.get(&id).copied();
    let settled =
        async { while state() == Some(JobState::Running) && changes.changed().await.is_ok() {} };
    // A job that goes on is answered as it is after the wait.
    let _ = tokio::time::timeout(END_WAIT, settled).await;
    state()
}

/// Returns the error of a call that needs an owner when there is none.
pub(crate) fn no_leader() -> Report<Error> {
    Error::not_run(ErrorKind::StaleEpoch, "this entry does not own the cell").report()
}

fn view(entry: &Entry) -> CellView {
    let mut entries = entry.others();
    entries.push(entry.settings.addr);
    CellView {
        leader: entry.board.leader(),
        entries,
    }
}

fn told(entry: &Entry, leader: Leader) {
    let newer = entry
        .board
        .told
        .load()
        .as_ref()
        .as_ref()
        .is_none_or(|known| known.epoch < leader.epoch);
    if let Some(leading) = entry.board.leading.load().as_ref()
        && leading.epoch < leader.epoch
    {
        // The answer promises that this entry lets no agent extend a lease any more.
        leading.end();
    }
    if newer {
        entry.board.told.publish(Some(leader));
    }
}

fn configuration(entry: &Entry, after: u64) -> Result<Reply> {
    let configuration = entry.board.configuration.snapshot();
    if configuration.version <= after {
        return Ok(Reply::Configuration(None));
    }
    let encoded = records::encode(&**configuration)?;
    let newer = (configuration.version, encoded.to_vec());
    Ok(Reply::Configuration(Some(newer)))
}
