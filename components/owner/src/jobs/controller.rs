//! The loop of the jobs controller: one runner for each live job, within a bound.

use std::sync::Arc;

use indexmap::IndexSet;
use model::JobId;
use policy::routing::refresh_routes;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::context::Context;
use crate::jobs::runner::run_job;
use crate::jobs::section::{Jobs, Seen};
use crate::jobs::{sweep, watch};

/// Jobs that one owner runs or queues for placement at once; a runner keeps at most 64 KB of a body while it waits.
const MAX_RUNNERS: usize = 512;
/// Batches of changes that wait for the controller.
const BATCHES: usize = 16;

/// Serves the jobs of the cell during each ownership until the process ends.
pub(crate) async fn run(cx: Arc<Context>) {
    let mut epochs = cx.epochs();
    loop {
        if *epochs.borrow_and_update() == 0 {
            if epochs.changed().await.is_err() {
                return;
            }
            continue;
        }
        cx.jobs.publish(Jobs {
            since: Some(timer::now()),
            ..Jobs::default()
        });
        // Dispatched attempts continue at their agents; the next owner attaches to them.
        tokio::select! {
            () = serve(&cx) => {}
            _ = epochs.changed() => {}
        }
        cx.jobs.publish(Jobs::default());
    }
}

async fn serve(cx: &Arc<Context>) {
    let (tx, mut rx) = mpsc::channel(BATCHES);
    let mut helpers = JoinSet::new();
    helpers.spawn(watch::run(Arc::clone(cx), tx.clone()));
    helpers.spawn(sweep::run(Arc::clone(cx), tx));
    let mut runners: JoinSet<Seen> = JoinSet::new();
    let mut started: IndexSet<JobId> = IndexSet::new();
    let mut members = cx.board.membership.changes();
    refresh_routes(&cx.board, &cx.settings.region);
    loop {
        tokio::select! {
            Some(batch) = rx.recv() => cx.jobs.update(|jobs| batch.into_iter().for_each(|seen| jobs.see(seen))),
            Some(joined) = runners.join_next() => finish(cx, &mut started, joined),
            Ok(()) = members.changed() => {
                refresh_routes(&cx.board, &cx.settings.region);
                continue;
            }
        }
        start_runners(cx, &mut runners, &mut started);
    }
}

fn finish(
    cx: &Context,
    started: &mut IndexSet<JobId>,
    joined: Result<Seen, tokio::task::JoinError>,
) {
    match joined {
        Ok(seen) => {
            let (Seen::Live(id, _) | Seen::Ended(id, _) | Seen::Gone(id)) = &seen;
            started.swap_remove(id);
            cx.jobs.update(|jobs| jobs.see(seen));
        }
        Err(e) => log::error!(target: "limpethook", error:% = e; "job_runner_failed"),
    }
}

/// Starts the oldest jobs that have no runner.
fn start_runners(cx: &Arc<Context>, runners: &mut JoinSet<Seen>, started: &mut IndexSet<JobId>) {
    let jobs = cx.jobs.load();
    let mut waiting: Vec<_> = jobs
        .live
        .iter()
        .filter(|(id, _)| !started.contains(*id))
        .map(|(id, live)| (live.submitted, *id))
        .collect();
    waiting.sort_unstable();
    let free = MAX_RUNNERS.saturating_sub(runners.len());
    for (_, id) in waiting.into_iter().take(free) {
        started.insert(id);
        runners.spawn(run_job(Arc::clone(cx), id));
    }
}
