//! Checks invariants after every batch, from the actions of the decision code and not from its state.

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

/// The state that the checks read.
#[derive(Clone, Copy)]
pub(crate) struct CheckContext<'a> {
    pub(crate) board: &'a Board,
    pub(crate) platform: &'a Platform,
    pub(crate) jobs: &'a Jobs<'a>,
    pub(crate) at: Duration,
}

/// The results of the checks so far.
#[derive(Debug, Default)]
pub(crate) struct InvariantChecker {
    pub(crate) faults: Vec<Fault>,
    /// Decisions after which the guarantees could not be reclaimed.
    pub(crate) violations: Vec<Fault>,
    /// Number of packing checks that reached their step limit without a result.
    pub(crate) undecided: u32,
    /// Time during which the guarantees could not be reclaimed, for any reason.
    pub(crate) unreclaimable: Duration,
    /// Set while the guarantees cannot be reclaimed.
    unreclaimable_since: Option<Duration>,
    /// Gangs that hold capacity and must not be interrupted.
    uninterruptible: IndexSet<GangId>,
}

impl InvariantChecker {
    /// Checks the board and the reservations after the actions of a batch were applied.
    ///
    /// The packing check runs only if the workers or the uninterruptible gangs changed, because its result depends on
    /// nothing else.
    pub(crate) fn check_batch(
        &mut self,
        cx: &CheckContext,
        actions: &[Action],
        membership_changed: bool,
    ) {
        let mut reserved = false;
        let mut recheck_guarantees = membership_changed;
        let mut cause = None;
        for action in actions {
            match action {
                Action::Reserve(gang) => {
                    reserved = true;
                    if let Some(line) = uninterruptible_job_line(cx.jobs, gang.job) {
                        self.uninterruptible.insert(gang.id);
                        cause.get_or_insert(line);
                    }
                }
                Action::Start(gang) => self.check_start(cx, gang),
                Action::Release(gang) => {
                    recheck_guarantees |= self.uninterruptible.swap_remove(&gang.id);
                }
                Action::Free { gang } => {
                    recheck_guarantees |= self.uninterruptible.swap_remove(gang);
                }
                Action::Stop { .. } | Action::Refuse { .. } => {}
            }
        }
        if reserved {
            self.check_oversubscription(cx);
        }
        if recheck_guarantees || cause.is_some() {
            self.check_guarantees(cx, cause.filter(|_| !membership_changed));
        }
    }

    /// Checks that the guarantees can be reclaimed.
    ///
    /// `cause` is the line of an uninterruptible job that this batch placed. Without one, the guarantees became
    /// unreclaimable because workers were lost or an account's own work ended, which no decision could have avoided.
    fn check_guarantees(&mut self, cx: &CheckContext, cause: Option<usize>) {
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

    /// Checks that a starting gang has all its tasks, on adjacent workers that are all reserved.
    fn check_start(&mut self, cx: &CheckContext, gang: &Gang<Running>) {
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
        if cx.platform.reservations.get(&gang.id) != Some(&gang.members) {
            report("a gang started without a reservation on every member");
        }
        let fleet = cx.board.fleet.load();
        let workers: Vec<_> = gang
            .members
            .iter()
            .filter_map(|member| fleet.workers.get(&member.worker))
            .collect();
        let not_adjacent =
            |a: &Worker, b: &Worker| !std::ptr::eq(a, b) && !adjacent(a, b, shape.adjacency);
        if workers
            .iter()
            .any(|worker| not_adjacent(workers[0], worker))
        {
            report("a gang started on workers that are not adjacent");
        }
    }

    fn check_oversubscription(&mut self, cx: &CheckContext) {
        let mut used: IndexMap<&WorkerId, Resources> = IndexMap::new();
        for member in cx.platform.reservations.values().flatten() {
            let sum = used.entry(&member.worker).or_default();
            *sum = sum.saturating_add(Member::total(member));
        }
        let fleet = cx.board.fleet.load();
        for (id, sum) in used {
            let oversubscribed = fleet
                .workers
                .get(id)
                .is_some_and(|worker| worker.capacity.checked_sub(sum).is_none());
            if oversubscribed {
                let message = format!("worker {id} is oversubscribed");
                self.faults.push(Fault::new(0, cx.at, &message));
            }
        }
    }
}

/// Returns the line of a job if it must not be interrupted.
fn uninterruptible_job_line(jobs: &Jobs, id: JobId) -> Option<usize> {
    let job = jobs.open.get(&id)?;
    let uninterruptible = !job.submit.idempotent;
    uninterruptible.then_some(job.line)
}
