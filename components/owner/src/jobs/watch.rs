//! Listing and watching the records of the cell.

use std::sync::Arc;
use std::time::Duration;

use errors::Result;
use jobs::{decode, job_prefix};
use model::{JobId, Revision};
use store::{Change, Entry, Watched};
use tokio::sync::mpsc;

use crate::context::Context;
use crate::jobs::persist::pause;
use crate::jobs::section::Seen;

/// How long one watch waits at the store.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// Passes on every record and every change until the receiver is gone.
pub(crate) async fn run(cx: Arc<Context>, tx: mpsc::Sender<Vec<Seen>>) {
    let prefix = job_prefix(&cx.settings.cell);
    let mut after: Option<Revision> = None;
    loop {
        let result = match after {
            None => list(&cx, &prefix).await.map(Some),
            Some(revision) => next_changes(&cx, &prefix, revision).await,
        };
        match result {
            Ok(Some((seen, revision))) => {
                after = Some(revision);
                if !seen.is_empty() && tx.send(seen).await.is_err() {
                    return;
                }
            }
            // The history was compacted, so everything is read again.
            Ok(None) => after = None,
            Err(report) => {
                log::debug!(target: "limpethook", error:% = report.current_context(); "jobs_watch_failed");
                pause(&cx).await;
            }
        }
    }
}

async fn list(cx: &Context, prefix: &str) -> Result<(Vec<Seen>, Revision)> {
    let listing = cx.store.list(prefix).await?;
    let seen = listing.entries.iter().filter_map(seen);
    Ok((seen.collect(), listing.revision))
}

async fn next_changes(
    cx: &Context,
    prefix: &str,
    after: Revision,
) -> Result<Option<(Vec<Seen>, Revision)>> {
    match cx.store.watch(prefix, after, WATCH_WAIT).await? {
        Watched::Compacted { .. } => Ok(None),
        Watched::Changes { changes, revision } => {
            let seen = changes.iter().filter_map(|change| match change {
                Change::Put(entry) => seen(entry),
                Change::Deleted { key, .. } => {
                    let id = key.strip_prefix(prefix)?;
                    Some(Seen::Gone(JobId::from_str_radix(id, 16).ok()?))
                }
            });
            Ok(Some((seen.collect(), revision)))
        }
    }
}

fn seen(entry: &Entry) -> Option<Seen> {
    match decode(&entry.value) {
        Ok(stored) => Some(Seen::of(&stored, entry.revision)),
        Err(report) => {
            log::error!(target: "limpethook", key:% = entry.key, error:% = report.current_context(); "job_record_unreadable");
            None
        }
    }
}
