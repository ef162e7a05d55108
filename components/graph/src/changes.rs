//! Job changes to be written to the store.

use model::{JobEnd, JobId};

use crate::job::Job;
use crate::progress::Progress;
use crate::scheduler::Scheduler;

/// The state of a job to store, at one version.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// The id of the job.
    pub job: JobId,
    /// Version of the job, to be passed to [`Scheduler::mark_stored`] after the write.
    pub version: u64,
    /// The state to store.
    pub content: Content,
}

/// The stored form of a job.
#[derive(Debug, Clone, PartialEq)]
pub enum Content {
    /// The job has not ended.
    Progress(Progress),
    /// The job has ended.
    Ended(JobEnd),
}

impl Scheduler {
    /// Takes up to `limit` pending changes of jobs that have ended.
    pub fn take_ended(&mut self, limit: usize) -> Vec<Change> {
        self.take_changes(limit, |job| job.end.is_some())
    }

    /// Takes up to `limit` pending changes of jobs that have not ended.
    pub fn take_progress(&mut self, limit: usize) -> Vec<Change> {
        self.take_changes(limit, |job| job.end.is_none())
    }

    /// Takes pending changes, at most one per job in flight, so that writes of different jobs may complete in any
    /// order.
    fn take_changes(&mut self, limit: usize, filter: impl Fn(&Job) -> bool) -> Vec<Change> {
        let held = self.held_jobs();
        let changed = self.jobs.values_mut();
        let changed = changed
            .filter(|job| {
                job.version > job.submitted_version
                    && job.submitted_version <= job.stored_version
                    // The end deletes the record of placements.
                    && !(job.end.is_some() && job.record.is_being_written())
                    && !held.contains(&job.id)
                    && filter(job)
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

    /// Records that a version of a job was stored, which allows the ends it includes to be acknowledged.
    pub fn mark_stored(&mut self, job: JobId, version: u64) {
        let Some(job) = self.jobs.get_mut(&job) else {
            return;
        };
        // Units wait until their crashes are stored.
        self.plan_needed |= job.mark_stored(version);
        self.status_version += 1;
        for worker in self.workers.values_mut() {
            worker
                .unstored_ends
                .retain(|(_, id, needed)| *id != job.id || *needed > job.stored_version);
        }
        let id = job.id;
        self.note_stored_end(id);
    }
}
