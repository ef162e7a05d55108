//! A simulation of workers and agents that execute the actions of the decision code.

use std::sync::Arc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use model::{Gang, GangId, Member, Planned, Running, WorkerId};
use placement::StopReason;

use crate::execution::{Active, Execution, RunOutcome, Stopping};
use crate::options::Options;
use crate::trace::{Behaviour, Submit};

/// Workers, reservations and running gangs.
#[derive(Debug)]
pub(crate) struct Platform {
    options: Options,
    pub(crate) lost_workers: IndexSet<WorkerId>,
    failing_workers: IndexSet<WorkerId>,
    pending_reservations: IndexMap<GangId, Arc<Gang<Planned>>>,
    running: IndexMap<GangId, Execution<Active>>,
    stopping: IndexMap<GangId, Execution<Stopping>>,
    /// The reserved members of each gang, from `Reserve` to `Free` or `Release`.
    pub(crate) reservations: IndexMap<GangId, Vec<Member>>,
}

impl Platform {
    pub(crate) fn new(options: Options) -> Self {
        Self {
            options,
            lost_workers: IndexSet::new(),
            failing_workers: IndexSet::new(),
            pending_reservations: IndexMap::new(),
            running: IndexMap::new(),
            stopping: IndexMap::new(),
            reservations: IndexMap::new(),
        }
    }

    pub(crate) fn reserve(&mut self, gang: Arc<Gang<Planned>>) {
        self.reservations.insert(gang.id, gang.members.clone());
        self.pending_reservations.insert(gang.id, gang);
    }

    /// Returns a gang whose reservation request has not been answered.
    pub(crate) fn pending_reservation(&self, id: GangId) -> Option<&Arc<Gang<Planned>>> {
        self.pending_reservations.get(&id)
    }

    pub(crate) fn take_pending_reservation(&mut self, id: GangId) -> Option<Arc<Gang<Planned>>> {
        self.pending_reservations.swap_remove(&id)
    }

    pub(crate) fn release(&mut self, id: GangId) {
        self.pending_reservations.swap_remove(&id);
        self.reservations.swap_remove(&id);
    }

    pub(crate) fn free(&mut self, id: GangId) {
        self.reservations.swap_remove(&id);
    }

    pub(crate) fn lost_member<'a>(&self, members: &'a [Member]) -> Option<&'a Member> {
        members
            .iter()
            .find(|member| self.lost_workers.contains(&member.worker))
    }

    /// Starts a gang and returns when it ends by itself.
    pub(crate) fn start(
        &mut self,
        gang: Arc<Gang<Running>>,
        submit: &Submit,
        checkpointed: Duration,
        at: Duration,
    ) -> Duration {
        let remaining = submit.true_run_time().saturating_sub(checkpointed);
        let (run_time, outcome) = self.predict_end(&gang.members, &submit.behaviour, remaining);
        let execution = Execution {
            started: at,
            ends: at + run_time,
            state: Active { outcome },
            gang,
        };
        let ends = execution.ends;
        self.running.insert(execution.gang.id, execution);
        ends
    }

    /// Returns the run time and the outcome of a gang that starts now.
    fn predict_end(
        &self,
        members: &[Member],
        behaviour: &Behaviour,
        remaining: Duration,
    ) -> (Duration, RunOutcome) {
        if self.lost_member(members).is_some() {
            return (self.options.gang_lease_term, RunOutcome::MemberLost);
        }
        let failing_member = members.iter().find(|member| {
            self.failing_workers.contains(&member.worker) || fails_on(behaviour, &member.worker)
        });
        match failing_member {
            Some(member) => (
                self.options.failure_delay.min(remaining),
                RunOutcome::Failed(member.worker.clone()),
            ),
            None => (remaining, RunOutcome::Answered),
        }
    }

    /// Stops a gang and returns its execution, or `None` if it is not running or is stopping already.
    pub(crate) fn stop(
        &mut self,
        id: GangId,
        reason: StopReason,
        at: Duration,
    ) -> Option<&Execution<Stopping>> {
        if reason == StopReason::Cancelled
            && let Some(run) = self.stopping.get_mut(&id)
        {
            // A job that is cancelled while it is being reclaimed must not be restarted.
            run.state.reason = reason;
            return None;
        }
        let execution = self.running.swap_remove(&id)?;
        let ends = at + self.options.stop_delay;
        self.stopping.insert(id, execution.stop(reason, ends));
        self.stopping.get(&id)
    }

    /// Ends a gang if its end is scheduled for this time.
    pub(crate) fn end_gang(&mut self, id: GangId, at: Duration) -> Option<Execution<RunOutcome>> {
        if self.running.get(&id).is_some_and(|run| run.ends == at) {
            let run = self.running.swap_remove(&id)?;
            let outcome = run.state.outcome.clone();
            return Some(run.end(outcome));
        }
        if self.stopping.get(&id).is_some_and(|run| run.ends == at) {
            let run = self.stopping.swap_remove(&id)?;
            let outcome = RunOutcome::Stopped(run.state.reason);
            return Some(run.end(outcome));
        }
        None
    }

    /// Marks a worker as lost and returns the gangs with a rescheduled end.
    pub(crate) fn lose_worker(
        &mut self,
        worker: &WorkerId,
        at: Duration,
    ) -> Vec<(GangId, Duration)> {
        self.lost_workers.insert(worker.clone());
        let ends = at + self.options.gang_lease_term;
        self.reschedule_ends(worker, ends, &RunOutcome::MemberLost)
    }

    /// Makes a worker fail every task and returns the gangs with a rescheduled end.
    pub(crate) fn fail_worker(
        &mut self,
        worker: &WorkerId,
        at: Duration,
    ) -> Vec<(GangId, Duration)> {
        self.failing_workers.insert(worker.clone());
        let ends = at + self.options.failure_delay;
        self.reschedule_ends(worker, ends, &RunOutcome::Failed(worker.clone()))
    }

    /// Restores a lost or failing worker.
    pub(crate) fn repair_worker(&mut self, worker: &WorkerId) {
        self.lost_workers.swap_remove(worker);
        self.failing_workers.swap_remove(worker);
    }

    fn reschedule_ends(
        &mut self,
        worker: &WorkerId,
        ends: Duration,
        outcome: &RunOutcome,
    ) -> Vec<(GangId, Duration)> {
        let mut rescheduled = Vec::new();
        for run in self.running.values_mut() {
            let is_member = run.gang.members.iter().any(|m| m.worker == *worker);
            // A lost worker cannot report success, even if its task was about to finish.
            if is_member && (*outcome == RunOutcome::MemberLost || ends < run.ends) {
                run.ends = ends;
                run.state.outcome = outcome.clone();
                rescheduled.push((run.gang.id, ends));
            }
        }
        rescheduled
    }
}

fn fails_on(behaviour: &Behaviour, worker: &WorkerId) -> bool {
    match behaviour {
        Behaviour::EndsWell => false,
        Behaviour::FailsAlways => true,
        Behaviour::FailsOn(workers) => workers.contains(worker),
    }
}
