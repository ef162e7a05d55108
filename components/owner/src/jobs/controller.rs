//! The main loop of the jobs controller: one runner for each live job, up to a limit.

use std::sync::Arc;

use indexmap::IndexSet;
use model::JobId;
use policy::routing::refresh_routes;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::context::Context;
use crate::jobs::runner::run_job;
use crate::jobs::section::JobUpdate;
use crate::jobs::{OwnedContext, sweep, watch};

/// Maximum number of jobs that one owner runs or queues for placement at the same time. A runner keeps at most 64 KB of a
/// body while it waits.
const MAX_RUNNERS: usize = 512;
/// Batches of store changes that are buffered for the controller.
const CHANNEL_CAPACITY: usize = 16;

/// Runs the jobs of the cell during each ownership until the process ends.
pub(crate) async fn run(cx: Arc<Context>) {
    let mut changes = cx.ownership_changes();
    loop {
        changes.mark_unchanged();
        let Some(ownership) = cx.ownership() else {
            if changes.changed().await.is_err() {
                return;
            }
            continue;
        };
        let owned = OwnedContext {
            cx: Arc::clone(&cx),
            ownership,
        };
        // Dispatched attempts continue on their agents; the next owner attaches to them.
        tokio::select! {
            () = run_jobs(&owned) => {}
            _ = changes.changed() => {}
        }
    }
}

async fn run_jobs(cx: &OwnedContext) {
    let (tx, mut rx) = mpsc::channel(CHANNEL_CAPACITY);
    let mut background = JoinSet::new();
    background.spawn(watch::run(cx.clone(), tx.clone()));
    background.spawn(sweep::run(cx.clone(), tx));
    let mut runners: JoinSet<JobUpdate> = JoinSet::new();
    let mut running: IndexSet<JobId> = IndexSet::new();
    let mut membership = cx.board.membership.changes();
    refresh_routes(&cx.board, &cx.settings.region);
    loop {
        tokio::select! {
            Some(batch) = rx.recv() => cx.update_jobs(|jobs| batch.into_iter().for_each(|update| jobs.apply(update))),
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
    cx: &OwnedContext,
    running: &mut IndexSet<JobId>,
    joined: Result<JobUpdate, tokio::task::JoinError>,
) {
    match joined {
        Ok(update) => {
            let (JobUpdate::Live(id, _) | JobUpdate::Ended(id, _) | JobUpdate::Deleted(id)) =
                &update;
            running.swap_remove(id);
            cx.update_jobs(|jobs| jobs.apply(update));
        }
        Err(e) => log::error!(target: "limpethook", error:% = e; "job_runner_failed"),
    }
}

/// Starts the oldest jobs that have no runner.
fn start_runners(
    cx: &OwnedContext,
    runners: &mut JoinSet<JobUpdate>,
    running: &mut IndexSet<JobId>,
) {
    let jobs = cx.ownership.jobs.load();
    let Some(jobs) = jobs.as_ref() else {
        return;
    };
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
        runners.spawn(run_job(cx.clone(), id));
    }
}
