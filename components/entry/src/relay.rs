//! The relay of a region: one entry watches the store, the others ask that entry.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use config::Duty;
use distribution::StagingParts;
use errors::Result;
use model::{EntryId, Revision};
use serde::{Deserialize, Serialize};
use store::{KvStore, LeaseId, Listing, Precondition, WriteOutcome};

use crate::context::Context;

/// The prefix of the keys that name the relay of each region.
const RELAYS_PREFIX: &str = "relays/";
/// A dead relay is replaced after this time, which leaves 2 s of the 4 s for the change itself.
const RELAY_LEASE_TERM: Duration = Duration::from_secs(2);
const RENEW_INTERVAL: Duration = Duration::from_millis(600);
/// How long one watch for another relay waits at the store.
const RELAY_WATCH: Duration = Duration::from_secs(20);
/// Bounds of the pause after a failed call, in milliseconds.
const RETRY_DELAY_MS: std::ops::Range<u64> = 100..300;
/// How long an owner may be ahead before its sections are fetched from it; the relay goes first.
const CATCH_UP_GRACE: Duration = Duration::from_secs(1);

/// The value of the key of a relay.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct RelayRecord {
    entry: EntryId,
    addr: SocketAddr,
}

/// Returns the parts of the entry that the configuration controller uses.
pub(crate) fn stages() -> StagingParts<Context> {
    StagingParts {
        received: |cx| &cx.entry_board.held,
        active: |cx| &cx.board.config,
        followers: |cx| &cx.followers,
    }
}

/// Returns how long an owner may be ahead before its sections are fetched from it.
pub(crate) fn catch_up_grace(cx: &Context) -> Duration {
    if cx.relaying.load(Ordering::Relaxed) {
        return CATCH_UP_GRACE;
    }
    2 * CATCH_UP_GRACE
}

/// Relays or follows the relay until the process ends.
pub(crate) async fn run(cx: Arc<Context>) {
    let mut last = None;
    loop {
        match cx.store.list(&key(&cx)).await {
            Ok(listing) => {
                last = relay_of(&cx, &listing);
                match &last {
                    Some(relay) => follow(&cx, relay, listing.revision).await,
                    None => relay(&cx, &listing).await,
                }
            }
            // Without the store the last relay is still asked: it may hold a change that this entry missed.
            Err(_) => {
                if let Some(relay) = &last {
                    let _ = ask(&cx, relay).await;
                }
            }
        }
        pause(&cx).await;
    }
}

fn key(cx: &Context) -> String {
    format!("{RELAYS_PREFIX}{}", cx.settings.region)
}

/// Returns the relay in the listing unless it is this process.
fn relay_of(cx: &Context, listing: &Listing) -> Option<RelayRecord> {
    let entry = listing.pairs.iter().find(|e| *e.key == *key(cx))?;
    let relay: RelayRecord = serde_json::from_slice(&entry.value).ok()?;
    (relay.entry != cx.settings.id).then_some(relay)
}

async fn pause(cx: &Context) {
    let delay = Duration::from_millis(fastrand::u64(RETRY_DELAY_MS));
    cx.timer.subscribe_after(delay).recv().await;
}

/// Asks the relay again and again until another process may be the relay.
async fn follow(cx: &Context, relay: &RelayRecord, revision: Revision) {
    let key = key(cx);
    let mut moved = pin!(cx.store.watch(&key, revision, RELAY_WATCH));
    loop {
        let asked = tokio::select! {
            _ = &mut moved => return,
            asked = ask(cx, relay) => asked,
        };
        if asked.is_err() {
            let _ = read_changes(cx).await;
            pause(cx).await;
        }
    }
}

async fn ask(cx: &Context, relay: &RelayRecord) -> Result<()> {
    let after = held(cx);
    let id = cx.settings.id.clone();
    let sections = distribution::fetch_next(&cx.peers, relay.addr, after, id).await?;
    cx.config_updates.deliver(sections).await;
    Ok(())
}

/// Reads the changes from the store while the region has no relay.
async fn read_changes(cx: &Context) -> Result<()> {
    let sections = distribution::read_changes(&*cx.store, held(cx)).await?;
    cx.config_updates.deliver(sections).await;
    Ok(())
}

fn held(cx: &Context) -> Revision {
    cx.entry_board.held.load().revision
}

/// Becomes the relay if the entry may, and watches the store until the lease is lost.
async fn relay(cx: &Context, listing: &Listing) {
    let _ = read_changes(cx).await;
    // The key of an earlier life of this process lapses with its lease.
    let vacant = listing.pairs.iter().all(|e| *e.key != *key(cx));
    if !vacant || cx.is_draining() || !cx.settings.duties.contains(&Duty::Relay) {
        return;
    }
    let Ok(lease) = cx.store.grant_lease(RELAY_LEASE_TERM).await else {
        return;
    };
    if !matches!(take(cx, lease).await, Ok(WriteOutcome::Written { .. })) {
        // If only the answer was lost, the key goes with the lease.
        let _ = cx.store.revoke_lease(lease).await;
        return;
    }
    log::info!(target: "limpethook", region:% = cx.settings.region; "relay_started");
    cx.relaying.store(true, Ordering::Relaxed);
    let watch = distribution::watch_store(
        Arc::clone(&cx.store) as Arc<dyn KvStore>,
        cx.timer.clone(),
        cx.config_updates.clone(),
        held(cx),
    );
    tokio::select! {
        () = watch => {}
        () = renew(cx, lease) => {}
        () = cx.drain.cancelled() => {
            let _ = cx.store.revoke_lease(lease).await;
        }
    }
    cx.relaying.store(false, Ordering::Relaxed);
    log::info!(target: "limpethook", region:% = cx.settings.region; "relay_ended");
}

async fn take(cx: &Context, lease: LeaseId) -> Result<WriteOutcome> {
    let record = RelayRecord {
        entry: cx.settings.id.clone(),
        addr: cx.settings.peer_listen,
    };
    let value = Bytes::from(serde_json::to_vec(&record).unwrap_or_default());
    cx.store
        .put(&key(cx), value, Precondition::Absent, Some(lease))
        .await
}

/// Renews the lease until the store says that it lapsed; no other process can take over while the store is down.
async fn renew(cx: &Context, lease: LeaseId) {
    let mut ticks = cx.timer.subscribe_every(RENEW_INTERVAL);
    loop {
        ticks.recv().await;
        if matches!(cx.store.renew_lease(lease).await, Ok(false)) {
            return;
        }
    }
}
