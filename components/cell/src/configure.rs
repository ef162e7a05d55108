//! Configuration controllers: find out which configuration is the newest and since when that is certain.
//!
//! A watch of the store is only a hint that a change has been made. Checks confirm the configuration by reading whether the
//! key has changed, on a connection of their own. Without an answer from the store, the other entries are asked for what they
//! have and how long ago it was confirmed.

use std::fmt::Display;
use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::atomic::Ordering;
use std::time::Duration;

use errors::{ErrorKind, Result};
use model::Revision;
use store::{Change, CheckOutcome, KvPair, WatchOutcome};
use tokio::task::JoinSet;
use wire::{Call, Reply};

use crate::clock::boot_now;
use crate::configuration::Configuration;
use crate::confirmations::Source;
use crate::entry::Entry;
use crate::in_force::{Event, InForce};
use crate::records;

/// Duration of one watch.
const WATCH_DURATION: Duration = Duration::from_secs(4);
/// Delay after a watch that failed or was answered at once without a change.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Checks in the time that a change may take. A change that the watch misses is found by the next check, or by the one after
/// it if its connection has gone silent.
const CHECKS_PER_BOUND: u32 = 4;
/// Fraction of the time between two checks by which it varies, so that the entries do not check at once.
const CHECK_JITTER: f64 = 0.2;
/// The timeout of a check and the delay until other entries are asked beside it are these parts of the bound.
pub(crate) const CHECK_TIMEOUT_PART: u32 = 5;
const HEDGE_PART: u32 = 10;
/// Timeout for asking another entry for the state of its configuration: several times the latency between regions.
const STATE_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval at which other entries are asked. The results also tell which entries respond.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which the age of the last confirmation is compared with its bound.
const AGE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// How long a request waits for a check if the last one is long ago, as after a pause of the process.
const REQUEST_WAIT: Duration = Duration::from_millis(300);

/// Number of entries that are asked in each round while the configuration is confirmed.
const SAMPLE_SIZE: usize = 3;
/// Number of entries that are asked in each round otherwise. If the store turns away half of the entries, one round in 4,000
/// finds none that it serves.
const UNCONFIRMED_SAMPLE_SIZE: usize = 12;

/// Watches the configuration for the lifetime of the process.
pub(crate) async fn run(entry: Arc<Entry>) {
    loop {
        if let Err(report) = watch_store(&entry).await {
            entry.record_store_result(false, report.current_context());
            entry.check_requested.notify_one();
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
    let found = listing.pairs.iter().find(|found| *found.key == *key);
    record_read(entry, found, asked_at);
    entry.record_store_result(true, &"configuration read");
    let mut after = listing.revision;
    loop {
        let asked_at = boot_now();
        match entry.store.watch(key, after, WATCH_DURATION).await? {
            WatchOutcome::Changes { changes, revision } => {
                after = revision;
                let is_empty = changes.is_empty();
                for change in changes {
                    match change {
                        Change::Put(found) if *found.key == *key => {
                            if !record_found(entry, &found, Source::StoreWatch) {
                                entry.check_requested.notify_one();
                            }
                        }
                        Change::Put(found) => log_skipped(entry, &found.key, found.revision),
                        Change::Deleted { key, revision } => log_skipped(entry, &key, revision),
                    }
                }
                if is_empty && boot_now() < asked_at + RETRY_DELAY {
                    tokio::time::sleep(RETRY_DELAY).await;
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

/// Checks at intervals, and on request, that the configuration is the newest.
pub(crate) async fn check(entry: Arc<Entry>) {
    let bound = entry.settings.configuration_bound;
    // The watch reads the configuration first.
    tokio::time::sleep(bound / HEDGE_PART).await;
    loop {
        let checked = check_once(&entry).await;
        let now = u64::try_from(boot_now().as_millis()).unwrap_or(u64::MAX);
        entry.checked_at_ms.store(now, Ordering::Release);
        let delay = match checked {
            Check::Confirmed => {
                let jitter = 1.0 + CHECK_JITTER * (2.0 * fastrand::f64() - 1.0);
                (entry.check_bound() / CHECKS_PER_BOUND).mul_f64(jitter)
            }
            Check::Unanswered => bound / HEDGE_PART,
            // Another read is unlikely to help, and the document may be large.
            Check::Unreadable => bound,
        };
        let mut due = entry.timer.subscribe_after(delay);
        tokio::select! {
            _ = due.recv() => {}
            () = entry.check_requested.notified() => {}
        }
    }
}

/// Result of a check of the configuration and the evacuations.
enum Check {
    Confirmed,
    Unanswered,
    Unreadable,
}

/// Reads whether the configuration or the evacuations have changed. The other entries are asked as well if the store takes long
/// to answer.
async fn check_once(entry: &Arc<Entry>) -> Check {
    let key = &*entry.settings.configuration_key;
    let bound = entry.settings.configuration_bound;
    let revision = entry.board.in_force.load().revision();
    let asked_at = boot_now();
    let timeout = entry.check_timeout();
    let mut known = vec![(key.into(), revision)];
    known.extend(entry.evacuation_keys());
    let read = entry.store.read_if_changed(&known, timeout);
    tokio::pin!(read);
    let first = tokio::time::timeout(bound / HEDGE_PART, &mut read).await;
    if !matches!(first, Ok(Ok(_))) {
        start_asking(entry);
    }
    let outcome = match first {
        Ok(outcome) => outcome,
        Err(_) => read.await,
    };
    match outcome {
        Ok(CheckOutcome::Unchanged) => {
            entry.confirmations.record(Source::StoreRead, asked_at);
            let confirmed = Event::Confirmed {
                revision,
                at: asked_at,
            };
            entry.record_configuration(&confirmed, Some(Source::StoreRead));
            entry.confirm_evacuations(asked_at);
            entry.record_store_result(true, &"configuration checked");
            Check::Confirmed
        }
        Ok(CheckOutcome::Changed(found)) => {
            entry.record_store_result(true, &"configuration checked");
            entry.record_evacuations(&found, asked_at);
            let found = found.iter().find(|found| *found.key == *key);
            if record_read(entry, found, asked_at) {
                Check::Confirmed
            } else {
                Check::Unreadable
            }
        }
        Err(report) => {
            let error = report.current_context();
            count_event(entry, "check_failed");
            log::info!(target: "limpethook", revision = revision, error:% = error; "configuration_check_failed");
            // A slow store is not lost; the timeout of a check is shorter than those of other calls.
            if error.kind != ErrorKind::Timeout {
                entry.record_store_result(false, error);
            }
            Check::Unanswered
        }
    }
}

/// Follows the age of the last confirmation.
pub(crate) async fn follow_age(entry: Arc<Entry>) {
    let mut ticks = entry.timer.subscribe_every(AGE_CHECK_INTERVAL);
    while ticks.recv().await.is_some() {
        entry.record_configuration(&Event::Passed, None);
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

/// Records the newest value of the key as it was at some time after `asked_at`. Returns whether it could be decoded.
fn record_read(entry: &Entry, found: Option<&KvPair>, asked_at: Duration) -> bool {
    entry.confirmations.record(Source::StoreRead, asked_at);
    let Some(found) = found else {
        return true;
    };
    let is_known = found.revision == entry.board.in_force.load().revision();
    if !is_known && !record_found(entry, found, Source::StoreRead) {
        return false;
    }
    let confirmed = Event::Confirmed {
        revision: found.revision,
        at: asked_at,
    };
    entry.record_configuration(&confirmed, Some(Source::StoreRead));
    true
}

/// Records a value of the key. Returns whether it could be decoded.
fn record_found(entry: &Entry, found: &KvPair, source: Source) -> bool {
    match (entry.decode)(&found.value) {
        Ok(configuration) => {
            let event = Event::Found {
                configuration: Arc::new(configuration),
                revision: found.revision,
            };
            entry.record_configuration(&event, Some(source));
            true
        }
        Err(report) => {
            log_unreadable(entry, source, found.revision, report.current_context());
            false
        }
    }
}

impl Entry {
    /// Records evidence about the newest configuration, and applies a newer one. `source` is `None` if only time has passed.
    pub(crate) fn record_configuration(&self, event: &Event, source: Option<Source>) {
        let bound = self.settings.configuration_bound;
        let now = boot_now();
        let (before, after) = {
            let writer = self.configuration_writer.lock();
            // A panic leaves the published sections whole.
            let _writer = writer.unwrap_or_else(PoisonError::into_inner);
            let before = self.board.in_force.snapshot();
            let after = InForce::clone(&before).after(event, now, bound);
            self.board.in_force.publish(after.clone());
            self.serve_configuration(&after, now);
            (before, after)
        };
        self.log_configuration(event, &before, &after, source, now);
    }

    /// Lets requests be handled by a configuration. A process that has just started first waits for a confirmation. Without
    /// one, it serves the newest that it has found, because callers are better off than with no entry at all while the store
    /// is down.
    fn serve_configuration(&self, in_force: &InForce, now: Duration) {
        let Some(configuration) = in_force.configuration() else {
            return;
        };
        let served = Arc::clone(&self.board.configuration.load());
        let has_served = served.version > 0;
        let waited = now >= self.started_at + self.settings.configuration_bound;
        let may_serve = has_served || waited || matches!(in_force, InForce::Confirmed(_));
        if may_serve && !Arc::ptr_eq(configuration, &served) {
            self.board.configuration.publish(Arc::clone(configuration));
        }
    }

    fn log_configuration(
        &self,
        event: &Event,
        before: &InForce,
        after: &InForce,
        source: Option<Source>,
        now: Duration,
    ) {
        let source = source.map_or("none", Source::name);
        let version =
            |in_force: &InForce| in_force.configuration().map_or(0, |known| known.version);
        let current = version(after);
        if let Event::Found {
            configuration,
            revision,
        } = event
            && *revision < after.revision()
        {
            count_event(self, "older");
            log::info!(
                target: "limpethook",
                version = configuration.version, current = current, source = source,
                revision = *revision, current_revision = after.revision();
                "configuration_older"
            );
        }
        if after.revision() > before.revision()
            && let Some(configuration) = after.configuration()
        {
            count_event(self, "applied");
            log::info!(
                target: "limpethook",
                version = current, before = version(before), source = source,
                revision = after.revision(), routes = configuration.routes.len(),
                accounts = configuration.accounts.len();
                "configuration_applied"
            );
        }
        let confirmed = matches!(after, InForce::Confirmed(_));
        if confirmed != matches!(before, InForce::Confirmed(_)) {
            let event = if confirmed {
                "configuration_confirmed"
            } else {
                "configuration_unconfirmed"
            };
            count_event(self, event);
            let millis = |age: Option<Duration>| age.map(|age| age.as_millis());
            log::warn!(
                target: "limpethook",
                version = current, revision = after.revision(), source = source,
                age_before_ms:? = millis(before.age(now)), age_ms:? = millis(after.age(now)),
                bound_ms = self.settings.configuration_bound.as_millis();
                "{event}"
            );
        }
    }

    /// Returns the configuration by which a request is to be handled.
    ///
    /// A process that was paused or has just started first checks it, for a limited time. While checks fail, requests do not
    /// wait, and are handled by the last known configuration: nobody else knows better then.
    pub async fn configuration(&self) -> Arc<Configuration> {
        if self.needs_check() {
            self.check_requested.notify_one();
            let mut changes = self.board.in_force.changes();
            let checked = async { while self.needs_check() && changes.changed().await.is_ok() {} };
            // After the wait, the last known configuration is returned.
            let _ = tokio::time::timeout(REQUEST_WAIT, checked).await;
        }
        Arc::clone(&self.board.configuration.load())
    }

    fn needs_check(&self) -> bool {
        if self.board.configuration.load().version == 0 {
            return true;
        }
        let bound = self.settings.configuration_bound;
        let now = boot_now();
        let checked_at = Duration::from_millis(self.checked_at_ms.load(Ordering::Acquire));
        let in_force = self.board.in_force.load();
        !in_force.is_confirmed_within(bound, now) && checked_at + bound < now
    }
}

/// Periodically asks the other entries for a newer configuration.
pub(crate) async fn poll_entries(entry: Arc<Entry>) {
    let mut ticks = entry.timer.subscribe_every(POLL_INTERVAL);
    while ticks.recv().await.is_some() {
        start_asking(&entry);
    }
}

/// Asks the other entries in a background task, unless that is under way. An entry that stalls while it passes on a document
/// delays neither the checks nor what the store answers.
fn start_asking(entry: &Arc<Entry>) {
    let Ok(permit) = Arc::clone(&entry.asking).try_lock_owned() else {
        return;
    };
    let entry = Arc::clone(entry);
    tokio::spawn(async move {
        ask_entries(&entry).await;
        drop(permit);
    });
}

/// Configuration of another entry.
struct PeerState {
    addr: std::net::SocketAddr,
    revision: Revision,
    confirmed_at: Option<Duration>,
}

/// Asks some of the other entries concurrently for the states of their configurations, and fetches the newest document if this
/// entry does not have it. An entry without a configuration asks all of them, because some may be cut off and have an old one.
async fn ask_entries(entry: &Arc<Entry>) {
    let bound = entry.settings.configuration_bound;
    let in_force = entry.board.in_force.snapshot();
    let count = if in_force.configuration().is_none() {
        usize::MAX
    } else if in_force.is_confirmed_within(bound / 2, boot_now()) {
        SAMPLE_SIZE
    } else {
        UNCONFIRMED_SAMPLE_SIZE
    };
    let mut calls = JoinSet::new();
    for addr in entry.sample_entries(count) {
        let entry = Arc::clone(entry);
        calls.spawn(async move { ask_entry(&entry, addr).await });
    }
    let mut states: Vec<PeerState> = calls.join_all().await.into_iter().flatten().collect();
    states.sort_by_key(|state| std::cmp::Reverse(state.revision));
    for state in &states {
        if state.revision > entry.board.in_force.load().revision()
            && !fetch_document(entry, state).await
        {
            continue;
        }
        break;
    }
    for state in states {
        if let Some(at) = state.confirmed_at {
            let confirmed = Event::Confirmed {
                revision: state.revision,
                at,
            };
            entry.record_configuration(&confirmed, Some(Source::Peer));
        }
    }
}

async fn ask_entry(entry: &Entry, addr: std::net::SocketAddr) -> Option<PeerState> {
    let asked_at = boot_now();
    let answer = entry.call(addr, &Call::ConfigurationState, STATE_TIMEOUT);
    let Ok(Reply::ConfigurationState(state)) = answer.await else {
        return None;
    };
    entry.confirmations.record(Source::Peer, asked_at);
    let (revision, age) = state?;
    Some(PeerState {
        addr,
        revision,
        // The age was measured after this entry asked.
        confirmed_at: age.map(|age| asked_at.saturating_sub(age)),
    })
}

/// Fetches a document. Its transfer may take long, so only one is fetched at a time. Returns whether it could be decoded.
async fn fetch_document(entry: &Entry, state: &PeerState) -> bool {
    let known = entry.board.in_force.load().revision();
    let call = Call::ConfigurationDocument(known);
    let timeout = entry.settings.configuration_bound;
    let answer = entry.call(state.addr, &call, timeout).await;
    let Ok(Reply::ConfigurationDocument(Some((revision, encoded)))) = answer else {
        return false;
    };
    match records::decode_configuration("configuration from a peer", &encoded) {
        Ok(configuration) => {
            let event = Event::Found {
                configuration: Arc::new(configuration),
                revision,
            };
            entry.record_configuration(&event, Some(Source::Peer));
            true
        }
        Err(report) => {
            log_unreadable(entry, Source::Peer, revision, report.current_context());
            false
        }
    }
}
