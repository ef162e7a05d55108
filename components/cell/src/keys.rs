//! Store keys.

use model::{EntryId, JobId};
use store::Key;

/// Prefix of the entries and the owner, which all entries watch.
pub(crate) const CELL_PREFIX: &str = "limpethook/cell/";
/// Record of the owner, attached to the lease of the owner.
pub(crate) const OWNER_KEY: &str = "limpethook/cell/owner";
/// Owners that may still let agents renew leases. This record outlives the lease of the owner.
pub(crate) const RECENT_OWNERS_KEY: &str = "limpethook/recent-owners";
/// Prefix of the entry addresses, each attached to the lease of its entry.
pub(crate) const ENTRIES_PREFIX: &str = "limpethook/cell/entries/";
/// Prefix of job records and cancellations, which the owner watches.
pub(crate) const JOBS_PREFIX: &str = "limpethook/jobs/";
/// Prefix of the progress of jobs, which only the owner writes.
pub(crate) const PROGRESS_PREFIX: &str = "limpethook/progress/";
/// Prefix of the agents on which jobs may have runs, which only the owner writes.
pub(crate) const PLACEMENTS_PREFIX: &str = "limpethook/placements/";
/// Agents that may hold runs.
pub(crate) const ROSTER_KEY: &str = "limpethook/roster";

const CANCEL_SUFFIX: &str = "/cancel";

/// Returns the key of the address of an entry.
pub(crate) fn entry(id: &EntryId) -> Key {
    format!("{ENTRIES_PREFIX}{id}").into()
}

/// Returns the key of the record of a job.
pub(crate) fn job(id: JobId) -> Key {
    format!("{JOBS_PREFIX}{id:016x}").into()
}

/// Returns the key of the cancellation of a job.
pub(crate) fn cancellation(id: JobId) -> Key {
    format!("{JOBS_PREFIX}{id:016x}{CANCEL_SUFFIX}").into()
}

/// Returns the key of the progress of a job.
pub(crate) fn progress(id: JobId) -> Key {
    format!("{PROGRESS_PREFIX}{id:016x}").into()
}

/// Returns the key of the agents on which a job may have runs.
pub(crate) fn placements(id: JobId) -> Key {
    format!("{PLACEMENTS_PREFIX}{id:016x}").into()
}

/// A parsed key under the jobs prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum JobKey {
    Record(JobId),
    Cancellation(JobId),
}

/// Parses a key under the jobs prefix.
pub(crate) fn parse_job_key(key: &str) -> Option<JobKey> {
    let name = key.strip_prefix(JOBS_PREFIX)?;
    let parse = |id: &str| JobId::from_str_radix(id, 16).ok();
    match name.strip_suffix(CANCEL_SUFFIX) {
        Some(id) => parse(id).map(JobKey::Cancellation),
        None => parse(name).map(JobKey::Record),
    }
}

/// Parses a key under the progress prefix.
pub(crate) fn parse_progress_key(key: &str) -> Option<JobId> {
    JobId::from_str_radix(key.strip_prefix(PROGRESS_PREFIX)?, 16).ok()
}

/// Parses a key under the placements prefix.
pub(crate) fn parse_placements_key(key: &str) -> Option<JobId> {
    JobId::from_str_radix(key.strip_prefix(PLACEMENTS_PREFIX)?, 16).ok()
}
