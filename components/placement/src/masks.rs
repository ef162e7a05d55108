//! Which workers a job may use, as the blame section has it.

use std::collections::HashMap;

use board::Blame;
use model::Shape;

use crate::cx::Cx;
use crate::fit::first_fit;
use crate::layout::{Room, Spots, idle};

/// The workers that are quarantined or proven, by worker index.
pub(crate) struct Masks {
    quarantined: Vec<bool>,
    proven: Vec<bool>,
    /// Whether proven workers alone can hold a shape when idle.
    proven_hold: HashMap<Shape, bool>,
}

impl Masks {
    pub(crate) fn of(cx: &Cx) -> Self {
        let Blame {
            quarantined,
            proven,
            ..
        } = cx.blame;
        let workers = &cx.fleet.workers;
        let mut masks = Self {
            quarantined: vec![false; workers.len()],
            proven: vec![false; workers.len()],
            proven_hold: HashMap::new(),
        };
        for worker in quarantined.keys() {
            if let Some(at) = workers.get_index_of(worker) {
                masks.quarantined[at] = true;
            }
        }
        for worker in proven {
            if let Some(at) = workers.get_index_of(worker) {
                masks.proven[at] = !masks.quarantined[at];
            }
        }
        masks
    }

    /// Returns whether a worker may run a job, given whether the job needs proven workers.
    pub(crate) fn allows(&self, worker: usize, needs_proven: bool) -> bool {
        if needs_proven {
            self.proven[worker]
        } else {
            !self.quarantined[worker]
        }
    }

    /// Returns whether a job that may not be stopped must wait for proven workers.
    pub(crate) fn needs_proven(&mut self, cx: &Cx, shape: &Shape, firm: bool) -> bool {
        if !firm {
            return false;
        }
        if let Some(known) = self.proven_hold.get(shape) {
            return *known;
        }
        let mut room: Room = idle(&cx.fleet);
        room.retain(|(worker, _)| self.proven[*worker]);
        let holds = first_fit(&cx.layout, &room, shape).is_some();
        self.proven_hold.insert(*shape, holds);
        holds
    }
}

/// Returns a quarantined worker that is due for a probe and holds the whole gang.
///
/// The worker must be idle, so that one probe runs at a time.
pub(crate) fn probe(cx: &Cx, shape: &Shape) -> Option<Spots> {
    let fleet = &cx.fleet;
    cx.blame
        .quarantined
        .iter()
        .filter(|(_, quarantine)| quarantine.next_probe <= cx.now)
        .filter_map(|(id, _)| fleet.workers.get_full(id))
        .filter(|(at, _, worker)| fleet.free[*at] == worker.capacity)
        .find(|(_, _, worker)| worker.capacity.times(shape.per_task()) >= shape.tasks)
        .map(|(at, _, _)| vec![(at, shape.tasks)])
}
