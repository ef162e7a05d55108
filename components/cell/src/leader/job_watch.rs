//! Watches for job records and cancellations that the owner was not notified of.

use std::sync::Arc;
use std::time::Duration;

use errors::Result;
use indexmap::IndexSet;
use model::Revision;
use store::{Change, KvPair, WatchOutcome};

use crate::clock::boot_now;
use crate::entry::Entry;
use crate::keys::{self, JOBS_PREFIX, JobKey};
use crate::leader::load::decode_record;
use crate::leader::{Event, LeaderHandle};
use crate::records::JobRecord;

/// Duration of one watch. Entries notify the owner of each job, so a silent watch delays only the
/// changes whose notification failed.
const WATCH_DURATION: Duration = Duration::from_secs(5);
/// Interval at which the changes since the last check are read again, because a watch may continue after a change that it
/// did not show.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Delay after a failed watch.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Follows the jobs until the owner ends.
pub(crate) async fn run(entry: Arc<Entry>, handle: LeaderHandle, mut after: Revision) {
    let mut checked = after;
    let mut next_check_at = boot_now() + CHECK_INTERVAL;
    loop {
        let watched = if boot_now() < next_check_at {
            watch_once(&entry, &handle, &mut after, WATCH_DURATION).await
        } else {
            next_check_at = boot_now() + CHECK_INTERVAL;
            watch_once(&entry, &handle, &mut checked, Duration::ZERO).await
        };
        match watched {
            Ok(()) => {}
            Err(report) => {
                log::debug!(target: "limpethook", error:% = report.current_context(); "job_watch_failed");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn watch_once(
    entry: &Entry,
    handle: &LeaderHandle,
    after: &mut Revision,
    duration: Duration,
) -> Result<()> {
    match entry.store.watch(JOBS_PREFIX, *after, duration).await? {
        WatchOutcome::Changes { changes, revision } => {
            for change in changes {
                match change {
                    Change::Put(found) => send_event(handle, &found).await?,
                    Change::Deleted { key, .. } => {
                        if let Some(JobKey::Record(id)) = keys::parse_job_key(&key) {
                            handle.send(Event::JobDeleted(id)).await?;
                        }
                    }
                }
            }
            *after = revision;
        }
        WatchOutcome::Compacted { .. } => {
            let listing = entry.store.list(JOBS_PREFIX).await?;
            let mut listed = IndexSet::new();
            for found in &listing.pairs {
                if let Some(JobKey::Record(id)) = keys::parse_job_key(&found.key) {
                    listed.insert(id);
                }
                send_event(handle, found).await?;
            }
            handle.send(Event::JobsListed(listed)).await?;
            *after = listing.revision;
        }
    }
    Ok(())
}

async fn send_event(handle: &LeaderHandle, found: &KvPair) -> Result<()> {
    match keys::parse_job_key(&found.key) {
        Some(JobKey::Record(id)) => {
            let event = match decode_record(found) {
                Ok(JobRecord::Accepted(job)) => Event::JobStored {
                    id,
                    job,
                    revision: found.revision,
                    admission: None,
                },
                Ok(JobRecord::Ended { end, .. }) => Event::JobEnded(id, end),
                Err(report) => {
                    log::error!(target: "limpethook", error:% = report.current_context(); "record_unreadable");
                    return Ok(());
                }
            };
            handle.send(event).await
        }
        Some(JobKey::Cancellation(id)) => handle.send(Event::JobCancelled(id)).await,
        None => Ok(()),
    }
}
