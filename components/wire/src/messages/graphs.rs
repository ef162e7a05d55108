//! Messages about job graphs between entries, the owner of their cell and agents.

use std::net::SocketAddr;
use std::sync::Arc;

use model::{AcceptedJob, AccountId, EntryId, Epoch, JobId, JobState, QueueId, Revision};
use serde::{Deserialize, Serialize};

/// The entry that owns a cell of job graphs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leader {
    /// Id of the entry.
    pub entry: EntryId,
    /// Address of the entry for calls.
    pub addr: SocketAddr,
    /// Epoch of the owner, which is the store revision at which it became the owner.
    pub epoch: Epoch,
}

/// The state of a cell as known to an entry.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellView {
    /// Owner of the cell, if there is one.
    pub leader: Option<Leader>,
    /// Addresses of the entries for calls.
    pub entries: Vec<SocketAddr>,
}

/// A job that is forwarded to another entry because the sender cannot reach the store.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Submission {
    /// Id of the job.
    pub id: JobId,
    /// Job that was submitted.
    pub job: Arc<AcceptedJob>,
}

/// A job that has been stored.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StoredSubmission {
    /// Id of the job.
    pub id: JobId,
    /// Job that was accepted.
    pub job: Arc<AcceptedJob>,
    /// Store revision of the job's record.
    pub revision: Revision,
}

/// A job for which the owner is asked for room before it is stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobAdmission {
    /// Id of the job.
    pub id: JobId,
    /// Client account that submitted the job.
    pub account: AccountId,
    /// Memory that the job takes at the owner.
    pub bytes: u64,
}

/// A cancellation that is forwarded to another entry because the sender cannot reach the store.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Cancellation {
    /// Id of the job.
    pub id: JobId,
    /// Client account that cancelled the job.
    pub account: AccountId,
    /// Queue that the client specified.
    pub queue: QueueId,
}

/// The state of a job; `None` if the job is unknown to the receiver.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownState(pub Option<JobState>);
