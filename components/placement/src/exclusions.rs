//! Workers on which earlier attempts of a job failed.

use model::{JobId, Shape};

use crate::context::StepContext;
use crate::fit::first_fit;
use crate::topology::idle_capacity;

/// Returns the workers that a job must not use again, in ascending order.
///
/// Excludes none if the shape would not fit on the other workers even when they are idle: a retry on the same workers
/// is then better than no retry.
pub(crate) fn excluded_workers(cx: &StepContext, job: JobId, shape: &Shape) -> Vec<usize> {
    let Some(failed) = cx.blame.failed_on.get(&job) else {
        return Vec::new();
    };
    let workers = failed
        .iter()
        .filter_map(|id| cx.fleet.workers.get_index_of(id));
    let mut excluded: Vec<usize> = workers.collect();
    excluded.sort_unstable();
    let mut others = idle_capacity(&cx.fleet);
    others.retain(|(worker, _)| !excluded.contains(worker));
    if first_fit(&cx.topology, &others, shape).is_none() {
        return Vec::new();
    }
    excluded
}
