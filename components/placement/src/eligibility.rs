//! Which workers a job may use, according to the blame section, which attributes failures to workers and jobs.
//!
//! A quarantined worker runs only probes: idempotent jobs that show whether tasks succeed on it again. On a proven
//! worker, a task has succeeded since it joined the cell.

use std::collections::HashMap;

use board::Blame;
use model::Shape;

use crate::context::StepContext;
use crate::fit::first_fit;
use crate::topology::{Assignment, WorkerResources, idle_capacity};

/// The workers that are quarantined or proven, by worker index.
pub(crate) struct Eligibility {
    quarantined: Vec<bool>,
    proven: Vec<bool>,
    /// Whether a shape fits on the proven workers alone when they are idle.
    fits_proven: HashMap<Shape, bool>,
}

impl Eligibility {
    pub(crate) fn new(cx: &StepContext) -> Self {
        let Blame {
            quarantined,
            proven,
            ..
        } = cx.blame;
        let workers = &cx.fleet.workers;
        let mut eligibility = Self {
            quarantined: vec![false; workers.len()],
            proven: vec![false; workers.len()],
            fits_proven: HashMap::new(),
        };
        for worker in quarantined.keys() {
            if let Some(at) = workers.get_index_of(worker) {
                eligibility.quarantined[at] = true;
            }
        }
        for worker in proven {
            if let Some(at) = workers.get_index_of(worker) {
                eligibility.proven[at] = !eligibility.quarantined[at];
            }
        }
        eligibility
    }

    /// Returns whether a worker may run a job.
    pub(crate) fn is_eligible(&self, worker: usize, needs_proven: bool) -> bool {
        if needs_proven {
            self.proven[worker]
        } else {
            !self.quarantined[worker]
        }
    }

    /// Returns whether a job must run on proven workers: it is non-preemptible and would fit on them if they were idle.
    pub(crate) fn needs_proven(
        &mut self,
        cx: &StepContext,
        shape: &Shape,
        non_preemptible: bool,
    ) -> bool {
        if !non_preemptible {
            return false;
        }
        if let Some(known) = self.fits_proven.get(shape) {
            return *known;
        }
        let mut proven_capacity: WorkerResources = idle_capacity(&cx.fleet);
        proven_capacity.retain(|(worker, _)| self.proven[*worker]);
        let fits = first_fit(&cx.topology, &proven_capacity, shape).is_some();
        self.fits_proven.insert(*shape, fits);
        fits
    }
}

/// Returns an assignment of a whole gang to a quarantined worker that is due for a probe.
///
/// The worker must be idle, so that only one probe runs on it at a time.
pub(crate) fn probe_assignment(cx: &StepContext, shape: &Shape) -> Option<Assignment> {
    let fleet = &cx.fleet;
    cx.blame
        .quarantined
        .iter()
        .filter(|(_, quarantine)| quarantine.next_probe <= cx.now)
        .filter_map(|(id, _)| fleet.workers.get_full(id))
        .filter(|(at, _, worker)| fleet.free[*at] == worker.capacity)
        .find(|(_, _, worker)| worker.capacity.fit_count(shape.per_task()) >= shape.tasks)
        .map(|(at, _, _)| vec![(at, shape.tasks)])
}
