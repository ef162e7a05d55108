//! Writes job changes to the store, on the condition that the owner still owns the cell.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use errors::Result;
use graph::{Change, Content, PlacementChange};
use indexmap::IndexSet;
use model::{AgentId, JobId, QueueId, Revision};
use store::{CommitOutcome, KvPair, LeaseId, Transaction};

use crate::clock::boot_now;
use crate::entry::Entry;
use crate::keys::{self, OWNER_KEY, ROSTER_KEY};
use crate::leader::{Event, LeaderHandle};
use crate::records::{self, JobRecord, Placements, Roster};
use crate::submit::write_with_timeout;
use crate::supervise;

/// Ends per transaction: each takes five of the 32 entries that the store accepts, and the key of
/// the owner takes one.
pub(crate) const ENDS_BATCH: usize = 6;
/// Progress changes per transaction; each takes two entries.
pub(crate) const PROGRESS_BATCH: usize = 15;
/// Records of placements per transaction; each takes two entries.
pub(crate) const PLACEMENTS_BATCH: usize = 15;
/// Delay before a failed write is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Jobs that end within this time share one lease for their records.
const RETENTION_LEASE_SHARING: Duration = Duration::from_mins(1);

/// Queue of a job and the revisions of its records in the store.
#[derive(Debug, Clone, Default)]
pub(crate) struct JobRevisions {
    pub(crate) queue: QueueId,
    /// Revision of the job record.
    pub(crate) record: Revision,
    /// Revision of the progress; 0 if none is stored.
    pub(crate) progress: Revision,
}

/// Kinds of writes that do not wait for each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WriteKind {
    /// Ends of jobs, which clients wait for.
    Ends,
    /// Progress of jobs that have not ended.
    Progress,
}

/// A write to the store.
#[derive(Debug)]
pub(crate) enum Write {
    /// Job changes, each with the current revisions in the store.
    Jobs(WriteKind, Vec<(Change, JobRevisions)>),
    /// Agents on which jobs may have runs, each with the revision of the stored record.
    Placements(Vec<(PlacementChange, Revision)>),
    /// Deletes the records of placements of jobs that have ended, each with its revision.
    StalePlacements(Vec<(JobId, Revision)>),
    /// Agents that may hold runs, and the revision of the stored roster.
    Roster(IndexSet<AgentId>, Revision),
}

/// A job version that has been stored.
#[derive(Debug)]
pub(crate) struct StoredJob {
    pub(crate) job: JobId,
    pub(crate) version: u64,
    /// Revisions in the store after the write.
    pub(crate) revisions: JobRevisions,
}

/// State shared by the writes of one owner.
pub(crate) struct Writer {
    entry: Arc<Entry>,
    handle: LeaderHandle,
    /// Lease of the records of ended jobs, and when it was granted.
    retention: ArcSwapOption<(LeaseId, Duration)>,
}

impl Writer {
    pub(crate) fn new(entry: Arc<Entry>, handle: LeaderHandle) -> Arc<Self> {
        Arc::new(Self {
            entry,
            handle,
            retention: ArcSwapOption::empty(),
        })
    }

    /// Writes in a background task until everything is stored, then notifies the owner.
    pub(crate) fn start(self: &Arc<Self>, write: Write) {
        let write = write_until_stored(Arc::clone(self), write);
        let handle = self.handle.clone();
        let write = handle.until_ended(write);
        tokio::spawn(async move {
            // Without the result of the write, the owner would never write the same jobs again.
            if supervise::catch_panic("writer", write).await.is_err() {
                handle.end();
            }
        });
    }

    /// Deletes the records of placements of jobs that have ended, in background tasks.
    pub(crate) fn delete_placements(self: &Arc<Self>, jobs: &[(JobId, Revision)]) {
        for batch in jobs.chunks(PLACEMENTS_BATCH) {
            self.start(Write::StalePlacements(batch.to_vec()));
        }
    }

    /// Makes one attempt; returns the revision once everything is stored.
    async fn write(&self, write: &mut Write) -> Option<Revision> {
        match self.try_write(write).await {
            Ok(CommitOutcome::Written { revision }) => {
                self.entry.record_store_result(true, &"changes stored");
                return Some(revision);
            }
            Ok(CommitOutcome::Conflict { current }) => self.adopt_revisions(write, &current),
            Ok(CommitOutcome::LeaseExpired) => self.retention.store(None),
            Err(report) => self
                .entry
                .record_store_result(false, report.current_context()),
        }
        None
    }

    async fn try_write(&self, write: &Write) -> Result<CommitOutcome> {
        let mut transaction = Transaction {
            preconditions: vec![(OWNER_KEY.into(), self.handle.epoch)],
            ..Transaction::default()
        };
        match write {
            Write::Roster(agents, revision) => {
                transaction
                    .preconditions
                    .push((ROSTER_KEY.into(), *revision));
                let value = records::encode(&Roster(agents.clone()))?;
                transaction.puts.push((ROSTER_KEY.into(), value, None));
            }
            Write::Placements(changes) => {
                for (change, revision) in changes {
                    let key = keys::placements(change.job);
                    let value = records::encode(&Placements(change.agents.clone()))?;
                    transaction.preconditions.push((key.clone(), *revision));
                    transaction.puts.push((key, value, None));
                }
            }
            Write::StalePlacements(jobs) => {
                for (job, revision) in jobs {
                    let key = keys::placements(*job);
                    transaction.preconditions.push((key.clone(), *revision));
                    transaction.deletes.push(key);
                }
            }
            Write::Jobs(_, changes) => {
                let retention = self.retention(changes).await?;
                for (change, revisions) in changes {
                    add_change(&mut transaction, change, revisions, retention)?;
                }
            }
        }
        write_with_timeout(self.entry.store.commit(&transaction)).await
    }

    /// Returns the lease for the records of ended jobs, if there are any.
    async fn retention(&self, changes: &[(Change, JobRevisions)]) -> Result<Option<LeaseId>> {
        let is_end =
            |(change, _): &(Change, JobRevisions)| matches!(change.content, Content::Ended(_));
        if !changes.iter().any(is_end) {
            return Ok(None);
        }
        let granted_at = boot_now();
        if let Some(known) = self.retention.load_full()
            && granted_at < known.1 + RETENTION_LEASE_SHARING
        {
            return Ok(Some(known.0));
        }
        let ttl = self.entry.settings.retention + RETENTION_LEASE_SHARING;
        let lease = write_with_timeout(self.entry.store.grant_lease(ttl)).await?;
        self.retention.store(Some(Arc::new((lease, granted_at))));
        Ok(Some(lease))
    }

    /// Adopts the current revisions in the store, since an earlier write may have succeeded without
    /// an answer. Ends the owner if another one has taken over.
    fn adopt_revisions(&self, write: &mut Write, current: &[KvPair]) {
        let revision = |key: &str| {
            let found = current.iter().find(|found| *found.key == *key);
            found.map_or(0, |found| found.revision)
        };
        let epoch = self.handle.epoch;
        if revision(OWNER_KEY) != epoch {
            log::info!(target: "limpethook", epoch = epoch, current = revision(OWNER_KEY); "owner_fenced");
            self.handle.end();
            return;
        }
        match write {
            Write::Roster(_, known) => *known = revision(ROSTER_KEY),
            Write::Placements(changes) => {
                for (change, known) in changes {
                    *known = revision(&keys::placements(change.job));
                }
            }
            // A record that has changed belongs to a job that was submitted again.
            Write::StalePlacements(jobs) => {
                jobs.retain(|(job, known)| revision(&keys::placements(*job)) == *known);
            }
            Write::Jobs(_, changes) => {
                for (change, revisions) in changes {
                    match change.content {
                        Content::Progress(_) => {
                            revisions.progress = revision(&keys::progress(change.job));
                        }
                        Content::Ended(_) => revisions.record = revision(&keys::job(change.job)),
                    }
                }
            }
        }
    }
}

async fn write_until_stored(writer: Arc<Writer>, mut write: Write) {
    let revision = loop {
        if let Some(revision) = writer.write(&mut write).await {
            break revision;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    };
    let event = match write {
        Write::Roster(agents, _) => Event::RosterWritten { agents, revision },
        Write::Placements(changes) => Event::PlacementsWritten {
            jobs: changes.into_iter().map(|(change, _)| change.job).collect(),
            revision,
        },
        Write::StalePlacements(_) => return,
        Write::Jobs(kind, changes) => Event::JobsWritten {
            kind,
            jobs: changes
                .into_iter()
                .map(|(change, revisions)| stored_job(&change, revisions, revision))
                .collect(),
        },
    };
    // The send fails only if the owner has ended.
    let _ = writer.handle.send(event).await;
}

fn stored_job(change: &Change, mut revisions: JobRevisions, revision: Revision) -> StoredJob {
    match change.content {
        Content::Progress(_) => revisions.progress = revision,
        Content::Ended(_) => {
            revisions.progress = 0;
            revisions.record = revision;
        }
    }
    StoredJob {
        job: change.job,
        version: change.version,
        revisions,
    }
}

fn add_change(
    transaction: &mut Transaction,
    change: &Change,
    revisions: &JobRevisions,
    retention: Option<LeaseId>,
) -> Result<()> {
    let progress_key = keys::progress(change.job);
    match &change.content {
        Content::Progress(progress) => {
            let value = records::encode(progress)?;
            let expected = (progress_key.clone(), revisions.progress);
            transaction.preconditions.push(expected);
            transaction.puts.push((progress_key, value, None));
        }
        Content::Ended(end) => {
            let key = keys::job(change.job);
            let record = JobRecord::Ended {
                queue: revisions.queue.clone(),
                end: *end,
            };
            let value = records::encode(&record)?;
            transaction
                .preconditions
                .push((key.clone(), revisions.record));
            transaction.puts.push((key, value, retention));
            transaction.deletes.push(keys::cancellation(change.job));
            transaction.deletes.push(keys::placements(change.job));
            if revisions.progress > 0 {
                transaction.deletes.push(progress_key);
            }
        }
    }
    Ok(())
}
