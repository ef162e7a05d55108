//! Submission and change of records against the stand-in store.

use std::time::Duration;

use common::{accepted, run};
use errors::{ErrorKind, Verdict};
use jobs::{Stored, Written, read, replace, submit};
use standin::{Outage, Selection, Server, StoreFaults, StoreSettings, start_store};
use store::{HttpStore, HttpStoreSettings};
use timer::Timer;

mod common;

async fn start() -> (Server, HttpStore) {
    let server = start_store(&StoreSettings::default(), &Timer::start())
        .await
        .unwrap();
    let mut settings = HttpStoreSettings::new(server.base_url());
    settings.call_timeout = Duration::from_millis(500);
    (server, HttpStore::new(&settings).unwrap())
}

async fn set_faults(server: &Server, faults: &StoreFaults) {
    let url = format!("{}/control/faults", server.base_url());
    let sent = reqwest::Client::new().post(url).json(faults).send().await;
    assert!(sent.unwrap().status().is_success());
}

fn outage(outage: Outage) -> StoreFaults {
    StoreFaults {
        outage: Some(outage),
        ..StoreFaults::default()
    }
}

fn lose(count: u64) -> StoreFaults {
    let selection = Selection {
        count: Some(count),
        ..Selection::default()
    };
    StoreFaults {
        lost_answers: Some(selection),
        ..StoreFaults::default()
    }
}

/// Guards against a job that is refused although its record is durable.
#[tokio::test]
async fn submit_accepts_after_lost_answer() {
    let (server, store) = start().await;
    set_faults(&server, &lose(1)).await;
    let stored = submit(&store, "caribe", accepted(1, false, "b"))
        .await
        .unwrap();
    assert_eq!(stored.name(), "accepted");
    assert!(read(&store, "caribe", 1).await.unwrap().is_some());
}

/// Guards against a "may have run" for a job that certainly has no record, whether the store refuses or hangs.
#[tokio::test]
async fn submit_is_not_run_while_store_is_down() {
    let (server, store) = start().await;
    for how in [Outage::Refuse, Outage::Hang] {
        set_faults(&server, &outage(how)).await;
        let report = submit(&store, "caribe", accepted(1, false, "b")).await;
        assert_eq!(
            report.unwrap_err().current_context().verdict,
            Verdict::NotRun
        );
    }
    set_faults(&server, &StoreFaults::default()).await;
    assert_eq!(read(&store, "caribe", 1).await.unwrap(), None);
}

/// Guards against a second job for one key, and against one key for two different jobs.
#[tokio::test]
async fn submit_attaches_only_to_the_same_submission() {
    let (_server, store) = start().await;
    let first = submit(&store, "caribe", accepted(1, false, "b"))
        .await
        .unwrap();
    let Stored::Accepted(job) = first else {
        panic!()
    };
    let (_, revision) = read(&store, "caribe", 1).await.unwrap().unwrap();
    let running = Stored::from(job.start(run(1)));
    let written = replace(&store, "caribe", &running, revision).await.unwrap();
    assert!(matches!(written, Written::Done(_)));
    let again = submit(&store, "caribe", accepted(1, false, "b"))
        .await
        .unwrap();
    assert_eq!(again, running);
    for other in [accepted(1, false, "c"), accepted(1, true, "b")] {
        let report = submit(&store, "caribe", other).await.unwrap_err();
        assert_eq!(report.current_context().kind, ErrorKind::Conflict);
    }
}

/// Guards against two outcomes of one job: of two changes of one revision only the first takes effect.
#[tokio::test]
async fn replace_refuses_stale_revision() {
    let (server, store) = start().await;
    let Stored::Accepted(job) = submit(&store, "caribe", accepted(1, false, "b"))
        .await
        .unwrap()
    else {
        panic!()
    };
    let (_, revision) = read(&store, "caribe", 1).await.unwrap().unwrap();
    let cancelled = Stored::from(job.clone().cancel(std::time::SystemTime::now()));
    set_faults(&server, &lose(1)).await;
    let first = replace(&store, "caribe", &cancelled, revision)
        .await
        .unwrap();
    assert!(
        matches!(first, Written::Done(_)),
        "a lost answer is read back"
    );
    let running = Stored::from(job.start(run(1)));
    let second = replace(&store, "caribe", &running, revision).await.unwrap();
    assert_eq!(second, Written::Conflict);
    let (stored, _) = read(&store, "caribe", 1).await.unwrap().unwrap();
    assert_eq!(stored, cancelled);
}
