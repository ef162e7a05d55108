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
    Submit { request: Arc<Request>, tx: Waiter },
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
    waiters: IndexMap<JobId, Waiter>,
    /// Gangs that started while no entry waited.
    ready: IndexMap<JobId, Placed>,
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
        SchedulerEvent::Placement(event) => events.push(event),
        SchedulerEvent::Submit { request, tx } => submit(cx, waiting, request, tx, events),
        SchedulerEvent::Started { job, placed } => started(waiting, job, placed),
        SchedulerEvent::Refused { job, error } => {
            waiting.ready.swap_remove(&job);
            if let Some(tx) = waiting.waiters.swap_remove(&job) {
                let _ = tx.send(Err(error.report()));
            }
        }
        SchedulerEvent::GangReported { .. } => {}
    }
}

fn submit(
    cx: &Context,
    waiting: &mut Waiting,
    request: Arc<Request>,
    tx: Waiter,
    events: &mut Vec<Event>,
) {
    if cx.epoch() == 0 {
        let error = Error::not_run(ErrorKind::Unavailable, "this process does not own the cell");
        let _ = tx.send(Err(error.report()));
        return;
    }
    let job = request.id;
    if let Some(placed) = waiting.ready.swap_remove(&job) {
        let _ = tx.send(Ok(placed));
        return;
    }
    let queue = cx.board.queue.load();
    let known = waiting.waiters.contains_key(&job)
        || queue.queued.contains_key(&job)
        || queue.placed.contains_key(&job);
    waiting.waiters.insert(job, tx);
    if !known {
        events.push(Event::Submitted(request));
    }
}

fn started(waiting: &mut Waiting, job: JobId, placed: Placed) {
    let Some(tx) = waiting.waiters.swap_remove(&job) else {
        waiting.ready.insert(job, placed);
        return;
    };
    if let Err(Ok(placed)) = tx.send(Ok(placed)) {
        waiting.ready.insert(job, placed);
    }
}

/// Returns the gang id for logs.
pub(crate) fn hex(gang: GangId) -> String {
    format!("{gang:032x}")
}
