//! The section of asynchronous jobs, as last read from the store.

use std::time::{Instant, SystemTime};

use indexmap::IndexMap;
use jobs::Stored;
use model::{Attempt, JobId, Revision};

/// The asynchronous jobs of the cell.
#[derive(Debug, Clone, Default)]
pub(crate) struct Jobs {
    /// When this process began to own the cell; `None` while it does not.
    pub(crate) owned_since: Option<Instant>,
    /// Jobs without an outcome.
    pub(crate) live: IndexMap<JobId, LiveJob>,
    /// Jobs with an outcome that the store still contains.
    pub(crate) ended: IndexMap<JobId, EndedJob>,
}

/// A job without an outcome.
#[derive(Debug, Clone)]
pub(crate) struct LiveJob {
    /// When the job was submitted; the oldest job runs first.
    pub(crate) submitted: SystemTime,
    /// Whether the caller cancelled the job while it ran.
    pub(crate) cancelling: bool,
    revision: Revision,
}

/// A job with an outcome.
#[derive(Debug, Clone)]
pub(crate) struct EndedJob {
    /// When the outcome was recorded.
    pub(crate) at: SystemTime,
    /// The last attempt; the chunks are stored under its number.
    pub(crate) attempt: Attempt,
    /// Number of stored chunks of the answer.
    pub(crate) chunks: u32,
    /// Whether the store contains an idempotency key claim of the job.
    pub(crate) keyed: bool,
    /// The last revision of the record.
    pub(crate) revision: Revision,
}

/// A change of a job in the store.
#[derive(Debug)]
pub(crate) enum JobUpdate {
    /// A job without an outcome.
    Live(JobId, LiveJob),
    /// A job with an outcome.
    Ended(JobId, EndedJob),
    /// The record was deleted.
    Deleted(JobId),
}

impl JobUpdate {
    /// Extracts what the controller needs from a record.
    pub(crate) fn from_record(stored: &Stored, revision: Revision) -> Self {
        let head = stored.head();
        let (at, attempt, chunks) = match stored {
            Stored::Answered(job) => (job.state.ended, job.state.attempt, job.state.chunks),
            Stored::Refused(job) => (job.state.ended, job.state.attempt, 0),
            Stored::Accepted(_) | Stored::Running(_) | Stored::Cancelling(_) => {
                let live = LiveJob {
                    submitted: head.submitted,
                    cancelling: matches!(stored, Stored::Cancelling(_)),
                    revision,
                };
                return Self::Live(head.request.id, live);
            }
        };
        let ended = EndedJob {
            at,
            attempt,
            chunks,
            keyed: head.keyed,
            revision,
        };
        Self::Ended(head.request.id, ended)
    }
}

impl Jobs {
    /// Applies an update. Outcomes are final, and older revisions are ignored because they can arrive late.
    pub(crate) fn apply(&mut self, update: JobUpdate) {
        match update {
            JobUpdate::Live(id, live) => {
                let is_newer = |known: &LiveJob| known.revision < live.revision;
                if !self.ended.contains_key(&id) && self.live.get(&id).is_none_or(is_newer) {
                    self.live.insert(id, live);
                }
            }
            JobUpdate::Ended(id, ended) => {
                self.live.swap_remove(&id);
                self.ended.insert(id, ended);
            }
            JobUpdate::Deleted(id) => {
                self.live.swap_remove(&id);
                self.ended.swap_remove(&id);
            }
        }
    }
}
