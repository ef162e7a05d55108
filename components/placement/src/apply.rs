//! Applies events to the fleet and the queue.

use std::sync::Arc;

use errors::{Error, ErrorKind, Verdict};
use model::{
    Active, Epoch, Gang, GangId, Job, JobId, Placed, Request, Running, attempt_within_epoch,
};

use crate::actions::{Action, StopReason};
use crate::claims::has_shortfall;
use crate::context::StepContext;
use crate::events::{Event, GangEnd};
use crate::fleet::{
    drop_hold, held_resources, is_non_preemptible, rebuild_workers, release_resources, subtract,
};
use crate::refuse::{infeasible, refuse_infeasible};
use crate::topology::Topology;

pub(crate) fn apply(cx: &mut StepContext, event: Event) {
    match event {
        Event::Submitted(request) => submit(cx, request),
        Event::Cancelled(job) => cancel(cx, job),
        Event::Reserved { gang, epoch } => start(cx, gang, epoch),
        Event::ReservationRefused { gang, .. } => refused(cx, gang),
        Event::Ended { gang, end } => ended(cx, gang, end),
        Event::Recovered { gang, request } => recover(cx, gang, request),
        Event::MembershipChanged => {
            let workers_before = cx.fleet.workers.len();
            rebuild_workers(&mut cx.fleet, cx.membership);
            cx.topology = Topology::new(&cx.fleet);
            cx.infeasible.clear();
            cx.claims_stale = true;
            // A job accepted before these workers joined may turn out to be infeasible.
            if cx.fleet.workers.len() > workers_before {
                refuse_infeasible(cx);
            }
        }
        Event::ConfigChanged => cx.claims_stale = true,
        Event::Tick => {}
    }
}

fn submit(cx: &mut StepContext, request: Arc<Request>) {
    let job = request.id;
    let is_known = cx.is_queued(job)
        || cx.queue.placed.contains_key(&job)
        || cx.queue.active.contains_key(&job);
    if is_known {
        return;
    }
    if let Some(reason) = infeasible(cx, &request) {
        cx.refuse(job, Error::not_run(ErrorKind::Infeasible, reason));
        return;
    }
    let waiting = cx.queue.queued.len() - cx.removed.len();
    if waiting >= cx.document.policy.queue_limit as usize {
        let error = Error::not_run(ErrorKind::Overloaded, "the queue of the cell is full");
        cx.refuse(job, error);
        return;
    }
    if cx.removed.contains(&job) {
        cx.apply_removals();
    }
    let accepted = Job::accept(request, cx.membership.epoch, cx.now);
    cx.queue.queued.insert(job, Arc::new(accepted));
}

fn cancel(cx: &mut StepContext, id: JobId) {
    if cx.is_queued(id) {
        cx.removed.insert(id);
        let error = Error::not_run(ErrorKind::Cancelled, "cancelled while queued");
        cx.refuse(id, error);
        return;
    }
    if let Some(job) = cx.queue.placed.get(&id).cloned() {
        if let Some(gang) = cx.fleet.planned.get(&job.state.gang).cloned() {
            cx.withdraw(&gang);
        }
        cx.queue.placed.swap_remove(&id);
        let error = Error::not_run(ErrorKind::Cancelled, "cancelled before the start");
        cx.refuse(id, error);
        return;
    }
    let Some(job) = cx.queue.active.get(&id) else {
        return;
    };
    let Some(gang) = cx.fleet.running.get(&job.state.gang).cloned() else {
        return;
    };
    cx.queue.cancelled.insert(id);
    if cx.fleet.stopping.insert(gang.id) {
        cx.actions.push(Action::Stop {
            gang,
            reason: StopReason::Cancelled,
        });
    }
}

fn start(cx: &mut StepContext, id: GangId, epoch: Epoch) {
    let Some(planned) = cx.fleet.planned.swap_remove(&id) else {
        return;
    };
    let gang: Gang<Running> = Gang::clone(&planned).reserved(epoch).armed().run(cx.now);
    let gang = Arc::new(gang);
    cx.fleet.running.insert(id, Arc::clone(&gang));
    if let Some(job) = cx.queue.placed.swap_remove(&gang.job) {
        let job = Job::<Placed>::clone(&job).start(cx.now);
        cx.queue.active.insert(gang.job, Arc::new(job));
    }
    cx.actions.push(Action::Start(gang));
}

fn refused(cx: &mut StepContext, id: GangId) {
    let Some(gang) = cx.fleet.planned.get(&id).cloned() else {
        return;
    };
    if let Some(job) = cx.withdraw(&gang) {
        cx.enqueue(job.requeue());
    }
}

fn recover(cx: &mut StepContext, gang: Arc<Gang<Running>>, request: Arc<Request>) {
    if let Some(known) = cx.fleet.running.get(&gang.id).cloned() {
        if known.endpoint == gang.endpoint {
            return;
        }
        // The owner reports a gang without its endpoint only if the gang is unknown here. A report with another
        // endpoint is therefore that of the leader, the first member, which knows all members, and replaces the earlier
        // one.
        release_gang(cx, &known);
    }
    // The running gang replaces a new attempt that has not started.
    if cx.is_queued(gang.job) {
        cx.removed.insert(gang.job);
        drop_hold(&mut cx.fleet, gang.job);
    } else if let Some(placed) = cx.queue.placed.get(&gang.job).cloned() {
        if let Some(planned) = cx.fleet.planned.get(&placed.state.gang).cloned() {
            cx.withdraw(&planned);
        }
        cx.queue.placed.swap_remove(&gang.job);
    }
    let state = Active {
        gang: gang.id,
        since: gang.state.since,
    };
    // The earlier owner's record of the job is lost. The number of runs is taken from the attempt number, in which
    // refused reservations count too, and the time of acceptance from the start of the gang. The attained service is
    // unknown.
    let job = Job {
        request,
        attempt: gang.attempt,
        runs: attempt_within_epoch(gang.attempt).saturating_sub(1),
        reclaims: 0,
        accepted_at: gang.state.since,
        attained_service: 0.0,
        state,
    };
    cx.queue.active.insert(gang.job, Arc::new(job));
    for (worker, amount) in held_resources(&cx.fleet, &gang.members) {
        subtract(&mut cx.fleet.free, worker, amount);
    }
    cx.slots.occupy(cx.membership, &gang.endpoint);
    cx.fleet.running.insert(gang.id, gang);
    cx.claims_stale = true;
}

/// Releases the resources and the endpoint slot of a running gang.
fn release_gang(cx: &mut StepContext, gang: &Gang<Running>) {
    cx.fleet.running.swap_remove(&gang.id);
    let non_preemptible = is_non_preemptible(&cx.queue, gang.job);
    let held = held_resources(&cx.fleet, &gang.members);
    // Capacity released by a gang that is charged to a claim or non-preemptible may complete the allocation of another
    // claim. Reconciliation drops all holds, so it is not requested while there are any.
    let may_complete_allocation = non_preemptible || cx.fleet.claim_by_gang.contains_key(&gang.id);
    cx.claims_stale |=
        may_complete_allocation && cx.fleet.holds.is_empty() && has_shortfall(&cx.fleet);
    release_resources(&mut cx.fleet, gang.id, non_preemptible, &held);
    cx.fleet.stopping.swap_remove(&gang.id);
    cx.slots.release(cx.membership, &gang.endpoint);
}

fn ended(cx: &mut StepContext, id: GangId, end: GangEnd) {
    let Some(gang) = cx.fleet.running.get(&id).cloned() else {
        return;
    };
    release_gang(cx, &gang);
    cx.actions.push(Action::Free { gang: id });
    let cancelled = cx.queue.cancelled.swap_remove(&gang.job);
    if let Some(job) = cx.queue.active.swap_remove(&gang.job) {
        finish_job(cx, &job, end, cancelled);
    }
}

/// Number of failed runs after which a job is refused. Runs that were stopped by a reclaim do not count.
const MAX_FAILURES: u32 = 8;

fn finish_job(cx: &mut StepContext, job: &Job<Active>, end: GangEnd, cancelled: bool) {
    let reclaimed = end == GangEnd::Stopped;
    let error = match end {
        GangEnd::Answered => return,
        GangEnd::Failed(error) => error,
        GangEnd::NeverRan => Error::not_run(ErrorKind::Stopped, "the gang did not start"),
        GangEnd::Stopped | GangEnd::MemberLost => Error::may_have_run(
            ErrorKind::Stopped,
            "the gang stopped before its endpoint answered",
        ),
    };
    if cancelled {
        let error = Error::new(
            error.verdict,
            ErrorKind::Cancelled,
            "cancelled while running",
        );
        cx.refuse(job.id(), error);
    } else if job.failures(!reclaimed) < MAX_FAILURES && may_run_again(job, &error) {
        cx.enqueue(job.clone().requeue(reclaimed, cx.now));
    } else {
        cx.refuse(job.id(), error);
    }
}

/// Returns whether the job may have another attempt: the kind of the error is not final, and the request did not run or
/// is idempotent and may have run. The entry decides by the same verdicts (`policy::retry::may_retry`).
fn may_run_again(job: &Job<Active>, error: &Error) -> bool {
    let is_final = matches!(
        error.kind,
        ErrorKind::InvalidRequest
            | ErrorKind::Unauthenticated
            | ErrorKind::NotFound
            | ErrorKind::TooLarge
            | ErrorKind::Infeasible
            | ErrorKind::Timeout
            | ErrorKind::Cancelled
    );
    let preemptible = job.request.is_preemptible();
    !is_final
        && (error.verdict == Verdict::NotRun
            || (preemptible && error.verdict == Verdict::MayHaveRun))
}
