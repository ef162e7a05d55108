//! Lists and watches the job records of the cell.

use std::time::Duration;

use errors::Result;
use jobs::{decode_record, job_prefix};
use model::{JobId, Revision};
use store::{Change, KvPair, WatchOutcome};
use tokio::sync::mpsc;

use crate::context::Context;
use crate::jobs::OwnedContext;
use crate::jobs::persist::wait_before_retry;
use crate::jobs::section::JobUpdate;

/// How long one watch call waits for changes.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// Sends all records, and then their changes, until the receiver is dropped.
pub(crate) async fn run(cx: OwnedContext, tx: mpsc::Sender<Vec<JobUpdate>>) {
    let prefix = job_prefix(&cx.settings.cell);
    let mut after: Option<Revision> = None;
    loop {
        let result = match after {
            None => list(&cx, &prefix).await.map(Some),
            Some(revision) => next_changes(&cx, &prefix, revision).await,
        };
        match result {
            Ok(Some((updates, revision))) => {
                // The first listing tells that the jobs are known, even if there are none.
                let is_listing = after.replace(revision).is_none();
                if (is_listing || !updates.is_empty()) && tx.send(updates).await.is_err() {
                    return;
                }
            }
            // The store compacted its history, so all records are read again.
            Ok(None) => after = None,
            Err(report) => {
                log::debug!(target: "limpethook", error:% = report.current_context(); "jobs_watch_failed");
                wait_before_retry(&cx).await;
            }
        }
    }
}

async fn list(cx: &Context, prefix: &str) -> Result<(Vec<JobUpdate>, Revision)> {
    let listing = cx.store.list(prefix).await?;
    let updates = listing.pairs.iter().filter_map(job_update);
    Ok((updates.collect(), listing.revision))
}

async fn next_changes(
    cx: &Context,
    prefix: &str,
    after: Revision,
) -> Result<Option<(Vec<JobUpdate>, Revision)>> {
    match cx.store.watch(prefix, after, WATCH_WAIT).await? {
        WatchOutcome::Compacted { .. } => Ok(None),
        WatchOutcome::Changes { changes, revision } => {
            let updates = changes.iter().filter_map(|change| match change {
                Change::Put(entry) => job_update(entry),
                Change::Deleted { key, .. } => {
                    let id = key.strip_prefix(prefix)?;
                    Some(JobUpdate::Deleted(JobId::from_str_radix(id, 16).ok()?))
                }
            });
            Ok(Some((updates.collect(), revision)))
        }
    }
}

fn job_update(entry: &KvPair) -> Option<JobUpdate> {
    match decode_record(&entry.value) {
        Ok(stored) => Some(JobUpdate::from_record(&stored, entry.revision)),
        Err(report) => {
            log::error!(target: "limpethook", key:% = entry.key, error:% = report.current_context(); "job_record_unreadable");
            None
        }
    }
}
