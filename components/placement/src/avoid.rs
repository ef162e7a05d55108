//! Workers on which an earlier try of a job failed.

use model::{JobId, Shape};

use crate::cx::Cx;
use crate::fit::first_fit;
use crate::layout::idle;

/// Returns the workers, in rising order, that a job must not use again.
///
/// There are none if the other workers cannot hold the shape even when idle: another try is then better than none.
pub(crate) fn avoided(cx: &Cx, job: JobId, shape: &Shape) -> Vec<usize> {
    let Some(failed) = cx.blame.failed_on.get(&job) else {
        return Vec::new();
    };
    let workers = failed
        .iter()
        .filter_map(|id| cx.fleet.workers.get_index_of(id));
    let mut avoided: Vec<usize> = workers.collect();
    avoided.sort_unstable();
    let mut others = idle(&cx.fleet);
    others.retain(|(worker, _)| !avoided.contains(worker));
    if first_fit(&cx.layout, &others, shape).is_none() {
        return Vec::new();
    }
    avoided
}
