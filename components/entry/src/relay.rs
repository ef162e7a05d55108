//! The configuration relay of a region: one entry watches the store, and the others fetch changes from it.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use config::Duty;
use distribution::Stages;
use errors::Result;
use model::{EntryId, Revision};
use serde::{Deserialize, Serialize};
use store::{Expect, KvStore, LeaseId, Listing, PutOutcome};

use crate::context::Context;

/// Prefix of the store keys that contain the relay of each region.
const RELAYS_PREFIX: &str = "relays/";
/// A failed relay is replaced after this time, which leaves 2 s of the 4 s limit for propagating a change.
const RELAY_LEASE_TERM: Duration = Duration::from_secs(2);
const RENEW_INTERVAL: Duration = Duration::from_millis(600);
/// Timeout of one store watch for a change of relay.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
/// Range of the random delay after a failed call, in milliseconds.
const RETRY_DELAY_MS: std::ops::Range<u64> = 100..300;
/// How long the relay waits before it fetches newer sections from an owner; other entries wait twice as long.
const CATCH_UP_GRACE: Duration = Duration::from_secs(1);

/// The store record of a relay.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct RelayRecord {
    entry: EntryId,
    addr: SocketAddr,
}

/// Returns the accessors with which the configuration controller uses the context.
pub(crate) fn stages() -> Stages<Context> {
    Stages {
        held: |cx| &cx.entry_board.received_config,
        in_force: |cx| &cx.board.config,
        followers: |cx| &cx.followers,
    }
}

/// Returns how long an owner's configuration may be newer before its sections are fetched from it.
pub(crate) fn catch_up_grace(cx: &Context) -> Duration {
    if cx.is_relay.load(Ordering::Relaxed) {
        return CATCH_UP_GRACE;
    }
    2 * CATCH_UP_GRACE
}

/// Runs as the relay, or follows the current one, until the process exits.
pub(crate) async fn run(cx: Arc<Context>) {
    let mut last_relay = None;
    loop {
        match cx.store.list(&relay_key(&cx)).await {
            Ok(listing) => {
                last_relay = other_relay(&cx, &listing);
                match &last_relay {
                    Some(relay) => follow_relay(&cx, relay, listing.revision).await,
                    None => run_as_relay(&cx, &listing).await,
                }
            }
            // During a store outage the last known relay may still have a change that this entry missed.
            Err(_) => {
                if let Some(relay) = &last_relay {
                    let _ = fetch_from_relay(&cx, relay).await;
                }
            }
        }
        wait_before_retry(&cx).await;
    }
}

fn relay_key(cx: &Context) -> String {
    format!("{RELAYS_PREFIX}{}", cx.settings.region)
}

/// Returns the relay in the listing, unless it is this entry.
fn other_relay(cx: &Context, listing: &Listing) -> Option<RelayRecord> {
    let entry = listing.entries.iter().find(|e| *e.key == *relay_key(cx))?;
    let relay: RelayRecord = serde_json::from_slice(&entry.value).ok()?;
    (relay.entry != cx.settings.id).then_some(relay)
}

async fn wait_before_retry(cx: &Context) {
    let delay = Duration::from_millis(fastrand::u64(RETRY_DELAY_MS));
    cx.timer.subscribe_after(delay).recv().await;
}

/// Fetches changes from the relay until another entry may have become the relay.
async fn follow_relay(cx: &Context, relay: &RelayRecord, revision: Revision) {
    let key = relay_key(cx);
    let mut relay_changed = pin!(cx.store.watch(&key, revision, WATCH_TIMEOUT));
    loop {
        let result = tokio::select! {
            _ = &mut relay_changed => return,
            result = fetch_from_relay(cx, relay) => result,
        };
        if result.is_err() {
            let _ = read_changes(cx).await;
            wait_before_retry(cx).await;
        }
    }
}

async fn fetch_from_relay(cx: &Context, relay: &RelayRecord) -> Result<()> {
    let after = received_revision(cx);
    let id = cx.settings.id.clone();
    let sections = distribution::fetch_next(&cx.peers, relay.addr, after, id).await?;
    cx.config_updates.deliver(sections).await;
    Ok(())
}

/// Reads changes directly from the store, which is needed while the region has no reachable relay.
async fn read_changes(cx: &Context) -> Result<()> {
    let sections = distribution::read_changes(&*cx.store, received_revision(cx)).await?;
    cx.config_updates.deliver(sections).await;
    Ok(())
}

fn received_revision(cx: &Context) -> Revision {
    cx.entry_board.received_config.load().revision
}

/// Tries to become the relay, and then watches the store until the lease is lost or the entry drains.
async fn run_as_relay(cx: &Context, listing: &Listing) {
    let _ = read_changes(cx).await;
    // A key left by a previous process of this entry expires with its lease.
    let unclaimed = listing.entries.iter().all(|e| *e.key != *relay_key(cx));
    if !unclaimed || cx.is_draining() || !cx.settings.duties.contains(&Duty::Relay) {
        return;
    }
    let Ok(lease) = cx.store.grant_lease(RELAY_LEASE_TERM).await else {
        return;
    };
    if !matches!(
        put_relay_record(cx, lease).await,
        Ok(PutOutcome::Written { .. })
    ) {
        // The write may have succeeded without a reply; revoking the lease deletes the key.
        let _ = cx.store.revoke_lease(lease).await;
        return;
    }
    log::info!(target: "limpethook", region:% = cx.settings.region; "relay_started");
    cx.is_relay.store(true, Ordering::Relaxed);
    let watch = distribution::watch_store(
        Arc::clone(&cx.store) as Arc<dyn KvStore>,
        cx.timer.clone(),
        cx.config_updates.clone(),
        received_revision(cx),
    );
    tokio::select! {
        () = watch => {}
        () = renew(cx, lease) => {}
        () = cx.drain.cancelled() => {
            let _ = cx.store.revoke_lease(lease).await;
        }
    }
    cx.is_relay.store(false, Ordering::Relaxed);
    log::info!(target: "limpethook", region:% = cx.settings.region; "relay_ended");
}

async fn put_relay_record(cx: &Context, lease: LeaseId) -> Result<PutOutcome> {
    let record = RelayRecord {
        entry: cx.settings.id.clone(),
        addr: cx.settings.peer_listen,
    };
    let value = Bytes::from(serde_json::to_vec(&record).unwrap_or_default());
    cx.store
        .put(&relay_key(cx), value, Expect::Absent, Some(lease))
        .await
}

/// Renews the lease until the store reports that it has expired; failed calls are ignored, because no other entry can
/// take over while the store is unavailable.
async fn renew(cx: &Context, lease: LeaseId) {
    let mut ticks = cx.timer.subscribe_every(RENEW_INTERVAL);
    loop {
        ticks.recv().await;
        if matches!(cx.store.renew_lease(lease).await, Ok(false)) {
            return;
        }
    }
}
