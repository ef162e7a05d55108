//! The section of asynchronous jobs, as last read from the store.

use std::time::SystemTime;

use indexmap::IndexMap;
use jobs::JobRecord;
use model::{Attempt, JobId, Revision};

/// The asynchronous jobs of the cell.
#[derive(Debug, Clone, Default)]
pub(crate) struct Jobs {
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
    pub(crate) fn from_record(stored: &JobRecord, revision: Revision) -> Self {
        let header = stored.header();
        let (at, attempt, chunks) = match stored {
            JobRecord::Answered(job) => (job.state.ended_at, job.state.attempt, job.state.chunks),
            JobRecord::Refused(job) => (job.state.ended_at, job.state.attempt, 0),
            JobRecord::Accepted(_) | JobRecord::Running(_) | JobRecord::Cancelling(_) => {
                let live = LiveJob {
                    submitted: header.submitted_at,
                    cancelling: matches!(stored, JobRecord::Cancelling(_)),
                    revision,
                };
                return Self::Live(header.request.id, live);
            }
        };
        let ended = EndedJob {
            at,
            attempt,
            chunks,
            keyed: header.has_idempotency_key,
            revision,
        };
        Self::Ended(header.request.id, ended)
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
