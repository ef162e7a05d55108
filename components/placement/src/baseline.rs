//! Baseline strategies for comparison, which ignore guarantees and failed or quarantined workers.

use std::collections::HashSet;
use std::sync::Arc;

use model::{Job, Queued};

use crate::context::StepContext;
use crate::fit::first_fit;
use crate::topology::WorkerResources;

/// Plans gangs oldest first; with `block_on_oldest`, the oldest job that does not fit blocks all later ones.
pub(crate) fn schedule(cx: &mut StepContext, block_on_oldest: bool) {
    let queued: Vec<Arc<Job<Queued>>> = cx.queue.queued.values().cloned().collect();
    // The loop only takes free capacity, so a shape that did not fit once will not fit later.
    let mut failed = HashSet::new();
    for job in queued {
        let shape = job.request.shape.unwrap_or_default();
        let placed = !failed.contains(&shape)
            && cx.slots.available(cx.membership, &job.request.service)
            && place(cx, &job);
        if placed {
            continue;
        }
        if block_on_oldest {
            return;
        }
        if cx.slots.available(cx.membership, &job.request.service) {
            failed.insert(shape);
        }
    }
}

fn place(cx: &mut StepContext, job: &Job<Queued>) -> bool {
    let Some(shape) = job.request.shape else {
        return false;
    };
    let available: WorkerResources = cx.fleet.free.iter().copied().enumerate().collect();
    first_fit(&cx.topology, &available, &shape)
        .is_some_and(|assignment| cx.plan_gang(job, &assignment))
}
