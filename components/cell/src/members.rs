//! Members controller: registers this entry and follows the entries and the owner of the cell.

use std::sync::Arc;
use std::time::Duration;

use errors::Result;
use indexmap::IndexMap;
use model::EntryId;
use store::{Change, KvPair, LeaseId, Precondition, WatchOutcome};
use wire::Leader;

use crate::clock::boot_now;
use crate::entry::Entry;
use crate::keys::{CELL_PREFIX, ENTRIES_PREFIX, OWNER_KEY};
use crate::records::{EntryRecord, OwnerRecord};
use crate::{keys, records};

/// Duration of one watch. A connection that goes silent is noticed one watch later.
const WATCH_DURATION: Duration = Duration::from_secs(5);
/// Interval at which the members are listed, because a watch may continue after a change that it did not show.
const LIST_INTERVAL: Duration = Duration::from_secs(10);
/// Delay after a failed store call.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// TTL of a registration. A stale address only costs a failed call.
const REGISTRATION_TTL: Duration = Duration::from_secs(12);
/// Interval of registration renewals: a third of the TTL.
const REGISTRATION_RENEWAL_INTERVAL: Duration = Duration::from_secs(4);

/// Entries and owner of the cell as last read from the store.
#[derive(Debug, Clone, Default)]
pub(crate) struct Members {
    pub(crate) leader: Option<Leader>,
    pub(crate) entries: IndexMap<EntryId, EntryRecord>,
}

/// Follows the members for the lifetime of the process.
pub(crate) async fn run(entry: Arc<Entry>) {
    loop {
        if let Err(report) = watch_store(&entry).await {
            entry.record_store_result(false, report.current_context());
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

async fn watch_store(entry: &Entry) -> Result<()> {
    let list_at = boot_now() + LIST_INTERVAL;
    let listing = entry.store.list(CELL_PREFIX).await?;
    let mut members = Members::default();
    listing
        .pairs
        .iter()
        .for_each(|found| apply_put(&mut members, found));
    publish(entry, &members);
    entry.record_store_result(true, &"members listed");
    let mut after = listing.revision;
    while boot_now() < list_at {
        let changes = match entry
            .store
            .watch(CELL_PREFIX, after, WATCH_DURATION)
            .await?
        {
            WatchOutcome::Changes { changes, revision } => {
                after = revision;
                changes
            }
            WatchOutcome::Compacted { .. } => return Ok(()),
        };
        entry.record_store_result(true, &"members watched");
        if changes.is_empty() {
            continue;
        }
        for change in changes {
            match change {
                Change::Put(found) => apply_put(&mut members, &found),
                Change::Deleted { key, .. } => apply_delete(&mut members, &key),
            }
        }
        publish(entry, &members);
    }
    Ok(())
}

fn publish(entry: &Entry, members: &Members) {
    let known = entry.board.members.load();
    let before = known
        .as_ref()
        .as_ref()
        .and_then(|known| known.leader.as_ref());
    let before = before.map(|leader| leader.epoch);
    let now = members.leader.as_ref().map(|leader| leader.epoch);
    if before != now {
        let name = members.leader.as_ref().map_or("", |leader| &leader.entry);
        log::info!(target: "limpethook", owner = name, epoch = now.unwrap_or(0); "owner_changed");
    }
    entry.board.members.publish(Some(members.clone()));
    if let Some(epoch) = now {
        entry.board.end_owner_before(epoch);
    }
}

fn apply_put(members: &mut Members, found: &KvPair) {
    if let Some(name) = found.key.strip_prefix(ENTRIES_PREFIX) {
        match records::decode_entry(&found.key, &found.value) {
            Ok(record) => {
                members.entries.insert(name.into(), record);
            }
            Err(report) => log_unreadable(&report),
        }
    } else if &*found.key == OWNER_KEY {
        match decode_owner(found) {
            Ok(leader) => members.leader = Some(leader),
            Err(report) => log_unreadable(&report),
        }
    }
}

fn log_unreadable(report: &error_stack::Report<errors::Error>) {
    log::error!(target: "limpethook", error:% = report.current_context(); "record_unreadable");
}

pub(crate) fn decode_owner(found: &KvPair) -> Result<Leader> {
    let record: OwnerRecord = records::decode(&found.key, &found.value)?;
    Ok(Leader {
        entry: record.entry,
        addr: record.addr,
        epoch: found.revision,
    })
}

fn apply_delete(members: &mut Members, key: &str) {
    if key == OWNER_KEY {
        members.leader = None;
    } else if let Some(name) = key.strip_prefix(ENTRIES_PREFIX) {
        members.entries.shift_remove(name);
    }
}

/// Keeps the address of this entry registered until the shutdown.
pub(crate) async fn register(entry: Arc<Entry>) {
    let mut lease = None;
    let mut ticks = entry.timer.subscribe_every(REGISTRATION_RENEWAL_INTERVAL);
    loop {
        match renew(&entry, lease).await {
            Ok(renewed) => lease = Some(renewed),
            Err(report) => {
                log::debug!(target: "limpethook", error:% = report.current_context(); "registration_failed");
            }
        }
        tokio::select! {
            tick = ticks.recv() => if tick.is_none() { return },
            () = entry.shutdown.cancelled() => break,
        }
    }
    if let Some(lease) = lease
        && let Err(report) = entry.store.revoke_lease(lease).await
    {
        log::info!(target: "limpethook", error:% = report.current_context(); "registration_revocation_failed");
    }
}

async fn renew(entry: &Entry, lease: Option<LeaseId>) -> Result<LeaseId> {
    if let Some(lease) = lease
        && entry.store.renew_lease(lease).await?
    {
        return Ok(lease);
    }
    let lease = entry.store.grant_lease(REGISTRATION_TTL).await?;
    let value = records::encode(&EntryRecord {
        addr: entry.settings.addr,
        processor_share: entry.settings.processor_share,
        job_bytes: u64::try_from(entry.clients.capacity().jobs).ok(),
    })?;
    let key = keys::entry(&entry.settings.entry);
    entry
        .store
        .put(&key, value, Precondition::Any, Some(lease))
        .await?;
    log::info!(target: "limpethook", entry:% = entry.settings.entry, at_ms = boot_now().as_millis(); "registered");
    Ok(lease)
}
