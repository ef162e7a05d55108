//! Changes of jobs that have to be stored.

use model::{JobEnd, JobId};

use crate::job::Job;
use crate::progress::Progress;
use crate::scheduler::Scheduler;

/// The durable state of a job at one version.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// The job.
    pub job: JobId,
    /// Its version; [`Scheduler::stored`] takes it back.
    pub version: u64,
    /// What to store.
    pub content: Content,
}

/// What to store of a job.
#[derive(Debug, Clone, PartialEq)]
pub enum Content {
    /// The job goes on.
    Progress(Progress),
    /// The job ended.
    Ended(JobEnd),
}

impl Scheduler {
    /// Takes up to `limit` ends of jobs that were not taken yet.
    pub fn take_ended(&mut self, limit: usize) -> Vec<Change> {
        self.take_changes(limit, |job| job.end.is_some())
    }

    /// Takes up to `limit` changes of jobs that go on and that were not taken yet.
    pub fn take_progress(&mut self, limit: usize) -> Vec<Change> {
        self.take_changes(limit, |job| job.end.is_none())
    }

    /// Takes changes of jobs of which no write is on its way, so that writes may overtake each other.
    fn take_changes(&mut self, limit: usize, takes: impl Fn(&Job) -> bool) -> Vec<Change> {
        let changed = self.jobs.values_mut();
        let changed = changed
            .filter(|job| {
                job.version > job.submitted_version
                    && job.submitted_version <= job.stored_version
                    && takes(job)
            })
            .take(limit);
        let change = changed.map(|job| {
            job.submitted_version = job.version;
            Change {
                job: job.id,
                version: job.version,
                content: match job.end {
                    Some(end) => Content::Ended(end),
                    None => Content::Progress(job.progress()),
                },
            }
        });
        change.collect()
    }

    /// Notes that the store has a job at a version.
    pub fn mark_stored(&mut self, job: JobId, version: u64) {
        let Some(job) = self.jobs.get_mut(&job) else {
            return;
        };
        job.stored_version = job.stored_version.max(version);
        self.status_version += 1;
        for worker in self.workers.values_mut() {
            worker
                .unstored_ends
                .retain(|(_, id, needed)| *id != job.id || *needed > job.stored_version);
        }
    }
}
