//! Work that may be stopped for a guarantee, and what stopping it costs.

use std::collections::HashMap;
use std::sync::Arc;

use model::{Active, Gang, Job, Planned, Resources, Running, Shape};

use crate::cx::Cx;
use crate::fit::first_fit;
use crate::fleet::{held_by, is_firm};
use crate::layout::{Room, Spots};

/// A job that continues from a checkpoint loses only the work since then, which is taken as this share.
const CHECKPOINT_LOSS: f64 = 0.1;

/// A gang in either state.
#[derive(Clone)]
pub(crate) enum Victim {
    Planned(Arc<Gang<Planned>>),
    Running(Arc<Gang<Running>>),
}

pub(crate) struct Borrower {
    pub(crate) gang: Victim,
    pub(crate) room: Room,
    /// Accelerator seconds that are lost.
    pub(crate) cost: f64,
}

/// All borrowers, with an index by worker.
pub(crate) struct Borrowers {
    pub(crate) all: Vec<Borrower>,
    on: Vec<Vec<u32>>,
    /// The cost of clearing each worker.
    pub(crate) cost_on: Vec<f64>,
}

impl Borrowers {
    pub(crate) fn of(cx: &Cx) -> Self {
        let workers = cx.fleet.workers.len();
        let mut borrowers = Self {
            all: Vec::new(),
            on: vec![Vec::new(); workers],
            cost_on: vec![0.0; workers],
        };
        for gang in cx.fleet.running.values() {
            // A gang without a known job is taken to be one that may not be stopped.
            let Some(job) = cx.queue.active.get(&gang.job) else {
                continue;
            };
            let may_stop = job.request.may_stop();
            if !may_stop || cx.fleet.charged.contains_key(&gang.id) {
                continue;
            }
            let room = held_by(&cx.fleet, &gang.members);
            let cost = cost(cx, job, gang, &room);
            borrowers.add(Victim::Running(Arc::clone(gang)), room, cost);
        }
        for gang in cx.fleet.planned.values() {
            if cx.fleet.charged.contains_key(&gang.id) || is_firm(&cx.queue, gang.job) {
                continue;
            }
            let room = held_by(&cx.fleet, &gang.members);
            borrowers.add(Victim::Planned(Arc::clone(gang)), room, 0.0);
        }
        borrowers
    }

    fn add(&mut self, gang: Victim, room: Room, cost: f64) {
        let number = u32::try_from(self.all.len()).unwrap_or(u32::MAX);
        for (worker, _) in &room {
            self.on[*worker].push(number);
            self.cost_on[*worker] += cost;
        }
        self.all.push(Borrower { gang, room, cost });
    }

    /// Returns a gang to stop; one that was only planned holds nothing after that.
    pub(crate) fn take(&mut self, victim: usize) -> Victim {
        let borrower = &mut self.all[victim];
        borrower.cost = 0.0;
        if matches!(borrower.gang, Victim::Planned(_)) {
            borrower.room.clear();
        }
        borrower.gang.clone()
    }

    /// Returns the borrowers on the given workers, cheapest first.
    fn on(&self, home: &Room) -> Vec<usize> {
        let mut found: Vec<u32> = home
            .iter()
            .flat_map(|(worker, _)| self.on[*worker].iter().copied())
            .collect();
        found.sort_unstable();
        found.dedup();
        let mut found: Vec<usize> = found.into_iter().map(|number| number as usize).collect();
        found.sort_by(|a, b| self.all[*a].cost.total_cmp(&self.all[*b].cost));
        found
    }

    /// Returns the cheapest borrowers whose end lets `home` hold the shape, the resulting spots and the cost.
    pub(crate) fn cheapest(
        &self,
        cx: &Cx,
        (open, owed): (&[Resources], &[Resources]),
        home: &Room,
        shape: &Shape,
    ) -> Option<(Spots, Vec<usize>, f64)> {
        let mut room = Freed::new((open, owed), home, shape);
        let mut chosen = Vec::new();
        let mut spots = None;
        for victim in self.on(home) {
            room.add(&self.all[victim].room);
            chosen.push(victim);
            if room.slots >= u64::from(shape.tasks) {
                spots = first_fit(&cx.layout, &room.room(), shape);
            }
            if spots.is_some() {
                break;
            }
        }
        let mut spots = spots?;
        for at in (0..chosen.len()).rev() {
            let victim = &self.all[chosen[at]];
            room.remove(&victim.room);
            match first_fit(&cx.layout, &room.room(), shape) {
                Some(better) => {
                    spots = better;
                    chosen.remove(at);
                }
                None => room.add(&victim.room),
            }
        }
        let cost = chosen.iter().map(|victim| self.all[*victim].cost).sum();
        Some((spots, chosen, cost))
    }
}

fn cost(cx: &Cx, job: &Job<Active>, gang: &Gang<Running>, room: &Room) -> f64 {
    if cx.fleet.stopping.contains(&gang.id) {
        return 0.0;
    }
    let share = if job.request.stoppable {
        CHECKPOINT_LOSS
    } else {
        1.0
    };
    let accelerators: u32 = room.iter().map(|(_, amount)| amount.accelerators).sum();
    let ran = cx.now.saturating_duration_since(gang.state.since);
    // A gang without accelerators still loses its run time.
    share * ran.as_secs_f64() * f64::from(accelerators.max(1))
}

/// A home while borrowers are taken off it.
struct Freed<'a> {
    home: &'a Room,
    /// Free resources, before what holds are owed.
    open: HashMap<usize, Resources>,
    owed: HashMap<usize, Resources>,
    limit: HashMap<usize, Resources>,
    shape: &'a Shape,
    slots: u64,
}

impl<'a> Freed<'a> {
    fn new((open, owed): (&[Resources], &[Resources]), home: &'a Room, shape: &'a Shape) -> Self {
        let mut freed = Self {
            home,
            open: home.iter().map(|(w, _)| (*w, open[*w])).collect(),
            owed: home.iter().map(|(w, _)| (*w, owed[*w])).collect(),
            limit: home.iter().copied().collect(),
            shape,
            slots: 0,
        };
        freed.slots = home.iter().map(|(worker, _)| freed.slots_on(*worker)).sum();
        freed
    }

    fn amount(&self, worker: usize) -> Resources {
        let open = self.open[&worker].saturating_minus(self.owed[&worker]);
        self.limit[&worker].min(open)
    }

    fn slots_on(&self, worker: usize) -> u64 {
        u64::from(
            self.amount(worker)
                .times(self.shape.per_task())
                .min(self.shape.tasks),
        )
    }

    fn add(&mut self, room: &Room) {
        self.change(room, Resources::plus);
    }

    fn remove(&mut self, room: &Room) {
        self.change(room, Resources::saturating_minus);
    }

    fn change(&mut self, room: &Room, change: fn(Resources, Resources) -> Resources) {
        for (worker, amount) in room {
            if !self.open.contains_key(worker) {
                continue;
            }
            self.slots -= self.slots_on(*worker);
            if let Some(open) = self.open.get_mut(worker) {
                *open = change(*open, *amount);
            }
            self.slots += self.slots_on(*worker);
        }
    }

    fn room(&self) -> Room {
        self.home
            .iter()
            .map(|(worker, _)| (*worker, self.amount(*worker)))
            .collect()
    }
}
