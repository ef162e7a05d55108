//! The section of asynchronous jobs: what the store last showed of each.

use std::time::{Instant, SystemTime};

use indexmap::IndexMap;
use jobs::Stored;
use model::{Attempt, JobId, Revision};

/// The asynchronous jobs of the cell.
#[derive(Debug, Clone, Default)]
pub(crate) struct Jobs {
    /// When this process began to own the cell; none while it does not.
    pub(crate) since: Option<Instant>,
    /// Jobs without an outcome.
    pub(crate) live: IndexMap<JobId, Live>,
    /// Jobs with an outcome that the store still keeps.
    pub(crate) ended: IndexMap<JobId, Ended>,
}

/// A job without an outcome.
#[derive(Debug, Clone)]
pub(crate) struct Live {
    /// When it was submitted; the oldest runs first.
    pub(crate) submitted: SystemTime,
    /// Whether the caller cancelled it while it ran.
    pub(crate) cancelling: bool,
    revision: Revision,
}

/// A job with an outcome.
#[derive(Debug, Clone)]
pub(crate) struct Ended {
    /// When the outcome was recorded.
    pub(crate) at: SystemTime,
    /// The attempt that was answered.
    pub(crate) attempt: Attempt,
    /// Chunks of the answer.
    pub(crate) chunks: u32,
    /// Whether a key claim belongs to the job.
    pub(crate) keyed: bool,
    /// The last revision of the record.
    pub(crate) revision: Revision,
}

/// What the store shows of a job.
#[derive(Debug)]
pub(crate) enum Seen {
    /// A job without an outcome.
    Live(JobId, Live),
    /// A job with an outcome.
    Ended(JobId, Ended),
    /// The record is gone.
    Gone(JobId),
}

impl Seen {
    /// Keeps what the controller needs of a record.
    pub(crate) fn of(stored: &Stored, revision: Revision) -> Self {
        let head = stored.head();
        let (at, attempt, chunks) = match stored {
            Stored::Answered(job) => (job.state.ended, job.state.attempt, job.state.chunks),
            Stored::Refused(job) => (job.state.ended, job.state.attempt, 0),
            Stored::Accepted(_) | Stored::Running(_) | Stored::Cancelling(_) => {
                let live = Live {
                    submitted: head.submitted,
                    cancelling: matches!(stored, Stored::Cancelling(_)),
                    revision,
                };
                return Self::Live(head.request.id, live);
            }
        };
        let ended = Ended {
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
    /// Takes in what the store shows; an outcome is final, and older revisions arrive late.
    pub(crate) fn see(&mut self, seen: Seen) {
        match seen {
            Seen::Live(id, live) => {
                let is_newer = |known: &Live| known.revision < live.revision;
                if !self.ended.contains_key(&id) && self.live.get(&id).is_none_or(is_newer) {
                    self.live.insert(id, live);
                }
            }
            Seen::Ended(id, ended) => {
                self.live.swap_remove(&id);
                self.ended.insert(id, ended);
            }
            Seen::Gone(id) => {
                self.live.swap_remove(&id);
                self.ended.swap_remove(&id);
            }
        }
    }
}
