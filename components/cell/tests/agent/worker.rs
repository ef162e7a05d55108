//! Workers that the tests control.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use async_trait::async_trait;
use cell::agent::{ListedRun, PollReply, PollRequest, StartReply, StartRequest, WorkerClient};
use errors::{Error, ErrorKind, Result};
use model::{EndReport, Incarnation, TaskRun};

use crate::POLL_INTERVAL;

/// A worker that answers no start and refuses each stop.
#[derive(Default)]
pub(crate) struct UnresponsiveWorker {
    pub(crate) incarnation: Mutex<Incarnation>,
    pub(crate) starts: AtomicUsize,
    pub(crate) stops: AtomicUsize,
    /// Number of the next polls that panic.
    pub(crate) panics: AtomicUsize,
    /// Number of polls that were answered and allowed the worker to wait, of which one always is in progress.
    pub(crate) regular_polls: AtomicUsize,
}

#[async_trait]
impl WorkerClient for UnresponsiveWorker {
    async fn start(
        &self,
        _name: &str,
        _request: &StartRequest,
        timeout: Duration,
    ) -> Result<StartReply> {
        self.starts.fetch_add(1, Ordering::Relaxed);
        tokio::time::sleep(timeout).await;
        Err(Error::may_have_run(ErrorKind::Timeout, "the worker did not answer").report())
    }

    async fn stop(&self, _run: TaskRun, _epoch: u64, _timeout: Duration) -> Result<()> {
        self.stops.fetch_add(1, Ordering::Relaxed);
        Err(Error::not_run(ErrorKind::Unavailable, "the worker refused the stop").report())
    }

    async fn poll(&self, request: &PollRequest, _timeout: Duration) -> Result<PollReply> {
        let panics = self.panics.load(Ordering::Relaxed);
        self.panics
            .store(panics.saturating_sub(1), Ordering::Relaxed);
        assert!(panics == 0, "injected panic");
        tokio::time::sleep(request.wait.unwrap_or_default().min(POLL_INTERVAL)).await;
        if request.wait.is_some() {
            self.regular_polls.fetch_add(1, Ordering::Relaxed);
        }
        Ok(PollReply {
            incarnation: Some(*self.incarnation.lock().expect("lock is not poisoned")),
            clock: Duration::from_secs(1),
            fenced: false,
            complete: true,
            runs: Vec::new(),
            ends: Vec::new(),
        })
    }
}

/// A worker that starts everything, and that can be taken down and up again.
#[derive(Default)]
pub(crate) struct SteadyWorker {
    pub(crate) incarnation: AtomicU64,
    pub(crate) is_down: AtomicBool,
    pub(crate) runs: Mutex<Vec<TaskRun>>,
    /// Number of polls that did not allow the worker to wait.
    pub(crate) immediate_polls: AtomicUsize,
}

impl SteadyWorker {
    fn check(&self) -> Result<()> {
        if self.is_down.load(Ordering::Relaxed) {
            return Err(Error::not_run(ErrorKind::NotFound, "connection refused").report());
        }
        Ok(())
    }
}

#[async_trait]
impl WorkerClient for SteadyWorker {
    async fn start(
        &self,
        _name: &str,
        request: &StartRequest,
        _timeout: Duration,
    ) -> Result<StartReply> {
        self.check()?;
        let mut runs = self.runs.lock().expect("lock is not poisoned");
        runs.push(request.run);
        Ok(StartReply::Yes)
    }

    async fn stop(&self, _run: TaskRun, _epoch: u64, _timeout: Duration) -> Result<()> {
        self.check()
    }

    async fn poll(&self, request: &PollRequest, _timeout: Duration) -> Result<PollReply> {
        self.check()?;
        if request.wait.is_none() {
            self.immediate_polls.fetch_add(1, Ordering::Relaxed);
        }
        let end = tokio::time::Instant::now() + request.wait.unwrap_or_default();
        while tokio::time::Instant::now() < end {
            tokio::time::sleep(POLL_INTERVAL).await;
            self.check()?;
        }
        let runs = self.runs.lock().expect("lock is not poisoned");
        let listed = runs.iter().map(|run| ListedRun {
            run: *run,
            checkpoint: Box::default(),
            percent: 0,
        });
        Ok(PollReply {
            incarnation: Some(self.incarnation.load(Ordering::Relaxed)),
            clock: Duration::from_secs(1),
            fenced: false,
            complete: true,
            runs: listed.collect(),
            ends: Vec::new(),
        })
    }
}

/// One process of a [`RestartingWorker`].
#[derive(Debug, Default)]
pub(crate) struct Life {
    pub(crate) incarnation: Incarnation,
    pub(crate) runs: Vec<TaskRun>,
    /// Ends that no poll has acknowledged.
    pub(crate) ends: Vec<EndReport>,
    /// The highest end that a poll has acknowledged.
    pub(crate) acknowledged: u64,
    /// Runs that were stopped.
    pub(crate) stopped: Vec<TaskRun>,
}

/// A worker whose process is replaced at once, so that calls reach the next one before its first announcement.
#[derive(Debug, Default)]
pub(crate) struct RestartingWorker {
    life: Mutex<Life>,
    /// Whether polls that wait while the process is replaced get no answer; otherwise, they fail at once.
    pub(crate) is_silent: AtomicBool,
    /// Whether starts are neither carried out nor answered.
    pub(crate) loses_starts: AtomicBool,
    /// Number of the next polls that fail.
    pub(crate) failing_polls: AtomicUsize,
    /// Whether failing polls are refused, as if nothing listened at the address.
    pub(crate) is_refusing: AtomicBool,
    /// Number of the next immediate polls that are refused.
    pub(crate) refused_immediate_polls: AtomicUsize,
    /// Whether the lists may lack rows.
    pub(crate) is_incomplete: AtomicBool,
    /// Whether polls without an epoch are fenced, before the others are answered.
    pub(crate) is_fencing: AtomicBool,
    /// Whether the reply to a poll that waits holds the list from its beginning.
    pub(crate) delays_lists: AtomicBool,
    /// Number of polls, and of those that allowed the worker to wait.
    pub(crate) polls: AtomicUsize,
    pub(crate) waiting_polls: AtomicUsize,
    /// Number of polls that renewed the leases.
    pub(crate) renewals: AtomicUsize,
    /// Clock in milliseconds; it stands unless the lists are delayed.
    clock: AtomicU64,
}

impl RestartingWorker {
    pub(crate) fn life(&self) -> MutexGuard<'_, Life> {
        self.life.lock().expect("lock is not poisoned")
    }

    /// Replaces the process, which loses all its runs.
    pub(crate) fn restart(&self) {
        let mut life = self.life();
        *life = Life {
            incarnation: life.incarnation + 1,
            ..Life::default()
        };
    }

    fn count_poll(&self, request: &PollRequest) {
        self.polls.fetch_add(1, Ordering::Relaxed);
        if request.wait.is_some() {
            self.waiting_polls.fetch_add(1, Ordering::Relaxed);
        }
        if request.until.is_some() {
            self.renewals.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn list(&self) -> PollReply {
        let life = self.life();
        let passed = u64::from(self.delays_lists.load(Ordering::Relaxed));
        let clock = 1_000 + self.clock.fetch_add(passed, Ordering::Relaxed);
        let listed = life.runs.iter().map(|run| ListedRun {
            run: *run,
            checkpoint: Box::default(),
            percent: 0,
        });
        PollReply {
            incarnation: Some(life.incarnation),
            clock: Duration::from_millis(clock),
            fenced: false,
            complete: !self.is_incomplete.load(Ordering::Relaxed),
            runs: listed.collect(),
            ends: life.ends.clone(),
        }
    }
}

#[async_trait]
impl WorkerClient for RestartingWorker {
    async fn start(
        &self,
        name: &str,
        request: &StartRequest,
        timeout: Duration,
    ) -> Result<StartReply> {
        if self.loses_starts.load(Ordering::Relaxed) {
            tokio::time::sleep(timeout).await;
            return Err(Error::may_have_run(ErrorKind::Timeout, "the start was lost").report());
        }
        if !name.is_empty() && name != "worker" {
            return Ok(StartReply::Misdirected);
        }
        self.life().runs.push(request.run);
        Ok(StartReply::Yes)
    }

    async fn stop(&self, run: TaskRun, _epoch: u64, _timeout: Duration) -> Result<()> {
        self.life().stopped.push(run);
        Ok(())
    }

    async fn poll(&self, request: &PollRequest, timeout: Duration) -> Result<PollReply> {
        let refused = || Error::not_run(ErrorKind::NotFound, "connection refused").report();
        self.count_poll(request);
        if self.is_fencing.load(Ordering::Relaxed) && request.epoch == 0 {
            tokio::time::sleep(5 * POLL_INTERVAL).await;
            return Ok(PollReply {
                fenced: true,
                runs: Vec::new(),
                ends: Vec::new(),
                ..self.list()
            });
        }
        if self.is_fencing.load(Ordering::Relaxed) {
            tokio::time::sleep(15 * POLL_INTERVAL).await;
        }
        let refused_polls = self.refused_immediate_polls.load(Ordering::Relaxed);
        if request.wait.is_none() && refused_polls > 0 {
            self.refused_immediate_polls
                .store(refused_polls - 1, Ordering::Relaxed);
            return Err(refused());
        }
        let lost = || Error::may_have_run(ErrorKind::Unavailable, "the connection broke").report();
        let failing = self.failing_polls.load(Ordering::Relaxed);
        if failing > 0 {
            self.failing_polls.store(failing - 1, Ordering::Relaxed);
            if self.is_refusing.load(Ordering::Relaxed) {
                return Err(refused());
            }
            return Err(lost());
        }
        let incarnation = {
            let mut life = self.life();
            life.acknowledged = life.acknowledged.max(request.acknowledged);
            life.ends.retain(|end| end.sequence > request.acknowledged);
            life.incarnation
        };
        let first_list = self.list();
        let began_at = tokio::time::Instant::now();
        while began_at.elapsed() < request.wait.unwrap_or_default() && self.life().ends.is_empty() {
            tokio::time::sleep(POLL_INTERVAL).await;
            if self.life().incarnation != incarnation {
                if self.is_silent.load(Ordering::Relaxed) {
                    tokio::time::sleep_until(began_at + timeout).await;
                }
                return Err(lost());
            }
        }
        if self.delays_lists.load(Ordering::Relaxed) {
            return Ok(first_list);
        }
        Ok(self.list())
    }
}

/// A worker that takes some milliseconds for each start and counts those that are in progress.
#[derive(Default)]
pub(crate) struct CountingWorker {
    in_progress: AtomicUsize,
    pub(crate) most_at_once: AtomicUsize,
    pub(crate) started: AtomicUsize,
}

#[async_trait]
impl WorkerClient for CountingWorker {
    async fn start(&self, _: &str, _: &StartRequest, _: Duration) -> Result<StartReply> {
        let at_once = self.in_progress.fetch_add(1, Ordering::Relaxed) + 1;
        self.most_at_once.fetch_max(at_once, Ordering::Relaxed);
        tokio::time::sleep(Duration::from_millis(5)).await;
        self.in_progress.fetch_sub(1, Ordering::Relaxed);
        self.started.fetch_add(1, Ordering::Relaxed);
        Ok(StartReply::Yes)
    }

    async fn stop(&self, _run: TaskRun, _epoch: u64, _timeout: Duration) -> Result<()> {
        Ok(())
    }

    async fn poll(&self, request: &PollRequest, _timeout: Duration) -> Result<PollReply> {
        tokio::time::sleep(request.wait.unwrap_or_default().min(POLL_INTERVAL)).await;
        Ok(PollReply {
            incarnation: Some(1),
            clock: Duration::from_secs(1),
            fenced: false,
            complete: true,
            runs: Vec::new(),
            ends: Vec::new(),
        })
    }
}
