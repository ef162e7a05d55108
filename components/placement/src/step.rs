//! One step of the placement controller.

use std::sync::Arc;
use std::time::Instant;

use board::{Board, Fleet, Queue};
use errors::{Error, ErrorKind};
use model::{Epoch, Gang, GangId, Job, JobId, Placed, Planned, Request, Running};

use crate::actions::{Action, StopReason};
use crate::events::{Event, GangEnd};
use crate::feasible::infeasible_reason;
use crate::fleet::{give_back, rebuild};
use crate::schedule::{Strategy, schedule};

/// Applies a batch of events, publishes the fleet and queue sections, and returns what must be done.
///
/// A batch costs one copy of the two sections, so that a wave of cancellations stays linear.
pub fn step(board: &Board, strategy: Strategy, events: Vec<Event>, now: Instant) -> Vec<Action> {
    let mut fleet = Fleet::clone(&board.fleet.load());
    let mut queue = Queue::clone(&board.queue.load());
    let mut actions = Vec::new();
    for event in events {
        apply(board, &mut fleet, &mut queue, event, now, &mut actions);
    }
    let membership = board.membership.load();
    actions.extend(schedule(&mut fleet, &mut queue, &membership, strategy, now));
    board.fleet.publish(fleet);
    board.queue.publish(queue);
    actions
}

fn apply(
    board: &Board,
    fleet: &mut Fleet,
    queue: &mut Queue,
    event: Event,
    now: Instant,
    actions: &mut Vec<Action>,
) {
    match event {
        Event::Submitted(request) => submit(board, fleet, queue, request, now, actions),
        Event::Cancelled(job) => cancel(fleet, queue, job, actions),
        Event::Reserved { gang, epoch } => start(fleet, queue, gang, epoch, now, actions),
        Event::ReservationRefused { gang, .. } => refused(fleet, queue, gang, actions),
        Event::Ended { gang, end } => ended(fleet, queue, gang, end, now, actions),
        Event::MembershipChanged => rebuild(fleet, &board.membership.load()),
        Event::ConfigChanged | Event::Tick => {}
    }
}

fn submit(
    board: &Board,
    fleet: &Fleet,
    queue: &mut Queue,
    request: Arc<Request>,
    now: Instant,
    actions: &mut Vec<Action>,
) {
    let job = request.id;
    let fault = match &request.shape {
        Some(shape) => infeasible_reason(fleet, shape),
        None => Some("a request without a shape does not wait in a cell".into()),
    };
    if let Some(reason) = fault {
        actions.push(Action::Refuse {
            job,
            error: Error::not_run(ErrorKind::Infeasible, reason),
        });
        return;
    }
    let limit = board.config.load().document.policy.queue_limit;
    if queue.queued.len() >= limit as usize {
        let error = Error::not_run(ErrorKind::Overloaded, "the queue of the cell is full");
        actions.push(Action::Refuse { job, error });
        return;
    }
    queue
        .queued
        .insert(job, Arc::new(Job::accept(request, now)));
}

fn cancel(fleet: &mut Fleet, queue: &mut Queue, id: JobId, actions: &mut Vec<Action>) {
    if queue.queued.swap_remove(&id).is_some() {
        let error = Error::not_run(ErrorKind::Cancelled, "cancelled while queued");
        actions.push(Action::Refuse { job: id, error });
        return;
    }
    if let Some(job) = queue.placed.swap_remove(&id) {
        if let Some(gang) = unplan(fleet, job.state.gang) {
            actions.push(Action::Release(gang));
        }
        let error = Error::not_run(ErrorKind::Cancelled, "cancelled before the start");
        actions.push(Action::Refuse { job: id, error });
        return;
    }
    let running = queue
        .active
        .get(&id)
        .and_then(|job| fleet.running.get(&job.state.gang));
    if let Some(gang) = running {
        actions.push(Action::Stop {
            gang: Arc::clone(gang),
            reason: StopReason::Cancelled,
        });
    }
}

fn start(
    fleet: &mut Fleet,
    queue: &mut Queue,
    id: GangId,
    epoch: Epoch,
    now: Instant,
    actions: &mut Vec<Action>,
) {
    let Some(planned) = fleet.planned.swap_remove(&id) else {
        return;
    };
    let gang: Gang<Running> = Gang::clone(&planned).reserved(epoch).armed().run(now);
    let gang = Arc::new(gang);
    fleet.running.insert(id, Arc::clone(&gang));
    if let Some(job) = queue.placed.swap_remove(&gang.job) {
        queue
            .active
            .insert(gang.job, Arc::new(Job::<Placed>::clone(&job).start(now)));
    }
    actions.push(Action::Start(gang));
}

fn refused(fleet: &mut Fleet, queue: &mut Queue, id: GangId, actions: &mut Vec<Action>) {
    let Some(gang) = unplan(fleet, id) else {
        return;
    };
    if let Some(job) = queue.placed.swap_remove(&gang.job) {
        let job = Job::<Placed>::clone(&job).requeue();
        queue.queued.shift_insert(0, job.id(), Arc::new(job));
    }
    actions.push(Action::Release(gang));
}

fn ended(
    fleet: &mut Fleet,
    queue: &mut Queue,
    id: GangId,
    end: GangEnd,
    now: Instant,
    actions: &mut Vec<Action>,
) {
    let Some(gang) = fleet.running.swap_remove(&id) else {
        return;
    };
    for member in &gang.members {
        give_back(fleet, member);
    }
    actions.push(Action::Free { gang: id });
    let Some(job) = queue.active.swap_remove(&gang.job) else {
        return;
    };
    match end {
        GangEnd::Answered => {}
        GangEnd::NeverRan => {
            let job = Job::clone(&job).requeue(now);
            queue.queued.insert(job.id(), Arc::new(job));
        }
        GangEnd::Failed(error) => actions.push(Action::Refuse {
            job: gang.job,
            error,
        }),
        GangEnd::Stopped | GangEnd::MemberLost
            if job.request.idempotent || job.request.stoppable =>
        {
            let job = Job::clone(&job).requeue(now);
            queue.queued.insert(job.id(), Arc::new(job));
        }
        GangEnd::Stopped | GangEnd::MemberLost => {
            let error =
                Error::may_have_run(ErrorKind::Stopped, "the gang stopped before it answered");
            actions.push(Action::Refuse {
                job: gang.job,
                error,
            });
        }
    }
}

fn unplan(fleet: &mut Fleet, id: GangId) -> Option<Arc<Gang<Planned>>> {
    let gang = fleet.planned.swap_remove(&id)?;
    for member in &gang.members {
        give_back(fleet, member);
    }
    Some(gang)
}
