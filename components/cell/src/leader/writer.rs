//! Writes changes of jobs to the store, on the condition that the owner still owns the cell.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use errors::Result;
use graph::{Change, Content};
use indexmap::IndexSet;
use model::{AgentId, JobId, QueueId, Revision};
use store::{Committed, Entry as StoreEntry, LeaseId, Transaction};

use crate::clock::boot_now;
use crate::entry::Entry;
use crate::keys::{self, OWNER_KEY, ROSTER_KEY};
use crate::leader::{Event, LeaderHandle};
use crate::records::{self, JobRecord, Roster};
use crate::submit::timed_write;

/// Ends in one transaction: each takes four of the 32 entries that the store accepts, the owner's key takes one.
pub(crate) const ENDS_BATCH: usize = 7;
/// Changes of jobs that go on in one transaction: each takes two entries.
pub(crate) const PROGRESS_BATCH: usize = 15;
/// Pause before a failed write is made again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// A lease for records of ended jobs serves those that end within this time.
const RETENTION_SHARED: Duration = Duration::from_mins(1);

/// What the store has of a job.
#[derive(Debug, Clone, Default)]
pub(crate) struct JobEntry {
    /// The queue.
    pub(crate) queue: QueueId,
    /// The revision of the record.
    pub(crate) record: Revision,
    /// The revision of what is done; 0 if nothing is stored.
    pub(crate) progress: Revision,
}

/// Kinds of changes that do not wait for each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Lane {
    /// Ends of jobs, which clients wait for.
    Ends,
    /// Changes of jobs that go on.
    Progress,
}

/// What is to be stored.
#[derive(Debug)]
pub(crate) enum Write {
    /// Changes of jobs, with what the store has of each.
    Jobs(Lane, Vec<(Change, JobEntry)>),
    /// The agents that may hold runs, and the revision of the roster.
    Roster(IndexSet<AgentId>, Revision),
}

/// A version of a job that the store has.
#[derive(Debug)]
pub(crate) struct StoredJob {
    /// The job.
    pub(crate) job: JobId,
    /// Its version.
    pub(crate) version: u64,
    /// What the store has of it now.
    pub(crate) entry: JobEntry,
}

/// What the writes of one owner share.
pub(crate) struct Writer {
    entry: Arc<Entry>,
    handle: LeaderHandle,
    /// The lease of records of ended jobs, and when it was granted.
    retention: ArcSwapOption<(LeaseId, Duration)>,
}

impl Writer {
    /// Creates the writer of an owner.
    pub(crate) fn new(entry: Arc<Entry>, handle: LeaderHandle) -> Arc<Self> {
        Arc::new(Self {
            entry,
            handle,
            retention: ArcSwapOption::empty(),
        })
    }

    /// Writes in the background until everything is in the store, and tells the owner.
    pub(crate) fn start(self: &Arc<Self>, write: Write) {
        let writing = run(Arc::clone(self), write);
        tokio::spawn(self.handle.until_ended(writing));
    }

    /// Tries once; returns the revision once everything is in the store.
    async fn write(&self, write: &mut Write) -> Option<Revision> {
        match self.try_write(write).await {
            Ok(Committed::Written { revision }) => {
                self.entry.note_store(true, &"changes stored");
                return Some(revision);
            }
            Ok(Committed::Conflict { current }) => self.conflict(write, &current),
            Ok(Committed::NoLease) => self.retention.store(None),
            Err(report) => self.entry.note_store(false, report.current_context()),
        }
        None
    }

    async fn try_write(&self, write: &Write) -> Result<Committed> {
        let mut transaction = Transaction {
            expect: vec![(OWNER_KEY.into(), self.handle.epoch)],
            ..Transaction::default()
        };
        match write {
            Write::Roster(agents, revision) => {
                transaction.expect.push((ROSTER_KEY.into(), *revision));
                let value = records::encode(&Roster(agents.clone()))?;
                transaction.puts.push((ROSTER_KEY.into(), value, None));
            }
            Write::Jobs(_, changes) => {
                let retention = self.retention(changes).await?;
                for (change, entry) in changes {
                    add(&mut transaction, change, entry, retention)?;
                }
            }
        }
        timed_write(self.entry.store.commit(&transaction)).await
    }

    /// Returns the lease for the records of ended jobs, if there are any.
    async fn retention(&self, changes: &[(Change, JobEntry)]) -> Result<Option<LeaseId>> {
        let is_end = |(change, _): &(Change, JobEntry)| matches!(change.content, Content::Ended(_));
        if !changes.iter().any(is_end) {
            return Ok(None);
        }
        let granted_at = boot_now();
        if let Some(known) = self.retention.load_full()
            && granted_at < known.1 + RETENTION_SHARED
        {
            return Ok(Some(known.0));
        }
        let term = self.entry.settings.retention + RETENTION_SHARED;
        let lease = timed_write(self.entry.store.grant_lease(term)).await?;
        self.retention.store(Some(Arc::new((lease, granted_at))));
        Ok(Some(lease))
    }

    /// Takes the revisions that the store has: an earlier write without an answer may have happened.
    fn conflict(&self, write: &mut Write, current: &[StoreEntry]) {
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
            Write::Jobs(_, changes) => {
                for (change, entry) in changes {
                    match change.content {
                        Content::Progress(_) => {
                            entry.progress = revision(&keys::progress(change.job));
                        }
                        Content::Ended(_) => entry.record = revision(&keys::job(change.job)),
                    }
                }
            }
        }
    }
}

async fn run(writer: Arc<Writer>, mut write: Write) {
    let revision = loop {
        if let Some(revision) = writer.write(&mut write).await {
            break revision;
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    };
    let event = match write {
        Write::Roster(agents, _) => Event::RosterWritten { agents, revision },
        Write::Jobs(lane, changes) => Event::Written {
            lane,
            jobs: changes
                .into_iter()
                .map(|(change, entry)| stored(&change, entry, revision))
                .collect(),
        },
    };
    // The owner has ended if nobody takes the event.
    let _ = writer.handle.send(event).await;
}

fn stored(change: &Change, mut entry: JobEntry, revision: Revision) -> StoredJob {
    match change.content {
        Content::Progress(_) => entry.progress = revision,
        Content::Ended(_) => {
            entry.progress = 0;
            entry.record = revision;
        }
    }
    StoredJob {
        job: change.job,
        version: change.version,
        entry,
    }
}

fn add(
    transaction: &mut Transaction,
    change: &Change,
    entry: &JobEntry,
    retention: Option<LeaseId>,
) -> Result<()> {
    let progress_key = keys::progress(change.job);
    match &change.content {
        Content::Progress(done) => {
            let value = records::encode(done)?;
            let expected = (progress_key.clone(), entry.progress);
            transaction.expect.push(expected);
            transaction.puts.push((progress_key, value, None));
        }
        Content::Ended(end) => {
            let key = keys::job(change.job);
            let record = JobRecord::Ended {
                queue: entry.queue.clone(),
                end: *end,
            };
            let value = records::encode(&record)?;
            transaction.expect.push((key.clone(), entry.record));
            transaction.puts.push((key, value, retention));
            transaction.deletes.push(keys::cancellation(change.job));
            if entry.progress > 0 {
                transaction.deletes.push(progress_key);
            }
        }
    }
    Ok(())
}
