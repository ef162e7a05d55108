//! The members controller: registers this entry and follows the entries and the owner of the cell.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use errors::Result;
use indexmap::IndexMap;
use model::EntryId;
use store::{Change, Entry as StoreEntry, Expect, LeaseId, Watched};
use wire::Leader;

use crate::clock::boot_now;
use crate::entry::Entry;
use crate::keys::{CELL_PREFIX, ENTRIES_PREFIX, OWNER_KEY};
use crate::records::OwnerRecord;
use crate::{keys, records};

/// How long one watch waits: a connection that went silent is noticed one watch later.
const WATCH_WAIT: Duration = Duration::from_secs(5);
/// Pause after a failed call to the store.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Term of the lease of a registration; stale addresses only cost a failed call.
const REGISTRATION_LEASE: Duration = Duration::from_secs(12);
/// Interval of its renewals, a third of the term.
const REGISTRATION_RENEWAL: Duration = Duration::from_secs(4);

/// The entries and the owner of the cell as the store last showed them.
#[derive(Debug, Clone, Default)]
pub(crate) struct Members {
    /// The owner.
    pub(crate) leader: Option<Leader>,
    /// Addresses of the entries.
    pub(crate) entries: IndexMap<EntryId, SocketAddr>,
    /// Whether the store has answered since the start.
    pub(crate) known: bool,
}

/// Follows the members until the process ends.
pub(crate) async fn run(entry: Arc<Entry>) {
    tokio::spawn(register(Arc::clone(&entry)));
    loop {
        if let Err(report) = follow(&entry).await {
            entry.note_store(false, report.current_context());
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

async fn follow(entry: &Entry) -> Result<()> {
    let listing = entry.store.list(CELL_PREFIX).await?;
    let mut members = Members {
        known: true,
        ..Members::default()
    };
    listing
        .entries
        .iter()
        .for_each(|found| put(&mut members, found));
    publish(entry, members);
    entry.note_store(true, &"members listed");
    let mut after = listing.revision;
    loop {
        let changes = match entry.store.watch(CELL_PREFIX, after, WATCH_WAIT).await? {
            Watched::Changes { changes, revision } => {
                after = revision;
                changes
            }
            Watched::Compacted { .. } => return Ok(()),
        };
        entry.note_store(true, &"members watched");
        if changes.is_empty() {
            continue;
        }
        let mut members = Members::clone(&entry.board.members.load());
        for change in changes {
            match change {
                Change::Put(found) => put(&mut members, &found),
                Change::Deleted { key, .. } => remove(&mut members, &key),
            }
        }
        publish(entry, members);
    }
}

fn publish(entry: &Entry, members: Members) {
    let before = entry
        .board
        .members
        .load()
        .leader
        .as_ref()
        .map(|leader| leader.epoch);
    let now = members.leader.as_ref().map(|leader| leader.epoch);
    if before != now {
        let name = members.leader.as_ref().map_or("", |leader| &leader.entry);
        log::info!(target: "limpethook", owner = name, epoch = now.unwrap_or(0); "owner_changed");
    }
    entry.board.members.publish(members);
}

fn put(members: &mut Members, found: &StoreEntry) {
    if let Some(name) = found.key.strip_prefix(ENTRIES_PREFIX) {
        match records::decode(&found.key, &found.value) {
            Ok(addr) => {
                members.entries.insert(name.into(), addr);
            }
            Err(report) => unreadable(&report),
        }
    } else if &*found.key == OWNER_KEY {
        match owner(found) {
            Ok(leader) => members.leader = Some(leader),
            Err(report) => unreadable(&report),
        }
    }
}

fn unreadable(report: &error_stack::Report<errors::Error>) {
    log::error!(target: "limpethook", error:% = report.current_context(); "record_unreadable");
}

/// Reads the record of the owner.
pub(crate) fn owner(found: &StoreEntry) -> Result<Leader> {
    let record: OwnerRecord = records::decode(&found.key, &found.value)?;
    Ok(Leader {
        entry: record.entry,
        addr: record.addr,
        epoch: found.revision,
    })
}

fn remove(members: &mut Members, key: &str) {
    if key == OWNER_KEY {
        members.leader = None;
    } else if let Some(name) = key.strip_prefix(ENTRIES_PREFIX) {
        members.entries.shift_remove(name);
    }
}

/// Keeps the address of this entry in the store.
async fn register(entry: Arc<Entry>) {
    let mut lease = None;
    let mut ticks = entry.timer.subscribe_every(REGISTRATION_RENEWAL);
    loop {
        match renew(&entry, lease).await {
            Ok(renewed) => lease = Some(renewed),
            Err(report) => {
                log::debug!(target: "limpethook", error:% = report.current_context(); "registration_failed");
            }
        }
        tokio::select! {
            tick = ticks.recv() => if tick.is_none() { return },
            () = entry.leaving.cancelled() => break,
        }
    }
    if let Some(lease) = lease
        && let Err(report) = entry.store.revoke_lease(lease).await
    {
        log::info!(target: "limpethook", error:% = report.current_context(); "registration_not_ended");
    }
}

async fn renew(entry: &Entry, lease: Option<LeaseId>) -> Result<LeaseId> {
    if let Some(lease) = lease
        && entry.store.renew_lease(lease).await?
    {
        return Ok(lease);
    }
    let lease = entry.store.grant_lease(REGISTRATION_LEASE).await?;
    let value = records::encode(&entry.settings.addr)?;
    let key = keys::entry(&entry.settings.entry);
    entry
        .store
        .put(&key, value, Expect::Any, Some(lease))
        .await?;
    log::info!(target: "limpethook", entry:% = entry.settings.entry, at_ms = boot_now().as_millis(); "registered");
    Ok(lease)
}
