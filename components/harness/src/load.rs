//! Callers that submit requests until they are told to stop.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use tokio::task::JoinSet;

use crate::Result;
use crate::caller::{Caller, Outcome, Submission};
use crate::tally::Finished;

/// Pause of a caller after it could not reach its entry or was refused.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// A running load.
#[derive(Debug)]
pub struct Load {
    stop: Arc<AtomicBool>,
    callers: JoinSet<Vec<Finished>>,
}

impl Load {
    /// Starts callers that each submit one request after the other, made from its number.
    ///
    /// A caller stays with its entry and goes on to the next one when the entry is draining or gone, as a load balancer
    /// would do.
    pub fn start(
        entry_urls: &[Box<str>],
        callers: usize,
        make: impl Fn(u64) -> Submission + Send + Sync + 'static,
    ) -> Result<Self> {
        let stop = Arc::new(AtomicBool::new(false));
        let (make, next) = (Arc::new(make), Arc::new(AtomicU64::new(0)));
        let mut set = JoinSet::new();
        for number in 0..callers {
            let mut urls = entry_urls.to_vec();
            urls.rotate_left(number % entry_urls.len());
            let caller = Caller::new()?;
            let (stop, make, next) = (Arc::clone(&stop), Arc::clone(&make), Arc::clone(&next));
            set.spawn(async move {
                let mut finished = Vec::new();
                while !stop.load(Ordering::Relaxed) {
                    let submission = make(next.fetch_add(1, Ordering::Relaxed));
                    let outcome = caller.submit(&urls[0], &submission).await;
                    if !outcome.is_answered() {
                        tokio::time::sleep(RETRY_DELAY).await;
                    }
                    if is_leaving(&outcome) {
                        urls.rotate_left(1);
                    }
                    finished.push(Finished {
                        submission,
                        outcome,
                    });
                }
                finished
            });
        }
        Ok(Self { stop, callers: set })
    }

    /// Lets the last requests end and returns all requests with their outcomes.
    pub async fn finish(self) -> Vec<Finished> {
        self.stop.store(true, Ordering::Relaxed);
        let finished = self.callers.join_all().await;
        finished.into_iter().flatten().collect()
    }
}

fn is_leaving(outcome: &Outcome) -> bool {
    outcome.status == 0 || &*outcome.kind == "draining"
}
