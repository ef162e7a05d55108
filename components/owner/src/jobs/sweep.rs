//! Deletes jobs whose outcome has passed its retention time.

use std::time::{Duration, SystemTime};

use errors::Result;
use jobs::{job_cell_key, job_key, result_key};
use model::JobId;
use store::{Precondition, WriteOutcome};
use tokio::sync::mpsc;

use crate::context::Context;
use crate::jobs::OwnedContext;
use crate::jobs::section::{EndedJob, JobUpdate};

/// How long a caller can read the outcome of a job.
const OUTCOME_RETENTION: Duration = Duration::from_hours(24);
const SWEEP_INTERVAL: Duration = Duration::from_mins(1);
/// Maximum number of jobs deleted in one sweep, so that deletions use a small part of the several hundred writes a second
/// that the store supports.
const SWEEP_BATCH: usize = 64;

/// Deletes expired jobs until the receiver is dropped.
pub(crate) async fn run(cx: OwnedContext, tx: mpsc::Sender<Vec<JobUpdate>>) {
    let mut ticks = cx.timer.subscribe_every(SWEEP_INTERVAL);
    while ticks.recv().await.is_some() {
        for (id, ended) in expired_jobs(&cx, SystemTime::now()) {
            // The record is deleted last, so a later sweep finds whatever remains.
            if matches!(
                delete_job(&cx, id, &ended).await,
                Ok(WriteOutcome::Written { .. })
            ) && tx.send(vec![JobUpdate::Deleted(id)]).await.is_err()
            {
                return;
            }
        }
    }
}

fn expired_jobs(cx: &OwnedContext, now: SystemTime) -> Vec<(JobId, EndedJob)> {
    let jobs = cx.ownership.jobs.load();
    let Some(jobs) = jobs.as_ref() else {
        return Vec::new();
    };
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

async fn delete_job(cx: &Context, id: JobId, ended: &EndedJob) -> Result<WriteOutcome> {
    let cell = &cx.settings.cell;
    for n in 0..ended.chunks {
        let key = result_key(cell, id, ended.attempt, n);
        cx.store.delete(&key, Precondition::Any).await?;
    }
    if ended.keyed {
        cx.store
            .delete(&job_cell_key(id), Precondition::Any)
            .await?;
    }
    let precondition = Precondition::Revision(ended.revision);
    cx.store.delete(&job_key(cell, id), precondition).await
}
