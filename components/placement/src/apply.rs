//! Applying events to the fleet and the queue.

use std::sync::Arc;

use errors::{Error, ErrorKind, Verdict};
use model::{Active, Epoch, Gang, GangId, Job, JobId, Placed, Request, Running, try_number};

use crate::actions::{Action, StopReason};
use crate::claims::has_shortfall;
use crate::cx::Cx;
use crate::events::{Event, GangEnd};
use crate::fleet::{drop_hold, give_back, held_by, is_firm, rebuild, subtract};
use crate::layout::Layout;
use crate::refuse::{infeasible, refuse_infeasible};

pub(crate) fn apply(cx: &mut Cx, event: Event) {
    match event {
        Event::Submitted(request) => submit(cx, request),
        Event::Cancelled(job) => cancel(cx, job),
        Event::Reserved { gang, epoch } => start(cx, gang, epoch),
        Event::ReservationRefused { gang, .. } => refused(cx, gang),
        Event::Ended { gang, end } => ended(cx, gang, end),
        Event::Recovered { gang, request } => recover(cx, gang, request),
        Event::MembershipChanged => {
            let before = cx.fleet.workers.len();
            rebuild(&mut cx.fleet, cx.membership);
            cx.layout = Layout::of(&cx.fleet);
            cx.infeasible.clear();
            cx.unsettled = true;
            // A job accepted while workers were missing may prove impossible once they are present.
            if cx.fleet.workers.len() > before {
                refuse_infeasible(cx);
            }
        }
        Event::ConfigChanged => cx.unsettled = true,
        Event::Tick => {}
    }
}

fn submit(cx: &mut Cx, request: Arc<Request>) {
    let job = request.id;
    let known = cx.is_queued(job)
        || cx.queue.placed.contains_key(&job)
        || cx.queue.active.contains_key(&job);
    if known {
        return;
    }
    if let Some(reason) = infeasible(cx, &request) {
        cx.refuse(job, Error::not_run(ErrorKind::Infeasible, reason));
        return;
    }
    let waiting = cx.queue.queued.len() - cx.gone.len();
    if waiting >= cx.document.policy.queue_limit as usize {
        let error = Error::not_run(ErrorKind::Overloaded, "the queue of the cell is full");
        cx.refuse(job, error);
        return;
    }
    if cx.gone.contains(&job) {
        cx.flush();
    }
    let accepted = Job::accept(request, cx.membership.epoch, cx.now);
    cx.queue.queued.insert(job, Arc::new(accepted));
}

fn cancel(cx: &mut Cx, id: JobId) {
    if cx.is_queued(id) {
        cx.gone.insert(id);
        let error = Error::not_run(ErrorKind::Cancelled, "cancelled while queued");
        cx.refuse(id, error);
        return;
    }
    if let Some(job) = cx.queue.placed.get(&id).cloned() {
        if let Some(gang) = cx.fleet.planned.get(&job.state.gang).cloned() {
            cx.unplan(&gang);
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

fn start(cx: &mut Cx, id: GangId, epoch: Epoch) {
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

fn refused(cx: &mut Cx, id: GangId) {
    let Some(gang) = cx.fleet.planned.get(&id).cloned() else {
        return;
    };
    if let Some(job) = cx.unplan(&gang) {
        cx.enqueue(job.requeue());
    }
}

fn recover(cx: &mut Cx, gang: Arc<Gang<Running>>, request: Arc<Request>) {
    if let Some(known) = cx.fleet.running.get(&gang.id).cloned() {
        if known.endpoint == gang.endpoint {
            return;
        }
        // The leader reports the members and the endpoint that the others did not know.
        forget(cx, &known);
    }
    // The gang takes the place of a new attempt that has not started.
    if cx.is_queued(gang.job) {
        cx.gone.insert(gang.job);
        drop_hold(&mut cx.fleet, gang.job);
    } else if let Some(placed) = cx.queue.placed.get(&gang.job).cloned() {
        if let Some(planned) = cx.fleet.planned.get(&placed.state.gang).cloned() {
            cx.unplan(&planned);
        }
        cx.queue.placed.swap_remove(&gang.job);
    }
    let state = Active {
        gang: gang.id,
        since: gang.state.since,
    };
    let job = Job {
        request,
        attempt: gang.attempt,
        runs: try_number(gang.attempt).saturating_sub(1),
        accepted: gang.state.since,
        attained: 0.0,
        state,
    };
    cx.queue.active.insert(gang.job, Arc::new(job));
    for (worker, amount) in held_by(&cx.fleet, &gang.members) {
        subtract(&mut cx.fleet.free, worker, amount);
    }
    cx.slots.take(cx.membership, &gang.endpoint);
    cx.fleet.running.insert(gang.id, gang);
    cx.unsettled = true;
}

/// Gives back what a running gang holds.
fn forget(cx: &mut Cx, gang: &Gang<Running>) {
    cx.fleet.running.swap_remove(&gang.id);
    let firm = is_firm(&cx.queue, gang.job);
    let room = held_by(&cx.fleet, &gang.members);
    // What a guarantee or work that may not be stopped gives back may complete the home of another guarantee.
    let gives_back = firm || cx.fleet.charged.contains_key(&gang.id);
    cx.unsettled |= gives_back && cx.fleet.holds.is_empty() && has_shortfall(&cx.fleet);
    give_back(&mut cx.fleet, gang.id, firm, &room);
    cx.fleet.stopping.swap_remove(&gang.id);
    cx.slots.release(cx.membership, &gang.endpoint);
}

fn ended(cx: &mut Cx, id: GangId, end: GangEnd) {
    let Some(gang) = cx.fleet.running.get(&id).cloned() else {
        return;
    };
    forget(cx, &gang);
    cx.actions.push(Action::Free { gang: id });
    let cancelled = cx.queue.cancelled.swap_remove(&gang.job);
    if let Some(job) = cx.queue.active.swap_remove(&gang.job) {
        finish(cx, &job, end, cancelled);
    }
}

/// Gangs that are started for one job, so that a fault that repeats ends in a refusal. A reclaim is no fault and always
/// allows another.
const MAX_RUNS: u32 = 8;

fn finish(cx: &mut Cx, job: &Job<Active>, end: GangEnd, cancelled: bool) {
    let reclaimed = end == GangEnd::Stopped;
    let error = match end {
        GangEnd::Answered => return,
        GangEnd::Failed(error) => error,
        GangEnd::NeverRan => Error::not_run(ErrorKind::Stopped, "the gang did not start"),
        GangEnd::Stopped | GangEnd::MemberLost => {
            Error::may_have_run(ErrorKind::Stopped, "the gang stopped before it answered")
        }
    };
    if cancelled {
        let error = Error::new(
            error.verdict,
            ErrorKind::Cancelled,
            "cancelled while running",
        );
        cx.refuse(job.id(), error);
    } else if (reclaimed || job.runs + 1 < MAX_RUNS) && may_run_again(job, &error) {
        cx.enqueue(job.clone().requeue(cx.now));
    } else {
        cx.refuse(job.id(), error);
    }
}

/// Returns whether the job may have another attempt; the entry that waits for it decides by the same rule.
fn may_run_again(job: &Job<Active>, error: &Error) -> bool {
    let final_error = matches!(
        error.kind,
        ErrorKind::InvalidRequest
            | ErrorKind::Unauthenticated
            | ErrorKind::NotFound
            | ErrorKind::TooLarge
            | ErrorKind::Infeasible
            | ErrorKind::Timeout
            | ErrorKind::Cancelled
    );
    let again = job.request.may_stop();
    !final_error
        && (error.verdict == Verdict::NotRun || (again && error.verdict == Verdict::MayHaveRun))
}
