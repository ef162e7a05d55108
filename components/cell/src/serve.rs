//! Handles calls from other processes.

use std::sync::Arc;
use std::time::Duration;

use error_stack::Report;
use errors::{Error, ErrorKind, Result};
use graph::job_bytes;
use model::{Epoch, JobId, JobState, Revision};
use wire::{Call, CellView, KnownState, Leader, Reply};

use crate::clock::boot_now;
use crate::entry::Entry;
use crate::leader::{Event, Leading, Owner};
use crate::{cancel, records, submit};

pub(crate) async fn answer(entry: Arc<Entry>, call: Call) -> Result<Reply> {
    match call {
        Call::CellView => Ok(Reply::CellView(cell_view(&entry))),
        Call::CellViewAfter(epoch) => {
            wait_for_newer_owner(&entry, epoch).await;
            Ok(Reply::CellView(cell_view(&entry)))
        }
        Call::LeaderElected(leader) => {
            accept_announcement(&entry, leader);
            Ok(Reply::Done)
        }
        Call::ConfigurationAfter(version) => newer_configuration(&entry, version),
        Call::ConfigurationState => Ok(configuration_state(&entry)),
        Call::ConfigurationDocument(after) => configuration_document(&entry, after),
        Call::Submit(submission) => submit::store_relayed(&entry, submission.id, submission.job)
            .await
            .map(|()| Reply::Done),
        Call::CancelJob(cancellation) => cancel::store_relayed(&entry, &cancellation)
            .await
            .map(Reply::JobKnown),
        call => answer_as_leader(&entry, call).await,
    }
}

/// Handles a call that only the owner can answer.
pub(crate) async fn answer_as_leader(entry: &Arc<Entry>, call: Call) -> Result<Reply> {
    let owner = entry.board.owner()?;
    match call {
        Call::Report(report) => {
            let instructions = owner.handle.report(*report).await?;
            Ok(Reply::Instructions(Box::new(instructions)))
        }
        Call::AdmitJob(asked) => entry.admit_for_entry(&owner, &asked).await,
        Call::JobStored(stored) => {
            let bytes = job_bytes(&stored.job);
            owner
                .handle
                .send(Event::JobStored {
                    id: stored.id,
                    admission: entry.admissions.hold(&stored.job.account, bytes),
                    job: stored.job,
                    revision: stored.revision,
                })
                .await?;
            entry.job_room(&owner)
        }
        Call::JobCancelled(id) => {
            owner.handle.send(Event::JobCancelled(id)).await?;
            Ok(Reply::Done)
        }
        Call::JobState(id) => Ok(Reply::JobState(KnownState(
            state_awaiting_end(&owner, id).await?,
        ))),
        Call::QueueWaiting(queue) => {
            let states = owner.published()?.states.load();
            Ok(Reply::Count(
                states.waiting.get(&queue).copied().unwrap_or(0),
            ))
        }
        _ => {
            let message = "entries do not support this call";
            Err(Error::not_run(ErrorKind::InvalidRequest, message).report())
        }
    }
}

/// How long a query about a running job waits for the job to end: the time that an end takes from
/// the worker through the owner to the store if these are in two regions. Clients ask right after
/// the work is done and come back only after a pause.
const JOB_END_WAIT: Duration = Duration::from_millis(100);

/// Returns the state of a job, including an end that is about to be stored.
async fn state_awaiting_end(owner: &Owner<Leading>, id: JobId) -> Result<Option<JobState>> {
    let states = &owner.published()?.states;
    let mut changes = states.changes();
    let state = || states.load().jobs.get(&id).copied();
    let job_end =
        async { while state() == Some(JobState::Running) && changes.changed().await.is_ok() {} };
    // If the job does not end in time, its current state is returned.
    let _ = tokio::time::timeout(JOB_END_WAIT, owner.handle.until_ended(job_end)).await;
    let states = owner.published()?.states.load();
    Ok(states.jobs.get(&id).copied())
}

/// Returns the error of a call that needs the owner when this entry is not the owner.
pub(crate) fn not_owner_error() -> Report<Error> {
    Error::not_run(ErrorKind::StaleEpoch, "this entry does not own the cell").report()
}

/// How long an agent that asks for a newer owner waits at most. A connection that goes silent is noticed by the agent soon
/// after this time.
pub(crate) const OWNER_WAIT: Duration = Duration::from_secs(4);

/// Waits until an owner with a higher epoch is known, at most for [`OWNER_WAIT`].
async fn wait_for_newer_owner(entry: &Entry, epoch: Epoch) {
    let mut members = entry.board.members.changes();
    let mut announcements = entry.board.announced_leader.changes();
    let is_newer = |leader: Leader| leader.epoch > epoch;
    let newer_owner = async {
        while !entry.board.leader().is_some_and(is_newer) {
            let changed = tokio::select! {
                changed = members.changed() => changed,
                changed = announcements.changed() => changed,
            };
            if changed.is_err() {
                return;
            }
        }
    };
    // After the wait, the agent gets the current state and asks again.
    let _ = tokio::time::timeout(OWNER_WAIT, newer_owner).await;
}

fn cell_view(entry: &Entry) -> CellView {
    let mut entries = entry.other_entries();
    entries.push(entry.settings.addr);
    CellView {
        leader: entry.board.leader(),
        entries,
    }
}

fn accept_announcement(entry: &Entry, leader: Leader) {
    let newer = entry
        .board
        .announced_leader
        .load()
        .as_ref()
        .as_ref()
        .is_none_or(|known| known.epoch < leader.epoch);
    let epoch = leader.epoch;
    if newer {
        entry.board.announced_leader.publish(Some(leader));
    }
    // Answering this call promises that this entry lets no agent renew a lease any more. An owner that is published after this
    // finds the announcement.
    entry.board.end_owner_before(epoch);
}

/// Answers processes of earlier versions of the program, which compare configurations by their version.
fn newer_configuration(entry: &Entry, after: u64) -> Result<Reply> {
    let configuration = entry.board.configuration.snapshot();
    if configuration.version <= after {
        return Ok(Reply::Configuration(None));
    }
    let encoded = records::encode(&**configuration)?;
    let newer = (configuration.version, encoded.to_vec());
    Ok(Reply::Configuration(Some(newer)))
}

fn configuration_state(entry: &Entry) -> Reply {
    let in_force = entry.board.in_force.load();
    let known = in_force.configuration().is_some();
    let state = known.then(|| (in_force.revision(), in_force.age(boot_now())));
    Reply::ConfigurationState(state)
}

fn configuration_document(entry: &Entry, after: Revision) -> Result<Reply> {
    let in_force = entry.board.in_force.snapshot();
    let revision = in_force.revision();
    let newer = in_force.configuration().filter(|_| revision > after);
    let document = newer.map(|configuration| records::encode(&**configuration));
    let document = document.transpose()?;
    Ok(Reply::ConfigurationDocument(
        document.map(|encoded| (revision, encoded.to_vec())),
    ))
}
