//! Messages between processes.

mod cells;
mod gangs;
mod graphs;
mod requests;
mod sections;

use std::time::Duration;

use errors::Error;
use model::{
    CellId, EntryId, Epoch, Instructions, JobId, QueueId, RequestId, Revision, Worker, WorkerReport,
};
use serde::{Deserialize, Serialize};

use crate::claims::{Claim, ClaimReply, FindRequest, FoundRequest};

pub use cells::{
    Ack, Announce, CellSummary, Directory, EndpointEntry, Heartbeat, OwnerRecord, Packet,
    RecordedAttempt,
};
pub use gangs::{
    ArmGang, GangEnded, HeldGang, MemberFailed, Pulse, PulseAck, Reserve, StartGang, StopGang,
};
pub use graphs::{
    Cancellation, CellView, JobAdmission, KnownState, Leader, StoredSubmission, Submission,
};
pub use requests::{Answer, Attach, Cancel, Dispatch, Place, Placed};
pub use sections::{Section, Sections};

/// A call over TCP.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Call {
    /// Owner to agent: reserve the members of a gang and, if requested, an endpoint slot.
    Reserve(Reserve),
    /// Owner to gang leader: start a reserved gang.
    StartGang(StartGang),
    /// Gang leader to member: extend the reservation to the gang lease.
    ArmGang(ArmGang),
    /// Owner to gang leader, gang leader to member: stop or release a gang.
    StopGang(StopGang),
    /// Member to gang leader: a task failed on a worker.
    MemberFailed(MemberFailed),
    /// Gang leader to owner: a gang ended.
    GangEnded(GangEnded),
    /// Entry or owner to agent: run a request at the endpoint.
    Dispatch(Dispatch),
    /// Entry or owner to agent: cancel a queued or running request.
    CancelRequest(RequestId),
    /// Owner to agent: configuration sections that changed.
    Sections(Sections),
    /// Agent to owner: the complete state of the agent.
    Announce(Announce),
    /// Entry to owner: queue a request with a shape and reply when its gang runs.
    Place(Place),
    /// Entry to owner: cancel a job.
    Cancel(Cancel),
    /// Entry to owner: wait until the endpoint directory is newer than `after` and return it.
    Directory {
        /// Version that the entry has.
        after: u64,
    },
    /// Any process to any other: return the owner of a cell.
    FindOwner(CellId),
    /// Any process to any other: return the sections with a higher revision.
    SectionsAfter(Revision),
    /// Agent to entry: return the sections with a higher revision, without the parts that agents do not use.
    AgentSections(Revision),
    /// Owner to agent: return the outcome of a detached attempt, or that it is still running.
    Attach(Attach),
    /// Entry to owner: return the assignment of a request with an idempotency key, or assign it as proposed.
    Claim(Claim),
    /// Entry to agent: return the request if it is known; otherwise refuse it under lower epochs.
    FindRequest(FindRequest),
    /// Entry to relay: wait for sections with a higher revision and return them.
    NextSections {
        /// Revision that the entry has.
        after: Revision,
        /// Id of the entry.
        follower: EntryId,
    },
    /// Entry to owner: return the workers of the cell.
    Workers,
    /// Agent to owner: report the state of its worker and wait for instructions, until a timeout.
    Report(Box<WorkerReport>),
    /// Any process to an entry: return the state of the cell as known to the entry.
    CellView,
    /// New owner to entries: the sender has become the owner of the cell.
    LeaderElected(Leader),
    /// Any entry to any other: return the configuration if it is newer than this version.
    ConfigurationAfter(u64),
    /// Entry to owner: a job has been stored.
    JobStored(Box<StoredSubmission>),
    /// Entry to owner: the cancellation of a job has been stored.
    JobCancelled(JobId),
    /// Entry to owner: return the state of a job.
    JobState(JobId),
    /// Entry to owner: return the number of waiting jobs in a queue.
    QueueWaiting(QueueId),
    /// Entry to entry: store a job, because the sender cannot reach the store.
    Submit(Box<Submission>),
    /// Entry to entry: store a cancellation, because the sender cannot reach the store.
    CancelJob(Cancellation),
    /// Agent to entry: wait for a limited time until the cell has an owner with a higher epoch, and return the state of the
    /// cell.
    CellViewAfter(Epoch),
    /// Any entry to any other: return the revision of the configuration, and how long ago it was confirmed to be the newest.
    ConfigurationState,
    /// Any entry to any other: return the configuration if it was stored after this revision.
    ConfigurationDocument(Revision),
    /// Entry to owner: reserve room for a job that is about to be stored.
    AdmitJob(JobAdmission),
}

/// The reply to a call.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Reply {
    /// The call succeeded.
    Done,
    /// The call succeeded in this epoch.
    Epoch(Epoch),
    /// The owner of a cell, if known.
    Owner(Option<OwnerRecord>),
    /// A member extended its reservation.
    Armed(PulseAck),
    /// The gang of a request is running.
    Placed(Placed),
    /// The endpoint answered.
    Answer(Answer),
    /// The endpoint directory.
    Directory(Directory),
    /// Configuration sections.
    Sections(Sections),
    /// The assignment of a claimed request.
    Claimed(ClaimReply),
    /// The request, if the agent knows it.
    Found(Option<FoundRequest>),
    /// The call failed.
    Failed(Error),
    /// A detached attempt is still running.
    StillRunning,
    /// A detached attempt ended without an answer. This is its outcome, whereas `Failed` means that the query failed.
    AttemptFailed(Error),
    /// The workers of a cell.
    Workers(Vec<Worker>),
    /// Instructions for an agent.
    Instructions(Box<Instructions>),
    /// The state of the cell as known to the entry.
    CellView(CellView),
    /// The encoded configuration with its version, if it is newer than the requested version.
    Configuration(Option<(u64, Vec<u8>)>),
    /// The state of a job.
    JobState(KnownState),
    /// A number of jobs.
    Count(u32),
    /// Whether the cancelled job was known.
    JobKnown(bool),
    /// The revision of the configuration and the age of its last confirmation, if there are any.
    ConfigurationState(Option<(Revision, Option<Duration>)>),
    /// The encoded configuration with its revision, if it is newer than the requested one.
    ConfigurationDocument(Option<(Revision, Vec<u8>)>),
    /// The call succeeded, but the owner has to be asked before the next job is stored.
    JobRoomScarce,
}
