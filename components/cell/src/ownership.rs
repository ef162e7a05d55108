//! Ownership controller: acquires the cell while it has no owner, and renews the lease of the
//! owner.
//!
//! The life cycle is a typestate: a `Candidate` becomes a `Holder` by a conditional write, and a
//! holder never becomes a candidate again with the same epoch.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use errors::Result;
use model::{Epoch, Revision};
use store::{CommitOutcome, LeaseId, Transaction};
use tokio::task::JoinSet;
use wire::{Call, Leader};

use crate::clock::boot_now;
use crate::entry::Entry;
use crate::keys::{OWNER_KEY, RECENT_OWNERS_KEY};
use crate::leader::{self, Event, LeaderHandle, Loading, Owner, Started};
use crate::members::Members;
use crate::records::{self, OwnerRecord, RecentOwners};

/// TTL of the lease. A killed owner is replaced within this time, and slow answers of the store do
/// not end the ownership.
const LEASE_TTL: Duration = Duration::from_secs(2);
/// Interval of the renewals: a quarter of the TTL.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);
/// A renewal that is not answered within this time is sent again on another connection.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(900);
/// Delay before a failed renewal is sent again.
const RENEWAL_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The owner stops giving orders this long before the lease can expire, to allow for the
/// granularity of the timers.
const SAFETY_MARGIN: Duration = Duration::from_millis(200);
/// Range of the random delay before an acquisition, which limits the load that several candidates
/// put on the store.
const ACQUIRE_JITTER_MS: u64 = 30;
/// Additional delay of an entry while a stronger one is registered, which acquires the cell in this time if it lives: a
/// few times the latency between regions.
const STRONGER_ENTRY_DELAY: Duration = Duration::from_millis(120);
/// Delay after a failed acquisition.
const ACQUIRE_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Interval at which the members are checked if no change is published.
const MEMBERS_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Delay between attempts to reach an earlier owner.
const CONFIRM_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Timeout for announcing a new owner to another entry.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(500);

/// An entry that may acquire the cell.
struct Candidate<'a> {
    entry: &'a Arc<Entry>,
}

/// The entry that owns the cell.
struct Holder<'a> {
    entry: &'a Arc<Entry>,
    lease: LeaseId,
    leader: Leader,
    /// Record that was written for this ownership.
    record: OwnerRecord,
    /// Earlier owners that may still let agents renew leases.
    earlier: Vec<OwnerRecord>,
    /// Whether the records of placements name all agents on which earlier owners may have placed runs.
    relies_on_records: bool,
    valid_until: Duration,
}

/// Acquires the cell and holds it, repeatedly, until the shutdown.
pub(crate) async fn run(entry: Arc<Entry>) {
    while !entry.shutdown.is_cancelled() {
        let candidate = Candidate { entry: &entry };
        let Some(replaced) = candidate.wait_until_vacant().await else {
            continue;
        };
        match candidate.acquire(replaced).await {
            Ok(Some(holder)) => holder.lead().await,
            Ok(None) => tokio::time::sleep(ACQUIRE_RETRY_DELAY).await,
            Err(report) => {
                log::info!(target: "limpethook", error:% = report.current_context(); "acquisition_failed");
                tokio::time::sleep(ACQUIRE_RETRY_DELAY).await;
            }
        }
    }
}

impl<'a> Candidate<'a> {
    /// Waits until the cell can be acquired. Returns the revision of the record to replace, or 0 if
    /// there is none; `None` means that the members have to be checked again.
    ///
    /// A record that names this entry was left by its previous process, which has ended, so there
    /// is no lease to wait for.
    async fn wait_until_vacant(&self) -> Option<Revision> {
        let mut changes = self.entry.board.members.changes();
        let members = self.entry.board.members.snapshot();
        match members.as_ref() {
            Some(Members {
                leader: Some(leader),
                ..
            }) if leader.entry == self.entry.settings.entry => return Some(leader.epoch),
            Some(known @ Members { leader: None, .. }) => {
                tokio::time::sleep(self.acquisition_delay(known)).await;
                let members = self.entry.board.members.snapshot();
                let is_vacant = |known: &Members| known.leader.is_none();
                return members
                    .as_ref()
                    .as_ref()
                    .is_some_and(is_vacant)
                    .then_some(0);
            }
            _ => {}
        }
        tokio::select! {
            _ = changes.changed() => {}
            () = self.entry.shutdown.cancelled() => {}
            () = tokio::time::sleep(MEMBERS_CHECK_INTERVAL) => {}
        }
        None
    }

    /// Returns the delay before an acquisition. The owner schedules the whole cell, so a stronger entry goes first.
    fn acquisition_delay(&self, members: &Members) -> Duration {
        let own = self.entry.settings.processor_share;
        let mut entries = members.entries.values();
        let is_outranked = entries.any(|record| record.processor_share > own);
        let delay = if is_outranked {
            STRONGER_ENTRY_DELAY
        } else {
            Duration::ZERO
        };
        delay + Duration::from_millis(fastrand::u64(0..ACQUIRE_JITTER_MS))
    }

    /// Writes the record of the owner on the condition that the record to replace is unchanged.
    async fn acquire(self, replaced: Revision) -> Result<Option<Holder<'a>>> {
        let requested_at = boot_now();
        let ttl = LEASE_TTL.max(self.entry.settings.min_store_lease);
        let lease = self.entry.store.grant_lease(ttl).await?;
        let settings = &self.entry.settings;
        let record = OwnerRecord {
            entry: settings.entry.clone(),
            addr: settings.addr,
            nonce: fastrand::u64(..),
        };
        let found = self.entry.store.get(RECENT_OWNERS_KEY).await?;
        let recent = match &found {
            Some(found) => records::decode_recent_owners(RECENT_OWNERS_KEY, &found.value)?,
            None => RecentOwners::default(),
        };
        let relies_on_records = recent.are_all_recording();
        // A record that names this entry belongs to an earlier process or to an ownership that has
        // ended.
        let earlier: Vec<OwnerRecord> = recent
            .owners
            .into_iter()
            .filter(|owner| owner.entry != record.entry)
            .collect();
        let mut owners = earlier.clone();
        owners.push(record.clone());
        let mut recording = recent.recording;
        recording.retain(|nonce| earlier.iter().any(|owner| owner.nonce == *nonce));
        if relies_on_records {
            recording.push(record.nonce);
        }
        let transaction = Transaction {
            preconditions: vec![
                (OWNER_KEY.into(), replaced),
                (
                    RECENT_OWNERS_KEY.into(),
                    found.map_or(0, |found| found.revision),
                ),
            ],
            puts: vec![
                (OWNER_KEY.into(), records::encode(&record)?, Some(lease)),
                (
                    RECENT_OWNERS_KEY.into(),
                    records::encode(&RecentOwners { owners, recording })?,
                    None,
                ),
            ],
            deletes: Vec::new(),
        };
        let epoch = match self.entry.store.commit(&transaction).await {
            Ok(CommitOutcome::Written { revision }) => Some(revision),
            Ok(CommitOutcome::Conflict { .. } | CommitOutcome::LeaseExpired) => None,
            // The write may have succeeded without an answer; the nonce identifies it.
            Err(_) => self.find_own_record(&record).await?,
        };
        let Some(epoch) = epoch else {
            self.entry.store.revoke_lease(lease).await?;
            return Ok(None);
        };
        let leader = Leader {
            entry: record.entry.clone(),
            addr: record.addr,
            epoch,
        };
        Ok(Some(Holder {
            entry: self.entry,
            lease,
            leader,
            record,
            earlier,
            relies_on_records,
            valid_until: (requested_at + ttl).saturating_sub(SAFETY_MARGIN),
        }))
    }

    async fn find_own_record(&self, record: &OwnerRecord) -> Result<Option<u64>> {
        let Some(found) = self.entry.store.get(OWNER_KEY).await? else {
            return Ok(None);
        };
        let own = records::decode::<OwnerRecord>(OWNER_KEY, &found.value)? == *record;
        Ok(own.then_some(found.revision))
    }
}

impl Holder<'_> {
    /// Acts as the owner until the ownership ends.
    async fn lead(mut self) {
        let entry = self.entry;
        let epoch = self.leader.epoch;
        if is_replaced(entry, epoch) {
            log::info!(target: "limpethook", epoch = epoch; "ownership_outdated");
            self.release().await;
            tokio::time::sleep(ACQUIRE_RETRY_DELAY).await;
            return;
        }
        log::info!(target: "limpethook", epoch = epoch; "ownership_begins");
        let started = leader::start(
            entry,
            &self.leader,
            self.relies_on_records,
            self.valid_until,
        );
        let Started { owner, scheduling } = match started.await {
            Ok(started) => started,
            Err(report) => {
                log::warn!(target: "limpethook", epoch = self.leader.epoch, error:% = report.current_context(); "ownership_failed");
                self.release().await;
                return;
            }
        };
        let handle = owner.handle.clone();
        let _end = handle.end_on_drop();
        let confirmation = confirm_earlier_ended(
            Arc::clone(entry),
            self.leader.clone(),
            self.record.clone(),
            std::mem::take(&mut self.earlier),
            handle.clone(),
        );
        tokio::spawn(handle.until_ended(confirmation));
        let lead = lead_once_loaded(entry, owner, self.leader.clone());
        // An entry that knows of a later owner has promised to let no agent renew a lease, maybe before it started as the owner.
        let reason = tokio::select! {
            biased;
            () = wait_until_replaced(entry, epoch) => "replaced",
            () = wait_until_leaving(entry) => "leaving",
            () = handle.wait_until_ended() => "fenced",
            reason = self.renew_until_lost(&handle) => reason,
            never = lead => match never {},
        };
        handle.end();
        entry.board.owner.publish(None);
        log::info!(target: "limpethook", epoch = self.leader.epoch, reason = reason; "ownership_ends");
        self.release().await;
        // The next owner of this process must not run beside this one, which may be in the middle of a plan. The task catches panics.
        let _ = scheduling.await;
        entry.clients.record_jobs(0);
    }

    /// Renews the lease until it ends; returns the reason.
    async fn renew_until_lost(&mut self, handle: &LeaderHandle) -> &'static str {
        let outage_grace = self.entry.settings.scheduler.store_outage_grace;
        let ttl = LEASE_TTL.max(self.entry.settings.min_store_lease);
        loop {
            let delay = if boot_now() < self.valid_until {
                RENEWAL_INTERVAL
            } else {
                RENEWAL_RETRY_DELAY
            };
            tokio::time::sleep(delay).await;
            let sent_at = boot_now();
            let renewal = self.entry.store.renew_lease(self.lease);
            match tokio::time::timeout(RENEWAL_TIMEOUT, renewal).await {
                Ok(Ok(true)) => {
                    self.entry.record_store_result(true, &"lease renewed");
                    self.valid_until = (sent_at + ttl).saturating_sub(SAFETY_MARGIN);
                    handle.extend(self.valid_until);
                }
                Ok(Ok(false)) => return "lapsed",
                Ok(Err(report)) => {
                    // Only the store can tell that the lease has ended. Without an answer, the TTL
                    // decides.
                    log::info!(target: "limpethook", epoch = self.leader.epoch, error:% = report.current_context(); "renewal_failed");
                    handle.record_unanswered();
                    tokio::time::sleep(RENEWAL_RETRY_DELAY).await;
                }
                Err(_) => {
                    handle.record_unanswered();
                    tokio::time::sleep(RENEWAL_RETRY_DELAY).await;
                }
            }
            if boot_now() > self.valid_until + outage_grace {
                return "store unreachable";
            }
        }
    }

    async fn release(self) {
        if let Err(report) = self.entry.store.revoke_lease(self.lease).await {
            log::info!(target: "limpethook", error:% = report.current_context(); "lease_revocation_failed");
        }
    }
}

/// Waits until the owner has loaded its records; only then do requests and other entries get to know it.
async fn lead_once_loaded(entry: &Arc<Entry>, owner: Owner<Loading>, leader: Leader) -> Infallible {
    if let Some(owner) = owner.wait_until_loaded().await {
        log::info!(target: "limpethook", epoch = leader.epoch; "ownership_published");
        let handle = owner.handle.clone();
        entry.board.owner.publish(Some(Arc::new(owner)));
        // A later owner that was announced before this one was published did not end it.
        if is_replaced(entry, leader.epoch) {
            handle.end();
        }
        tokio::spawn(announce(Arc::clone(entry), leader));
    }
    std::future::pending().await
}

/// Returns whether this entry knows of a later owner than that of an epoch.
fn is_replaced(entry: &Entry, epoch: Epoch) -> bool {
    let newest = entry.board.leader();
    newest.is_some_and(|leader| leader.epoch > epoch)
}

/// Waits until this entry knows of a later owner than that of an epoch.
async fn wait_until_replaced(entry: &Entry, epoch: Epoch) {
    let mut announced = entry.board.announced_leader.changes();
    let mut members = entry.board.members.changes();
    while !is_replaced(entry, epoch) {
        tokio::select! {
            _ = announced.changed() => {}
            _ = members.changed() => {}
        }
    }
}

/// Waits until the entry shuts down and another one can take over, at most until the end of the
/// handover time.
///
/// During a rolling restart of a few entries, all of them may be shutting down at the same time.
async fn wait_until_leaving(entry: &Entry) {
    entry.shutdown.cancelled().await;
    let mut changes = entry.board.members.changes();
    let has_successor = || {
        let members = entry.board.members.load();
        let mut names = members.iter().flat_map(|members| members.entries.keys());
        names.any(|name| *name != entry.settings.entry)
    };
    let successor = async { while !has_successor() && changes.changed().await.is_ok() {} };
    // Without a successor, the ownership ends just before the process does.
    let _ = tokio::time::timeout(entry.settings.handover_time, successor).await;
}

/// Confirms that earlier owners have ended, which shortens the wait for agents that do not report.
async fn confirm_earlier_ended(
    entry: Arc<Entry>,
    leader: Leader,
    record: OwnerRecord,
    earlier: Vec<OwnerRecord>,
    handle: LeaderHandle,
) {
    let epoch = leader.epoch;
    let call = Call::LeaderElected(leader);
    let all_end = async {
        for owner in &earlier {
            while entry
                .call(owner.addr, &call, ANNOUNCE_TIMEOUT)
                .await
                .is_err()
            {
                tokio::time::sleep(CONFIRM_RETRY_DELAY).await;
            }
        }
    };
    let ownership_limit = entry.settings.scheduler.store_outage_grace + LEASE_TTL;
    if tokio::time::timeout(ownership_limit, all_end).await.is_ok() {
        // Fails only if the owner has ended in the meantime.
        let _ = handle.send(Event::PreviousEnded).await;
    }
    // After this time, no earlier owner lets an agent renew a lease, whether it answered or not. An earlier owner that kept no
    // records of placements stays listed until the records are complete.
    handle.wait_until_recorded().await;
    while let Err(report) = remove_earlier_owners(&entry, epoch, &record).await {
        log::info!(target: "limpethook", error:% = report.current_context(); "recent_owners_write_failed");
        tokio::time::sleep(CONFIRM_RETRY_DELAY).await;
    }
}

/// Records that only this owner may let agents renew leases, and that the records of placements are complete.
async fn remove_earlier_owners(entry: &Entry, epoch: Epoch, record: &OwnerRecord) -> Result<()> {
    let recent = RecentOwners {
        recording: vec![record.nonce],
        owners: vec![record.clone()],
    };
    let value = records::encode(&recent)?;
    let transaction = Transaction {
        preconditions: vec![(OWNER_KEY.into(), epoch)],
        puts: vec![(RECENT_OWNERS_KEY.into(), value, None)],
        deletes: Vec::new(),
    };
    entry.store.commit(&transaction).await?;
    Ok(())
}

/// Announces a new owner to the other entries, so that those rejected by the store learn of it too.
async fn announce(entry: Arc<Entry>, leader: Leader) {
    let mut announcements = JoinSet::new();
    for addr in entry.other_entries() {
        let entry = Arc::clone(&entry);
        let call = Call::LeaderElected(leader.clone());
        announcements.spawn(async move { entry.call(addr, &call, ANNOUNCE_TIMEOUT).await });
    }
    while announcements.join_next().await.is_some() {}
}
