//! The controllers of the blame and history sections: what gangs tell about workers, jobs and run times.

use std::sync::Arc;
use std::time::Duration;

use errors::ErrorKind;
use model::{Gang, GangId, JobId, Running, WorkerId};
use policy::blame::{BlameController, Observation, TaskEvent};
use policy::history::{HistoryController, Run, RunEnd};
use tokio::sync::{mpsc, oneshot};
use wire::GangEnded;

use crate::context::Context;

/// How often workers that left the cell are forgotten.
const RETAIN_INTERVAL: Duration = Duration::from_secs(5);
/// Events that share one copy of a section.
const BATCH: usize = 1024;

/// What happened to a gang.
#[derive(Debug)]
pub(crate) enum RecordEvent {
    /// The ownership began or ended; what was learned belongs to the earlier owner.
    Reset,
    /// Something that the blame section counts.
    Observed(Observation),
    /// Asks for an answer once all earlier events are in the sections.
    Flush(oneshot::Sender<()>),
    /// A run that the history section counts.
    Ran(Run),
}

/// Runs the controllers until the last sender is gone.
pub(crate) async fn run(mut rx: mpsc::UnboundedReceiver<RecordEvent>, cx: Arc<Context>) {
    let mut retains = cx.timer.subscribe_every(RETAIN_INTERVAL);
    let mut blame = BlameController::default();
    let mut history = HistoryController::default();
    let mut batch = Vec::new();
    loop {
        tokio::select! {
            received = rx.recv_many(&mut batch, BATCH) => if received == 0 { return },
            _ = retains.recv() => {
                blame.retain_members(&cx.board, timer::now());
                continue;
            }
        }
        let (mut observations, mut runs) = (Vec::new(), Vec::new());
        let mut flushes = Vec::new();
        for event in batch.drain(..) {
            match event {
                RecordEvent::Reset => {
                    (blame, history) = Default::default();
                    observations.clear();
                    runs.clear();
                    cx.board.blame.publish(board::Blame::default());
                    cx.board.history.publish(board::History::default());
                }
                RecordEvent::Observed(observation) => observations.push(observation),
                RecordEvent::Ran(run) => runs.push(run),
                RecordEvent::Flush(tx) => flushes.push(tx),
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
pub(crate) fn started(cx: &Context, gang: &Gang<Running>) {
    observe(cx, gang.job, workers(gang), TaskEvent::Started);
}

/// Records the end that a leader reports and waits until the sections show it, so that the next try of the job is placed
/// by them; the fleet section must still show the gang.
///
/// Only a worker that is known to have failed a task is blamed. An answer clears all workers of the gang; other errors
/// come from the endpoint, the caller or a lost process and say nothing about workers.
pub(crate) async fn ended(cx: &Context, ended: &GangEnded) {
    note_end(cx, ended);
    let (tx, rx) = oneshot::channel();
    let _ = cx.records.send(RecordEvent::Flush(tx));
    let _ = rx.await;
}

fn note_end(cx: &Context, ended: &GangEnded) {
    let fleet = cx.board.fleet.load();
    let Some(gang) = fleet.running.get(&ended.gang) else {
        return;
    };
    if let Some(worker) = ended.failed_workers.first() {
        let failed_worker = Some(worker.clone());
        observe(
            cx,
            gang.job,
            workers(gang),
            TaskEvent::Failed { failed_worker },
        );
    } else if ended.error.is_none() {
        observe(cx, gang.job, workers(gang), TaskEvent::Succeeded);
    }
    if let Some(run) = finished_run(cx, ended.gang, run_end(ended)) {
        let _ = cx.records.send(RecordEvent::Ran(run));
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

fn observe(cx: &Context, job: JobId, workers: Vec<WorkerId>, event: TaskEvent) {
    let observation = Observation {
        job,
        workers,
        event,
    };
    let _ = cx.records.send(RecordEvent::Observed(observation));
}

fn workers(gang: &Gang<Running>) -> Vec<WorkerId> {
    let workers = gang.members.iter();
    workers.map(|member| member.worker.clone()).collect()
}
