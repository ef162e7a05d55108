//! Configuration controller: watches the configuration in the store and asks other entries for
//! newer versions, also while the store is unreachable.

use std::sync::Arc;
use std::time::Duration;

use errors::Result;
use store::{Change, WatchOutcome};
use tokio::task::JoinSet;
use wire::{Call, Reply};

use crate::configuration::Configuration;
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
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

/// Reads the configuration and watches it for changes. Returns an error if a store call fails, and
/// `Ok` if the history of the watch was compacted.
async fn watch_store(entry: &Entry) -> Result<()> {
    let key = &*entry.settings.configuration_key;
    let mut after = 0;
    if let Some(found) = entry.store.get(key).await? {
        apply_encoded(entry, &found.value);
        after = found.revision;
    }
    entry.record_store_result(true, &"configuration read");
    loop {
        match entry.store.watch(key, after, WATCH_DURATION).await? {
            WatchOutcome::Changes { changes, revision } => {
                after = revision;
                for change in changes {
                    if let Change::Put(found) = change
                        && *found.key == *key
                    {
                        apply_encoded(entry, &found.value);
                    }
                }
            }
            WatchOutcome::Compacted { .. } => return Ok(()),
        }
        entry.record_store_result(true, &"configuration watched");
    }
}

fn apply_encoded(entry: &Entry, value: &[u8]) {
    match (entry.decode)(value) {
        Ok(configuration) => apply(entry, configuration, "store"),
        Err(report) => {
            log::error!(target: "limpethook", error:% = report.current_context(); "configuration_unreadable");
        }
    }
}

/// Applies a configuration unless the current one is at least as new.
fn apply(entry: &Entry, configuration: Configuration, source: &str) {
    let version = configuration.version;
    if version <= entry.board.configuration.load().version {
        return;
    }
    log::info!(
        target: "limpethook",
        version = version, routes = configuration.routes.len(), accounts = configuration.accounts.len(), source = source;
        "configuration_applied"
    );
    entry.board.configuration.publish(Arc::new(configuration));
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
    let mut newest: Option<Configuration> = None;
    while let Some(answer) = fetches.join_next().await {
        let Ok(Ok(Reply::Configuration(Some((_, encoded))))) = answer else {
            continue;
        };
        match records::decode::<Configuration>("configuration from a peer", &encoded) {
            Ok(configuration) => {
                let known = newest.as_ref().map_or(0, |newest| newest.version);
                if configuration.version > known {
                    newest = Some(configuration);
                }
            }
            Err(report) => {
                log::error!(target: "limpethook", error:% = report.current_context(); "configuration_unreadable");
            }
        }
    }
    if let Some(configuration) = newest {
        apply(entry, configuration, "peer");
    }
}
