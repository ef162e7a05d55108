//! Answers of an earlier process of the worker that arrive after the next one was found.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use cell::agent::{PollReply, PollRequest, StartReply, StartRequest, WorkerClient};
use errors::{Error, ErrorKind, Result};
use model::{RunStatus, TaskRun};
use tokio_util::sync::CancellationToken;

use crate::owner::Owner;
use crate::restarts::{TestResult, status_of_run};
use crate::worker::RestartingWorker;
use crate::{run, start_agent, start_order};

/// A worker that loses the first attempt of a start, and whose process is replaced while the answer to the second is on its way.
#[derive(Default)]
struct LateAnswerWorker {
    inner: RestartingWorker,
    attempts: AtomicUsize,
}

#[async_trait]
impl WorkerClient for LateAnswerWorker {
    async fn start(
        &self,
        _name: &str,
        _request: &StartRequest,
        timeout: Duration,
    ) -> Result<StartReply> {
        if self.attempts.fetch_add(1, Ordering::Relaxed) == 0 {
            tokio::time::sleep(timeout).await;
            let lost = Error::may_have_run(ErrorKind::Timeout, "lost");
            return Err(lost.report());
        }
        self.inner.restart();
        tokio::time::sleep(Duration::from_millis(400)).await;
        Ok(StartReply::Yes)
    }

    async fn stop(&self, run: TaskRun, epoch: u64, timeout: Duration) -> Result<()> {
        self.inner.stop(run, epoch, timeout).await
    }

    async fn poll(&self, request: &PollRequest, timeout: Duration) -> Result<PollReply> {
        self.inner.poll(request, timeout).await
    }
}

/// Guards against a task that runs twice: the late answer of an earlier process counted as one of the present process, so that
/// an attempt in flight was never rejected there although the run was reported as gone.
#[tokio::test(flavor = "multi_thread")]
async fn late_start_answer_of_earlier_process_rejects_attempt() -> TestResult {
    let owner = Owner::start().await?;
    let worker = Arc::new(LateAnswerWorker::default());
    worker.inner.restart();
    let shutdown = CancellationToken::new();
    let client = Arc::clone(&worker);
    let (_handle, ended) = start_agent(&owner, client, &shutdown).await;
    owner.update(|state| state.starts.push_back(start_order(false)));
    owner
        .reported(|report| {
            report.incarnation == Some(2)
                && status_of_run(report) == Some(&RunStatus::StoppedBeforeStart)
        })
        .await;
    assert_eq!(worker.inner.life().stopped, [run()]);
    shutdown.cancel();
    ended.await?;
    Ok(())
}
