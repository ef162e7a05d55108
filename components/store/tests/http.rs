//! `HttpStore` against the stand-in over loopback.

use std::time::Duration;

use bytes::Bytes;
use errors::{ErrorKind, Verdict};
use standin::{Outage, Server, StoreFaults, StoreSettings, start_store};
use store::{
    Change, Confirmed, Expect, HttpStore, HttpStoreSettings, KvStore, PutOutcome, PutRequest,
    Watched, put_confirmed,
};
use timer::Timer;

use doubles::{First, Interfering};

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

fn lose_next(count: u64) -> StoreFaults {
    StoreFaults {
        lost_answers: Some(standin::Selection {
            count: Some(count),
            ..standin::Selection::default()
        }),
        ..StoreFaults::default()
    }
}

fn request(value: &'static str, expect: Expect) -> PutRequest {
    PutRequest {
        key: "cells/a".into(),
        value: Bytes::from_static(value.as_bytes()),
        expect,
        lease: None,
        since: 0,
    }
}

async fn put(store: &HttpStore, key: &str, value: &'static str, expect: Expect) -> PutOutcome {
    let value = Bytes::from_static(value.as_bytes());
    store.put(key, value, expect, None).await.unwrap()
}

/// Guards against two of several racing writers being told that they created the same key.
#[tokio::test(flavor = "multi_thread")]
async fn put_grants_one_of_racing_writers() {
    let (server, _) = start().await;
    let mut races = tokio::task::JoinSet::new();
    for _ in 0..16 {
        let store = connect(&server.base_url());
        races.spawn(async move { put(&store, "cells/a", "x", Expect::Absent).await });
    }
    let outcomes = races.join_all().await;
    let written = outcomes
        .iter()
        .filter(|outcome| matches!(outcome, PutOutcome::Written { .. }));
    assert_eq!(written.count(), 1);
}

/// Guards against a write that ignores the revision it expects, and against a conflict that hides the current one.
#[tokio::test]
async fn put_reports_current_revision_on_conflict() {
    let (_server, store) = start().await;
    let first = put(&store, "a", "1", Expect::Absent).await;
    let second = put(&store, "a", "2", Expect::Revision(1)).await;
    let stale = put(&store, "a", "3", Expect::Revision(1)).await;
    assert_eq!(first, PutOutcome::Written { revision: 1 });
    assert_eq!(second, PutOutcome::Written { revision: 2 });
    assert_eq!(stale, PutOutcome::Conflict { current: Some(2) });
    let entry = store.get("a").await.unwrap().unwrap();
    assert_eq!((&entry.value[..], entry.revision), (&b"2"[..], 2));
}

/// Guards against keys with reserved characters and values with any bytes being changed on the way.
#[tokio::test]
async fn list_returns_raw_values_in_key_order() {
    let (_server, store) = start().await;
    put(&store, "jobs/b&x=1 %", "{\"a\":\n1}\n", Expect::Any).await;
    put(&store, "jobs/a", "\n\n", Expect::Any).await;
    put(&store, "other", "z", Expect::Any).await;
    let listing = store.list("jobs/").await.unwrap();
    let seen: Vec<(&str, &[u8])> = listing
        .entries
        .iter()
        .map(|entry| (&*entry.key, &entry.value[..]))
        .collect();
    let expected: [(&str, &[u8]); 2] = [("jobs/a", b"\n\n"), ("jobs/b&x=1 %", b"{\"a\":\n1}\n")];
    assert_eq!(seen, expected);
    assert_eq!(listing.revision, 3);
}

/// Guards against the limit on values being lower than 1 MB or not enforced before the call.
#[tokio::test]
async fn put_accepts_one_megabyte_and_no_more() {
    let (_server, store) = start().await;
    let largest = Bytes::from(vec![7; store::MAX_VALUE_BYTES]);
    let written = store.put("a", largest.clone(), Expect::Any, None).await;
    assert!(matches!(written.unwrap(), PutOutcome::Written { .. }));
    assert_eq!(store.get("a").await.unwrap().unwrap().value, largest);
    let over = Bytes::from(vec![7; store::MAX_VALUE_BYTES + 1]);
    let refused = store.put("a", over, Expect::Any, None).await.unwrap_err();
    assert_eq!(refused.current_context().kind, ErrorKind::TooLarge);
}

/// Guards against keys that outlive the lease of a dead holder, and against renewal of a lapsed lease.
#[tokio::test]
async fn lease_removes_keys_when_it_lapses() {
    let (_server, store) = start().await;
    let lease = store.grant_lease(Duration::from_millis(200)).await.unwrap();
    let value = Bytes::from_static(b"holder");
    let written = store
        .put("cells/a", value, Expect::Absent, Some(lease))
        .await;
    assert!(matches!(written.unwrap(), PutOutcome::Written { .. }));
    assert!(store.renew_lease(lease).await.unwrap());
    let wait = Duration::from_secs(5);
    let seen = store.watch("cells/", 1, wait).await.unwrap();
    let deleted = Change::Deleted {
        key: "cells/a".into(),
        revision: 2,
    };
    let (changes, revision) = (vec![deleted], 2);
    assert_eq!(seen, Watched::Changes { changes, revision });
    assert!(!store.renew_lease(lease).await.unwrap());
    assert!(store.get("cells/a").await.unwrap().is_none());
}

/// Guards against a watch that misses, repeats or reorders changes between two calls.
#[tokio::test(flavor = "multi_thread")]
async fn watch_sees_each_change_once_in_order() {
    const WRITES: u64 = 200;
    let (server, store) = start().await;
    let peer = connect(&server.base_url());
    let writes = tokio::spawn(async move {
        for _ in 0..WRITES {
            put(&peer, "config/a", "x", Expect::Any).await;
            put(&peer, "jobs/a", "x", Expect::Any).await;
        }
    });
    let (mut seen, mut after) = (Vec::new(), 0);
    while seen.len() < usize::try_from(WRITES).unwrap() {
        let watched = store.watch("config/", after, Duration::from_secs(5)).await;
        let Watched::Changes { changes, revision } = watched.unwrap() else {
            panic!("the history holds all changes");
        };
        assert!(!changes.is_empty(), "the watch ended without a change");
        seen.extend(changes.iter().map(Change::revision));
        after = revision;
    }
    writes.await.unwrap();
    let expected: Vec<u64> = (0..WRITES).map(|n| 2 * n + 1).collect();
    assert_eq!(seen, expected);
}

/// Guards against a watch that silently skips changes which have left the history.
#[tokio::test]
async fn watch_reports_compacted_history() {
    let (_server, store) = start_with(&StoreSettings {
        history: 2,
        ..StoreSettings::default()
    })
    .await;
    for _ in 0..4 {
        put(&store, "a", "x", Expect::Any).await;
    }
    let seen = store.watch("", 1, Duration::ZERO).await.unwrap();
    assert_eq!(seen, Watched::Compacted { revision: 4 });
    let seen = store.watch("", 2, Duration::ZERO).await.unwrap();
    assert!(matches!(seen, Watched::Changes { changes, .. } if changes.len() == 2));
}

/// Guards against a history of large values that fills the memory.
#[tokio::test]
async fn watch_reports_compaction_of_large_values() {
    let (_server, store) = start().await;
    let large = Bytes::from(vec![7; store::MAX_VALUE_BYTES]);
    for _ in 0..70 {
        let written = store.put("a", large.clone(), Expect::Any, None).await;
        assert!(matches!(written.unwrap(), PutOutcome::Written { .. }));
    }
    let seen = store.watch("", 0, Duration::ZERO).await.unwrap();
    assert_eq!(seen, Watched::Compacted { revision: 70 });
}

/// Guards against a lost answer being reported as "not run", which would let a caller write twice.
#[tokio::test]
async fn put_reports_lost_answer_as_may_have_run() {
    let (server, store) = start().await;
    set_faults(&server, &lose_next(1)).await;
    let value = Bytes::from_static(b"1");
    let lost = store
        .put("a", value, Expect::Absent, None)
        .await
        .unwrap_err();
    let error = lost.current_context();
    assert_eq!(error.verdict, Verdict::MayHaveRun);
    assert_eq!(error.kind, ErrorKind::Unavailable);
    assert!(store.get("a").await.unwrap().is_some());
}

/// Guards against a write that took effect being reported as unknown or as a conflict with itself.
#[tokio::test]
async fn put_confirmed_reads_back_lost_answer() {
    let (server, store) = start().await;
    set_faults(&server, &lose_next(1)).await;
    let done = put_confirmed(&store, &request("me", Expect::Absent)).await;
    assert_eq!(done.unwrap(), Confirmed::Written { revision: 1 });
    assert_eq!(store.calls().put, 1);
}

/// Guards against a lost conflict being reported as written.
#[tokio::test]
async fn put_confirmed_reports_conflict_behind_lost_answer() {
    let (server, store) = start().await;
    put(&store, "cells/a", "other", Expect::Any).await;
    set_faults(&server, &lose_next(1)).await;
    let done = put_confirmed(&store, &request("me", Expect::Absent)).await;
    assert_eq!(done.unwrap(), Confirmed::Conflict { current: Some(1) });
}

/// Guards against an own write that another writer replaced at once being reported as a lost race.
#[tokio::test]
async fn put_confirmed_finds_replaced_write_in_history() {
    let (server, store) = start().await;
    put(&store, "cells/a", "old", Expect::Any).await;
    let hasty = Interfering::new(connect(&server.base_url()), First::Replaced);
    set_faults(&server, &lose_next(1)).await;
    let done = put_confirmed(&hasty, &request("me", Expect::Revision(1))).await;
    assert_eq!(done.unwrap(), Confirmed::Written { revision: 2 });
}

/// Guards against a guess when the history no longer tells who won.
#[tokio::test]
async fn put_confirmed_stays_unknown_after_compaction() {
    let settings = StoreSettings {
        history: 1,
        ..StoreSettings::default()
    };
    let (server, store) = start_with(&settings).await;
    put(&store, "cells/a", "old", Expect::Any).await;
    let hasty = Interfering::new(connect(&server.base_url()), First::Replaced);
    set_faults(&server, &lose_next(1)).await;
    let done = put_confirmed(&hasty, &request("me", Expect::Revision(1))).await;
    assert!(matches!(done.unwrap(), Confirmed::Unknown(_)));
}

/// Guards against a conditional write being given up as unknown although it never arrived.
#[tokio::test]
async fn put_confirmed_repeats_write_that_never_arrived() {
    let (server, store) = start().await;
    let lossy = Interfering::new(store, First::NeverArrives);
    let done = put_confirmed(&lossy, &request("me", Expect::Absent)).await;
    assert_eq!(done.unwrap(), Confirmed::Written { revision: 1 });
    let lossy = Interfering::new(connect(&server.base_url()), First::NeverArrives);
    let done = put_confirmed(&lossy, &request("other", Expect::Any)).await;
    assert!(matches!(done.unwrap(), Confirmed::Unknown(_)));
}

/// Guards against a guess when the store cannot be read after the write.
#[tokio::test]
async fn put_confirmed_stays_unknown_without_read_back() {
    let (server, store) = start().await;
    let faults = StoreFaults {
        outage: Some(Outage::Hang),
        ..StoreFaults::default()
    };
    set_faults(&server, &faults).await;
    let done = put_confirmed(&store, &request("me", Expect::Absent)).await;
    assert!(matches!(done.unwrap(), Confirmed::Unknown(_)));
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
        let failed = store.put("a", value, Expect::Any, None).await.unwrap_err();
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

/// Guards against a malformed address that shows only as failing calls.
#[test]
fn new_refuses_address_without_scheme() {
    for base in ["127.0.0.1:2379", "localhost:2379", ""] {
        let refused = HttpStore::new(&HttpStoreSettings::new(base)).unwrap_err();
        assert_eq!(refused.current_context().kind, ErrorKind::InvalidRequest);
    }
}

/// Guards against a stopped service that still answers on open connections, and against a port that stays taken.
#[tokio::test]
async fn get_fails_while_service_is_stopped() {
    let (server, store) = start().await;
    put(&store, "a", "1", Expect::Any).await;
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
    assert_eq!(seen, Watched::Compacted { revision: 0 });
}
