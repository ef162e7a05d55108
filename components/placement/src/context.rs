//! The state of one step.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Instant;

use board::{Blame, Fleet, History, Membership, Queue};
use errors::Error;
use model::{AccountId, Document, Gang, Job, JobId, Placed, Planned, Queued, Shape, gang_id};

use crate::actions::Action;
use crate::endpoints::EndpointSlots;
use crate::fit::members;
use crate::fleet::{allocate_resources, held_resources, is_non_preemptible, release_resources};
use crate::step::Strategy;
use crate::topology::{Assignment, Topology, assigned_resources};

/// Working copies of the sections that placement writes, and snapshots of those that it reads.
pub(crate) struct StepContext<'a> {
    pub(crate) fleet: Fleet,
    pub(crate) queue: Queue,
    pub(crate) membership: &'a Membership,
    pub(crate) document: &'a Document,
    pub(crate) history: &'a History,
    pub(crate) blame: &'a Blame,
    pub(crate) topology: Topology,
    /// Request slots of endpoints; each gang uses one slot of an endpoint of its service.
    pub(crate) slots: EndpointSlots,
    pub(crate) now: Instant,
    pub(crate) actions: Vec<Action>,
    /// Whether the claims must be reconciled with the workers, the gangs and the document.
    pub(crate) claims_stale: bool,
    /// Queued jobs that left the queue in this step. They are removed in one pass, because each removal that keeps the
    /// order takes time linear in the length of the queue.
    pub(crate) removed: HashSet<JobId>,
    /// Why jobs are infeasible, or `None` if they are feasible, cached so that a burst of equal shapes costs one
    /// search. The key contains the client account only for non-preemptible jobs under `Guarded`, where its guarantees
    /// matter.
    pub(crate) infeasible: HashMap<(Shape, Option<AccountId>), Option<Box<str>>>,
    pub(crate) strategy: Strategy,
}

impl StepContext<'_> {
    /// Returns whether a job is in the queue.
    pub(crate) fn is_queued(&self, job: JobId) -> bool {
        self.queue.queued.contains_key(&job) && !self.removed.contains(&job)
    }

    /// Removes the jobs that left the queue.
    pub(crate) fn apply_removals(&mut self) {
        if self.removed.is_empty() {
            return;
        }
        let removed = std::mem::take(&mut self.removed);
        self.queue.queued.retain(|id, _| !removed.contains(id));
    }

    /// Inserts a job into the queue, ordered by the time of acceptance.
    pub(crate) fn enqueue(&mut self, job: Job<Queued>) {
        if self.removed.contains(&job.id()) {
            self.apply_removals();
        }
        let queued = &mut self.queue.queued;
        let position = queued.partition_point(|_, other| other.accepted_at < job.accepted_at);
        queued.shift_insert(position, job.id(), Arc::new(job));
    }

    /// Adds the refusal of a job to the actions.
    pub(crate) fn refuse(&mut self, job: JobId, error: Error) {
        self.actions.push(Action::Refuse { job, error });
    }

    /// Plans a gang for a queued job, which becomes a placed job. Returns false if no endpoint of its service has a
    /// free slot.
    pub(crate) fn plan_gang(&mut self, job: &Job<Queued>, assignment: &Assignment) -> bool {
        let Some(shape) = job.request.shape else {
            return false;
        };
        let region = assignment
            .first()
            .map(|(worker, _)| self.fleet.workers[*worker].location.region.clone());
        let chosen = self
            .slots
            .allocate(self.membership, &job.request.service, region.as_ref());
        let Some((endpoint, endpoint_agent)) = chosen else {
            return false;
        };
        let gang = Arc::new(Gang {
            id: gang_id(job.id(), job.attempt),
            job: job.id(),
            attempt: job.attempt,
            members: members(&self.fleet, assignment, shape.per_task()),
            endpoint_agent,
            endpoint,
            state: Planned { at: self.now },
        });
        let non_preemptible = is_non_preemptible(&self.queue, job.id());
        allocate_resources(
            &mut self.fleet,
            gang.id,
            non_preemptible,
            &assigned_resources(assignment, shape.per_task()),
        );
        self.fleet.planned.insert(gang.id, Arc::clone(&gang));
        self.removed.insert(job.id());
        let placed = Arc::new(job.clone().place(gang.id));
        self.queue.placed.insert(job.id(), placed);
        self.actions.push(Action::Reserve(gang));
        true
    }

    /// Removes a planned gang, releases what it holds, and returns its job, which it removes from the placed jobs.
    pub(crate) fn withdraw(&mut self, gang: &Arc<Gang<Planned>>) -> Option<Job<Placed>> {
        self.fleet.planned.swap_remove(&gang.id)?;
        let non_preemptible = is_non_preemptible(&self.queue, gang.job);
        let held = held_resources(&self.fleet, &gang.members);
        release_resources(&mut self.fleet, gang.id, non_preemptible, &held);
        self.slots.release(self.membership, &gang.endpoint);
        self.actions.push(Action::Release(Arc::clone(gang)));
        let job = self.queue.placed.swap_remove(&gang.job)?;
        Some(Job::clone(&job))
    }
}
