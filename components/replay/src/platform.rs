//! What workers and agents do with the actions of the decision code.

use std::sync::Arc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use model::{Gang, GangId, Member, Planned, Running, WorkerId};
use placement::StopReason;

use crate::execution::{Execution, Free, RunOutcome, Stopping};
use crate::options::Options;
use crate::trace::{Behaviour, Submit};

/// Workers, reservations and running gangs.
#[derive(Debug)]
pub(crate) struct Platform {
    options: Options,
    pub(crate) lost: IndexSet<WorkerId>,
    failing: IndexSet<WorkerId>,
    reserving: IndexMap<GangId, Arc<Gang<Planned>>>,
    running: IndexMap<GangId, Execution<Free>>,
    stopping: IndexMap<GangId, Execution<Stopping>>,
    /// Reservations by gang, from `Reserve` to `Free` or `Release`.
    pub(crate) held: IndexMap<GangId, Vec<Member>>,
}

impl Platform {
    pub(crate) fn new(options: Options) -> Self {
        Self {
            options,
            lost: IndexSet::new(),
            failing: IndexSet::new(),
            reserving: IndexMap::new(),
            running: IndexMap::new(),
            stopping: IndexMap::new(),
            held: IndexMap::new(),
        }
    }

    pub(crate) fn reserve(&mut self, gang: Arc<Gang<Planned>>) {
        self.held.insert(gang.id, gang.members.clone());
        self.reserving.insert(gang.id, gang);
    }

    /// Returns the gang whose reservation agents answer now.
    pub(crate) fn reservation(&self, id: GangId) -> Option<&Arc<Gang<Planned>>> {
        self.reserving.get(&id)
    }

    pub(crate) fn answer_reservation(&mut self, id: GangId) -> Option<Arc<Gang<Planned>>> {
        self.reserving.swap_remove(&id)
    }

    pub(crate) fn release(&mut self, id: GangId) {
        self.reserving.swap_remove(&id);
        self.held.swap_remove(&id);
    }

    pub(crate) fn free(&mut self, id: GangId) {
        self.held.swap_remove(&id);
    }

    pub(crate) fn lost_member<'a>(&self, members: &'a [Member]) -> Option<&'a Member> {
        members
            .iter()
            .find(|member| self.lost.contains(&member.worker))
    }

    /// Starts a gang and returns when it ends by itself.
    pub(crate) fn start(
        &mut self,
        gang: Arc<Gang<Running>>,
        submit: &Submit,
        done: Duration,
        at: Duration,
    ) -> Duration {
        let left = submit.true_run_time().saturating_sub(done);
        let (after, end) = self.plan_end(&gang.members, &submit.behaviour, left);
        let execution = Execution {
            started: at,
            ends: at + after,
            state: Free { end },
            gang,
        };
        let ends = execution.ends;
        self.running.insert(execution.gang.id, execution);
        ends
    }

    fn plan_end(
        &self,
        members: &[Member],
        behaviour: &Behaviour,
        left: Duration,
    ) -> (Duration, RunOutcome) {
        if self.lost_member(members).is_some() {
            return (self.options.gang_lease_term, RunOutcome::MemberLost);
        }
        let culprit = members.iter().find(|member| {
            self.failing.contains(&member.worker) || fails_on(behaviour, &member.worker)
        });
        match culprit {
            Some(member) => (
                self.options.failure_delay.min(left),
                RunOutcome::Failed(member.worker.clone()),
            ),
            None => (left, RunOutcome::Answered),
        }
    }

    /// Tells a running gang to stop and returns its new state, unless it was told before.
    pub(crate) fn stop(
        &mut self,
        id: GangId,
        reason: StopReason,
        at: Duration,
    ) -> Option<&Execution<Stopping>> {
        if reason == StopReason::Cancelled
            && let Some(run) = self.stopping.get_mut(&id)
        {
            // A cancelled job must not run again after its reclaim.
            run.state.reason = reason;
            return None;
        }
        let execution = self.running.swap_remove(&id)?;
        let ends = at + self.options.stop_delay;
        self.stopping.insert(id, execution.stop(reason, ends));
        self.stopping.get(&id)
    }

    /// Ends a gang if its end is due.
    pub(crate) fn end(&mut self, id: GangId, at: Duration) -> Option<Execution<RunOutcome>> {
        if self.running.get(&id).is_some_and(|run| run.ends == at) {
            let run = self.running.swap_remove(&id)?;
            let end = run.state.end.clone();
            return Some(run.ended(end));
        }
        if self.stopping.get(&id).is_some_and(|run| run.ends == at) {
            let run = self.stopping.swap_remove(&id)?;
            let end = RunOutcome::Stopped(run.state.reason);
            return Some(run.ended(end));
        }
        None
    }

    /// Loses a worker and returns the gangs whose end moved.
    pub(crate) fn lose(&mut self, worker: &WorkerId, at: Duration) -> Vec<(GangId, Duration)> {
        self.lost.insert(worker.clone());
        let ends = at + self.options.gang_lease_term;
        self.move_ends(worker, ends, &RunOutcome::MemberLost)
    }

    /// Makes a worker fail every task and returns the gangs whose end moved.
    pub(crate) fn start_failing(
        &mut self,
        worker: &WorkerId,
        at: Duration,
    ) -> Vec<(GangId, Duration)> {
        self.failing.insert(worker.clone());
        let ends = at + self.options.failure_delay;
        self.move_ends(worker, ends, &RunOutcome::Failed(worker.clone()))
    }

    /// Returns a worker in good health.
    pub(crate) fn repair(&mut self, worker: &WorkerId) {
        self.lost.swap_remove(worker);
        self.failing.swap_remove(worker);
    }

    fn move_ends(
        &mut self,
        worker: &WorkerId,
        ends: Duration,
        end: &RunOutcome,
    ) -> Vec<(GangId, Duration)> {
        let mut moved = Vec::new();
        for run in self.running.values_mut() {
            let member = run.gang.members.iter().any(|m| m.worker == *worker);
            // A lost worker never reports success, even when its task had little left to do.
            if member && (*end == RunOutcome::MemberLost || ends < run.ends) {
                run.ends = ends;
                run.state.end = end.clone();
                moved.push((run.gang.id, ends));
            }
        }
        moved
    }
}

fn fails_on(behaviour: &Behaviour, worker: &WorkerId) -> bool {
    match behaviour {
        Behaviour::EndsWell => false,
        Behaviour::FailsAlways => true,
        Behaviour::FailsOn(workers) => workers.contains(worker),
    }
}
