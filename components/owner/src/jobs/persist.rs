//! Store calls of a runner; each is repeated until the store answers, because an outage must not decide an outcome.

use std::time::Duration;

use bytes::Bytes;
use errors::{ErrorKind, Result};
use jobs::{Stored, Written};
use model::{JobId, Revision};
use store::{Confirmed, Expect, PutRequest, put_confirmed};

use crate::context::Context;

/// Bounds of the pause after a failed call, in milliseconds.
const RETRY_DELAY_MS: std::ops::Range<u64> = 200..600;

/// Waits before a failed call is repeated.
pub(crate) async fn pause(cx: &Context) {
    let delay = Duration::from_millis(fastrand::u64(RETRY_DELAY_MS));
    cx.timer.subscribe_after(delay).recv().await;
}

/// Reads a record; none if it is gone or cannot be read.
pub(crate) async fn read(cx: &Context, id: JobId) -> Option<(Stored, Revision)> {
    loop {
        match jobs::read(&*cx.store, &cx.settings.cell, id).await {
            Ok(found) => return found,
            Err(report) if report.current_context().kind == ErrorKind::Corrupt => {
                log::error!(target: "limpethook", error:% = report.current_context(); "job_record_unreadable");
                return None;
            }
            Err(_) => pause(cx).await,
        }
    }
}

/// Writes the next state of a record; none if somebody else changed it first.
pub(crate) async fn replace(cx: &Context, job: &Stored, revision: Revision) -> Option<Revision> {
    loop {
        match jobs::replace(&*cx.store, &cx.settings.cell, job, revision).await {
            Ok(Written::Done(revision)) => return Some(revision),
            Ok(Written::Conflict) => return None,
            Err(report) => log_failure(&report),
        }
        pause(cx).await;
        // A write whose answer was lost may have taken effect; the record tells.
        let (current, at) = read(cx, job.head().request.id).await?;
        if at != revision {
            return (current == *job).then_some(at);
        }
    }
}

/// Writes one chunk of an answer; a chunk that exists holds the same bytes, because its key names the attempt.
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
        pause(cx).await;
    }
}

fn log_failure(report: &error_stack::Report<errors::Error>) {
    log::debug!(target: "limpethook", error:% = report.current_context(); "job_write_failed");
}
