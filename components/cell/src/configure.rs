//! Configuration controller: watches the configuration in the store and asks other entries for
//! newer versions, also while the store is unreachable.

use std::fmt::Display;
use std::sync::Arc;
use std::time::Duration;

use errors::Result;
use model::Revision;
use store::{Change, KvPair, WatchOutcome};
use tokio::task::JoinSet;
use wire::{Call, Reply};

use crate::clock::boot_now;
use crate::configuration::Configuration;
use crate::confirmations::Source;
use crate::entry::Entry;
use crate::records;

/// Duration of one watch. A connection that goes silent is noticed one watch later.
const WATCH_DURATION: Duration = Duration::from_secs(4);
/// Delay after a failed store call: a fifth of the time allowed for applying a configuration.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Timeout for asking another entry for its configuration: several times the latency between
/// regions.
const FETCH_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval at which other entries are asked for newer versions; limits the delay caused by a
/// silent watch.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which the age of the last confirmation is compared with its bound.
const AGE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Number of entries that are asked in each round while the store answers. The watch usually is
/// faster, and asking all entries would cost each entry a call a second from every other one.
const SAMPLE_SIZE: usize = 3;
/// Number of entries that are asked in each round while the store does not answer. If it turns away a
/// third of the entries, one round in 700 finds none that it serves.
const OUTAGE_SAMPLE_SIZE: usize = 6;

/// Follows the configuration for the lifetime of the process.
pub(crate) async fn run(entry: Arc<Entry>) {
    loop {
        if let Err(report) = watch_store(&entry).await {
            entry.record_store_result(false, report.current_context());
            fetch_from_entries(&entry).await;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Reads the configuration and watches it for changes. Returns an error if a store call fails, and
/// `Ok` if the history of the watch was compacted.
async fn watch_store(entry: &Entry) -> Result<()> {
    let key = &*entry.settings.configuration_key;
    let asked_at = boot_now();
    // The revision of the store, not that of the key: the history may have been compacted since the key was written.
    let listing = entry.store.list(key).await?;
    if let Some(found) = listing.pairs.iter().find(|found| *found.key == *key) {
        apply_encoded(entry, found, Source::StoreRead);
    }
    let mut after = listing.revision;
    entry.confirmations.record(Source::StoreRead, asked_at);
    entry.record_store_result(true, &"configuration read");
    loop {
        let asked_at = boot_now();
        match entry.store.watch(key, after, WATCH_DURATION).await? {
            WatchOutcome::Changes { changes, revision } => {
                after = revision;
                for change in changes {
                    match change {
                        Change::Put(found) if *found.key == *key => {
                            apply_encoded(entry, &found, Source::StoreWatch);
                        }
                        Change::Put(found) => log_skipped(entry, &found.key, found.revision),
                        Change::Deleted { key, revision } => log_skipped(entry, &key, revision),
                    }
                }
            }
            WatchOutcome::Compacted { .. } => {
                count_event(entry, "compacted");
                log::info!(target: "limpethook", after = after; "configuration_watch_compacted");
                return Ok(());
            }
        }
        entry.confirmations.record(Source::StoreWatch, asked_at);
        entry.record_store_result(true, &"configuration watched");
    }
}

fn count_event(entry: &Entry, event: &str) {
    let events = &entry.metrics.configuration;
    events.with_label_values(&[event]).inc();
}

fn log_skipped(entry: &Entry, key: &str, revision: Revision) {
    count_event(entry, "skipped");
    log::warn!(target: "limpethook", key = key, revision = revision; "configuration_event_skipped");
}

fn log_unreadable(entry: &Entry, source: Source, revision: Revision, error: &dyn Display) {
    count_event(entry, "unreadable");
    log::error!(
        target: "limpethook",
        source = source.name(), revision = revision, error:% = error;
        "configuration_unreadable"
    );
}

fn apply_encoded(entry: &Entry, found: &KvPair, source: Source) {
    match (entry.decode)(&found.value) {
        Ok(configuration) => apply(entry, configuration, source, found.revision),
        Err(report) => log_unreadable(entry, source, found.revision, report.current_context()),
    }
}

/// Applies a configuration unless the current one is at least as new. `revision` is 0 if it came from a peer.
fn apply(entry: &Entry, configuration: Configuration, source: Source, revision: Revision) {
    let version = configuration.version;
    let current = entry.board.configuration.load().version;
    if version <= current {
        if version < current {
            count_event(entry, "older");
            log::warn!(
                target: "limpethook",
                version = version, current = current, source = source.name(), revision = revision;
                "configuration_older"
            );
        }
        return;
    }
    count_event(entry, "applied");
    log::info!(
        target: "limpethook",
        version = version, before = current, source = source.name(), revision = revision,
        routes = configuration.routes.len(), accounts = configuration.accounts.len();
        "configuration_applied"
    );
    entry.board.configuration.publish(Arc::new(configuration));
}

/// Logs when the store has not answered for longer than a configuration may take to be applied, and when it answers again.
pub(crate) async fn report_age(entry: Arc<Entry>) {
    let bound = entry.settings.configuration_bound;
    let mut is_stale = false;
    let mut ticks = entry.timer.subscribe_every(AGE_CHECK_INTERVAL);
    while ticks.recv().await.is_some() {
        let now = boot_now();
        let store_age = entry.confirmations.store_age(now);
        let stale = store_age.is_none_or(|age| age > bound);
        if stale == is_stale {
            continue;
        }
        is_stale = stale;
        let millis = |age: Option<Duration>| age.map(|age| age.as_millis());
        let version = entry.board.configuration.load().version;
        let store_age_ms = millis(store_age);
        let peer_age_ms = millis(entry.confirmations.age(Source::Peer, now));
        let event = if stale {
            "configuration_unconfirmed"
        } else {
            "configuration_confirmed"
        };
        count_event(&entry, event);
        log::warn!(
            target: "limpethook",
            version = version, store_age_ms:? = store_age_ms, peer_age_ms:? = peer_age_ms,
            bound_ms = bound.as_millis();
            "{event}"
        );
    }
}

/// Periodically asks the other entries for a newer configuration.
pub(crate) async fn poll_entries(entry: Arc<Entry>) {
    let mut ticks = entry.timer.subscribe_every(POLL_INTERVAL);
    while ticks.recv().await.is_some() {
        fetch_from_entries(&entry).await;
    }
}

/// Asks some of the other entries concurrently for a newer configuration, and applies the newest.
///
/// An entry without a configuration asks all of them. Some may be cut off and have an old one, with
/// tokens that have been withdrawn since.
async fn fetch_from_entries(entry: &Arc<Entry>) {
    let version = entry.board.configuration.load().version;
    let count = if version == 0 {
        usize::MAX
    } else if entry.is_store_lost() {
        OUTAGE_SAMPLE_SIZE
    } else {
        SAMPLE_SIZE
    };
    let mut fetches = JoinSet::new();
    for addr in entry.sample_entries(count) {
        let entry = Arc::clone(entry);
        fetches.spawn(async move {
            let call = Call::ConfigurationAfter(version);
            entry.call(addr, &call, FETCH_TIMEOUT).await
        });
    }
    let asked_at = boot_now();
    let mut newest: Option<Configuration> = None;
    while let Some(answer) = fetches.join_next().await {
        let Ok(Ok(Reply::Configuration(answer))) = answer else {
            continue;
        };
        entry.confirmations.record(Source::Peer, asked_at);
        let Some((_, encoded)) = answer else {
            continue;
        };
        match records::decode::<Configuration>("configuration from a peer", &encoded) {
            Ok(configuration) => {
                let known = newest.as_ref().map_or(0, |newest| newest.version);
                if configuration.version > known {
                    newest = Some(configuration);
                }
            }
            Err(report) => log_unreadable(entry, Source::Peer, 0, report.current_context()),
        }
    }
    if let Some(configuration) = newest {
        apply(entry, configuration, Source::Peer, 0);
    }
}
