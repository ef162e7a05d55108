//! Deleting jobs whose outcome was kept long enough.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use errors::Result;
use jobs::{job_key, key_claim, result_key};
use model::JobId;
use store::{Expect, PutOutcome};
use tokio::sync::mpsc;

use crate::context::Context;
use crate::jobs::section::{Ended, Seen};

/// How long a caller can read the outcome of a job.
const OUTCOME_RETENTION: Duration = Duration::from_hours(24);
const SWEEP_INTERVAL: Duration = Duration::from_mins(1);
/// Jobs deleted in one sweep, so that deletions use a small part of the store's several hundred writes a second.
const SWEEP_BATCH: usize = 64;

/// Deletes old jobs until the receiver is gone.
pub(crate) async fn run(cx: Arc<Context>, tx: mpsc::Sender<Vec<Seen>>) {
    let mut ticks = cx.timer.subscribe_every(SWEEP_INTERVAL);
    while ticks.recv().await.is_some() {
        for (id, ended) in old_jobs(&cx, SystemTime::now()) {
            // What remains is found by a later sweep, because the record goes last.
            if matches!(
                delete(&cx, id, &ended).await,
                Ok(PutOutcome::Written { .. })
            ) && tx.send(vec![Seen::Gone(id)]).await.is_err()
            {
                return;
            }
        }
    }
}

fn old_jobs(cx: &Context, now: SystemTime) -> Vec<(JobId, Ended)> {
    let jobs = cx.jobs.load();
    let is_old = |ended: &Ended| {
        now.duration_since(ended.at)
            .is_ok_and(|age| age >= OUTCOME_RETENTION)
    };
    let old = jobs.ended.iter().filter(|(_, ended)| is_old(ended));
    old.take(SWEEP_BATCH)
        .map(|(id, ended)| (*id, ended.clone()))
        .collect()
}

async fn delete(cx: &Context, id: JobId, ended: &Ended) -> Result<PutOutcome> {
    let cell = &cx.settings.cell;
    for n in 0..ended.chunks {
        let key = result_key(cell, id, ended.attempt, n);
        cx.store.delete(&key, Expect::Any).await?;
    }
    if ended.keyed {
        cx.store.delete(&key_claim(id), Expect::Any).await?;
    }
    let expect = Expect::Revision(ended.revision);
    cx.store.delete(&job_key(cell, id), expect).await
}
