//! The reservation for the oldest blocked large job.

use std::sync::Arc;
use std::time::{Duration, Instant};

use board::Hold;
use model::{Job, Queued, Resources, Shape, gang_id};

use crate::cx::Cx;
use crate::fit::{fill, slots};
use crate::fleet::{held_by, is_firm};
use crate::layout::{Room, Spots};
use crate::order::{expected_end, run_time};
use crate::rooms::Rooms;

/// The reservation is planned anew when it is this late, since the estimates it rests on were wrong.
const LATE: Duration = Duration::from_hours(1);
/// Blocked jobs for which a window is searched in one step.
const DRAIN_SEARCHES: usize = 4;

/// Capacity that a gang is expected to give back.
struct Return {
    at: Instant,
    worker: usize,
    amount: Resources,
    /// Whether the amount also becomes spare.
    spare: bool,
}

/// A window with the time at which it is expected to hold the job.
struct Window {
    at: Instant,
    spots: Spots,
    surplus: f64,
}

/// Drops a reservation that lost its job or is overdue.
pub(crate) fn review(cx: &mut Cx) {
    let stale = cx
        .fleet
        .drain
        .as_ref()
        .is_some_and(|drain| !cx.is_queued(drain.job) || cx.now > drain.at + LATE);
    if stale {
        cx.fleet.drain = None;
    }
}

/// Returns whether the reserved window can run its job now.
pub(crate) fn is_ready(cx: &Cx, rooms: &Rooms, hold: &Hold) -> bool {
    let firm = is_firm(&cx.queue, hold.job);
    if firm && rooms.shortfall {
        return false;
    }
    hold.spots.iter().all(|(worker, tasks)| {
        let need = hold.per_task.scaled(*tasks);
        rooms.masks.allows(*worker, false)
            && rooms.open[*worker].checked_minus(need).is_some()
            && (!firm || cx.fleet.spare[*worker].checked_minus(need).is_some())
    })
}

/// Reserves a window for the oldest blocked job that needs a whole worker or more, or else for the oldest blocked job.
pub(crate) fn reserve_window(cx: &mut Cx, rooms: &mut Rooms, blocked: &[Arc<Job<Queued>>]) {
    if cx.fleet.drain.is_some() {
        return;
    }
    let limit = cx
        .fleet
        .workers
        .values()
        .map(|worker| worker.capacity.accelerators)
        .max()
        .unwrap_or_default();
    let is_small = |job: &Job<Queued>| {
        let shape = job.request.shape.unwrap_or_default();
        shape.total().accelerators < limit.max(1)
    };
    let mut order: Vec<&Arc<Job<Queued>>> = blocked.iter().collect();
    order.sort_by_key(|job| (is_small(job), job.attempt, job.accepted));
    let returns = if order.is_empty() {
        Vec::new()
    } else {
        returns(cx)
    };
    for job in order.into_iter().take(DRAIN_SEARCHES) {
        let shape = job.request.shape.unwrap_or_default();
        if let Some(window) = best_window(cx, rooms, job, &shape, &returns) {
            cx.fleet.drain = Some(Arc::new(Hold {
                job: job.id(),
                gang: gang_id(job.id(), job.attempt),
                spots: window.spots,
                per_task: shape.per_task(),
                at: window.at,
            }));
            rooms.note_drain(cx);
            return;
        }
    }
}

/// Returns what gangs are expected to give back, soonest first.
fn returns(cx: &Cx) -> Vec<Return> {
    let mut returns = Vec::new();
    for gang in cx.fleet.running.values() {
        let job = cx.queue.active.get(&gang.job);
        let at = if cx.fleet.stopping.contains(&gang.id) {
            cx.now
        } else {
            expected_end(cx.history, job.map(AsRef::as_ref), gang, cx.now)
        };
        let spare = !cx.fleet.charged.contains_key(&gang.id) && is_firm(&cx.queue, gang.job);
        add(&mut returns, held_by(&cx.fleet, &gang.members), at, spare);
    }
    for gang in cx.fleet.planned.values() {
        let expected = cx
            .queue
            .placed
            .get(&gang.job)
            .and_then(|job| run_time(cx.history, &job.request));
        let at = cx.now + expected.unwrap_or(LATE);
        let spare = !cx.fleet.charged.contains_key(&gang.id) && is_firm(&cx.queue, gang.job);
        add(&mut returns, held_by(&cx.fleet, &gang.members), at, spare);
    }
    returns.sort_by_key(|back| back.at);
    returns
}

fn add(returns: &mut Vec<Return>, room: Room, at: Instant, spare: bool) {
    returns.extend(room.into_iter().map(|(worker, amount)| Return {
        at,
        worker,
        amount,
        spare,
    }));
}

/// Returns the window of the widest allowed level with the best score of surplus and wait.
fn best_window(
    cx: &Cx,
    rooms: &mut Rooms,
    job: &Job<Queued>,
    shape: &Shape,
    returns: &[Return],
) -> Option<Window> {
    let firm = is_firm(&cx.queue, job.id());
    let needs_proven = rooms.masks.needs_proven(cx, shape, firm);
    let parts = cx.fleet.workers.len();
    let mut by_part: Vec<Vec<&Return>> = (0..parts).map(|_| Vec::new()).collect();
    for back in returns {
        by_part[cx.layout.part(back.worker, shape.adjacency)].push(back);
    }
    let all: Room = rooms.open.iter().copied().enumerate().collect();
    let policy = &cx.document.policy;
    let mut best: Option<(f64, Window)> = None;
    for range in cx.layout.windows(&all, shape.adjacency) {
        let part = cx.layout.part(range.start, shape.adjacency);
        let mut future = Future {
            start: range.start,
            free: rooms.open[range.clone()].to_vec(),
            owed: &rooms.owed[range.clone()],
            spare: firm.then(|| cx.fleet.spare[range.clone()].to_vec()),
            allowed: range
                .map(|worker| rooms.masks.allows(worker, needs_proven))
                .collect(),
            shape,
        };
        let Some(window) = future.first_fit(&by_part[part], cx.now) else {
            continue;
        };
        let wait = window.at.saturating_duration_since(cx.now).as_secs_f64() / LATE.as_secs_f64();
        let score = policy.completion_weight * wait + policy.fragmentation_weight * window.surplus;
        if best.as_ref().is_none_or(|(lowest, _)| score < *lowest) {
            best = Some((score, window));
        }
    }
    best.map(|(_, window)| window)
}

/// The expected capacity of one window while gangs end.
struct Future<'a> {
    start: usize,
    free: Vec<Resources>,
    /// Resources that holds take from what gangs give back.
    owed: &'a [Resources],
    /// Spare resources, if the job may not be stopped.
    spare: Option<Vec<Resources>>,
    allowed: Vec<bool>,
    shape: &'a Shape,
}

impl Future<'_> {
    fn amount(&self, at: usize) -> Resources {
        let free = self.free[at].saturating_minus(self.owed[at]);
        match &self.spare {
            _ if !self.allowed[at] => Resources::default(),
            Some(spare) => free.min(spare[at]),
            None => free,
        }
    }

    fn slots_on(&self, at: usize) -> u64 {
        let slots = self.amount(at).times(self.shape.per_task());
        u64::from(slots.min(self.shape.tasks))
    }

    fn first_fit(&mut self, returns: &[&Return], now: Instant) -> Option<Window> {
        let tasks = u64::from(self.shape.tasks);
        let mut slots: u64 = (0..self.free.len()).map(|at| self.slots_on(at)).sum();
        let mut time = now;
        for back in returns {
            if slots >= tasks {
                break;
            }
            let at = back.worker - self.start;
            slots -= self.slots_on(at);
            self.free[at] = self.free[at].plus(back.amount);
            if back.spare
                && let Some(spare) = &mut self.spare
            {
                spare[at] = spare[at].plus(back.amount);
            }
            slots += self.slots_on(at);
            time = back.at;
        }
        if slots < tasks {
            return None;
        }
        self.window(slots, time)
    }

    #[expect(
        clippy::cast_precision_loss,
        reason = "the counts stay far below the mantissa"
    )]
    fn window(&self, total: u64, at: Instant) -> Option<Window> {
        let room: Room = (0..self.free.len())
            .map(|at| (self.start + at, self.amount(at)))
            .collect();
        let counts = slots(&room, self.shape);
        let mut order: Vec<usize> = (0..room.len()).collect();
        order.sort_by_key(|index| std::cmp::Reverse(counts[*index]));
        let spots = fill(&room, &counts, order, self.shape.tasks)?;
        let tasks = f64::from(self.shape.tasks);
        Some(Window {
            at,
            spots,
            surplus: (total as f64 - tasks) / tasks,
        })
    }
}
