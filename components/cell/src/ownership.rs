//! The ownership controller: contends for the cell while it has no owner, and keeps the lease of the owner.
//!
//! The life cycle is a typestate: `Contender` becomes `Holder` by a conditional write, and a holder never becomes a
//! contender again with the same epoch.

use std::sync::Arc;
use std::time::Duration;

use errors::Result;
use model::{Epoch, Revision};
use store::{Committed, LeaseId, Transaction};
use tokio::task::JoinSet;
use wire::{Call, Leader};

use crate::clock::boot_now;
use crate::entry::Entry;
use crate::keys::{OWNER_KEY, RECENT_OWNERS_KEY};
use crate::leader::{self, Event, LeaderHandle};
use crate::records::{self, OwnerRecord, RecentOwners};

/// Term of the lease: a killed owner is replaced within this time, and slow answers of the store do not end it.
const OWNER_LEASE: Duration = Duration::from_secs(2);
/// Interval of the renewals, a quarter of the term.
const RENEWAL: Duration = Duration::from_millis(500);
/// A renewal without an answer is sent again on another connection after this time.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(900);
/// Pause before a failed renewal is sent again.
const RENEWAL_RETRY: Duration = Duration::from_millis(100);
/// Orders stop this long before the lease can lapse, for the grain of the timers.
const SAFETY_MARGIN: Duration = Duration::from_millis(200);
/// Spread of the tries of several entries, to spare the store.
const CONTEND_SPREAD_MS: u64 = 30;
/// Pause after a failed try.
const CONTEND_PAUSE: Duration = Duration::from_millis(150);
/// How often the members are looked at when they do not change.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);
/// Pause between tries to reach the owner before.
const RELIEVE_PAUSE: Duration = Duration::from_millis(500);
/// The longest wait for another entry to hear of the new owner.
const TELL_TIMEOUT: Duration = Duration::from_millis(500);

/// An entry that could own the cell.
struct Contender<'a> {
    entry: &'a Arc<Entry>,
}

/// The entry that owns the cell.
struct Holder<'a> {
    entry: &'a Arc<Entry>,
    lease: LeaseId,
    leader: Leader,
    /// The record of this ownership.
    record: OwnerRecord,
    /// Earlier owners that may still let agents extend leases.
    earlier: Vec<OwnerRecord>,
    valid_until: Duration,
}

/// Contends for the cell and holds it, until the process leaves.
pub(crate) async fn run(entry: Arc<Entry>) {
    while !entry.leaving.is_cancelled() {
        let contender = Contender { entry: &entry };
        let Some(replaced) = contender.wait_until_free().await else {
            continue;
        };
        match contender.contend(replaced).await {
            Ok(Some(holder)) => holder.hold().await,
            Ok(None) => tokio::time::sleep(CONTEND_PAUSE).await,
            Err(report) => {
                log::info!(target: "limpethook", error:% = report.current_context(); "contend_failed");
                tokio::time::sleep(CONTEND_PAUSE).await;
            }
        }
    }
}

impl<'a> Contender<'a> {
    /// Waits until the cell can be taken; returns the revision of the record to replace, 0 if there is none.
    ///
    /// A record of this entry is left from its last process, which has ended: there is no lease to wait for.
    async fn wait_until_free(&self) -> Option<Revision> {
        let mut changes = self.entry.board.members.changes();
        let members = self.entry.board.members.snapshot();
        match &members.leader {
            Some(leader) if leader.entry == self.entry.settings.entry => return Some(leader.epoch),
            None if members.known => {
                let spread = Duration::from_millis(fastrand::u64(0..CONTEND_SPREAD_MS));
                tokio::time::sleep(spread).await;
                return Some(0);
            }
            _ => {}
        }
        tokio::select! {
            _ = changes.changed() => {}
            () = self.entry.leaving.cancelled() => {}
            () = tokio::time::sleep(LOOK_INTERVAL) => {}
        }
        None
    }

    /// Writes the record of the owner if the record to replace is still there.
    async fn contend(self, replaced: Revision) -> Result<Option<Holder<'a>>> {
        let asked_at = boot_now();
        let term = OWNER_LEASE.max(self.entry.settings.min_store_lease);
        let lease = self.entry.store.grant_lease(term).await?;
        let settings = &self.entry.settings;
        let record = OwnerRecord {
            entry: settings.entry.clone(),
            addr: settings.addr,
            nonce: fastrand::u64(..),
        };
        let found = self.entry.store.get(RECENT_OWNERS_KEY).await?;
        let RecentOwners(recent) = match &found {
            Some(found) => records::decode(RECENT_OWNERS_KEY, &found.value)?,
            None => RecentOwners::default(),
        };
        // A record of this entry is of an earlier process or of an ownership that has ended.
        let earlier: Vec<OwnerRecord> = recent
            .into_iter()
            .filter(|owner| owner.entry != record.entry)
            .collect();
        let mut owners = earlier.clone();
        owners.push(record.clone());
        let transaction = Transaction {
            expect: vec![
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
                    records::encode(&RecentOwners(owners))?,
                    None,
                ),
            ],
            deletes: Vec::new(),
        };
        let epoch = match self.entry.store.commit(&transaction).await {
            Ok(Committed::Written { revision }) => Some(revision),
            Ok(Committed::Conflict { .. } | Committed::NoLease) => None,
            // Without an answer the write may have happened; the nonce tells.
            Err(_) => self.find(&record).await?,
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
            valid_until: (asked_at + term).saturating_sub(SAFETY_MARGIN),
        }))
    }

    async fn find(&self, record: &OwnerRecord) -> Result<Option<u64>> {
        let Some(found) = self.entry.store.get(OWNER_KEY).await? else {
            return Ok(None);
        };
        let own = records::decode::<OwnerRecord>(OWNER_KEY, &found.value)? == *record;
        Ok(own.then_some(found.revision))
    }
}

impl Holder<'_> {
    /// Leads the cell until the ownership ends.
    async fn hold(mut self) {
        let entry = self.entry;
        log::info!(target: "limpethook", epoch = self.leader.epoch; "ownership_begins");
        let handle = match leader::start(entry, &self.leader, self.valid_until).await {
            Ok(handle) => handle,
            Err(report) => {
                log::warn!(target: "limpethook", epoch = self.leader.epoch, error:% = report.current_context(); "ownership_failed");
                self.release().await;
                return;
            }
        };
        entry.board.leading.publish(Some(handle.clone()));
        tokio::spawn(tell(Arc::clone(entry), self.leader.clone()));
        let relieving = relieve(
            Arc::clone(entry),
            self.leader.clone(),
            self.record.clone(),
            std::mem::take(&mut self.earlier),
            handle.clone(),
        );
        tokio::spawn(handle.until_ended(relieving));
        let reason = self.renew_until_lost(&handle).await;
        entry.board.leading.publish(None);
        handle.end();
        log::info!(target: "limpethook", epoch = self.leader.epoch, reason = reason; "ownership_ends");
        self.release().await;
    }

    /// Renews the lease; returns why the ownership ended.
    async fn renew_until_lost(&mut self, handle: &LeaderHandle) -> &'static str {
        let standing = self.entry.settings.limits.store_outage_grace;
        let term = OWNER_LEASE.max(self.entry.settings.min_store_lease);
        loop {
            let pause = if boot_now() < self.valid_until {
                RENEWAL
            } else {
                RENEWAL_RETRY
            };
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = self.entry.leaving.cancelled() => return "leaving",
                () = handle.ended() => return "fenced",
            }
            if self.is_replaced() {
                return "replaced";
            }
            let sent_at = boot_now();
            let renewal = self.entry.store.renew_lease(self.lease);
            match tokio::time::timeout(RENEWAL_TIMEOUT, renewal).await {
                Ok(Ok(true)) => {
                    self.entry.note_store(true, &"lease renewed");
                    self.valid_until = (sent_at + term).saturating_sub(SAFETY_MARGIN);
                    handle.extend(self.valid_until);
                }
                Ok(Ok(false)) => return "lapsed",
                Ok(Err(report)) => {
                    // Only the store can say that the lease has ended; without its word the term counts.
                    log::info!(target: "limpethook", epoch = self.leader.epoch, error:% = report.current_context(); "renewal_failed");
                    tokio::time::sleep(RENEWAL_RETRY).await;
                }
                Err(_) => tokio::time::sleep(RENEWAL_RETRY).await,
            }
            if boot_now() > self.valid_until + standing {
                return "store away";
            }
        }
    }

    fn is_replaced(&self) -> bool {
        let newest = self.entry.board.leader();
        newest.is_some_and(|leader| leader.epoch > self.leader.epoch)
    }

    async fn release(self) {
        if let Err(report) = self.entry.store.revoke_lease(self.lease).await {
            log::info!(target: "limpethook", error:% = report.current_context(); "lease_not_ended");
        }
    }
}

/// Makes sure that earlier owners have ended: agents that are not heard are waited for less long then.
async fn relieve(
    entry: Arc<Entry>,
    leader: Leader,
    record: OwnerRecord,
    earlier: Vec<OwnerRecord>,
    handle: LeaderHandle,
) {
    let epoch = leader.epoch;
    let call = Call::Leads(leader);
    let all_end = async {
        for owner in &earlier {
            while entry.call(owner.addr, &call, TELL_TIMEOUT).await.is_err() {
                tokio::time::sleep(RELIEVE_PAUSE).await;
            }
        }
    };
    let standing = entry.settings.limits.store_outage_grace + OWNER_LEASE;
    if tokio::time::timeout(standing, all_end).await.is_ok() {
        // The owner has ended meanwhile if nobody takes the event.
        let _ = handle.send(Event::PreviousEnded).await;
    }
    // After this time no earlier owner lets an agent extend a lease, whether it answered or not.
    if let Err(report) = forget_earlier(&entry, epoch, record).await {
        log::info!(target: "limpethook", error:% = report.current_context(); "recent_owners_not_written");
    }
}

/// Writes that only this owner may let agents extend leases.
async fn forget_earlier(entry: &Entry, epoch: Epoch, record: OwnerRecord) -> Result<()> {
    let value = records::encode(&RecentOwners(vec![record]))?;
    let transaction = Transaction {
        expect: vec![(OWNER_KEY.into(), epoch)],
        puts: vec![(RECENT_OWNERS_KEY.into(), value, None)],
        deletes: Vec::new(),
    };
    entry.store.commit(&transaction).await?;
    Ok(())
}

/// Tells the other entries of a new owner, so that those that the store turns away know it too.
async fn tell(entry: Arc<Entry>, leader: Leader) {
    let mut told = JoinSet::new();
    for addr in entry.others() {
        let entry = Arc::clone(&entry);
        let call = Call::Leads(leader.clone());
        told.spawn(async move { entry.call(addr, &call, TELL_TIMEOUT).await });
    }
    while told.join_next().await.is_some() {}
}
