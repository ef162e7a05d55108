//! A worker whose next process carries out orders before the agent learns of it.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use cell::agent::AgentHandle;
use model::{EndReport, RunEnd, RunReport, RunStatus, WorkerReport};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use wire::Leader;

use crate::owner::Owner;
use crate::worker::RestartingWorker;
use crate::{
    EPOCH, POLL_INTERVAL, REPORT_TIMEOUT, SEVERAL_ATTEMPTS, announcement, run, start_agent,
    start_order,
};

pub(crate) type TestResult = Result<(), Box<dyn std::error::Error>>;

pub(crate) struct Fixture {
    pub(crate) owner: Owner,
    pub(crate) worker: Arc<RestartingWorker>,
    pub(crate) handle: AgentHandle,
    ended: JoinHandle<()>,
    shutdown: CancellationToken,
}

impl Fixture {
    pub(crate) async fn start() -> std::io::Result<Self> {
        let owner = Owner::start().await?;
        let worker = Arc::new(RestartingWorker::default());
        worker.restart();
        let shutdown = CancellationToken::new();
        let client = Arc::clone(&worker);
        let (handle, ended) = start_agent(&owner, client, &shutdown).await;
        Ok(Self {
            owner,
            worker,
            handle,
            ended,
            shutdown,
        })
    }

    pub(crate) fn order_start(&self) {
        self.owner.update(|state| {
            state.starts.push_back(start_order(false));
        });
    }

    /// Waits until the present process of the worker satisfies a condition.
    pub(crate) async fn wait_for_worker(&self, is_met: impl Fn(&RestartingWorker) -> bool) {
        let met = async {
            while !is_met(&self.worker) {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        tokio::time::timeout(REPORT_TIMEOUT, met)
            .await
            .expect("the worker gets there in time");
    }

    /// Waits until a regular poll that was in progress has ended and the next one has failed.
    pub(crate) async fn fail_present_poll(&self) {
        let failing = self.worker.failing_polls.load(Ordering::Relaxed);
        self.wait_for_worker(|worker| worker.failing_polls.load(Ordering::Relaxed) < failing)
            .await;
    }

    pub(crate) async fn announce(&self, incarnation: u64) {
        let notice = announcement(incarnation);
        self.handle.notify(notice).await.expect("agent is running");
    }

    pub(crate) async fn reported(&self, matches: impl Fn(&WorkerReport) -> bool) -> WorkerReport {
        self.owner.reported(matches).await
    }

    /// Returns the reports about an incarnation.
    pub(crate) fn reports_about(&self, incarnation: u64) -> Vec<WorkerReport> {
        let mut found = Vec::new();
        self.owner.update(|state| {
            let reports = state.reports.iter();
            let about = reports.filter(|report| report.incarnation == Some(incarnation));
            found = about.cloned().collect();
        });
        found
    }

    pub(crate) async fn stop(self) -> TestResult {
        self.shutdown.cancel();
        self.ended.await?;
        Ok(())
    }
}

pub(crate) fn status_of_run(report: &WorkerReport) -> Option<&RunStatus> {
    let mut runs = report.runs.iter();
    let found: Option<&RunReport> = runs.find(|found| found.run == run());
    found.map(|found| &found.status)
}

/// Guards against a task that runs twice. The next process of a worker had begun a run before its first announcement, and
/// the agent reported the new incarnation without the run, so that the owner started the task elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn begin_keeps_run_of_unannounced_incarnation() -> TestResult {
    let fixture = Fixture::start().await?;
    fixture.worker.is_silent.store(true, Ordering::Relaxed);
    fixture.worker.restart();
    fixture.order_start();
    fixture
        .wait_for_worker(|worker| !worker.life().runs.is_empty())
        .await;
    // The start is answered, and reported under the previous incarnation.
    fixture
        .reported(|report| status_of_run(report).is_some())
        .await;
    fixture.announce(2).await;
    fixture
        .reported(|report| report.incarnation == Some(2) && report.confirmed_epoch > 0)
        .await;
    for report in fixture.reports_about(2) {
        assert!(status_of_run(&report).is_some(), "{report:?}");
        assert!(report.crashes.is_empty(), "{report:?}");
    }
    fixture.stop().await
}

/// Guards against a run that ended on the previous process of a worker and is reported as running for good.
#[tokio::test(flavor = "multi_thread")]
async fn begin_drops_run_of_previous_incarnation() -> TestResult {
    let fixture = Fixture::start().await?;
    fixture.order_start();
    fixture
        .reported(|report| status_of_run(report).is_some())
        .await;
    fixture.worker.restart();
    fixture.announce(2).await;
    let is_gone = |report: &WorkerReport| {
        let status = status_of_run(report);
        report.incarnation == Some(2)
            && status.is_none_or(|status| *status == RunStatus::StoppedBeforeStart)
    };
    let report = fixture.reported(is_gone).await;
    assert_eq!(report.crashes.len(), 1);
    fixture.stop().await
}

/// Guards against a completed run that is run again. Each process numbers its ends from 1, and the first poll of the next
/// one acknowledged the ends of the previous one, so that the worker forgot an end that nobody had seen.
#[tokio::test(flavor = "multi_thread")]
async fn poll_acknowledges_no_end_of_unknown_incarnation() -> TestResult {
    let fixture = Fixture::start().await?;
    fixture.owner.update(|state| state.acknowledged = 5);
    fixture
        .wait_for_worker(|worker| worker.life().acknowledged == 5)
        .await;
    fixture.owner.update(|state| state.acknowledged = 0);
    fixture.worker.restart();
    let end = EndReport {
        sequence: 1,
        run: run(),
        end: RunEnd::Done,
        checkpoint: Box::default(),
    };
    fixture.worker.life().ends.push(end.clone());
    let report = fixture
        .reported(|report| report.incarnation == Some(2))
        .await;
    assert_eq!(fixture.worker.life().acknowledged, 0);
    assert_eq!(report.ends, vec![end]);
    fixture.stop().await
}

/// Guards against a start that is carried out by another process of the worker than the one that it was meant for, which may
/// be of another kind.
#[tokio::test(flavor = "multi_thread")]
async fn start_after_failed_poll_waits_for_incarnation() -> TestResult {
    let fixture = Fixture::start().await?;
    fixture.worker.failing_polls.store(5, Ordering::Relaxed);
    fixture.worker.restart();
    fixture
        .wait_for_worker(|worker| worker.failing_polls.load(Ordering::Relaxed) < 4)
        .await;
    fixture.order_start();
    fixture
        .reported(|report| report.incarnation == Some(2))
        .await;
    tokio::time::sleep(SEVERAL_ATTEMPTS).await;
    assert!(fixture.worker.life().runs.is_empty());
    fixture.stop().await
}

/// Guards against a start that is lost because a poll before it had failed, although the worker lives.
#[tokio::test(flavor = "multi_thread")]
async fn start_after_failed_poll_reaches_same_incarnation() -> TestResult {
    let fixture = Fixture::start().await?;
    fixture.worker.failing_polls.store(3, Ordering::Relaxed);
    fixture
        .wait_for_worker(|worker| worker.failing_polls.load(Ordering::Relaxed) < 2)
        .await;
    fixture.order_start();
    fixture
        .wait_for_worker(|worker| !worker.life().runs.is_empty())
        .await;
    fixture.stop().await
}

/// Guards against a start of the previous owner that waits for a poll and is sent under the epoch of the next owner, which
/// may have placed the task elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn start_after_failed_poll_ends_with_its_owner() -> TestResult {
    let fixture = Fixture::start().await?;
    fixture
        .worker
        .failing_polls
        .store(usize::MAX, Ordering::Relaxed);
    fixture.fail_present_poll().await;
    fixture.order_start();
    tokio::time::sleep(10 * POLL_INTERVAL).await;
    let next = Leader {
        entry: "entry".into(),
        addr: fixture.owner.addr,
        epoch: EPOCH + 1,
    };
    fixture.owner.update(|state| state.leader = Some(next));
    fixture
        .reported(|report| report.owner_epoch == EPOCH + 1)
        .await;
    fixture.worker.failing_polls.store(0, Ordering::Relaxed);
    fixture
        .reported(|report| report.confirmed_epoch == EPOCH + 1)
        .await;
    tokio::time::sleep(SEVERAL_ATTEMPTS).await;
    assert!(fixture.worker.life().runs.is_empty());
    fixture.stop().await
}

/// Guards against a start that waits for a poll and is sent after the agent has reported that nothing listens at the address
/// of the worker, upon which the task was placed elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn start_after_failed_poll_ends_with_absence() -> TestResult {
    let fixture = Fixture::start().await?;
    fixture.worker.is_refusing.store(true, Ordering::Relaxed);
    fixture
        .worker
        .failing_polls
        .store(usize::MAX, Ordering::Relaxed);
    fixture.fail_present_poll().await;
    fixture.order_start();
    fixture.reported(|report| report.absent).await;
    fixture.worker.failing_polls.store(0, Ordering::Relaxed);
    fixture.reported(|report| !report.absent).await;
    tokio::time::sleep(SEVERAL_ATTEMPTS).await;
    assert!(fixture.worker.life().runs.is_empty());
    fixture.stop().await
}

/// Guards against a task that runs twice: no attempt to start a run was answered, its worker restarted, and the owner
/// started the task elsewhere, before an attempt was carried out by the next process.
#[tokio::test(flavor = "multi_thread")]
async fn begin_rejects_start_that_previous_incarnation_left_unanswered() -> TestResult {
    let fixture = Fixture::start().await?;
    fixture.worker.loses_starts.store(true, Ordering::Relaxed);
    fixture.order_start();
    fixture
        .reported(|report| status_of_run(report) == Some(&RunStatus::Starting))
        .await;
    tokio::time::sleep(SEVERAL_ATTEMPTS).await;
    fixture.worker.restart();
    fixture.announce(2).await;
    fixture
        .wait_for_worker(|worker| worker.life().stopped == vec![run()])
        .await;
    for report in fixture.reports_about(2) {
        assert!(status_of_run(&report).is_some(), "{report:?}");
    }
    fixture.stop().await
}

/// Guards against an announcement of another sender, with an incarnation that does not answer, that ends the starts and
/// leases of the worker.
#[tokio::test(flavor = "multi_thread")]
async fn announcement_of_other_sender_is_dropped() -> TestResult {
    let fixture = Fixture::start().await?;
    fixture.announce(u64::MAX).await;
    fixture.order_start();
    fixture
        .wait_for_worker(|worker| !worker.life().runs.is_empty())
        .await;
    let report = fixture
        .reported(|report| status_of_run(report).is_some())
        .await;
    assert_eq!(report.incarnation, Some(1));
    fixture.stop().await
}
