//! Refuses queued jobs that cannot run.

use std::sync::Arc;
use std::time::Duration;

use errors::{Error, ErrorKind};
use model::{Job, Queued, Request};

use crate::context::StepContext;
use crate::feasible::{guarantee_conflict, reason};
use crate::fleet::drop_hold;
use crate::step::Strategy;

/// Time after which a queued job is refused while the cell has no workers, and the retry delay that its caller is
/// given. A new owner learns of its agents within seconds.
const NO_WORKERS_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns why a request can never run on the present workers, if it cannot. Results are cached for one step.
pub(crate) fn infeasible(cx: &mut StepContext, request: &Request) -> Option<Box<str>> {
    let Some(shape) = request.shape else {
        return Some(
            "the request has no shape; only requests with a shape can queue in a cell".into(),
        );
    };
    let guarded = cx.strategy == Strategy::Guarded && !request.is_preemptible();
    let key = (shape, guarded.then(|| request.account.clone()));
    if let Some(known) = cx.infeasible.get(&key) {
        return known.clone();
    }
    let mut fault = reason(&cx.fleet, &cx.topology, &shape);
    if fault.is_none() && guarded {
        fault = guarantee_conflict(&cx.fleet, &cx.topology, cx.document, request);
    }
    cx.infeasible.insert(key, fault.clone());
    fault
}

/// Refuses queued jobs that are infeasible on the workers known now.
pub(crate) fn refuse_infeasible(cx: &mut StepContext) {
    let queued: Vec<Arc<Job<Queued>>> = cx.queue.queued.values().cloned().collect();
    for job in queued {
        if let Some(reason) = infeasible(cx, &job.request) {
            cx.removed.insert(job.id());
            cx.refuse(job.id(), Error::not_run(ErrorKind::Infeasible, reason));
        }
    }
}

/// Refuses jobs that have been queued for `NO_WORKERS_TIMEOUT` in a cell without workers.
pub(crate) fn refuse_without_workers(cx: &mut StepContext) {
    if !cx.fleet.workers.is_empty() {
        return;
    }
    let queue_time = |job: &Job<Queued>| cx.now.saturating_duration_since(job.state.since);
    let overdue: Vec<_> = cx
        .queue
        .queued
        .values()
        .filter(|job| queue_time(job) >= NO_WORKERS_TIMEOUT)
        .cloned()
        .collect();
    for job in overdue {
        cx.removed.insert(job.id());
        // The epoch is part of the attempt number, so only a job on its first attempt under the first owner passes as
        // not run. Under later owners, the job may have run before the change of the owner.
        let may_have_run = job.attempt > 1;
        let error = if may_have_run {
            Error::may_have_run(ErrorKind::Unavailable, "the cell has no workers")
        } else {
            Error::not_run(ErrorKind::Unavailable, "the cell has no workers")
        };
        cx.refuse(job.id(), error.retry_after(NO_WORKERS_TIMEOUT));
    }
    cx.apply_removals();
}

/// Refuses the jobs that the blame section lists as the cause of their own failures.
pub(crate) fn refuse_repeatedly_failed(cx: &mut StepContext) {
    for (id, reason) in &cx.blame.faulty_jobs {
        let runs = if let Some(job) = cx.queue.queued.get(id) {
            let runs = job.runs;
            cx.removed.insert(*id);
            drop_hold(&mut cx.fleet, *id);
            runs
        } else if let Some(placed) = cx.queue.placed.get(id) {
            let (gang, runs) = (placed.state.gang, placed.runs);
            if let Some(gang) = cx.fleet.planned.get(&gang).cloned() {
                cx.withdraw(&gang);
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
    cx.apply_removals();
}
