//! Approvals by the external advisor, a service that authorizes the steps of some queues to run on certain workers. It
//! issues a ticket for each step and worker, which the start order passes on to the worker.

use std::time::Duration;

use indexmap::IndexMap;
use model::{AgentId, Incarnation, JobId};

use crate::fit::Candidate;
use crate::job::{Job, UnitId};
use crate::reservations::WorkerResources;
use crate::scheduler::Scheduler;
use crate::worker::Worker;

/// Maximum number of workers in one request, because the response time of the advisor grows with it.
const MAX_WORKERS_PER_REQUEST: usize = 30;
/// Maximum number of occurrences of a step that hold or request an approval while they wait; the advisor answers one
/// request after the other.
const MAX_APPROVED_OCCURRENCES: usize = 16;
/// Maximum number of requests without a response. The advisor rejects more than 32 that wait, and a job may have thousands of steps.
const MAX_PENDING_REQUESTS: usize = 32;
/// A request without a response is repeated after this time.
const REQUEST_RETRY_INTERVAL: Duration = Duration::from_secs(2);
/// An approval is used only if it stays valid for this long, the time that a start order takes to reach the worker.
const MIN_REMAINING_VALIDITY: Duration = Duration::from_millis(400);

/// Identifies a step of one occurrence of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct StepId {
    /// The id of the job.
    pub job: JobId,
    /// The occurrence, from 0.
    pub occurrence: u32,
    /// The step, from 0.
    pub step: u32,
}

impl StepId {
    /// Returns the step of a unit.
    pub(crate) fn of(job: JobId, unit: UnitId) -> Self {
        Self {
            job,
            occurrence: unit.occurrence,
            step: unit.step,
        }
    }

    /// Returns the first unit of the step, which stands for all of them.
    fn first_unit(self) -> UnitId {
        UnitId {
            occurrence: self.occurrence,
            step: self.step,
            first: 0,
        }
    }
}

/// Asks the advisor which of these workers may run a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ApprovalRequest {
    /// The step to be approved.
    pub step: StepId,
    /// Names of the workers.
    pub workers: Vec<Box<str>>,
}

/// The approvals of a step and the latest request for them.
#[derive(Debug, Clone, Default)]
pub(crate) struct Approvals {
    requested_at: Option<Duration>,
    /// When each worker was last part of a request.
    asked: IndexMap<AgentId, Duration>,
    granted: IndexMap<AgentId, Approval>,
}

/// Permission for a step to run on one worker, bound to its incarnation.
#[derive(Debug, Clone)]
struct Approval {
    ticket: Box<str>,
    incarnation: Option<Incarnation>,
    valid_until: Duration,
}

impl Scheduler {
    /// Returns the ticket of a valid approval for a step to start on a worker.
    pub(crate) fn ticket(&self, step: StepId, worker: &Worker, now: Duration) -> Option<Box<str>> {
        let approval = self.approvals.get(&step)?.granted.get(&worker.agent)?;
        let valid = approval.incarnation == worker.incarnation
            && now + MIN_REMAINING_VALIDITY < approval.valid_until;
        valid.then(|| approval.ticket.clone())
    }

    /// Returns the requests to send for units whose dependencies are done, and records that they were sent.
    pub fn take_approval_requests(&mut self, now: Duration) -> Vec<ApprovalRequest> {
        let mut requests = Vec::new();
        let mut jobs = self.jobs.values();
        if !jobs.any(|job| job.policy.needs_approval) {
            return requests;
        }
        let is_pending = |approvals: &&Approvals| {
            let requested_at = approvals.requested_at;
            approvals.granted.is_empty()
                && requested_at.is_some_and(|at| now < at + REQUEST_RETRY_INTERVAL)
        };
        let pending = self.approvals.values().filter(is_pending).count();
        let allowed = MAX_PENDING_REQUESTS.saturating_sub(pending);
        if allowed == 0 {
            return requests;
        }
        let free = self.fleet_resources().free;
        for step in self.unapproved_steps(&free, allowed, now) {
            let agents = self.workers_to_approve(step, &free, now);
            let known = agents.iter().filter_map(|agent| self.workers.get(agent));
            let workers: Vec<Box<str>> = known.map(|worker| worker.name.clone()).collect();
            if workers.is_empty() {
                continue;
            }
            let approvals = self.approvals.entry(step).or_default();
            approvals.requested_at = Some(now);
            let asked = agents.into_iter().map(|agent| (agent, now));
            approvals.asked.extend(asked);
            requests.push(ApprovalRequest { step, workers });
        }
        requests
    }

    /// Returns the steps that need an approval request and have waiting units whose dependencies are done. Of the
    /// occurrences of a step, only the first ones are considered, and `limit` steps at most are returned.
    fn unapproved_steps(&self, free: &WorkerResources, limit: usize, now: Duration) -> Vec<StepId> {
        let mut steps = Vec::new();
        for job in self.jobs.values() {
            if !job.policy.needs_approval || job.end.is_some() || job.awaiting_recovery {
                continue;
            }
            for step in job.ready.steps() {
                let occurrences = job.ready.occurrences_of(step);
                for occurrence in occurrences.take(MAX_APPROVED_OCCURRENCES) {
                    let step = StepId {
                        job: job.id,
                        occurrence,
                        step,
                    };
                    if self.needs_request(job, step, free, now) {
                        steps.push(step);
                    }
                    if steps.len() == limit {
                        return steps;
                    }
                }
            }
        }
        steps
    }

    /// Returns whether a step has no request that was sent recently, and no room on the workers with valid approvals while one
    /// without has room.
    fn needs_request(
        &self,
        job: &Job,
        step: StepId,
        free: &WorkerResources,
        now: Duration,
    ) -> bool {
        let Some(approvals) = self.approvals.get(&step) else {
            return true;
        };
        let is_pending = approvals
            .requested_at
            .is_some_and(|at| now < at + REQUEST_RETRY_INTERVAL);
        if is_pending {
            return false;
        }
        let id = step.first_unit();
        let Some(unit) = job.units.get(&id) else {
            return false;
        };
        let candidates = self.eligible_candidates(job, (id, unit), free, now);
        let is_approved =
            |candidate: &&Candidate<'_>| self.ticket(step, candidate.worker, now).is_some();
        let (approved, others): (Vec<_>, Vec<_>) = candidates.iter().partition(is_approved);
        let slots = approved.iter().map(|candidate| candidate.slots);
        let has_room = slots.fold(0, u32::saturating_add) >= unit.tasks;
        let others_have_room = others.iter().any(|candidate| candidate.slots > 0);
        approved.is_empty() || (!has_room && others_have_room)
    }

    /// Returns the workers to include in a request: those that may run the step, with the most free accelerators first. Those
    /// that were asked about in vain come after the others, because only a part of a large fleet fits into one request.
    fn workers_to_approve(
        &self,
        step: StepId,
        free: &WorkerResources,
        now: Duration,
    ) -> Vec<AgentId> {
        let Some(job) = self.jobs.get(&step.job) else {
            return Vec::new();
        };
        let id = step.first_unit();
        let Some(unit) = job.units.get(&id) else {
            return Vec::new();
        };
        let approvals = self.approvals.get(&step);
        let asked_at = |candidate: &Candidate<'_>| {
            let agent = &candidate.worker.agent;
            let approvals = approvals.filter(|approvals| !approvals.granted.contains_key(agent));
            approvals?.asked.get(agent).copied()
        };
        let mut candidates = self.eligible_candidates(job, (id, unit), free, now);
        candidates.retain(|candidate| !candidate.worker.name.is_empty());
        candidates.sort_by_key(|candidate| {
            (
                asked_at(candidate),
                std::cmp::Reverse(candidate.free.accelerators),
            )
        });
        let chosen = candidates.into_iter().take(MAX_WORKERS_PER_REQUEST);
        chosen
            .map(|candidate| candidate.worker.agent.clone())
            .collect()
    }

    /// Records the response of the advisor: worker names with their tickets, valid for `validity` from `requested_at`.
    pub fn record_approvals(
        &mut self,
        step: StepId,
        tickets: &[(Box<str>, Box<str>)],
        requested_at: Duration,
        validity: Duration,
    ) {
        let mut granted = IndexMap::new();
        for (name, ticket) in tickets {
            let worker = self.workers.values().find(|worker| worker.name == *name);
            let Some(worker) = worker else {
                continue;
            };
            let approval = Approval {
                ticket: ticket.clone(),
                incarnation: worker.incarnation,
                valid_until: requested_at + validity,
            };
            granted.insert(worker.agent.clone(), approval);
        }
        log::info!(
            target: "limpethook",
            job:% = format_args!("{:016x}", step.job), step = step.step, approved = granted.len(),
            validity_ms = validity.as_millis();
            "step_approved"
        );
        let approvals = self.approvals.entry(step).or_default();
        approvals.granted.extend(granted);
        self.plan_needed = true;
    }

    /// Removes the approvals of jobs that have ended.
    pub(crate) fn drop_ended_approvals(&mut self) {
        let jobs = &self.jobs;
        self.approvals
            .retain(|step, _| jobs.get(&step.job).is_some_and(|job| job.end.is_none()));
    }
}
