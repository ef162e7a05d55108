//! The placement controller: applies events in batches and hands out actions.

use std::sync::Arc;
use std::time::{Duration, Instant};

use board::{Fleet, Queue};
use errors::{Error, ErrorKind, Result};
use indexmap::IndexMap;
use model::{GangId, JobId, Request};
use placement::{Action, Event, Strategy, step};
use tokio::sync::{mpsc, oneshot};
use wire::Placed;

use crate::actions::{carry_out, end_unled};
use crate::context::Context;
use crate::recovery::{Recovery, Report};

/// How often time-dependent decisions are made.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Events that share one copy of the sections.
const BATCH: usize = 16_384;

/// Where the placement of a job goes.
pub(crate) type Waiter = oneshot::Sender<Result<Placed>>;

/// An event for the placement controller.
#[derive(Debug)]
pub(crate) enum SchedulerEvent {
    /// The ownership began or ended; an owner that takes over waits for the gangs of the earlier one.
    Reset { recover: bool },
    /// An event for the decisions.
    Placement(Event),
    /// An entry submits a request, or waits again for one that is known.
    Submit {
        request: Arc<Request>,
        waiter: u64,
        ended: Option<GangId>,
        tx: Waiter,
    },
    /// A submission no longer waits for a placement; without any other, a job that does not run is cancelled.
    Abandoned { job: JobId, waiter: u64 },
    /// A gang runs.
    Started { job: JobId, placed: Placed },
    /// An agent reports a gang from before this owner.
    GangReported(Report),
}

/// The submissions that wait for one placement, by the number that their entry chose.
type Submissions = Vec<(u64, Waiter)>;

/// The entries that wait for placements.
#[derive(Default)]
struct Waiting {
    /// Several wait for a request that was submitted twice with one idempotency key.
    waiters: IndexMap<JobId, (Arc<Request>, Submissions)>,
    /// Gangs that started while no entry waited.
    ready: IndexMap<JobId, Placed>,
    /// Gangs of which an entry was told and that have not ended.
    told: IndexMap<JobId, Placed>,
}

/// What the controller keeps besides the sections that it writes.
#[derive(Default)]
struct State {
    waiting: Waiting,
    recovery: Recovery,
}

/// Runs the controller until its last sender is gone.
pub(crate) async fn run(mut rx: mpsc::UnboundedReceiver<SchedulerEvent>, cx: Arc<Context>) {
    let mut ticks = cx.timer.subscribe_every(TICK_INTERVAL);
    let mut config = cx.board.config.changes();
    let mut state = State::default();
    let mut batch = Vec::new();
    let mut events = Vec::new();
    loop {
        tokio::select! {
            received = rx.recv_many(&mut batch, BATCH) => if received == 0 { return },
            _ = ticks.recv() => {
                events.push(Event::Tick);
                resubmit_ended(&cx, &mut state.waiting, &mut events);
            }
            Ok(()) = config.changed() => events.push(Event::ConfigChanged),
        }
        for event in batch.drain(..) {
            apply(&cx, &mut state, event, &mut events);
        }
        if cx.epoch() == 0 {
            events.clear();
            continue;
        }
        // Events wait until the gangs of earlier owners are known.
        if !state.recovery.is_waiting(timer::now()) {
            decide(&cx, &mut state, std::mem::take(&mut events));
        }
    }
}

fn decide(cx: &Arc<Context>, state: &mut State, mut events: Vec<Event>) {
    let now = timer::now();
    if cx.is_recovering() {
        cx.set_recovering(false);
        log::info!(target: "limpethook", gangs = events.iter().filter(|e| is_recovered(e)).count(); "cell_recovered");
    }
    let unled = state.recovery.take_unled(&cx.board.fleet.load(), now);
    for event in &unled {
        if let Event::Recovered { gang, .. } = event {
            end_unled(cx, gang);
        }
    }
    // Recovered gangs come before new requests for the same jobs.
    events.splice(..0, unled);
    for action in step(&cx.board, Strategy::Guarded, events, now) {
        match action {
            Action::Refuse { job, error } if is_early(state, &error, now) => {
                log::info!(target: "limpethook", job:% = hex(job), error:% = error; "refusal_deferred");
            }
            Action::Refuse { job, error } => refuse(&mut state.waiting, job, &error),
            action => carry_out(cx, action),
        }
    }
}

/// Returns whether a shape does not fit only because agents have not announced themselves after a takeover.
fn is_early(state: &State, error: &Error, now: Instant) -> bool {
    error.kind == ErrorKind::Infeasible && state.recovery.is_settling(now)
}

fn is_recovered(event: &Event) -> bool {
    matches!(event, Event::Recovered { .. })
}

fn apply(cx: &Context, state: &mut State, event: SchedulerEvent, events: &mut Vec<Event>) {
    let now = timer::now();
    match event {
        SchedulerEvent::Reset { recover } => {
            *state = State::default();
            if recover {
                state.recovery = Recovery::begin(now);
            }
            events.clear();
            cx.board.fleet.publish(Fleet::default());
            cx.board.queue.publish(Queue::default());
        }
        SchedulerEvent::Placement(event) => {
            if let Event::Ended { gang, .. } = &event {
                state.waiting.told.retain(|_, placed| placed.gang != *gang);
            }
            events.push(event);
        }
        SchedulerEvent::Submit {
            request,
            waiter,
            ended,
            tx,
        } => {
            let told = state.waiting.told.get(&request.id);
            match told.filter(|placed| Some(placed.gang) != ended) {
                Some(placed) => drop(tx.send(Ok(placed.clone()))),
                None => submit(cx, &mut state.waiting, request, (waiter, tx), events),
            }
        }
        SchedulerEvent::Abandoned { job, waiter } => {
            abandoned(cx, &mut state.waiting, job, waiter, events);
        }
        SchedulerEvent::Started { job, placed } => started(&mut state.waiting, job, placed),
        SchedulerEvent::GangReported(report) => events.extend(state.recovery.report(report, now)),
    }
}

/// Submits the jobs anew that ended, or did not fit, while an entry waits for them.
fn resubmit_ended(cx: &Context, waiting: &mut Waiting, events: &mut Vec<Event>) {
    waiting.waiters.retain(|_, (_, waiters)| {
        waiters.retain(|(_, tx)| !tx.is_closed());
        !waiters.is_empty()
    });
    let queue = cx.board.queue.load();
    let ended = waiting.waiters.iter().filter(|(job, _)| {
        !(queue.queued.contains_key(*job)
            || queue.placed.contains_key(*job)
            || queue.active.contains_key(*job))
    });
    events.extend(ended.map(|(_, (request, _))| Event::Submitted(Arc::clone(request))));
}

fn submit(
    cx: &Context,
    waiting: &mut Waiting,
    request: Arc<Request>,
    (waiter, tx): (u64, Waiter),
    events: &mut Vec<Event>,
) {
    if cx.epoch() == 0 {
        let error = Error::not_run(ErrorKind::Unavailable, "this process does not own the cell");
        let _ = tx.send(Err(error.report()));
        return;
    }
    let job = request.id;
    if let Some(placed) = waiting.ready.swap_remove(&job) {
        let _ = tx.send(Ok(placed.clone()));
        waiting.told.insert(job, placed);
        return;
    }
    let queue = cx.board.queue.load();
    let known = waiting.waiters.contains_key(&job)
        || queue.queued.contains_key(&job)
        || queue.placed.contains_key(&job);
    let waiters = waiting.waiters.entry(job);
    let (_, waiters) = waiters.or_insert_with(|| (Arc::clone(&request), Vec::new()));
    waiters.push((waiter, tx));
    if !known {
        events.push(Event::Submitted(request));
    }
}

fn refuse(waiting: &mut Waiting, job: JobId, error: &Error) {
    waiting.ready.swap_remove(&job);
    let waiters = waiting.waiters.swap_remove(&job);
    for (_, tx) in waiters.map_or_else(Vec::new, |(_, waiters)| waiters) {
        let _ = tx.send(Err(error.clone().report()));
    }
}

fn started(waiting: &mut Waiting, job: JobId, placed: Placed) {
    let waiters = waiting.waiters.swap_remove(&job);
    let waiters = waiters.map_or_else(Vec::new, |(_, waiters)| waiters);
    let mut told = false;
    for (_, tx) in waiters {
        told |= tx.send(Ok(placed.clone())).is_ok();
    }
    let gangs = if told {
        &mut waiting.told
    } else {
        &mut waiting.ready
    };
    gangs.insert(job, placed);
}

fn abandoned(
    cx: &Context,
    waiting: &mut Waiting,
    job: JobId,
    waiter: u64,
    events: &mut Vec<Event>,
) {
    let mut untold = waiting.ready.swap_remove(&job).is_some();
    if let Some((_, waiters)) = waiting.waiters.get_mut(&job) {
        waiters.retain(|(id, tx)| *id != waiter && !tx.is_closed());
        if !waiters.is_empty() {
            return;
        }
        waiting.waiters.swap_remove(&job);
        untold = true;
    }
    // The gang of a job whose placement an entry was told belongs to that entry's request.
    if untold || !cx.board.queue.load().active.contains_key(&job) {
        events.push(Event::Cancelled(job));
    }
}

/// Returns the gang id for logs.
pub(crate) fn hex(gang: GangId) -> String {
    format!("{gang:032x}")
}
