//! Store calls of a runner, retried until the store answers, because an outage must not decide the outcome of a job.

use std::time::Duration;

use bytes::Bytes;
use errors::{ErrorKind, Result};
use jobs::{Stored, Written};
use model::{JobId, Revision};
use store::{Confirmed, Expect, PutRequest, put_confirmed};

use crate::context::Context;

/// Range of the random delay after a failed call, in milliseconds.
const RETRY_DELAY_MS: std::ops::Range<u64> = 200..600;

/// Waits before a failed call is retried.
pub(crate) async fn wait_before_retry(cx: &Context) {
    let delay = Duration::from_millis(fastrand::u64(RETRY_DELAY_MS));
    cx.timer.subscribe_after(delay).recv().await;
}

/// Reads a record; `None` if it was deleted or is corrupt.
pub(crate) async fn read_record(cx: &Context, id: JobId) -> Option<(Stored, Revision)> {
    loop {
        match jobs::read(&*cx.store, &cx.settings.cell, id).await {
            Ok(found) => return found,
            Err(report) if report.current_context().kind == ErrorKind::Corrupt => {
                log::error!(target: "limpethook", error:% = report.current_context(); "job_record_unreadable");
                return None;
            }
            Err(_) => wait_before_retry(cx).await,
        }
    }
}

/// Writes the next state of a record; `None` if it was changed concurrently.
pub(crate) async fn replace_record(
    cx: &Context,
    job: &Stored,
    revision: Revision,
) -> Option<Revision> {
    loop {
        match jobs::replace(&*cx.store, &cx.settings.cell, job, revision).await {
            Ok(Written::Done(revision)) => return Some(revision),
            Ok(Written::Conflict) => return None,
            Err(report) => log_failure(&report),
        }
        wait_before_retry(cx).await;
        // A write whose answer was lost may have taken effect; reading the record shows this.
        let (current, current_revision) = read_record(cx, job.head().request.id).await?;
        if current_revision != revision {
            return (current == *job).then_some(current_revision);
        }
    }
}

/// Writes one chunk of an answer. An existing chunk has the same content, because its key contains the attempt.
pub(crate) async fn put_chunk(cx: &Context, key: &str, value: Bytes) {
    let req = PutRequest {
        key: key.into(),
        value,
        expect: Expect::Absent,
        lease: None,
        since: 0,
    };
    loop {
        let result: Result<Confirmed> = put_confirmed(&*cx.store, &req).await;
        match result {
            Ok(Confirmed::Written { .. } | Confirmed::Conflict { .. }) => return,
            Ok(Confirmed::Unknown(_)) => {}
            Err(report) => log_failure(&report),
        }
        wait_before_retry(cx).await;
    }
}

fn log_failure(report: &error_stack::Report<errors::Error>) {
    log::debug!(target: "limpethook", error:% = report.current_context(); "job_write_failed");
}
