//! Deletes jobs whose outcome has passed its retention time.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use errors::Result;
use jobs::{job_key, key_claim, result_key};
use model::JobId;
use store::{Expect, PutOutcome};
use tokio::sync::mpsc;

use crate::context::Context;
use crate::jobs::section::{EndedJob, JobUpdate};

/// How long a caller can read the outcome of a job.
const OUTCOME_RETENTION: Duration = Duration::from_hours(24);
const SWEEP_INTERVAL: Duration = Duration::from_mins(1);
/// Maximum number of jobs deleted in one sweep, so that deletions use a small part of the several hundred writes a second
/// that the store supports.
const SWEEP_BATCH: usize = 64;

/// Deletes expired jobs until the receiver is dropped.
pub(crate) async fn run(cx: Arc<Context>, tx: mpsc::Sender<Vec<JobUpdate>>) {
    let mut ticks = cx.timer.subscribe_every(SWEEP_INTERVAL);
    while ticks.recv().await.is_some() {
        for (id, ended) in expired_jobs(&cx, SystemTime::now()) {
            // The record is deleted last, so a later sweep finds whatever remains.
            if matches!(
                delete_job(&cx, id, &ended).await,
                Ok(PutOutcome::Written { .. })
            ) && tx.send(vec![JobUpdate::Deleted(id)]).await.is_err()
            {
                return;
            }
        }
    }
}

fn expired_jobs(cx: &Context, now: SystemTime) -> Vec<(JobId, EndedJob)> {
    let jobs = cx.jobs.load();
    let is_expired = |ended: &EndedJob| {
        now.duration_since(ended.at)
            .is_ok_and(|age| age >= OUTCOME_RETENTION)
    };
    let expired = jobs.ended.iter().filter(|(_, ended)| is_expired(ended));
    expired
        .take(SWEEP_BATCH)
        .map(|(id, ended)| (*id, ended.clone()))
        .collect()
}

async fn delete_job(cx: &Context, id: JobId, ended: &EndedJob) -> Result<PutOutcome> {
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
