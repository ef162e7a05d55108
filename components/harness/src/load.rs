//! A load generator with several concurrent callers.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use tokio::task::JoinSet;

use crate::Result;
use crate::caller::{Caller, Outcome, Submission};
use crate::summary::CompletedRequest;

/// Delay of a caller after a request that was not answered by an endpoint.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Callers that submit requests until they are stopped.
#[derive(Debug)]
pub struct LoadGenerator {
    stop: Arc<AtomicBool>,
    callers: JoinSet<Vec<CompletedRequest>>,
}

impl LoadGenerator {
    /// Starts callers that submit requests sequentially; `make_submission` creates the request for a sequence number.
    ///
    /// A caller uses the same entry until the entry drains or the connection fails, and then switches to the next one,
    /// as a load balancer does.
    pub fn start(
        entry_urls: &[Box<str>],
        callers: usize,
        make_submission: impl Fn(u64) -> Submission + Send + Sync + 'static,
    ) -> Result<Self> {
        let stop = Arc::new(AtomicBool::new(false));
        let (make_submission, next_number) =
            (Arc::new(make_submission), Arc::new(AtomicU64::new(0)));
        let mut tasks = JoinSet::new();
        for index in 0..callers {
            let mut urls = entry_urls.to_vec();
            urls.rotate_left(index % entry_urls.len());
            let caller = Caller::new()?;
            let (stop, make_submission, next_number) = (
                Arc::clone(&stop),
                Arc::clone(&make_submission),
                Arc::clone(&next_number),
            );
            tasks.spawn(async move {
                let mut completed = Vec::new();
                while !stop.load(Ordering::Relaxed) {
                    let submission = make_submission(next_number.fetch_add(1, Ordering::Relaxed));
                    let outcome = caller.submit(&urls[0], &submission).await;
                    if !outcome.is_answered() {
                        tokio::time::sleep(RETRY_DELAY).await;
                    }
                    if should_switch_entry(&outcome) {
                        urls.rotate_left(1);
                    }
                    completed.push(CompletedRequest {
                        submission,
                        outcome,
                    });
                }
                completed
            });
        }
        Ok(Self {
            stop,
            callers: tasks,
        })
    }

    /// Waits for the requests in flight and returns all requests with their outcomes.
    pub async fn finish(self) -> Vec<CompletedRequest> {
        self.stop.store(true, Ordering::Relaxed);
        let completed = self.callers.join_all().await;
        completed.into_iter().flatten().collect()
    }
}

fn should_switch_entry(outcome: &Outcome) -> bool {
    outcome.status == 0 || &*outcome.kind == "draining"
}
