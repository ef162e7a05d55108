//! Refusing queued jobs that cannot run.

use std::sync::Arc;
use std::time::Duration;

use errors::{Error, ErrorKind};
use model::{Job, Queued, Request};

use crate::cx::Cx;
use crate::feasible::{guarantee_reason, reason};
use crate::fleet::drop_hold;
use crate::step::Strategy;

/// Queue time without any known worker, after which jobs are refused. A new owner hears of the agents within seconds.
const NO_WORKER_WAIT: Duration = Duration::from_secs(30);

/// Returns why a request can never run on the present workers, if it cannot.
pub(crate) fn infeasible(cx: &mut Cx, request: &Request) -> Option<Box<str>> {
    let Some(shape) = request.shape else {
        return Some("a request without a shape does not wait in a cell".into());
    };
    let guarded = cx.strategy == Strategy::Guarded && !request.may_stop();
    let key = (shape, guarded.then(|| request.account.clone()));
    if let Some(known) = cx.infeasible.get(&key) {
        return known.clone();
    }
    let mut fault = reason(&cx.fleet, &cx.layout, &shape);
    if fault.is_none() && guarded {
        fault = guarantee_reason(&cx.fleet, &cx.layout, cx.document, request);
    }
    cx.infeasible.insert(key, fault.clone());
    fault
}

/// Refuses the queued jobs that turn out to be impossible when more workers are known than at their submission.
pub(crate) fn refuse_infeasible(cx: &mut Cx) {
    let queued: Vec<Arc<Job<Queued>>> = cx.queue.queued.values().cloned().collect();
    for job in queued {
        if let Some(reason) = infeasible(cx, &job.request) {
            cx.gone.insert(job.id());
            cx.refuse(job.id(), Error::not_run(ErrorKind::Infeasible, reason));
        }
    }
}

/// Refuses the jobs that waited too long for a first worker.
pub(crate) fn refuse_without_workers(cx: &mut Cx) {
    if !cx.fleet.workers.is_empty() {
        return;
    }
    let waits = |job: &Job<Queued>| cx.now.saturating_duration_since(job.state.since);
    let late: Vec<_> = cx
        .queue
        .queued
        .values()
        .filter(|job| waits(job) >= NO_WORKER_WAIT)
        .cloned()
        .collect();
    for job in late {
        cx.gone.insert(job.id());
        let error = if job.attempt > 1 {
            Error::may_have_run(ErrorKind::Unavailable, "the cell has no workers")
        } else {
            Error::not_run(ErrorKind::Unavailable, "the cell has no workers")
        };
        cx.refuse(job.id(), error.retry_after(NO_WORKER_WAIT));
    }
    cx.flush();
}

/// Refuses the jobs that the blame section condemned.
pub(crate) fn refuse_condemned(cx: &mut Cx) {
    for (id, reason) in &cx.blame.faulty_jobs {
        let runs = if let Some(job) = cx.queue.queued.get(id) {
            let runs = job.runs;
            cx.gone.insert(*id);
            drop_hold(&mut cx.fleet, *id);
            runs
        } else if let Some(placed) = cx.queue.placed.get(id) {
            let (gang, runs) = (placed.state.gang, placed.runs);
            if let Some(gang) = cx.fleet.planned.get(&gang).cloned() {
                cx.unplan(&gang);
            }
            runs
        } else {
            continue;
        };
        let error = if runs > 0 {
            Error::may_have_run(ErrorKind::Failed, reason.clone())
        } else {
            Error::not_run(ErrorKind::Failed, reason.clone())
        };
        cx.refuse(*id, error);
    }
    cx.flush();
}
