//! Tests of `HttpStore` and `put_confirmed` against the platform stand-in over loopback.

use std::time::Duration;

use bytes::Bytes;
use errors::{ErrorKind, Verdict};
use standin::{Outage, Server, StoreFaults, StoreSettings, start_store};
use store::{
    Change, ConfirmedOutcome, HttpStore, HttpStoreSettings, KvStore, Precondition, PutRequest,
    WatchOutcome, WriteOutcome, put_confirmed,
};
use timer::Timer;

use doubles::{FaultyStore, WriteFault};

mod doubles;

const CALL_TIMEOUT: Duration = Duration::from_millis(500);

async fn start() -> (Server, HttpStore) {
    start_with(&StoreSettings::default()).await
}

async fn start_with(settings: &StoreSettings) -> (Server, HttpStore) {
    let server = start_store(settings, &Timer::start()).await.unwrap();
    let store = connect(&server.base_url());
    (server, store)
}

fn connect(base: &str) -> HttpStore {
    let mut settings = HttpStoreSettings::new(base);
    settings.call_timeout = CALL_TIMEOUT;
    HttpStore::new(&settings).unwrap()
}

async fn set_faults(server: &Server, faults: &StoreFaults) {
    let url = format!("{}/control/faults", server.base_url());
    let sent = reqwest::Client::new().post(url).json(faults).send().await;
    assert!(sent.unwrap().status().is_success());
}

fn lose_answers(count: u64) -> StoreFaults {
    StoreFaults {
        lost_answers: Some(standin::Selection {
            count: Some(count),
            ..standin::Selection::default()
        }),
        ..StoreFaults::default()
    }
}

fn request(value: &'static str, precondition: Precondition) -> PutRequest {
    PutRequest {
        key: "cells/a".into(),
        value: Bytes::from_static(value.as_bytes()),
        precondition,
        lease: None,
        known_revision: 0,
    }
}

async fn put(
    store: &HttpStore,
    key: &str,
    value: &'static str,
    precondition: Precondition,
) -> WriteOutcome {
    let value = Bytes::from_static(value.as_bytes());
    store.put(key, value, precondition, None).await.unwrap()
}

/// Guards against several concurrent writers each being told that they created the key.
#[tokio::test(flavor = "multi_thread")]
async fn put_succeeds_for_one_of_concurrent_writers() {
    let (server, _) = start().await;
    let mut writers = tokio::task::JoinSet::new();
    for _ in 0..16 {
        let store = connect(&server.base_url());
        writers.spawn(async move { put(&store, "cells/a", "x", Precondition::Absent).await });
    }
    let outcomes = writers.join_all().await;
    let written = outcomes
        .iter()
        .filter(|outcome| matches!(outcome, WriteOutcome::Written { .. }));
    assert_eq!(written.count(), 1);
}

/// Guards against writes that ignore the expected revision, and against conflicts without the current revision.
#[tokio::test]
async fn put_reports_current_revision_on_conflict() {
    let (_server, store) = start().await;
    let first = put(&store, "a", "1", Precondition::Absent).await;
    let second = put(&store, "a", "2", Precondition::Revision(1)).await;
    let stale = put(&store, "a", "3", Precondition::Revision(1)).await;
    assert_eq!(first, WriteOutcome::Written { revision: 1 });
    assert_eq!(second, WriteOutcome::Written { revision: 2 });
    assert_eq!(stale, WriteOutcome::Conflict { current: Some(2) });
    let pair = store.get("a").await.unwrap().unwrap();
    assert_eq!((&pair.value[..], pair.revision), (&b"2"[..], 2));
}

/// Guards against incorrect encoding of keys with reserved characters and of values with line feeds.
#[tokio::test]
async fn list_returns_raw_values_in_key_order() {
    let (_server, store) = start().await;
    put(&store, "jobs/b&x=1 %", "{\"a\":\n1}\n", Precondition::Any).await;
    put(&store, "jobs/a", "\n\n", Precondition::Any).await;
    put(&store, "other", "z", Precondition::Any).await;
    let listing = store.list("jobs/").await.unwrap();
    let seen: Vec<(&str, &[u8])> = listing
        .pairs
        .iter()
        .map(|pair| (&*pair.key, &pair.value[..]))
        .collect();
    let expected: [(&str, &[u8]); 2] = [("jobs/a", b"\n\n"), ("jobs/b&x=1 %", b"{\"a\":\n1}\n")];
    assert_eq!(seen, expected);
    assert_eq!(listing.revision, 3);
}

/// Guards against a value limit below 1 MB, and against larger values being accepted.
#[tokio::test]
async fn put_enforces_value_limit() {
    let (_server, store) = start().await;
    let largest = Bytes::from(vec![7; store::MAX_VALUE_BYTES]);
    let written = store
        .put("a", largest.clone(), Precondition::Any, None)
        .await;
    assert!(matches!(written.unwrap(), WriteOutcome::Written { .. }));
    assert_eq!(store.get("a").await.unwrap().unwrap().value, largest);
    let over = Bytes::from(vec![7; store::MAX_VALUE_BYTES + 1]);
    let rejected = store
        .put("a", over, Precondition::Any, None)
        .await
        .unwrap_err();
    assert_eq!(rejected.current_context().kind, ErrorKind::TooLarge);
}

/// Guards against keys that remain after their lease has expired, and against renewal of an expired lease.
#[tokio::test]
async fn watch_reports_deletion_by_expired_lease() {
    let (_server, store) = start().await;
    let lease = store.grant_lease(Duration::from_millis(200)).await.unwrap();
    let value = Bytes::from_static(b"holder");
    let written = store
        .put("cells/a", value, Precondition::Absent, Some(lease))
        .await;
    assert!(matches!(written.unwrap(), WriteOutcome::Written { .. }));
    assert!(store.renew_lease(lease).await.unwrap());
    let wait = Duration::from_secs(5);
    let seen = store.watch("cells/", 1, wait).await.unwrap();
    let deleted = Change::Deleted {
        key: "cells/a".into(),
        revision: 2,
    };
    let (changes, revision) = (vec![deleted], 2);
    assert_eq!(seen, WatchOutcome::Changes { changes, revision });
    assert!(!store.renew_lease(lease).await.unwrap());
    assert!(store.get("cells/a").await.unwrap().is_none());
}

/// Guards against changes that are lost, repeated or reordered between two watch calls.
#[tokio::test(flavor = "multi_thread")]
async fn watch_returns_each_change_once_in_order() {
    const WRITES: u64 = 200;
    let (server, store) = start().await;
    let peer = connect(&server.base_url());
    let writes = tokio::spawn(async move {
        for _ in 0..WRITES {
            put(&peer, "config/a", "x", Precondition::Any).await;
            put(&peer, "jobs/a", "x", Precondition::Any).await;
        }
    });
    let (mut seen, mut after) = (Vec::new(), 0);
    while seen.len() < usize::try_from(WRITES).unwrap() {
        let watched = store.watch("config/", after, Duration::from_secs(5)).await;
        let WatchOutcome::Changes { changes, revision } = watched.unwrap() else {
            panic!("the history was compacted");
        };
        assert!(!changes.is_empty(), "the watch timed out");
        seen.extend(changes.iter().map(Change::revision));
        after = revision;
    }
    writes.await.unwrap();
    let expected: Vec<u64> = (0..WRITES).map(|n| 2 * n + 1).collect();
    assert_eq!(seen, expected);
}

/// Guards against a watch that silently skips compacted changes.
#[tokio::test]
async fn watch_reports_compacted_history() {
    let (_server, store) = start_with(&StoreSettings {
        history: 2,
        ..StoreSettings::default()
    })
    .await;
    for _ in 0..4 {
        put(&store, "a", "x", Precondition::Any).await;
    }
    let seen = store.watch("", 1, Duration::ZERO).await.unwrap();
    assert_eq!(seen, WatchOutcome::Compacted { revision: 4 });
    let seen = store.watch("", 2, Duration::ZERO).await.unwrap();
    assert!(matches!(seen, WatchOutcome::Changes { changes, .. } if changes.len() == 2));
}

/// Guards against a history of large values that exhausts the memory of the stand-in.
#[tokio::test]
async fn watch_reports_compaction_of_large_values() {
    let (_server, store) = start().await;
    let large = Bytes::from(vec![7; store::MAX_VALUE_BYTES]);
    for _ in 0..70 {
        let written = store.put("a", large.clone(), Precondition::Any, None).await;
        assert!(matches!(written.unwrap(), WriteOutcome::Written { .. }));
    }
    let seen = store.watch("", 0, Duration::ZERO).await.unwrap();
    assert_eq!(seen, WatchOutcome::Compacted { revision: 70 });
}

/// Guards against a lost response being reported as "not run", after which the caller would write again.
#[tokio::test]
async fn put_reports_lost_response_as_may_have_run() {
    let (server, store) = start().await;
    set_faults(&server, &lose_answers(1)).await;
    let value = Bytes::from_static(b"1");
    let lost = store
        .put("a", value, Precondition::Absent, None)
        .await
        .unwrap_err();
    let error = lost.current_context();
    assert_eq!(error.verdict, Verdict::MayHaveRun);
    assert_eq!(error.kind, ErrorKind::Unavailable);
    assert!(store.get("a").await.unwrap().is_some());
}

/// Guards against a write that took effect being reported as unknown, or as a conflict with its own value.
#[tokio::test]
async fn put_confirmed_reads_back_after_lost_response() {
    let (server, store) = start().await;
    set_faults(&server, &lose_answers(1)).await;
    let done = put_confirmed(&store, &request("me", Precondition::Absent)).await;
    assert_eq!(done.unwrap(), ConfirmedOutcome::Written { revision: 1 });
    assert_eq!(store.call_counts().put, 1);
}

/// Guards against a conflict whose response was lost being reported as written.
#[tokio::test]
async fn put_confirmed_reports_conflict_after_lost_response() {
    let (server, store) = start().await;
    put(&store, "cells/a", "other", Precondition::Any).await;
    set_faults(&server, &lose_answers(1)).await;
    let done = put_confirmed(&store, &request("me", Precondition::Absent)).await;
    assert_eq!(
        done.unwrap(),
        ConfirmedOutcome::Conflict { current: Some(1) }
    );
}

/// Guards against a successful write being reported as a conflict because another client overwrote it at once.
#[tokio::test]
async fn put_confirmed_finds_overwritten_value_in_history() {
    let (server, store) = start().await;
    put(&store, "cells/a", "old", Precondition::Any).await;
    let faulty = FaultyStore::new(connect(&server.base_url()), WriteFault::Overwritten);
    set_faults(&server, &lose_answers(1)).await;
    let done = put_confirmed(&faulty, &request("me", Precondition::Revision(1))).await;
    assert_eq!(done.unwrap(), ConfirmedOutcome::Written { revision: 2 });
}

/// Guards against a definite outcome although the history that would prove it was compacted.
#[tokio::test]
async fn put_confirmed_stays_unknown_after_compaction() {
    let settings = StoreSettings {
        history: 1,
        ..StoreSettings::default()
    };
    let (server, store) = start_with(&settings).await;
    put(&store, "cells/a", "old", Precondition::Any).await;
    let faulty = FaultyStore::new(connect(&server.base_url()), WriteFault::Overwritten);
    set_faults(&server, &lose_answers(1)).await;
    let done = put_confirmed(&faulty, &request("me", Precondition::Revision(1))).await;
    assert!(matches!(done.unwrap(), ConfirmedOutcome::Unknown(_)));
}

/// Guards against a conditional write that did not reach the store being reported as unknown instead of being retried,
/// and against the retry of an unconditional write.
#[tokio::test]
async fn put_confirmed_retries_only_conditional_writes() {
    let (server, store) = start().await;
    let faulty = FaultyStore::new(store, WriteFault::Dropped);
    let done = put_confirmed(&faulty, &request("me", Precondition::Absent)).await;
    assert_eq!(done.unwrap(), ConfirmedOutcome::Written { revision: 1 });
    let faulty = FaultyStore::new(connect(&server.base_url()), WriteFault::Dropped);
    let done = put_confirmed(&faulty, &request("other", Precondition::Any)).await;
    assert!(matches!(done.unwrap(), ConfirmedOutcome::Unknown(_)));
}

/// Guards against a definite outcome although the store cannot be read after the write.
#[tokio::test]
async fn put_confirmed_stays_unknown_without_read_back() {
    let (server, store) = start().await;
    let faults = StoreFaults {
        outage: Some(Outage::Hang),
        ..StoreFaults::default()
    };
    set_faults(&server, &faults).await;
    let done = put_confirmed(&store, &request("me", Precondition::Absent)).await;
    assert!(matches!(done.unwrap(), ConfirmedOutcome::Unknown(_)));
}

/// Guards against a refused connection or an outage being reported as "may have run".
#[tokio::test]
async fn put_reports_outage_as_not_run() {
    let (server, store) = start().await;
    let faults = StoreFaults {
        outage: Some(Outage::Refuse),
        ..StoreFaults::default()
    };
    set_faults(&server, &faults).await;
    let free = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let closed = connect(&format!("http://{}", free.local_addr().unwrap()));
    drop(free);
    for store in [store, closed] {
        let value = Bytes::from_static(b"1");
        let failed = store
            .put("a", value, Precondition::Any, None)
            .await
            .unwrap_err();
        let error = failed.current_context();
        assert_eq!(error.verdict, Verdict::NotRun);
        assert_eq!(error.kind, ErrorKind::Unavailable);
    }
    set_faults(&server, &StoreFaults::default()).await;
    assert!(
        connect(&server.base_url())
            .get("a")
            .await
            .unwrap()
            .is_none()
    );
}

/// Guards against a malformed URL that goes unnoticed until calls fail.
#[test]
fn new_rejects_url_without_scheme() {
    for base in ["127.0.0.1:2379", "localhost:2379", ""] {
        let rejected = HttpStore::new(&HttpStoreSettings::new(base)).unwrap_err();
        assert_eq!(rejected.current_context().kind, ErrorKind::InvalidRequest);
    }
}

/// Guards against a stopped service that still responds on open connections, and against a port that is not released.
#[tokio::test]
async fn get_fails_while_service_is_stopped() {
    let (server, store) = start().await;
    put(&store, "a", "1", Precondition::Any).await;
    let listen = server.addr();
    server.stop();
    tokio::time::sleep(Duration::from_millis(100)).await;
    let failed = store.get("a").await.unwrap_err();
    assert_eq!(failed.current_context().kind, ErrorKind::Unavailable);
    let settings = StoreSettings {
        listen,
        ..StoreSettings::default()
    };
    let _server = start_store(&settings, &Timer::start()).await.unwrap();
    assert!(store.get("a").await.unwrap().is_none());
    let seen = store.watch("", 1, Duration::ZERO).await.unwrap();
    assert_eq!(seen, WatchOutcome::Compacted { revision: 0 });
}
