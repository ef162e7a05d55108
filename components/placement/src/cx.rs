//! The state of one step.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Instant;

use board::{Blame, Fleet, History, Membership, Queue};
use errors::Error;
use model::{AccountId, Document, Gang, Job, JobId, Placed, Planned, Queued, Shape, gang_id};

use crate::actions::Action;
use crate::endpoints::Slots;
use crate::fit::members;
use crate::fleet::{give_back, held_by, is_firm, take};
use crate::layout::{Layout, Spots, amounts};
use crate::step::Strategy;

/// Working copies of the sections that placement writes, and snapshots of those that it reads.
pub(crate) struct Cx<'a> {
    pub(crate) fleet: Fleet,
    pub(crate) queue: Queue,
    pub(crate) membership: &'a Membership,
    pub(crate) document: &'a Document,
    pub(crate) history: &'a History,
    pub(crate) blame: &'a Blame,
    pub(crate) layout: Layout,
    pub(crate) slots: Slots,
    pub(crate) now: Instant,
    pub(crate) actions: Vec<Action>,
    /// Whether the claims must be brought in line with the workers, the gangs and the document.
    pub(crate) unsettled: bool,
    /// Queued jobs that left the queue in this step; the queue drops them in one pass, since a removal that keeps
    /// the order costs the length of the queue.
    pub(crate) gone: HashSet<JobId>,
    /// Verdicts on submitted shapes, so that a burst of equal shapes costs one search.
    pub(crate) infeasible: HashMap<(Shape, Option<AccountId>), Option<Box<str>>>,
    pub(crate) strategy: Strategy,
}

impl Cx<'_> {
    /// Returns whether a job waits in the queue.
    pub(crate) fn is_queued(&self, job: JobId) -> bool {
        self.queue.queued.contains_key(&job) && !self.gone.contains(&job)
    }

    /// Drops the jobs that left the queue.
    pub(crate) fn flush(&mut self) {
        if self.gone.is_empty() {
            return;
        }
        let gone = std::mem::take(&mut self.gone);
        self.queue.queued.retain(|id, _| !gone.contains(id));
    }

    /// Puts a job into the queue at the position of its acceptance.
    pub(crate) fn enqueue(&mut self, job: Job<Queued>) {
        if self.gone.contains(&job.id()) {
            self.flush();
        }
        let queued = &mut self.queue.queued;
        let at = queued.partition_point(|_, other| other.accepted < job.accepted);
        queued.shift_insert(at, job.id(), Arc::new(job));
    }

    /// Tells the entry that a job is refused.
    pub(crate) fn refuse(&mut self, job: JobId, error: Error) {
        self.actions.push(Action::Refuse { job, error });
    }

    /// Plans a gang for a queued job, if an endpoint of its service has a slot.
    pub(crate) fn reserve(&mut self, job: &Job<Queued>, spots: &Spots) -> bool {
        let Some(shape) = job.request.shape else {
            return false;
        };
        let region = spots
            .first()
            .map(|(worker, _)| self.fleet.workers[*worker].place.region.clone());
        let chosen = self
            .slots
            .choose(self.membership, &job.request.service, region.as_ref());
        let Some((endpoint, endpoint_agent)) = chosen else {
            return false;
        };
        let gang = Arc::new(Gang {
            id: gang_id(job.id(), job.attempt),
            job: job.id(),
            attempt: job.attempt,
            members: members(&self.fleet, spots, shape.per_task()),
            endpoint_agent,
            endpoint,
            state: Planned { at: self.now },
        });
        let firm = is_firm(&self.queue, job.id());
        take(
            &mut self.fleet,
            gang.id,
            firm,
            &amounts(spots, shape.per_task()),
        );
        self.fleet.planned.insert(gang.id, Arc::clone(&gang));
        self.gone.insert(job.id());
        let placed = Arc::new(job.clone().place(gang.id));
        self.queue.placed.insert(job.id(), placed);
        self.actions.push(Action::Reserve(gang));
        true
    }

    /// Takes back a gang that is not running yet and returns its job.
    pub(crate) fn unplan(&mut self, gang: &Arc<Gang<Planned>>) -> Option<Job<Placed>> {
        self.fleet.planned.swap_remove(&gang.id)?;
        let firm = is_firm(&self.queue, gang.job);
        let room = held_by(&self.fleet, &gang.members);
        give_back(&mut self.fleet, gang.id, firm, &room);
        self.slots.release(self.membership, &gang.endpoint);
        self.actions.push(Action::Release(Arc::clone(gang)));
        let job = self.queue.placed.swap_remove(&gang.job)?;
        Some(Job::clone(&job))
    }
}
