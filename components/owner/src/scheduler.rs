//! The placement controller: applies events in batches and starts the resulting actions.

use std::sync::Arc;
use std::time::{Duration, Instant};

use board::{Fleet, Queue};
use errors::{Error, ErrorKind, Result};
use indexmap::IndexMap;
use model::{GangId, JobId, Request};
use placement::{Action, Event, Strategy, step};
use tokio::sync::{mpsc, oneshot};
use wire::Placed;

use crate::actions::{end_leaderless, execute};
use crate::context::Context;
use crate::published::Ownership;
use crate::recovery::{GangReport, Recovery};

/// How often time-dependent decisions are made.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of events that are applied to one copy of the sections.
const MAX_BATCH: usize = 16_384;

/// Sends the placement of a job, or its refusal, to a caller.
pub(crate) type PlacementTx = oneshot::Sender<Result<Placed>>;

/// An event for the placement controller.
#[derive(Debug)]
pub(crate) enum SchedulerEvent {
    /// The ownership began, or ended if there is none; with `recover`, the owner first waits for the gangs of earlier owners.
    Reset {
        ownership: Option<Arc<Ownership>>,
        recover: bool,
    },
    /// An event for `placement::step`.
    Placement(Event),
    /// A caller submits a request, or waits again for one that was submitted before.
    Submit {
        request: Arc<Request>,
        waiter: u64,
        ended: Option<GangId>,
        tx: PlacementTx,
    },
    /// A caller no longer waits for a placement; without another caller, a job that does not run is cancelled.
    Abandoned { job: JobId, waiter: u64 },
    /// A gang started.
    Started { job: JobId, placed: Placed },
    /// An agent reports a gang that an earlier owner started.
    GangReported(GangReport),
}

/// The callers that wait for one placement, with the waiter ids that they chose.
type Waiters = Vec<(u64, PlacementTx)>;

/// Placements and the callers that wait for them.
#[derive(Default)]
struct Deliveries {
    /// Several callers wait if a request was submitted more than once with one idempotency key.
    waiting: IndexMap<JobId, (Arc<Request>, Waiters)>,
    /// Placements of gangs that started while no caller waited.
    undelivered: IndexMap<JobId, Placed>,
    /// Placements that a caller received and whose gangs have not ended.
    delivered: IndexMap<JobId, Placed>,
}

/// The state of the controller besides the sections that it writes.
#[derive(Default)]
struct State {
    /// The ownership to which the state belongs.
    ownership: Option<Arc<Ownership>>,
    deliveries: Deliveries,
    recovery: Recovery,
}

/// Runs the controller until all senders are dropped.
pub(crate) async fn run(mut rx: mpsc::UnboundedReceiver<SchedulerEvent>, cx: Arc<Context>) {
    let mut ticks = cx.timer.subscribe_every(TICK_INTERVAL);
    let mut config = cx.board.config.changes();
    let mut state = State::default();
    let mut batch = Vec::new();
    let mut events = Vec::new();
    loop {
        tokio::select! {
            received = rx.recv_many(&mut batch, MAX_BATCH) => if received == 0 { return },
            _ = ticks.recv() => {
                events.push(Event::Tick);
                resubmit_ended(&cx, &mut state.deliveries, &mut events);
            }
            Ok(()) = config.changed() => events.push(Event::ConfigChanged),
        }
        for event in batch.drain(..) {
            apply_event(&cx, &mut state, event, &mut events);
        }
        let owned = state.ownership.clone();
        let Some(ownership) = owned.filter(|owned| owned.epoch == cx.epoch()) else {
            events.clear();
            continue;
        };
        // Events stay queued until the gangs of earlier owners are known.
        if !state.recovery.is_waiting(timer::now()) {
            decide(&cx, &mut state, std::mem::take(&mut events));
            if ownership.end_recovery() {
                let gangs = cx.board.fleet.load().running.len();
                log::info!(target: "limpethook", epoch = ownership.epoch, gangs = gangs; "cell_recovered");
            }
        }
    }
}

fn decide(cx: &Arc<Context>, state: &mut State, mut events: Vec<Event>) {
    let now = timer::now();
    let leaderless = state.recovery.take_leaderless(&cx.board.fleet.load(), now);
    for event in &leaderless {
        if let Event::Recovered { gang, .. } = event {
            end_leaderless(cx, gang);
        }
    }
    // Recovered gangs must be applied before new requests for the same jobs.
    events.splice(..0, leaderless);
    for action in step(&cx.board, Strategy::Guarded, events, now) {
        match action {
            Action::Refuse { job, error } if may_become_feasible(state, &error, now) => {
                log::info!(target: "limpethook", job:% = hex_id(job), error:% = error; "refusal_deferred");
            }
            Action::Refuse { job, error } => deliver_refusal(&mut state.deliveries, job, &error),
            action => execute(cx, action),
        }
    }
}

/// Returns whether a shape may be infeasible only because agents have not yet announced themselves after a takeover.
fn may_become_feasible(state: &State, error: &Error, now: Instant) -> bool {
    error.kind == ErrorKind::Infeasible && state.recovery.is_settling(now)
}

fn apply_event(cx: &Context, state: &mut State, event: SchedulerEvent, events: &mut Vec<Event>) {
    let now = timer::now();
    match event {
        SchedulerEvent::Reset { ownership, recover } => {
            *state = State {
                ownership,
                ..State::default()
            };
            if recover {
                state.recovery = Recovery::begin(now);
            }
            events.clear();
            cx.board.fleet.publish(Fleet::default());
            cx.board.queue.publish(Queue::default());
        }
        SchedulerEvent::Placement(event) => {
            if let Event::Ended { gang, .. } = &event {
                state
                    .deliveries
                    .delivered
                    .retain(|_, placed| placed.gang != *gang);
            }
            events.push(event);
        }
        SchedulerEvent::Submit {
            request,
            waiter,
            ended,
            tx,
        } => {
            let delivered = state.deliveries.delivered.get(&request.id);
            match delivered.filter(|placed| Some(placed.gang) != ended) {
                Some(placed) => drop(tx.send(Ok(placed.clone()))),
                None => submit(cx, &mut state.deliveries, request, (waiter, tx), events),
            }
        }
        SchedulerEvent::Abandoned { job, waiter } => {
            abandon(cx, &mut state.deliveries, job, waiter, events);
        }
        SchedulerEvent::Started { job, placed } => {
            deliver_placement(&mut state.deliveries, job, placed);
        }
        SchedulerEvent::GangReported(report) => {
            events.extend(state.recovery.add_report(report, now));
        }
    }
}

/// Resubmits the jobs that ended, or did not fit, while a caller waits for them.
fn resubmit_ended(cx: &Context, deliveries: &mut Deliveries, events: &mut Vec<Event>) {
    deliveries.waiting.retain(|_, (_, waiters)| {
        waiters.retain(|(_, tx)| !tx.is_closed());
        !waiters.is_empty()
    });
    let queue = cx.board.queue.load();
    let ended = deliveries.waiting.iter().filter(|(job, _)| {
        !(queue.queued.contains_key(*job)
            || queue.placed.contains_key(*job)
            || queue.active.contains_key(*job))
    });
    events.extend(ended.map(|(_, (request, _))| Event::Submitted(Arc::clone(request))));
}

fn submit(
    cx: &Context,
    deliveries: &mut Deliveries,
    request: Arc<Request>,
    (waiter, tx): (u64, PlacementTx),
    events: &mut Vec<Event>,
) {
    if cx.epoch() == 0 {
        let error = Error::not_run(ErrorKind::Unavailable, "this process does not own the cell");
        let _ = tx.send(Err(error.report()));
        return;
    }
    let job = request.id;
    if let Some(placed) = deliveries.undelivered.swap_remove(&job) {
        let _ = tx.send(Ok(placed.clone()));
        deliveries.delivered.insert(job, placed);
        return;
    }
    let queue = cx.board.queue.load();
    let known = deliveries.waiting.contains_key(&job)
        || queue.queued.contains_key(&job)
        || queue.placed.contains_key(&job);
    let waiters = deliveries.waiting.entry(job);
    let (_, waiters) = waiters.or_insert_with(|| (Arc::clone(&request), Vec::new()));
    waiters.push((waiter, tx));
    if !known {
        events.push(Event::Submitted(request));
    }
}

fn deliver_refusal(deliveries: &mut Deliveries, job: JobId, error: &Error) {
    deliveries.undelivered.swap_remove(&job);
    let waiters = deliveries.waiting.swap_remove(&job);
    for (_, tx) in waiters.map_or_else(Vec::new, |(_, waiters)| waiters) {
        let _ = tx.send(Err(error.clone().report()));
    }
}

fn deliver_placement(deliveries: &mut Deliveries, job: JobId, placed: Placed) {
    let waiters = deliveries.waiting.swap_remove(&job);
    let waiters = waiters.map_or_else(Vec::new, |(_, waiters)| waiters);
    let mut delivered = false;
    for (_, tx) in waiters {
        delivered |= tx.send(Ok(placed.clone())).is_ok();
    }
    let gangs = if delivered {
        &mut deliveries.delivered
    } else {
        &mut deliveries.undelivered
    };
    gangs.insert(job, placed);
}

fn abandon(
    cx: &Context,
    deliveries: &mut Deliveries,
    job: JobId,
    waiter: u64,
    events: &mut Vec<Event>,
) {
    let mut undelivered = deliveries.undelivered.swap_remove(&job).is_some();
    if let Some((_, waiters)) = deliveries.waiting.get_mut(&job) {
        waiters.retain(|(id, tx)| *id != waiter && !tx.is_closed());
        if !waiters.is_empty() {
            return;
        }
        deliveries.waiting.swap_remove(&job);
        undelivered = true;
    }
    // A gang whose placement a caller received belongs to the request of that caller.
    if undelivered || !cx.board.queue.load().active.contains_key(&job) {
        events.push(Event::Cancelled(job));
    }
}

/// Formats the id of a gang or a job for logs.
pub(crate) fn hex_id(id: GangId) -> String {
    format!("{id:032x}")
}
