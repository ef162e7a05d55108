//! Starts whose orders were delayed, in a deployment with evacuations: an order that is too old may have been withdrawn.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use cell::agent::{PollReply, PollRequest, StartReply, StartRequest, WorkerClient};
use cell::clock::boot_now;
use errors::{Error, ErrorKind, Result};
use model::TaskRun;
use tokio_util::sync::CancellationToken;

use crate::owner::Owner;
use crate::{POLL_INTERVAL, start_agent, start_order};

/// A worker that answers no start, and at times no poll.
#[derive(Default)]
struct SlowWorker {
    polls_time_out: AtomicBool,
    /// Whether the next start call blocks its thread for 4 s, as a pause of the process would.
    pauses: AtomicBool,
    attempts: Mutex<Vec<Duration>>,
}

impl SlowWorker {
    /// Returns the times of the attempts to start a task after a time.
    fn attempts_since(&self, at: Duration) -> Vec<Duration> {
        let attempts = self.attempts.lock().expect("lock is not poisoned");
        let after = attempts.iter().map(|attempt| attempt.saturating_sub(at));
        after.collect()
    }
}

#[async_trait]
impl WorkerClient for SlowWorker {
    async fn start(&self, _: &str, _: &StartRequest, timeout: Duration) -> Result<StartReply> {
        self.attempts
            .lock()
            .expect("lock is not poisoned")
            .push(boot_now());
        if self.pauses.swap(false, Ordering::Relaxed) {
            std::thread::sleep(Duration::from_secs(4));
        } else {
            tokio::time::sleep(timeout).await;
        }
        Err(Error::may_have_run(ErrorKind::Timeout, "no answer").report())
    }

    async fn stop(&self, _: TaskRun, _: u64, _: Duration) -> Result<()> {
        Ok(())
    }

    async fn poll(&self, request: &PollRequest, _: Duration) -> Result<PollReply> {
        tokio::time::sleep(request.wait.unwrap_or_default().min(POLL_INTERVAL)).await;
        if self.polls_time_out.load(Ordering::Relaxed) {
            tokio::time::sleep(POLL_INTERVAL).await;
            return Err(Error::may_have_run(ErrorKind::Timeout, "no answer").report());
        }
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

/// Guards against a start that is attempted after its order has become too old, because the order was delayed on its way and then
/// waited for a poll.
#[tokio::test(flavor = "multi_thread")]
async fn agent_attempts_no_start_by_old_order()
-> std::result::Result<(), Box<dyn std::error::Error>> {
    let owner = Owner::start().await?;
    let worker = Arc::new(SlowWorker::default());
    let shutdown = CancellationToken::new();
    let client = Arc::clone(&worker) as Arc<dyn WorkerClient>;
    let (_handle, ended) = start_agent(&owner, client, &shutdown).await;
    owner.update(|state| state.reply_delay = Duration::from_millis(1_300));
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    worker.polls_time_out.store(true, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_millis(100)).await;
    owner.update(|state| state.starts.push_back(start_order(false)));
    while !owner
        .state
        .lock()
        .expect("lock is not poisoned")
        .starts
        .is_empty()
    {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let decided_at = boot_now();
    tokio::time::sleep(Duration::from_millis(1_300 + 1_300)).await;
    worker.polls_time_out.store(false, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let after = worker.attempts_since(decided_at);
    shutdown.cancel();
    ended.await?;
    let is_valid = |after: &Duration| *after <= cell::ORDER_VALIDITY;
    assert!(after.iter().all(is_valid), "{after:?}");
    Ok(())
}

/// Guards against a start that an agent attempts again after a pause of its process.
#[tokio::test(flavor = "multi_thread", worker_threads = 6)]
async fn agent_attempts_no_start_after_pause() -> std::result::Result<(), Box<dyn std::error::Error>>
{
    let owner = Owner::start().await?;
    let worker = Arc::new(SlowWorker::default());
    let shutdown = CancellationToken::new();
    let client = Arc::clone(&worker) as Arc<dyn WorkerClient>;
    let (_handle, ended) = start_agent(&owner, client, &shutdown).await;
    worker.pauses.store(true, Ordering::Relaxed);
    owner.update(|state| state.starts.push_back(start_order(false)));
    let decided_at = boot_now();
    tokio::time::sleep(Duration::from_secs(6)).await;
    let after = worker.attempts_since(decided_at);
    shutdown.cancel();
    ended.await?;
    let is_valid = |after: &Duration| *after <= cell::ORDER_VALIDITY;
    assert!(after.iter().all(is_valid), "{after:?}");
    Ok(())
}
