//! The configuration in force while the store, its watches and other entries are disturbed.

#[path = "../common/mod.rs"]
#[expect(dead_code, reason = "shared with tests about jobs")]
mod common;
mod peer;
mod store;

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Once};
use std::time::{Duration, Instant};

use ::store::{KvStore, Precondition};
use cell::{AccountTokens, Configuration, Entry, EntrySettings};
use common::{MemoryStore, SECRET, free_addr, scheduler_settings};
use errors::{Error, ErrorKind, Result};
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
    let addr = free_addr();
    let settings = EntrySettings {
        entry: format!("entry-{}", addr.port()).into(),
        addr,
        processor_share: 1.0,
        seeds,
        configuration_key: CONFIGURATION_KEY.into(),
        configuration_bound: BOUND,
        scheduler: scheduler_settings(),
        retention: Duration::from_mins(2),
        min_store_lease: Duration::from_secs(1),
        handover_time: Duration::from_secs(5),
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

/// Guards against an entry that waits after the response to its watch was cut.
#[tokio::test(flavor = "multi_thread")]
async fn change_in_cut_response_is_applied() -> Result<()> {
    expect_change_despite(WatchFault::Closed).await
}

/// Guards against an entry without the store that asks a few peers of many, none of which has the newer version.
#[tokio::test(flavor = "multi_thread")]
async fn change_known_to_one_peer_is_applied() -> Result<()> {
    let mut applied = 0;
    for _ in 0..4 {
        let (memory, _) = start_configured().await?;
        let mut seeds = Vec::new();
        for peer in 0..11 {
            let mut configuration = PeerConfiguration::fresh(if peer == 5 { 9 } else { 1 });
            if peer != 5 {
                configuration.age = Duration::from_mins(1);
            }
            seeds.push(start_peer(configuration).await);
        }
        let started = start_entry(FaultyStore::new(&memory), seeds).await?;
        started.store.is_silent.store(true, Ordering::Release);
        applied += u32::from(started.wait_for(9, BOUND).await.is_some());
    }
    assert_eq!(applied, 4, "of 4 entries");
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
