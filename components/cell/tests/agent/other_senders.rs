//! Announcements of other senders, in the name of the worker.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cell::agent::{AgentHandle, Announcement, WorkerNotice};
use model::RunStatus;
use tokio_util::sync::CancellationToken;
use wire::Leader;

use crate::owner::Owner;
use crate::restarts::{Fixture, TestResult, status_of_run};
use crate::worker::{Life, RestartingWorker};
use crate::{EPOCH, POLL_INTERVAL, SEVERAL_ATTEMPTS, announcement, run};

/// How long another sender announces without pause.
const FLOOD: Duration = Duration::from_secs(3);
/// Longest lease in the tests of lapses.
const SHORT_LEASE: Duration = Duration::from_secs(2);

/// Starts an agent beside a worker, without an announcement.
fn start_unannounced(
    owner: &Owner,
    worker: &Arc<RestartingWorker>,
    max_lease: Duration,
    shutdown: &CancellationToken,
) -> (AgentHandle, tokio::task::JoinHandle<()>) {
    let settings = cell::AgentSettings {
        agent: "agent".into(),
        service: "optics".into(),
        data_centre: "east".into(),
        seeds: vec![owner.addr],
        max_lease,
        order_validity: None,
    };
    let client = Arc::clone(worker);
    let directory = Arc::new(crate::owner::NoDirectory);
    cell::agent::start(settings, client, directory, crate::SECRET, shutdown.clone())
}

impl Fixture {
    /// Starts a run, and waits until it is reported as running.
    async fn start_run(&self) {
        self.order_start();
        self.reported(|report| matches!(status_of_run(report), Some(RunStatus::Running { .. })))
            .await;
    }

    async fn notify(&self, notice: WorkerNotice) {
        self.handle.notify(notice).await.expect("agent is running");
    }

    /// Checks that no report has said that the run or its process is gone.
    fn check_run_kept(&self) {
        self.owner.update(|state| {
            // Reports may overtake each other.
            state.reports.sort_by_key(|report| report.sent_at);
            let reports = state.reports.iter();
            for report in reports.skip_while(|report| status_of_run(report).is_none()) {
                assert_eq!(report.incarnation, Some(1), "{report:?}");
                assert!(!report.absent && report.crashes.is_empty(), "{report:?}");
                let status = status_of_run(report);
                let is_open = matches!(
                    status,
                    Some(RunStatus::Running { .. } | RunStatus::Starting)
                );
                assert!(is_open, "{report:?}");
            }
        });
    }
}

/// Returns an announcement of the worker's own process with changes.
fn changed_announcement(change: impl FnOnce(&mut Announcement)) -> WorkerNotice {
    let WorkerNotice::Announced(mut changed) = announcement(1) else {
        unreachable!("it is an announcement")
    };
    changed.sequence = 100;
    change(&mut changed);
    WorkerNotice::Announced(changed)
}

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
        // The first report is sent before the worker has answered a poll, and reports may overtake each other.
        state.reports.sort_by_key(|report| report.sent_at);
        let reports = state.reports.iter();
        for report in reports.skip_while(|report| report.incarnation.is_none()) {
            assert_eq!(report.incarnation, Some(1), "{report:?}");
            assert!(!report.absent, "{report:?}");
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
    let max_lease = Duration::from_secs(6);
    let (handle, ended) = start_unannounced(&owner, &worker, max_lease, &shutdown);
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

/// Guards against a worker that is out of use for good, because its next process, whose clock of day was back, had a lower
/// incarnation.
#[tokio::test(flavor = "multi_thread")]
async fn begin_adopts_lower_incarnation() -> TestResult {
    let fixture = Fixture::start().await?;
    fixture.start_run().await;
    *fixture.worker.life() = Life::default();
    fixture.announce(0).await;
    let report = fixture
        .reported(|report| report.incarnation == Some(0) && report.capacity.accelerators == 8)
        .await;
    assert!(!is_running(&report), "{report:?}");
    fixture.stop().await
}

/// Guards against a next process whose capacity stays unknown because its announcement came before the poll that named it.
#[tokio::test(flavor = "multi_thread")]
async fn announcement_before_poll_describes_next_process() -> TestResult {
    let fixture = Fixture::start().await?;
    fixture.worker.restart();
    fixture.announce(u64::MAX).await;
    fixture.announce(2).await;
    fixture
        .reported(|report| report.incarnation == Some(2) && report.capacity.accelerators == 8)
        .await;
    fixture.stop().await
}

/// Guards against a task that runs twice: the announcement of another sender beside failed polls and a change of the owner
/// made the agent report the process of the worker as gone to the next owner.
#[tokio::test(flavor = "multi_thread")]
async fn announcement_beside_new_owner_keeps_runs() -> TestResult {
    let fixture = Fixture::start().await?;
    fixture.start_run().await;
    let failing_polls = &fixture.worker.failing_polls;
    failing_polls.store(usize::MAX, Ordering::Relaxed);
    fixture.fail_present_poll().await;
    fixture.announce(u64::MAX).await;
    let next = Leader {
        entry: "entry".into(),
        addr: fixture.owner.addr,
        epoch: EPOCH + 1,
    };
    fixture.owner.update(|state| state.leader = Some(next));
    fixture
        .reported(|report| report.owner_epoch == EPOCH + 1)
        .await;
    failing_polls.store(0, Ordering::Relaxed);
    fixture
        .reported(|report| report.confirmed_epoch == EPOCH + 1)
        .await;
    fixture.check_run_kept();
    fixture.stop().await
}

/// Guards against a worker that counts as leaving, and gets no starts, after a departure of an earlier process with its name
/// or of another sender.
#[tokio::test(flavor = "multi_thread")]
async fn departure_without_draining_keeps_worker() -> TestResult {
    let fixture = Fixture::start().await?;
    fixture.notify(WorkerNotice::Leaving("worker".into())).await;
    fixture.start_run().await;
    fixture.owner.update(|state| {
        for report in &state.reports {
            assert_eq!(report.draining, None, "{report:?}");
        }
    });
    fixture.stop().await
}

/// Guards against a worker that has announced that it drains, and that is not known to leave.
#[tokio::test(flavor = "multi_thread")]
async fn departure_after_draining_ends_use() -> TestResult {
    let fixture = Fixture::start().await?;
    let draining = changed_announcement(|changed| changed.draining = Some(FLOOD));
    fixture.notify(draining).await;
    fixture.reported(|report| report.draining.is_some()).await;
    fixture.notify(WorkerNotice::Leaving("worker".into())).await;
    fixture.notify(announcement(1)).await;
    tokio::time::sleep(SEVERAL_ATTEMPTS).await;
    fixture.reported(|report| report.draining.is_some()).await;
    fixture.stop().await
}

/// Guards against a worker that another sender puts into a service that is not its own.
#[tokio::test(flavor = "multi_thread")]
async fn announcement_of_other_service_keeps_worker() -> TestResult {
    let fixture = Fixture::start().await?;
    let other = changed_announcement(|changed| {
        changed.service = "unknown".into();
        changed.capacity.accelerators = 1;
    });
    fixture.notify(other).await;
    fixture.start_run().await;
    let report = fixture.reported(|_| true).await;
    assert_eq!(
        (&*report.service, report.capacity.accelerators),
        ("optics", 8)
    );
    fixture.stop().await
}

/// Guards against an announcement that does not state its process and describes a worker whose polls do.
#[tokio::test(flavor = "multi_thread")]
async fn announcement_without_incarnation_keeps_worker() -> TestResult {
    let fixture = Fixture::start().await?;
    let unstated = changed_announcement(|changed| {
        changed.incarnation = 0;
        changed.capacity.accelerators = 1;
    });
    fixture.notify(unstated).await;
    fixture.start_run().await;
    let report = fixture.reported(|_| true).await;
    assert_eq!(
        (report.incarnation, report.capacity.accelerators),
        (Some(1), 8)
    );
    fixture.stop().await
}

/// Guards against a task that runs twice: a list that was cut off, or from which unreadable rows were left out, was taken for
/// the end of the runs that it lacked.
#[tokio::test(flavor = "multi_thread")]
async fn list_incomplete_keeps_run() -> TestResult {
    let fixture = Fixture::start().await?;
    fixture.start_run().await;
    // The next list names the run.
    tokio::time::sleep(SEVERAL_ATTEMPTS).await;
    fixture.worker.is_incomplete.store(true, Ordering::Relaxed);
    fixture.worker.life().runs.clear();
    fixture.reported(|report| !report.lists_complete).await;
    tokio::time::sleep(SEVERAL_ATTEMPTS).await;
    fixture.check_run_kept();
    fixture.worker.is_incomplete.store(false, Ordering::Relaxed);
    fixture
        .reported(|report| report.lists_complete && !is_running(report))
        .await;
    fixture.stop().await
}

fn is_running(report: &model::WorkerReport) -> bool {
    matches!(status_of_run(report), Some(RunStatus::Running { .. }))
}

/// Guards against a run that counts as ended because an older list, which does not have it yet, arrives after a newer one.
#[tokio::test(flavor = "multi_thread")]
async fn list_overtaken_keeps_run() -> TestResult {
    let fixture = Fixture::start().await?;
    fixture.worker.delays_lists.store(true, Ordering::Relaxed);
    let polls = fixture.worker.waiting_polls.load(Ordering::Relaxed);
    fixture
        .wait_for_worker(|worker| worker.waiting_polls.load(Ordering::Relaxed) > polls)
        .await;
    // The agent has no order for this run: an earlier process of the agent ordered it.
    tokio::time::sleep(2 * POLL_INTERVAL).await;
    fixture.worker.life().runs.push(run());
    fixture.announce(u64::MAX).await;
    fixture.reported(is_running).await;
    tokio::time::sleep(SEVERAL_ATTEMPTS).await;
    fixture.check_run_kept();
    fixture.stop().await
}

/// Guards against a task that runs twice after a restart of its agent: the fenced reply to the first poll, which holds no list,
/// made the agent ignore the lists in the next reply but confirm the epoch. Found by soak seed 1.
#[tokio::test(flavor = "multi_thread")]
async fn list_after_fenced_reply_is_applied() -> TestResult {
    let owner = Owner::start().await?;
    let worker = Arc::new(RestartingWorker::default());
    worker.restart();
    worker.life().runs.push(run());
    worker.is_fencing.store(true, Ordering::Relaxed);
    let shutdown = CancellationToken::new();
    let max_lease = Duration::from_secs(6);
    let (_handle, ended) = start_unannounced(&owner, &worker, max_lease, &shutdown);
    owner.reported(|report| report.confirmed_epoch > 0).await;
    owner.update(|state| {
        let confirmed = |report: &&model::WorkerReport| report.confirmed_epoch > 0;
        for report in state.reports.iter().filter(confirmed) {
            assert!(is_running(report), "{report:?}");
        }
    });
    shutdown.cancel();
    ended.await?;
    Ok(())
}

/// Guards against a process that counts as ended because extra polls were refused, while a regular one was open at it.
#[tokio::test(flavor = "multi_thread")]
async fn poll_refused_beside_open_one_keeps_runs() -> TestResult {
    let fixture = Fixture::start().await?;
    fixture.start_run().await;
    let polls = fixture.worker.waiting_polls.load(Ordering::Relaxed);
    fixture
        .wait_for_worker(|worker| worker.waiting_polls.load(Ordering::Relaxed) > polls)
        .await;
    let refused = &fixture.worker.refused_immediate_polls;
    refused.store(3, Ordering::Relaxed);
    fixture.announce(u64::MAX).await;
    fixture
        .wait_for_worker(|worker| worker.refused_immediate_polls.load(Ordering::Relaxed) == 0)
        .await;
    tokio::time::sleep(SEVERAL_ATTEMPTS).await;
    fixture.check_run_kept();
    fixture.stop().await
}

/// Guards against a task that runs twice after connections to its worker were refused, although the worker goes on and its
/// lease has not lapsed; and against starts that wait for it meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn poll_refused_keeps_runs() -> TestResult {
    let fixture = Fixture::start().await?;
    fixture.start_run().await;
    fixture.worker.is_refusing.store(true, Ordering::Relaxed);
    let failing_polls = &fixture.worker.failing_polls;
    failing_polls.store(usize::MAX, Ordering::Relaxed);
    fixture.fail_present_poll().await;
    let mut other = crate::start_order(false);
    other.run.run += 1;
    let waiting = other.run;
    fixture
        .owner
        .update(|state| state.starts.push_back(other.clone()));
    fixture
        .reported(|report| {
            let mut runs = report.runs.iter();
            runs.any(|found| found.run == waiting && matches!(found.status, RunStatus::Refused(_)))
        })
        .await;
    failing_polls.store(0, Ordering::Relaxed);
    tokio::time::sleep(SEVERAL_ATTEMPTS).await;
    fixture.owner.update(|state| {
        for report in &state.reports {
            assert!(!report.absent, "{report:?}");
            assert!(report.crashes.is_empty(), "{report:?}");
        }
    });
    fixture.check_run_kept();
    fixture.stop().await
}

/// Guards against runs of a worker that never answers again, which stayed open for good after the end of their leases; and
/// against a lapse that counts as a crash.
#[tokio::test(flavor = "multi_thread")]
async fn lapse_ends_runs_of_silent_worker() -> TestResult {
    let owner = Owner::start().await?;
    let worker = Arc::new(RestartingWorker::default());
    worker.restart();
    let shutdown = CancellationToken::new();
    let (handle, ended) = start_unannounced(&owner, &worker, SHORT_LEASE, &shutdown);
    handle
        .notify(announcement(1))
        .await
        .expect("agent is running");
    owner.reported(|report| report.confirmed_epoch > 0).await;
    owner.update(|state| state.starts.push_back(crate::start_order(false)));
    owner.reported(is_running).await;
    worker.failing_polls.store(usize::MAX, Ordering::Relaxed);
    let failing_at = tokio::time::Instant::now();
    let report = owner.reported(|report| report.absent).await;
    // Covers the renewal in the poll that was in progress.
    assert!(
        failing_at.elapsed() >= SHORT_LEASE,
        "{:?}",
        failing_at.elapsed()
    );
    assert_eq!(report.incarnation, Some(1));
    worker.life().runs.clear();
    worker.failing_polls.store(0, Ordering::Relaxed);
    let report = owner
        .reported(|report| !report.absent && !is_running(report))
        .await;
    assert!(report.crashes.is_empty(), "{report:?}");
    worker.restart();
    let report = owner.reported(|report| report.incarnation == Some(2)).await;
    assert!(report.crashes.is_empty(), "{report:?}");
    shutdown.cancel();
    ended.await?;
    Ok(())
}

/// Guards against runs from before a restart of the agent that stay open for good because their worker never answers again.
#[tokio::test(flavor = "multi_thread")]
async fn lapse_ends_runs_after_agent_restart() -> TestResult {
    let owner = Owner::start().await?;
    let worker = Arc::new(RestartingWorker::default());
    worker.failing_polls.store(usize::MAX, Ordering::Relaxed);
    let shutdown = CancellationToken::new();
    let started_at = tokio::time::Instant::now();
    let (handle, ended) = start_unannounced(&owner, &worker, SHORT_LEASE, &shutdown);
    handle
        .notify(announcement(u64::MAX))
        .await
        .expect("agent is running");
    let report = owner.reported(|report| report.absent).await;
    assert_eq!(report.incarnation, None);
    assert!(started_at.elapsed() >= SHORT_LEASE);
    shutdown.cancel();
    ended.await?;
    Ok(())
}

/// Guards against starts, renewals and acknowledgements that another sender holds up by announcing without pause.
#[tokio::test(flavor = "multi_thread")]
async fn announcements_without_pause_keep_starts_and_leases() -> TestResult {
    let fixture = Fixture::start().await?;
    let polls = fixture.worker.polls.load(Ordering::Relaxed);
    let renewals = fixture.worker.renewals.load(Ordering::Relaxed);
    let began_at = tokio::time::Instant::now();
    let mut incarnation = 1_000;
    while began_at.elapsed() < FLOOD {
        incarnation += 1;
        fixture.announce(incarnation).await;
        tokio::time::sleep(POLL_INTERVAL).await;
        if incarnation == 1_010 {
            fixture.order_start();
            fixture.owner.update(|state| state.acknowledged = 5);
        }
        if incarnation == 1_060 {
            assert_eq!(fixture.worker.life().runs, [run()]);
        }
    }
    assert_eq!(fixture.worker.life().acknowledged, 5);
    let polls = fixture.worker.polls.load(Ordering::Relaxed) - polls;
    let renewals = fixture.worker.renewals.load(Ordering::Relaxed) - renewals;
    assert!(renewals >= 3, "{renewals} renewals");
    // Ten looks a second, and those before regular polls.
    assert!(polls <= 50, "{polls} polls");
    fixture.check_run_kept();
    fixture.stop().await
}

/// Guards against a task that runs twice after connections to a draining worker were refused, whose lease has not lapsed.
#[tokio::test(flavor = "multi_thread")]
async fn poll_refused_keeps_runs_of_draining_worker() -> TestResult {
    let fixture = Fixture::start().await?;
    fixture.start_run().await;
    let draining = changed_announcement(|changed| changed.draining = Some(Duration::from_mins(1)));
    fixture.notify(draining).await;
    fixture.reported(|report| report.draining.is_some()).await;
    fixture.worker.is_refusing.store(true, Ordering::Relaxed);
    let failing_polls = &fixture.worker.failing_polls;
    failing_polls.store(3, Ordering::Relaxed);
    tokio::time::sleep(SEVERAL_ATTEMPTS).await;
    fixture.owner.update(|state| {
        for report in &state.reports {
            assert!(!report.absent, "{report:?}");
        }
    });
    fixture.check_run_kept();
    fixture.stop().await
}

/// Guards against a worker that was taken away at the announced time without a departure, and for which the next owner waits
/// until all leases have lapsed.
#[tokio::test(flavor = "multi_thread")]
async fn poll_refused_after_announced_end_reports_absence() -> TestResult {
    let fixture = Fixture::start().await?;
    let draining =
        changed_announcement(|changed| changed.draining = Some(Duration::from_millis(300)));
    fixture.notify(draining).await;
    fixture.reported(|report| report.draining.is_some()).await;
    fixture.worker.is_refusing.store(true, Ordering::Relaxed);
    let failing_polls = &fixture.worker.failing_polls;
    failing_polls.store(usize::MAX, Ordering::Relaxed);
    let failing_at = tokio::time::Instant::now();
    fixture.reported(|report| report.absent).await;
    assert!(failing_at.elapsed() < SEVERAL_ATTEMPTS * 2);
    fixture.stop().await
}

/// Guards against a restarted agent that reports its worker as absent because connections are refused, while a process that an
/// earlier process of the agent had started tasks on goes on.
#[tokio::test(flavor = "multi_thread")]
async fn poll_refused_before_contact_proves_no_absence() -> TestResult {
    let owner = Owner::start().await?;
    let worker = Arc::new(RestartingWorker::default());
    worker.restart();
    worker.is_refusing.store(true, Ordering::Relaxed);
    worker.failing_polls.store(usize::MAX, Ordering::Relaxed);
    let shutdown = CancellationToken::new();
    let (_handle, ended) = start_unannounced(&owner, &worker, SHORT_LEASE, &shutdown);
    let started_at = tokio::time::Instant::now();
    owner.reported(|report| report.absent).await;
    assert!(started_at.elapsed() >= SHORT_LEASE, "absent within a lease");
    shutdown.cancel();
    ended.await?;
    Ok(())
}

/// Guards against the runs of a worker that are taken for ended because the first reply to a restarted agent was fenced, and
/// held no list.
#[tokio::test(flavor = "multi_thread")]
async fn fenced_reply_is_no_complete_list() -> TestResult {
    let owner = Owner::start().await?;
    let worker = Arc::new(RestartingWorker::default());
    worker.restart();
    worker.life().runs.push(run());
    worker.is_fencing.store(true, Ordering::Relaxed);
    let shutdown = CancellationToken::new();
    let max_lease = Duration::from_secs(6);
    let (_handle, ended) = start_unannounced(&owner, &worker, max_lease, &shutdown);
    owner.reported(|report| report.confirmed_epoch > 0).await;
    owner.update(|state| {
        let named = |report: &&model::WorkerReport| report.incarnation.is_some();
        for report in state.reports.iter().filter(named) {
            assert!(!report.lists_complete || is_running(report), "{report:?}");
        }
    });
    shutdown.cancel();
    ended.await?;
    Ok(())
}

/// Guards against a worker that is not used any more because another sender gave it another name, so that it rejects each
/// start as meant for another one.
#[tokio::test(flavor = "multi_thread")]
async fn announcement_of_other_name_is_not_kept() -> TestResult {
    let fixture = Fixture::start().await?;
    fixture
        .notify(changed_announcement(|changed| {
            changed.name = "other".into();
        }))
        .await;
    tokio::time::sleep(SEVERAL_ATTEMPTS).await;
    for sequence in 2..6 {
        fixture
            .notify(changed_announcement(|changed| changed.sequence = sequence))
            .await;
    }
    fixture.start_run().await;
    let report = fixture.reported(|_| true).await;
    assert_eq!(&*report.name, "worker");
    fixture.stop().await
}

/// Guards against a drain that is not seen, because another sender announced the present process with a high number.
#[tokio::test(flavor = "multi_thread")]
async fn announcement_of_high_sequence_hides_no_drain() -> TestResult {
    let fixture = Fixture::start().await?;
    fixture.notify(changed_announcement(|_| {})).await;
    fixture
        .notify(changed_announcement(|changed| {
            changed.sequence = 2;
            changed.draining = Some(Duration::from_mins(1));
        }))
        .await;
    fixture.reported(|report| report.draining.is_some()).await;
    fixture.stop().await
}

/// Guards against a worker that is not used any more because another sender gave it another name before the first announcement
/// of its own, so that it rejects each start as meant for another one.
#[tokio::test(flavor = "multi_thread")]
async fn announcement_of_other_name_first_is_rejected_by_worker() -> TestResult {
    let fixture = Fixture::start().await?;
    fixture.worker.restart();
    fixture
        .notify(changed_announcement(|changed| {
            changed.incarnation = 2;
            changed.name = "other".into();
        }))
        .await;
    fixture.reported(|report| &*report.name == "other").await;
    fixture.order_start();
    fixture
        .reported(|report| status_of_run(report) == Some(&RunStatus::Starting))
        .await;
    fixture
        .notify(changed_announcement(|changed| {
            changed.incarnation = 2;
            changed.sequence = 1;
        }))
        .await;
    fixture.reported(|report| &*report.name == "worker").await;
    fixture.order_start();
    fixture
        .wait_for_worker(|worker| !worker.life().runs.is_empty())
        .await;
    fixture.stop().await
}
