//! Invariants that hold after every batch, checked from the actions and not from the state of the decision code.

use std::time::Duration;

use board::Board;
use indexmap::{IndexMap, IndexSet};
use model::{Gang, GangId, JobId, Member, Resources, Running, Worker, WorkerId};
use placement::Action;

use crate::guarantee_check::{Packing, reclaimable, satisfiable};
use crate::jobs::Jobs;
use crate::platform::Platform;
use crate::report::Fault;
use crate::windows::adjacent;

/// What the checks read after a batch.
#[derive(Clone, Copy)]
pub(crate) struct Context<'a> {
    pub(crate) board: &'a Board,
    pub(crate) platform: &'a Platform,
    pub(crate) jobs: &'a Jobs<'a>,
    pub(crate) at: Duration,
}

/// Faults found so far.
#[derive(Debug, Default)]
pub(crate) struct FleetCheck {
    pub(crate) faults: Vec<Fault>,
    /// Decisions after which a guarantee could no longer be reclaimed.
    pub(crate) violations: Vec<Fault>,
    /// Packing checks that ended undecided.
    pub(crate) undecided: u32,
    /// Time in which a guarantee could not be reclaimed, for whatever reason.
    pub(crate) unreclaimable: Duration,
    /// Since when a guarantee cannot be reclaimed.
    unreclaimable_since: Option<Duration>,
    /// Gangs that hold capacity and cannot be interrupted.
    fixed: IndexSet<GangId>,
}

impl FleetCheck {
    /// Checks the board and the reservations after a batch of decisions was acted on.
    ///
    /// The packing check runs only when fixed gangs or workers changed, because nothing else changes its result.
    pub(crate) fn after_batch(&mut self, cx: &Context, actions: &[Action], membership: bool) {
        let mut reserved = false;
        let mut fixed_changed = membership;
        let mut cause = None;
        for action in actions {
            match action {
                Action::Reserve(gang) => {
                    reserved = true;
                    if let Some(line) = fixed_line(cx.jobs, gang.job) {
                        self.fixed.insert(gang.id);
                        cause.get_or_insert(line);
                    }
                }
                Action::Start(gang) => self.gang(cx, gang),
                Action::Release(gang) => fixed_changed |= self.fixed.swap_remove(&gang.id),
                Action::Free { gang } => fixed_changed |= self.fixed.swap_remove(gang),
                Action::Stop { .. } | Action::Refuse { .. } => {}
            }
        }
        if reserved {
            self.oversubscribed(cx);
        }
        if fixed_changed || cause.is_some() {
            self.guarantees(cx, cause.filter(|_| !membership));
        }
    }

    /// Checks that the guarantees can be reclaimed.
    ///
    /// `cause` is the line of a job in this batch that cannot be interrupted. Without one, a loss of workers or the end of
    /// an account's own work made a guarantee unreclaimable, which no decision of this batch could avoid.
    fn guarantees(&mut self, cx: &Context, cause: Option<usize>) {
        let (fleet, queue) = (cx.board.fleet.load(), cx.board.queue.load());
        let document = &cx.board.config.load().document;
        match reclaimable(&fleet, &queue, document) {
            Packing::Undecided => self.undecided += 1,
            Packing::Fits => {
                let since = self.unreclaimable_since.take();
                self.unreclaimable += since.map_or(Duration::ZERO, |s| cx.at.saturating_sub(s));
            }
            Packing::DoesNotFit if self.unreclaimable_since.is_some() => {}
            Packing::DoesNotFit => {
                self.unreclaimable_since = Some(cx.at);
                let possible = satisfiable(&fleet, document) == Packing::Fits;
                if let Some(line) = cause.filter(|_| possible) {
                    let message = "a guarantee cannot be reclaimed after this decision";
                    self.violations.push(Fault::new(line, cx.at, message));
                }
            }
        }
    }

    /// Checks that a gang that starts is whole, adjacent and reserved.
    fn gang(&mut self, cx: &Context, gang: &Gang<Running>) {
        let Some(job) = cx.jobs.open.get(&gang.job) else {
            return;
        };
        let shape = &job.submit.shape;
        let tasks: u32 = gang.members.iter().map(|member| member.tasks).sum();
        let per_task = gang.members.iter().all(|m| m.per_task == shape.per_task());
        let mut report = |message: &str| self.faults.push(Fault::new(job.line, cx.at, message));
        if tasks != shape.tasks || !per_task {
            report("a gang started with only part of its shape");
        }
        if cx.platform.held.get(&gang.id) != Some(&gang.members) {
            report("a gang started without a reservation on every member");
        }
        let fleet = cx.board.fleet.load();
        let workers: Vec<_> = gang
            .members
            .iter()
            .filter_map(|member| fleet.workers.get(&member.worker))
            .collect();
        let apart =
            |a: &Worker, b: &Worker| !std::ptr::eq(a, b) && !adjacent(a, b, shape.adjacency);
        if workers.iter().any(|worker| apart(workers[0], worker)) {
            report("a gang started on workers that are not adjacent");
        }
    }

    fn oversubscribed(&mut self, cx: &Context) {
        let mut used: IndexMap<&WorkerId, Resources> = IndexMap::new();
        for member in cx.platform.held.values().flatten() {
            let sum = used.entry(&member.worker).or_default();
            *sum = sum.saturating_add(Member::total(member));
        }
        let fleet = cx.board.fleet.load();
        for (id, sum) in used {
            let over = fleet
                .workers
                .get(id)
                .is_some_and(|worker| worker.capacity.checked_sub(sum).is_none());
            if over {
                let message = format!("worker {id} is oversubscribed");
                self.faults.push(Fault::new(0, cx.at, &message));
            }
        }
    }
}

/// Returns the line of a job that cannot be interrupted.
fn fixed_line(jobs: &Jobs, id: JobId) -> Option<usize> {
    let job = jobs.open.get(&id)?;
    let fixed = !job.submit.idempotent;
    fixed.then_some(job.line)
}
