//! Notifies the owner of stored changes, so that it does not have to wait for its watch.

use std::sync::Arc;
use std::time::Duration;

use errors::Result;
use wire::{Call, Reply, StoredSubmission};

use crate::admission::Admission;
use crate::entry::Entry;

/// Timeout of a notification: several times the latency between regions.
const NOTIFY_TIMEOUT: Duration = Duration::from_millis(400);
/// Number of attempts to notify the owner. Its watch finds the changes that it was not notified of.
const NOTIFY_ATTEMPTS: u32 = 3;

/// Notifies the owner in a background task.
pub(crate) fn notify_owner(entry: &Arc<Entry>, call: Call) {
    let entry = Arc::clone(entry);
    tokio::spawn(async move { notify(&entry, &call).await });
}

/// Notifies the owner of a stored job in a background task, which keeps the room for the job until then.
pub(crate) fn notify_stored(
    entry: &Arc<Entry>,
    stored: StoredSubmission,
    admission: Option<Admission>,
) {
    let entry = Arc::clone(entry);
    tokio::spawn(async move {
        match notify(&entry, &Call::JobStored(Box::new(stored))).await {
            Some(reply) => entry.admissions.record_reply(&reply),
            None => admission.into_iter().for_each(Admission::keep_unconfirmed),
        }
    });
}

/// Notifies the owner; returns its reply, or `None` if it could not be reached.
async fn notify(entry: &Arc<Entry>, call: &Call) -> Option<Reply> {
    for _ in 0..NOTIFY_ATTEMPTS {
        if let Ok(reply) = entry.call_leader(call.clone(), NOTIFY_TIMEOUT).await {
            return Some(reply);
        }
        tokio::time::sleep(NOTIFY_TIMEOUT / 4).await;
    }
    log::info!(target: "limpethook", attempts = NOTIFY_ATTEMPTS; "owner_notification_failed");
    None
}

impl Entry {
    /// Calls the owner, or handles the call locally if this entry is the owner.
    pub(crate) async fn call_leader(
        self: &Arc<Self>,
        call: Call,
        timeout: Duration,
    ) -> Result<Reply> {
        if self.board.owner().is_ok() {
            return crate::serve::answer_as_leader(self, call).await;
        }
        let Some(leader) = self.board.leader() else {
            return Err(crate::serve::not_owner_error());
        };
        self.call(leader.addr, &call, timeout).await
    }
}
