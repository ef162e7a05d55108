//! The placement controller: applies events in batches and hands out actions.

use std::sync::Arc;
use std::time::Duration;

use board::{Fleet, Queue};
use errors::{Error, ErrorKind, Result};
use indexmap::IndexMap;
use model::{AgentId, GangId, JobId, Request};
use placement::{Event, Strategy, step};
use tokio::sync::{mpsc, oneshot};
use wire::{HeldGang, Placed};

use crate::actions::carry_out;
use crate::context::Context;

/// How often time-dependent decisions are made.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Events that share one copy of the sections.
const BATCH: usize = 16_384;

/// Where the placement of a job goes.
pub(crate) type Waiter = oneshot::Sender<Result<Placed>>;

/// An event for the placement controller.
#[derive(Debug)]
pub(crate) enum SchedulerEvent {
    /// The ownership began or ended.
    Reset,
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
    /// A job is refused.
    Refused { job: JobId, error: Error },
    /// An agent reports a gang from before this owner.
    #[expect(dead_code, reason = "placement does not take over reported gangs yet")]
    GangReported { agent: AgentId, gang: HeldGang },
}

/// The entries that wait for placements.
#[derive(Default)]
struct Waiting {
    /// Several wait for a request that was submitted twice with one idempotency key.
    waiters: IndexMap<JobId, Vec<(u64, Waiter)>>,
    /// Gangs that started while no entry waited.
    ready: IndexMap<JobId, Placed>,
    /// Gangs of which an entry was told and that have not ended.
    told: IndexMap<JobId, Placed>,
}

/// Runs the controller until its last sender is gone.
pub(crate) async fn run(mut rx: mpsc::UnboundedReceiver<SchedulerEvent>, cx: Arc<Context>) {
    let mut ticks = cx.timer.subscribe_every(TICK_INTERVAL);
    let mut config = cx.board.config.changes();
    let mut waiting = Waiting::default();
    let mut batch = Vec::new();
    loop {
        let mut events = Vec::new();
        tokio::select! {
            received = rx.recv_many(&mut batch, BATCH) => if received == 0 { return },
            _ = ticks.recv() => events.push(Event::Tick),
            Ok(()) = config.changed() => events.push(Event::ConfigChanged),
        }
        for event in batch.drain(..) {
            apply(&cx, &mut waiting, event, &mut events);
        }
        if cx.epoch() == 0 {
            continue;
        }
        for action in step(&cx.board, Strategy::Guarded, events, timer::now()) {
            carry_out(&cx, action);
        }
    }
}

fn apply(cx: &Context, waiting: &mut Waiting, event: SchedulerEvent, events: &mut Vec<Event>) {
    match event {
        SchedulerEvent::Reset => {
            *waiting = Waiting::default();
            cx.board.fleet.publish(Fleet::default());
            cx.board.queue.publish(Queue::default());
        }
        SchedulerEvent::Placement(event) => {
            if let Event::Ended { gang, .. } = &event {
                waiting.told.retain(|_, placed| placed.gang != *gang);
            }
            events.push(event);
        }
        SchedulerEvent::Submit {
            request,
            waiter,
            ended,
            tx,
        } => {
            let told = waiting.told.get(&request.id);
            match told.filter(|placed| Some(placed.gang) != ended) {
                Some(placed) => drop(tx.send(Ok(placed.clone()))),
                None => submit(cx, waiting, request, (waiter, tx), events),
            }
        }
        SchedulerEvent::Abandoned { job, waiter } => abandoned(cx, waiting, job, waiter, events),
        SchedulerEvent::Started { job, placed } => started(waiting, job, placed),
        SchedulerEvent::Refused { job, error } => {
            waiting.ready.swap_remove(&job);
            for (_, tx) in waiting.waiters.swap_remove(&job).unwrap_or_default() {
                let _ = tx.send(Err(error.clone().report()));
            }
        }
        SchedulerEvent::GangReported { .. } => {}
    }
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
    waiting.waiters.entry(job).or_default().push((waiter, tx));
    if !known {
        events.push(Event::Submitted(request));
    }
}

fn started(waiting: &mut Waiting, job: JobId, placed: Placed) {
    let waiters = waiting.waiters.swap_remove(&job).unwrap_or_default();
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
    if let Some(waiters) = waiting.waiters.get_mut(&job) {
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
