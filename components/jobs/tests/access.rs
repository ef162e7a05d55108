//! Tests of access to job records in the store of the platform stand-in.

use std::time::Duration;

use common::{accepted, run};
use errors::{Error, ErrorKind, Verdict};
use jobs::{JobRecord, ReplaceOutcome, read_record, replace_record, submit};
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

fn lose_answers(count: u64) -> StoreFaults {
    let selection = Selection {
        count: Some(count),
        ..Selection::default()
    };
    StoreFaults {
        lost_answers: Some(selection),
        ..StoreFaults::default()
    }
}

/// Guards against an error for a job whose record was stored but whose write got no response.
#[tokio::test]
async fn submit_accepts_after_lost_response() {
    let (server, store) = start().await;
    set_faults(&server, &lose_answers(1)).await;
    let stored = submit(&store, "caribe", accepted(1, false, "b"), || Ok(()))
        .await
        .unwrap();
    assert_eq!(stored.state_name(), "accepted");
    assert!(read_record(&store, "caribe", 1).await.unwrap().is_some());
}

/// Guards against the verdict "may have run" for a job without a record, whether the store rejects calls or hangs.
#[tokio::test]
async fn submit_is_not_run_while_store_is_down() {
    let (server, store) = start().await;
    for kind in [Outage::Refuse, Outage::Hang] {
        set_faults(&server, &outage(kind)).await;
        let report = submit(&store, "caribe", accepted(1, false, "b"), || Ok(())).await;
        assert_eq!(
            report.unwrap_err().current_context().verdict,
            Verdict::NotRun
        );
    }
    set_faults(&server, &StoreFaults::default()).await;
    assert_eq!(read_record(&store, "caribe", 1).await.unwrap(), None);
}

/// Guards against two jobs for one id, and against one id for two different submissions.
#[tokio::test]
async fn submit_returns_existing_job_only_for_same_submission() {
    let (_server, store) = start().await;
    let first = submit(&store, "caribe", accepted(1, false, "b"), || Ok(()))
        .await
        .unwrap();
    let JobRecord::Accepted(job) = first else {
        panic!()
    };
    let (_, revision) = read_record(&store, "caribe", 1).await.unwrap().unwrap();
    let running = JobRecord::from(job.start(run(1)));
    let written = replace_record(&store, "caribe", &running, revision)
        .await
        .unwrap();
    assert!(matches!(written, ReplaceOutcome::Written(_)));
    let again = submit(&store, "caribe", accepted(1, false, "b"), || Ok(()))
        .await
        .unwrap();
    assert_eq!(again, running);
    for other in [accepted(1, false, "c"), accepted(1, true, "b")] {
        let report = submit(&store, "caribe", other, || Ok(()))
            .await
            .unwrap_err();
        assert_eq!(report.current_context().kind, ErrorKind::Conflict);
    }
}

/// Guards against a refusal, which says that a job does not run, for a job that was accepted before and runs.
#[tokio::test]
async fn submit_of_existing_job_needs_no_admission() {
    let (_server, store) = start().await;
    let keyed = |id| {
        let mut job = accepted(id, false, "b");
        job.header.has_idempotency_key = true;
        job
    };
    let refuse = || Err(Error::not_run(ErrorKind::Overloaded, "the queue is full").report());
    let first = submit(&store, "caribe", keyed(1), || Ok(())).await.unwrap();
    let again = submit(&store, "caribe", keyed(1), refuse).await.unwrap();
    assert_eq!(again, first);
    for new in [keyed(2), accepted(2, false, "b")] {
        let report = submit(&store, "caribe", new, refuse).await.unwrap_err();
        assert_eq!(report.current_context().kind, ErrorKind::Overloaded);
        assert_eq!(read_record(&store, "caribe", 2).await.unwrap(), None);
    }
}

/// Guards against two outcomes of one job: only the first of two changes to one revision may take effect.
#[tokio::test]
async fn replace_rejects_stale_revision() {
    let (server, store) = start().await;
    let JobRecord::Accepted(job) = submit(&store, "caribe", accepted(1, false, "b"), || Ok(()))
        .await
        .unwrap()
    else {
        panic!()
    };
    let (_, revision) = read_record(&store, "caribe", 1).await.unwrap().unwrap();
    let cancelled = JobRecord::from(job.clone().cancel(std::time::SystemTime::now()));
    set_faults(&server, &lose_answers(1)).await;
    let first = replace_record(&store, "caribe", &cancelled, revision)
        .await
        .unwrap();
    assert!(
        matches!(first, ReplaceOutcome::Written(_)),
        "a lost response is followed by a read"
    );
    let running = JobRecord::from(job.start(run(1)));
    let second = replace_record(&store, "caribe", &running, revision)
        .await
        .unwrap();
    assert_eq!(second, ReplaceOutcome::Conflict);
    let (stored, _) = read_record(&store, "caribe", 1).await.unwrap().unwrap();
    assert_eq!(stored, cancelled);
}
