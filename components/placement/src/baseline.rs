//! Simple strategies to compare with, which ignore guarantees and blame.

use std::collections::HashSet;
use std::sync::Arc;

use model::{Job, Queued};

use crate::cx::Cx;
use crate::fit::first_fit;
use crate::layout::Room;

/// Plans gangs oldest first; with `strict`, the oldest job that does not fit blocks all later ones.
pub(crate) fn schedule(cx: &mut Cx, strict: bool) {
    let waiting: Vec<Arc<Job<Queued>>> = cx.queue.queued.values().cloned().collect();
    // Capacity only shrinks within a step, so a shape that failed once fails again.
    let mut failed = HashSet::new();
    for job in waiting {
        let shape = job.request.shape.unwrap_or_default();
        let placed = !failed.contains(&shape)
            && cx.slots.available(cx.membership, &job.request.service)
            && place(cx, &job);
        if placed {
            continue;
        }
        if strict {
            return;
        }
        if cx.slots.available(cx.membership, &job.request.service) {
            failed.insert(shape);
        }
    }
}

fn place(cx: &mut Cx, job: &Job<Queued>) -> bool {
    let Some(shape) = job.request.shape else {
        return false;
    };
    let room: Room = cx.fleet.free.iter().copied().enumerate().collect();
    first_fit(&cx.layout, &room, &shape).is_some_and(|spots| cx.reserve(job, &spots))
}
