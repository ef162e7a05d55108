//! The main loop of the jobs controller: one runner for each live job, up to a limit.

use std::sync::Arc;

use indexmap::IndexSet;
use model::JobId;
use policy::routing::refresh_routes;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::context::Context;
use crate::jobs::runner::run_job;
use crate::jobs::section::{JobUpdate, Jobs};
use crate::jobs::{sweep, watch};

/// Maximum number of jobs that one owner runs or queues for placement at the same time. A runner keeps at most 64 KB of a
/// body while it waits.
const MAX_RUNNERS: usize = 512;
/// Batches of store changes that are buffered for the controller.
const CHANNEL_CAPACITY: usize = 16;

/// Runs the jobs of the cell during each ownership until the process ends.
pub(crate) async fn run(cx: Arc<Context>) {
    let mut epochs = cx.epoch_changes();
    loop {
        if *epochs.borrow_and_update() == 0 {
            if epochs.changed().await.is_err() {
                return;
            }
            continue;
        }
        cx.jobs.publish(Jobs {
            owned_since: Some(timer::now()),
            ..Jobs::default()
        });
        // Dispatched attempts continue on their agents; the next owner attaches to them.
        tokio::select! {
            () = run_jobs(&cx) => {}
            _ = epochs.changed() => {}
        }
        cx.jobs.publish(Jobs::default());
    }
}

async fn run_jobs(cx: &Arc<Context>) {
    let (tx, mut rx) = mpsc::channel(CHANNEL_CAPACITY);
    let mut background = JoinSet::new();
    background.spawn(watch::run(Arc::clone(cx), tx.clone()));
    background.spawn(sweep::run(Arc::clone(cx), tx));
    let mut runners: JoinSet<JobUpdate> = JoinSet::new();
    let mut running: IndexSet<JobId> = IndexSet::new();
    let mut membership = cx.board.membership.changes();
    refresh_routes(&cx.board, &cx.settings.region);
    loop {
        tokio::select! {
            Some(batch) = rx.recv() => cx.jobs.update(|jobs| batch.into_iter().for_each(|update| jobs.apply(update))),
            Some(joined) = runners.join_next() => finish_runner(cx, &mut running, joined),
            Ok(()) = membership.changed() => {
                refresh_routes(&cx.board, &cx.settings.region);
                continue;
            }
        }
        start_runners(cx, &mut runners, &mut running);
    }
}

fn finish_runner(
    cx: &Context,
    running: &mut IndexSet<JobId>,
    joined: Result<JobUpdate, tokio::task::JoinError>,
) {
    match joined {
        Ok(update) => {
            let (JobUpdate::Live(id, _) | JobUpdate::Ended(id, _) | JobUpdate::Deleted(id)) =
                &update;
            running.swap_remove(id);
            cx.jobs.update(|jobs| jobs.apply(update));
        }
        Err(e) => log::error!(target: "limpethook", error:% = e; "job_runner_failed"),
    }
}

/// Starts the oldest jobs that have no runner.
fn start_runners(
    cx: &Arc<Context>,
    runners: &mut JoinSet<JobUpdate>,
    running: &mut IndexSet<JobId>,
) {
    let jobs = cx.jobs.load();
    let mut waiting: Vec<_> = jobs
        .live
        .iter()
        .filter(|(id, _)| !running.contains(*id))
        .map(|(id, live)| (live.submitted, *id))
        .collect();
    waiting.sort_unstable();
    let capacity = MAX_RUNNERS.saturating_sub(runners.len());
    for (_, id) in waiting.into_iter().take(capacity) {
        running.insert(id);
        runners.spawn(run_job(Arc::clone(cx), id));
    }
}
