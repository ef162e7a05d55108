//! Loads the records of jobs when an owner starts.

use std::time::Duration;

use errors::{Error, ErrorKind, Result};
use graph::{LoadedJob, Progress};
use indexmap::{IndexMap, IndexSet};
use model::{AgentId, JobEnd, JobId, QueueId, Revision};
use store::KvPair;

use crate::entry::Entry;
use crate::keys::{JOBS_PREFIX, JobKey, PLACEMENTS_PREFIX, PROGRESS_PREFIX, ROSTER_KEY};
use crate::records::{JobRecord, Placements, Roster};
use crate::{keys, records};

/// Timeout for reading all records. The lease of the owner is not renewed until they are read.
const LOAD_TIMEOUT: Duration = Duration::from_millis(1500);

/// Records found in the store.
#[derive(Debug, Default)]
pub(crate) struct StoredRecords {
    /// Jobs that have not ended, with the revisions of their records.
    pub(crate) jobs: IndexMap<JobId, (LoadedJob, Revision)>,
    pub(crate) ended: IndexMap<JobId, (QueueId, JobEnd)>,
    /// Jobs with unreadable records, which are left as they are.
    unreadable: IndexSet<JobId>,
    /// Revisions of the progress of the jobs.
    pub(crate) progress: IndexMap<JobId, Revision>,
    /// Agents on which the jobs may have runs, with the revisions of the records.
    pub(crate) placements: IndexMap<JobId, (IndexSet<AgentId>, Revision)>,
    /// Jobs that are not loaded, but have a record of placements, with its revision.
    pub(crate) stale_placements: Vec<(JobId, Revision)>,
    /// Agents that may hold runs.
    pub(crate) roster: IndexSet<AgentId>,
    /// Revision of the roster, or 0 if there is none.
    pub(crate) roster_revision: Revision,
    /// Revision after which the watch continues.
    pub(crate) revision: Revision,
}

/// Loads all records within the timeout.
pub(crate) async fn load(entry: &Entry) -> Result<StoredRecords> {
    match tokio::time::timeout(LOAD_TIMEOUT, load_all(entry)).await {
        Ok(loaded) => loaded,
        Err(_) => {
            Err(Error::not_run(ErrorKind::Timeout, "timed out while reading the records").report())
        }
    }
}

async fn load_all(entry: &Entry) -> Result<StoredRecords> {
    let mut loaded = StoredRecords::default();
    let store = &entry.store;
    let (jobs, progress, placements, roster) = tokio::try_join!(
        store.list(JOBS_PREFIX),
        store.list(PROGRESS_PREFIX),
        store.list(PLACEMENTS_PREFIX),
        store.get(ROSTER_KEY)
    )?;
    if let Some(found) = roster {
        let Roster(agents) = records::decode(ROSTER_KEY, &found.value)?;
        loaded.roster = agents;
        loaded.roster_revision = found.revision;
    }
    loaded.revision = jobs.revision;
    let mut cancelled = IndexSet::new();
    for found in &jobs.pairs {
        match keys::parse_job_key(&found.key) {
            Some(JobKey::Cancellation(id)) => {
                cancelled.insert(id);
            }
            Some(JobKey::Record(id)) => loaded.add_record(id, found),
            None => {}
        }
    }
    for found in &progress.pairs {
        let Some(id) = keys::parse_progress_key(&found.key) else {
            continue;
        };
        loaded.progress.insert(id, found.revision);
        if let Some((job, _)) = loaded.jobs.get_mut(&id) {
            job.progress = Some(read_progress(found));
        }
    }
    for found in &placements.pairs {
        if let Some(id) = keys::parse_placements_key(&found.key) {
            loaded.add_placements(id, found);
        }
    }
    for id in cancelled {
        if let Some((job, _)) = loaded.jobs.get_mut(&id) {
            job.cancelled = true;
        }
    }
    Ok(loaded)
}

impl StoredRecords {
    /// Adds the record of the agents on which a job may have runs. If it is unreadable, these may be all.
    fn add_placements(&mut self, id: JobId, found: &KvPair) {
        if self.unreadable.contains(&id) {
            return;
        }
        if !self.jobs.contains_key(&id) {
            self.stale_placements.push((id, found.revision));
            return;
        }
        let decoded: Result<Placements> = records::decode(&found.key, &found.value);
        let agents = decoded.map_or_else(
            |report| {
                log::error!(target: "limpethook", error:% = report.current_context(); "record_unreadable");
                self.roster.clone()
            },
            |Placements(agents)| agents,
        );
        self.placements.insert(id, (agents, found.revision));
    }

    fn add_record(&mut self, id: JobId, found: &KvPair) {
        match decode_record(found) {
            Ok(JobRecord::Accepted(spec)) => {
                let job = LoadedJob {
                    id,
                    spec,
                    progress: None,
                    cancelled: false,
                };
                self.jobs.insert(id, (job, found.revision));
            }
            Ok(JobRecord::Ended { queue, end }) => {
                self.ended.insert(id, (queue, end));
            }
            Err(report) => {
                log::error!(target: "limpethook", error:% = report.current_context(); "record_unreadable");
                self.unreadable.insert(id);
            }
        }
    }
}

/// Decodes the progress of a job. An unreadable value is logged and counts as no progress.
pub(crate) fn read_progress(found: &KvPair) -> Progress {
    records::decode_progress(&found.key, &found.value).unwrap_or_else(|report| {
        log::error!(target: "limpethook", error:% = report.current_context(); "record_unreadable");
        Progress::default()
    })
}

/// Decodes and checks the record of a job.
pub(crate) fn decode_record(found: &KvPair) -> Result<JobRecord> {
    let record: JobRecord = records::decode(&found.key, &found.value)?;
    if let JobRecord::Accepted(job) = &record
        && let Err(problem) = job.check()
    {
        let message = format!("the record {} is invalid: {problem}", found.key);
        return Err(Error::not_run(ErrorKind::Corrupt, message).report());
    }
    Ok(record)
}
