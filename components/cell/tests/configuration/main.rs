//! The configuration in force while the store, its watches and other entries are disturbed.

#[path = "../common/mod.rs"]
mod common;
mod peer;
mod store;

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Once};
use std::time::{Duration, Instant};

use ::store::{KvStore, Precondition};
use cell::{AccountTokens, Configuration, Entry, EntrySettings};
use common::{MemoryStore, SECRET, accepted_job, accepted_record, entry_settings, free_addr};
use errors::{Error, ErrorKind, Result};
use model::{AcceptedJob, QueueId, ResourceVector};
use tokio_util::sync::CancellationToken;

use crate::peer::{PeerConfiguration, start_peer};
use crate::store::{FaultyStore, WatchFault};

pub(crate) const CONFIGURATION_KEY: &str = "operator/configuration";
/// The bound of small deployments.
const BOUND: Duration = Duration::from_millis(2_500);
const TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Decodes a configuration from its version and the tokens of its only account, as in `3 first second`.
fn decode(value: &[u8]) -> Result<Configuration> {
    let text = std::str::from_utf8(value).unwrap_or_default();
    let mut words = text.split(' ');
    let version = words.next().unwrap_or_default().parse();
    let version = version
        .map_err(|e| Error::not_run(ErrorKind::Corrupt, format!("not a version: {e}")).report())?;
    Ok(Configuration {
        version,
        accounts: vec![AccountTokens {
            account: "faro".into(),
            tokens: words.map(Into::into).collect(),
            guaranteed: 0,
        }],
        ..Configuration::default()
    })
}

struct Started {
    entry: Arc<Entry>,
    store: Arc<FaultyStore>,
    shutdown: CancellationToken,
}

impl Drop for Started {
    fn drop(&mut self) {
        self.shutdown.cancel();
    }
}

impl Started {
    fn version(&self) -> u64 {
        self.entry.board.configuration.load().version
    }

    /// Waits for a version and returns how long that took; `None` after the limit.
    async fn wait_for(&self, version: u64, limit: Duration) -> Option<Duration> {
        let started_at = Instant::now();
        while self.version() != version {
            if started_at.elapsed() > limit {
                return None;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Some(started_at.elapsed())
    }
}

async fn start_entry(store: Arc<FaultyStore>, seeds: Vec<SocketAddr>) -> Result<Started> {
    let settings = EntrySettings {
        seeds,
        configuration_bound: BOUND,
        ..entry_settings()
    };
    let shutdown = CancellationToken::new();
    let client = Arc::clone(&store) as Arc<dyn ::store::TransactionStore>;
    let entry = Entry::start(settings, client, None, decode, SECRET, shutdown.clone()).await?;
    Ok(Started {
        entry,
        store,
        shutdown,
    })
}

async fn put(store: &MemoryStore, value: &str) -> Result<()> {
    let value = bytes::Bytes::copy_from_slice(value.as_bytes());
    store
        .put(CONFIGURATION_KEY, value, Precondition::Any, None)
        .await?;
    Ok(())
}

/// Starts an entry without peers that has version 1.
async fn start_configured() -> Result<(Arc<MemoryStore>, Started)> {
    let memory = Arc::new(MemoryStore::default());
    put(&memory, "1 old").await?;
    let started = start_entry(FaultyStore::new(&memory), Vec::new()).await?;
    let configured = started.wait_for(1, TIMEOUT).await;
    assert!(configured.is_some(), "the entry reads its configuration");
    Ok((memory, started))
}

/// Disturbs the watch, changes the configuration and expects the change within the bound.
async fn expect_change_despite(fault: WatchFault) -> Result<()> {
    let (memory, started) = start_configured().await?;
    started.store.set_watch_fault(fault);
    put(&memory, "2 new").await?;
    let applied = started.wait_for(2, BOUND).await;
    assert!(applied.is_some(), "version 2 is in force in time");
    Ok(())
}

/// Guards against an entry that stays behind for good because its watch continued after a change that it was not shown.
#[tokio::test(flavor = "multi_thread")]
async fn change_missed_by_watch_is_applied() -> Result<()> {
    expect_change_despite(WatchFault::MissesChanges).await
}

/// Guards against an entry that stays behind for good because the event of a change could not be decoded.
#[tokio::test(flavor = "multi_thread")]
async fn change_garbled_in_watch_is_applied() -> Result<()> {
    expect_change_despite(WatchFault::GarblesValues).await
}

/// Guards against a watch that has fallen silent and is noticed only after the time that a change may take.
#[tokio::test(flavor = "multi_thread")]
async fn change_during_silent_watch_is_applied() -> Result<()> {
    expect_change_despite(WatchFault::Silent).await
}

/// Guards against an entry that waits after the response to its watch was cut.
#[tokio::test(flavor = "multi_thread")]
async fn change_in_cut_response_is_applied() -> Result<()> {
    expect_change_despite(WatchFault::Closed).await
}

/// Guards against entries that are all behind because their watches fell silent at once, so that no peer knows better.
#[tokio::test(flavor = "multi_thread")]
async fn change_during_silent_watches_of_all_is_applied() -> Result<()> {
    let memory = Arc::new(MemoryStore::default());
    put(&memory, "1").await?;
    let mut entries: Vec<Started> = Vec::new();
    for _ in 0..3 {
        let seeds = entries.iter().map(|other| other.entry.settings.addr);
        let seeds = seeds.collect();
        entries.push(start_entry(FaultyStore::new(&memory), seeds).await?);
    }
    for started in &entries {
        assert!(started.wait_for(1, TIMEOUT).await.is_some());
        started.store.set_watch_fault(WatchFault::Silent);
    }
    put(&memory, "2").await?;
    let changed_at = Instant::now();
    for started in &entries {
        let limit = BOUND.saturating_sub(changed_at.elapsed());
        assert!(started.wait_for(2, limit).await.is_some());
    }
    Ok(())
}

/// Guards against an entry without the store that asks a few peers of many, none of which has the newer version.
#[tokio::test(flavor = "multi_thread")]
async fn change_known_to_one_peer_is_applied() -> Result<()> {
    let mut applied = 0;
    for _ in 0..4 {
        let memory = Arc::new(MemoryStore::default());
        put(&memory, "1").await?;
        let mut seeds = Vec::new();
        for peer in 0..11 {
            let behind = PeerConfiguration {
                age: Duration::from_mins(1),
                ..PeerConfiguration::fresh(1)
            };
            let newest = PeerConfiguration {
                revision: 1_000,
                ..PeerConfiguration::fresh(9)
            };
            seeds.push(start_peer(if peer == 5 { newest } else { behind }).await);
        }
        let store = FaultyStore::new(&memory);
        let started = start_entry(Arc::clone(&store), seeds).await?;
        assert!(started.wait_for(1, TIMEOUT).await.is_some());
        store.is_silent.store(true, Ordering::Release);
        applied += u32::from(started.wait_for(9, BOUND).await.is_some());
    }
    assert_eq!(applied, 4, "of 4 entries");
    Ok(())
}

/// Guards against a large document that no peer can pass on, because its transfer takes longer than the timeout of the question.
#[tokio::test(flavor = "multi_thread")]
async fn large_document_of_peer_is_applied() -> Result<()> {
    let memory = Arc::new(MemoryStore::default());
    memory.is_down.store(true, Ordering::Release);
    let large = PeerConfiguration {
        transfer: Duration::from_millis(900),
        ..PeerConfiguration::fresh(3)
    };
    let seeds = vec![start_peer(large).await];
    let started = start_entry(FaultyStore::new(&memory), seeds).await?;
    assert!(started.wait_for(3, BOUND).await.is_some());
    Ok(())
}

/// Guards against a document of a peer of an earlier version that cannot be read during an upgrade.
#[tokio::test(flavor = "multi_thread")]
async fn document_of_earlier_version_is_applied() -> Result<()> {
    let memory = Arc::new(MemoryStore::default());
    memory.is_down.store(true, Ordering::Release);
    let earlier = PeerConfiguration {
        has_no_request_limits: true,
        ..PeerConfiguration::fresh(3)
    };
    let seeds = vec![start_peer(earlier).await];
    let started = start_entry(FaultyStore::new(&memory), seeds).await?;
    assert!(started.wait_for(3, BOUND).await.is_some());
    Ok(())
}

/// Guards against entries that ignore a configuration which an operator restored under its earlier version, until they restart.
#[tokio::test(flavor = "multi_thread")]
async fn restored_version_is_applied() -> Result<()> {
    let (memory, started) = start_configured().await?;
    put(&memory, "5 new").await?;
    assert!(started.wait_for(5, BOUND).await.is_some());
    put(&memory, "1 old").await?;
    assert!(started.wait_for(1, BOUND).await.is_some());
    let restarted = start_entry(FaultyStore::new(&memory), Vec::new()).await?;
    assert!(restarted.wait_for(1, BOUND).await.is_some());
    Ok(())
}

/// Guards against a document that was stored again with other tokens under the same version and is ignored.
#[tokio::test(flavor = "multi_thread")]
async fn rewritten_version_is_applied() -> Result<()> {
    let (memory, started) = start_configured().await?;
    put(&memory, "1 new").await?;
    let deadline = Instant::now() + BOUND;
    let has_token = |token| {
        let configuration = started.entry.board.configuration.load();
        configuration.account(token).is_some()
    };
    while !has_token("new") && Instant::now() < deadline {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    assert!(has_token("new") && !has_token("old"));
    Ok(())
}

/// Delays the log line of a version that comes from a peer, as a process does that is not scheduled at this point.
struct DelayingLogger;

/// Version whose log line is delayed.
const DELAYED_VERSION: u64 = 4_002;

impl log::Log for DelayingLogger {
    fn enabled(&self, _metadata: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let applied = record.args().to_string() == "configuration_applied";
        let version = record.key_values().get("version".into());
        let version = version.and_then(|version| version.to_u64());
        if applied && version == Some(DELAYED_VERSION) {
            std::thread::sleep(Duration::from_millis(600));
        }
    }

    fn flush(&self) {}
}

static LOGGER: Once = Once::new();

/// Guards against two controllers that apply configurations at once: the one from a peer was compared with the version in
/// force, then the watch applied a newer one, and the older one replaced it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn older_configuration_of_peer_replaces_no_newer_one() -> Result<()> {
    LOGGER.call_once(|| {
        log::set_logger(&DelayingLogger).expect("no other logger is set");
        log::set_max_level(log::LevelFilter::Info);
    });
    let memory = Arc::new(MemoryStore::default());
    put(&memory, "4001").await?;
    let peer = PeerConfiguration {
        revision: 2,
        ..PeerConfiguration::fresh(DELAYED_VERSION)
    };
    let seeds = vec![start_peer(peer).await];
    let started = start_entry(FaultyStore::new(&memory), seeds).await?;
    assert!(started.wait_for(4_001, TIMEOUT).await.is_some());
    // The peer is asked after a second at the latest. Its answer is about to be applied when the change arrives.
    tokio::time::sleep(Duration::from_millis(1_250)).await;
    put(&memory, "4003").await?;
    assert!(started.wait_for(4_003, BOUND).await.is_some());
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(started.version(), 4_003);
    Ok(())
}

/// Guards against an entry that calls the store without a pause, because the history was compacted after the last change of
/// the configuration.
#[tokio::test(flavor = "multi_thread")]
async fn compacted_history_is_left_behind() -> Result<()> {
    let (memory, started) = start_configured().await?;
    for other in 0..4 {
        let key = format!("other/{other}");
        let value = bytes::Bytes::new();
        memory.put(&key, value, Precondition::Any, None).await?;
    }
    let revision = memory.list("other/").await?.revision;
    *started
        .store
        .compacted
        .lock()
        .expect("lock is not poisoned") = revision;
    // A watch of the entry that waits at this time ends after four seconds at the latest.
    tokio::time::sleep(Duration::from_secs(5)).await;
    let before = started.store.calls.load(Ordering::Relaxed);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let calls = started.store.calls.load(Ordering::Relaxed) - before;
    assert!(calls < 20, "{calls} calls in two seconds");
    Ok(())
}

/// Guards against changes that are lost while the history is dropped again and again.
#[tokio::test(flavor = "multi_thread")]
async fn storm_during_compaction_is_applied() -> Result<()> {
    let (memory, started) = start_configured().await?;
    for version in 2..40 {
        put(&memory, &version.to_string()).await?;
        let revision = memory.list(CONFIGURATION_KEY).await?.revision;
        *started
            .store
            .compacted
            .lock()
            .expect("lock is not poisoned") = revision;
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    assert!(started.wait_for(39, BOUND).await.is_some());
    Ok(())
}

/// Guards against a withdrawn token that is accepted after a restart: the first peer that answers is cut off and has an old
/// configuration, and the store answers a little later.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_entry_serves_no_unconfirmed_configuration() -> Result<()> {
    let memory = Arc::new(MemoryStore::default());
    put(&memory, "9").await?;
    let old = PeerConfiguration {
        age: Duration::from_mins(1),
        ..PeerConfiguration::fresh(0)
    };
    let old = PeerConfiguration { version: 3, ..old };
    let store = FaultyStore::new(&memory);
    store.is_silent.store(true, Ordering::Release);
    let seeds = vec![start_peer(old).await];
    let started = start_entry(store, seeds).await?;
    let deadline = Instant::now() + Duration::from_millis(700);
    while Instant::now() < deadline {
        assert_eq!(started.version(), 0);
        assert!(!started.entry.is_ready());
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    started.store.is_silent.store(false, Ordering::Release);
    while started.version() == 0 {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    assert_eq!(started.version(), 9);
    Ok(())
}

/// Guards against entries that never serve again when they restart during an outage of the store: without a confirmed
/// configuration they take the newest that any peer has after a limited wait.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_entry_serves_newest_after_limited_wait() -> Result<()> {
    let memory = Arc::new(MemoryStore::default());
    memory.is_down.store(true, Ordering::Release);
    let mut seeds = Vec::new();
    for version in [3, 5, 4] {
        let old = PeerConfiguration {
            age: Duration::from_mins(1),
            ..PeerConfiguration::fresh(version)
        };
        seeds.push(start_peer(old).await);
    }
    let started = start_entry(FaultyStore::new(&memory), seeds).await?;
    assert!(started.wait_for(5, BOUND * 2).await.is_some());
    assert!(started.entry.is_ready());
    Ok(())
}

/// Guards against a change that the store has answered and that is applied only when the transfer of a document from a stalled
/// peer has timed out: the check waits for both.
#[tokio::test(flavor = "multi_thread")]
async fn change_read_beside_stalled_peer_is_applied() -> Result<()> {
    let memory = Arc::new(MemoryStore::default());
    put(&memory, "1").await?;
    let stalled = PeerConfiguration {
        revision: 1_000,
        transfer: Duration::from_secs(30),
        ..PeerConfiguration::fresh(2)
    };
    let seeds = vec![start_peer(stalled).await];
    let started = start_entry(FaultyStore::new(&memory), seeds).await?;
    assert!(started.wait_for(1, TIMEOUT).await.is_some());
    started.store.set_watch_fault(WatchFault::Silent);
    // Longer than the delay of the question to other entries, shorter than the timeout of a check.
    started.store.check_ms.store(300, Ordering::Release);
    tokio::time::sleep(Duration::from_secs(1)).await;
    put(&memory, "2").await?;
    assert!(started.wait_for(2, BOUND).await.is_some());
    Ok(())
}

/// Guards against an accepted job that the owner never learns of: the entry that stored it could not reach the owner, and the
/// watch of the jobs continued after it, as that of the configuration once did.
#[tokio::test(flavor = "multi_thread")]
async fn job_missed_by_watch_is_known_to_owner() -> Result<()> {
    let (memory, started) = start_configured().await?;
    let queue = QueueId::from("batch");
    let deadline = Instant::now() + TIMEOUT;
    while started.entry.owned_epoch().is_none() {
        assert!(Instant::now() < deadline, "the entry owns the cell");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    started.store.misses_others.store(true, Ordering::Release);
    let job = AcceptedJob {
        queue: queue.clone(),
        ..accepted_job(ResourceVector::default())
    };
    let record = bytes::Bytes::from(accepted_record(job));
    let key = "limpethook/jobs/0000000000000007";
    memory.put(key, record, Precondition::Any, None).await?;
    // The disturbance ends; two further watches take ten seconds.
    tokio::time::sleep(Duration::from_millis(500)).await;
    started.store.misses_others.store(false, Ordering::Release);
    let deadline = Instant::now() + TIMEOUT * 3 / 2;
    while started.entry.waiting(&queue).await? == 0 {
        assert!(Instant::now() < deadline, "the owner knows the job");
        tokio::time::sleep(POLL_INTERVAL * 10).await;
    }
    Ok(())
}

/// Guards against entries that wait for an owner that has ended, because the watch of the members continued after the removal
/// of its record.
#[tokio::test(flavor = "multi_thread")]
async fn end_of_owner_missed_by_watch_is_noticed() -> Result<()> {
    let memory = Arc::new(MemoryStore::default());
    put(&memory, "1").await?;
    let owner_key = "limpethook/cell/owner";
    let owner = ("other", free_addr(), 7_u64);
    let record = postcard::to_stdvec(&owner).unwrap_or_default();
    memory
        .put(owner_key, record.into(), Precondition::Any, None)
        .await?;
    let started = start_entry(FaultyStore::new(&memory), Vec::new()).await?;
    assert!(started.wait_for(1, TIMEOUT).await.is_some());
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(started.entry.owned_epoch(), None);
    started.store.misses_others.store(true, Ordering::Release);
    memory.delete(owner_key, Precondition::Any).await?;
    tokio::time::sleep(Duration::from_millis(500)).await;
    started.store.misses_others.store(false, Ordering::Release);
    let deadline = Instant::now() + TIMEOUT * 3 / 2;
    while started.entry.owned_epoch().is_none() {
        assert!(Instant::now() < deadline, "the entry owns the cell");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}
