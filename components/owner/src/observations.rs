//! The controllers of the blame and history sections, which learn about workers, jobs and run times from gangs.

use std::sync::Arc;
use std::time::Duration;

use errors::ErrorKind;
use model::{Gang, GangId, JobId, Running, WorkerId};
use policy::blame::{BlameController, Observation, TaskEvent};
use policy::history::{HistoryController, Run, RunEnd};
use tokio::sync::{mpsc, oneshot};
use wire::GangEnded;

use crate::context::Context;

/// How often workers that left the cell are removed from the blame section.
const RETAIN_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum number of events that are applied to one copy of a section.
const MAX_BATCH: usize = 1024;

/// An event for the blame and history controllers.
#[derive(Debug)]
pub(crate) enum ObservationEvent {
    /// The ownership began or ended; earlier observations no longer apply.
    Reset,
    /// An observation for the blame section.
    Task(Observation),
    /// Requests a notification once all earlier events are in the sections.
    Flush(oneshot::Sender<()>),
    /// A finished run for the history section.
    Run(Run),
}

/// Runs the controllers until all senders are dropped.
pub(crate) async fn run(mut rx: mpsc::UnboundedReceiver<ObservationEvent>, cx: Arc<Context>) {
    let mut retains = cx.timer.subscribe_every(RETAIN_INTERVAL);
    let mut blame = BlameController::default();
    let mut history = HistoryController::default();
    let mut batch = Vec::new();
    loop {
        tokio::select! {
            received = rx.recv_many(&mut batch, MAX_BATCH) => if received == 0 { return },
            _ = retains.recv() => {
                blame.retain_members(&cx.board, timer::now());
                continue;
            }
        }
        let (mut observations, mut runs) = (Vec::new(), Vec::new());
        let mut flushes = Vec::new();
        for event in batch.drain(..) {
            match event {
                ObservationEvent::Reset => {
                    (blame, history) = Default::default();
                    observations.clear();
                    runs.clear();
                    cx.board.blame.publish(board::Blame::default());
                    cx.board.history.publish(board::History::default());
                }
                ObservationEvent::Task(observation) => observations.push(observation),
                ObservationEvent::Run(run) => runs.push(run),
                ObservationEvent::Flush(tx) => flushes.push(tx),
            }
        }
        blame.observe(&cx.board, &observations, timer::now());
        history.observe_runs(&cx.board, &runs, timer::now());
        for tx in flushes {
            let _ = tx.send(());
        }
    }
}

/// Records that the tasks of a gang started.
pub(crate) fn record_start(cx: &Context, gang: &Gang<Running>) {
    send_task_event(cx, gang.job, workers_of(gang), TaskEvent::Started);
}

/// Records the end of a gang that its leader reports, and waits until the sections contain it, so that the placement of
/// the next attempt of the job uses it. The fleet section must still contain the gang.
///
/// Only a worker that is known to have failed a task is blamed. An answer clears all workers of the gang; other errors
/// come from the endpoint, the caller or a lost process and are no evidence about workers.
pub(crate) async fn record_end(cx: &Context, ended: &GangEnded) {
    observe_end(cx, ended);
    let (tx, rx) = oneshot::channel();
    let _ = cx.observations_tx.send(ObservationEvent::Flush(tx));
    let _ = rx.await;
}

fn observe_end(cx: &Context, ended: &GangEnded) {
    let fleet = cx.board.fleet.load();
    let Some(gang) = fleet.running.get(&ended.gang) else {
        return;
    };
    if let Some(worker) = ended.failed_workers.first() {
        let failed_worker = Some(worker.clone());
        send_task_event(
            cx,
            gang.job,
            workers_of(gang),
            TaskEvent::Failed { failed_worker },
        );
    } else if ended.error.is_none() {
        send_task_event(cx, gang.job, workers_of(gang), TaskEvent::Succeeded);
    }
    if let Some(run) = finished_run(cx, ended.gang, run_end(ended)) {
        let _ = cx.observations_tx.send(ObservationEvent::Run(run));
    }
}

fn run_end(ended: &GangEnded) -> RunEnd {
    match &ended.error {
        None => RunEnd::Answered,
        Some(error) if error.kind == ErrorKind::Stopped => RunEnd::Stopped,
        Some(_) => RunEnd::Failed,
    }
}

fn finished_run(cx: &Context, gang: GangId, end: RunEnd) -> Option<Run> {
    let fleet = cx.board.fleet.load();
    let queue = cx.board.queue.load();
    let gang = fleet.running.get(&gang)?;
    let request = &queue.active.get(&gang.job)?.request;
    Some(Run {
        account: request.account.clone(),
        service: request.service.clone(),
        shape: request.shape?,
        declared: request.declared_run_time,
        actual: timer::now().saturating_duration_since(gang.state.since),
        end,
    })
}

fn send_task_event(cx: &Context, job: JobId, workers: Vec<WorkerId>, event: TaskEvent) {
    let observation = Observation {
        job,
        workers,
        event,
    };
    let _ = cx.observations_tx.send(ObservationEvent::Task(observation));
}

fn workers_of(gang: &Gang<Running>) -> Vec<WorkerId> {
    let workers = gang.members.iter();
    workers.map(|member| member.worker.clone()).collect()
}
