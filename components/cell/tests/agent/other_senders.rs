//! Announcements of other senders, in the name of the worker.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use model::RunStatus;
use tokio_util::sync::CancellationToken;

use crate::owner::Owner;
use crate::restarts::{Fixture, TestResult, status_of_run};
use crate::worker::RestartingWorker;
use crate::{SEVERAL_ATTEMPTS, announcement};

/// Guards against a task that runs twice. While its worker answered no poll, an agent took the announcement of another sender
/// for one of the next process of the worker, so that the owner started the tasks of the worker elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn announcement_beside_failed_polls_keeps_runs() -> TestResult {
    let fixture = Fixture::start().await?;
    fixture.order_start();
    fixture
        .reported(|report| status_of_run(report).is_some())
        .await;
    let failing_polls = &fixture.worker.failing_polls;
    failing_polls.store(usize::MAX, Ordering::Relaxed);
    fixture.fail_present_poll().await;
    fixture.announce(u64::MAX).await;
    tokio::time::sleep(SEVERAL_ATTEMPTS).await;
    failing_polls.store(0, Ordering::Relaxed);
    tokio::time::sleep(SEVERAL_ATTEMPTS).await;
    fixture.owner.update(|state| {
        for report in &state.reports {
            assert_eq!(report.incarnation, Some(1), "{report:?}");
            assert!(report.crashes.is_empty(), "{report:?}");
        }
        let last = state.reports.last().and_then(status_of_run);
        assert!(matches!(last, Some(RunStatus::Running { .. })), "{last:?}");
    });
    fixture.stop().await
}

/// Guards against a worker that its agent ignores for good, because the agent had taken the announcement of another sender,
/// which came before the first poll, for one of the worker.
#[tokio::test(flavor = "multi_thread")]
async fn announcement_before_first_poll_keeps_worker() -> TestResult {
    let owner = Owner::start().await?;
    let worker = Arc::new(RestartingWorker::default());
    worker.restart();
    worker.failing_polls.store(5, Ordering::Relaxed);
    let shutdown = CancellationToken::new();
    let client = Arc::clone(&worker);
    let settings = cell::AgentSettings {
        agent: "agent".into(),
        service: "optics".into(),
        seeds: vec![owner.addr],
        max_lease: std::time::Duration::from_secs(6),
    };
    let directory = Arc::new(crate::owner::NoDirectory);
    let (handle, ended) =
        cell::agent::start(settings, client, directory, crate::SECRET, shutdown.clone());
    handle
        .notify(announcement(u64::MAX))
        .await
        .expect("agent is running");
    owner
        .reported(|report| report.incarnation == Some(1) && report.confirmed_epoch > 0)
        .await;
    shutdown.cancel();
    ended.await?;
    Ok(())
}
