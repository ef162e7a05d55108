//! Approvals of workers by an external advisor, for queues that need them.

use std::time::Duration;

use indexmap::IndexMap;
use model::{AgentId, Incarnation, JobId};

use crate::claims::ResourcesByWorker;
use crate::job::{Phase, UnitId};
use crate::scheduler::Scheduler;
use crate::worker::Worker;

/// The most workers in one question: the advisor takes longer for each.
const MAX_WORKERS_PER_REQUEST: usize = 30;
/// A step whose question was not answered is asked about again after this time.
const REQUEST_RETRY_INTERVAL: Duration = Duration::from_secs(2);
/// An approval is used only if it is valid for this long, the time that an order takes to reach its worker.
const MIN_REMAINING_VALIDITY: Duration = Duration::from_millis(400);

/// Names a step of one occurrence of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct StepId {
    /// The job.
    pub job: JobId,
    /// The occurrence.
    pub occurrence: u32,
    /// The step.
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
}

/// A question to the advisor: which of these workers may run a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ApprovalRequest {
    /// The step.
    pub step: StepId,
    /// Names of the workers.
    pub workers: Vec<Box<str>>,
}

/// What is known of the approvals of a step.
#[derive(Debug, Clone, Default)]
pub(crate) struct Approvals {
    requested_at: Option<Duration>,
    granted: IndexMap<AgentId, Approval>,
}

/// The approval of one worker.
#[derive(Debug, Clone)]
struct Approval {
    ticket: Box<str>,
    incarnation: Option<Incarnation>,
    valid_until: Duration,
}

impl Scheduler {
    /// Returns the ticket with which a step may start on a worker.
    pub(crate) fn ticket(&self, step: StepId, worker: &Worker, now: Duration) -> Option<Box<str>> {
        let approval = self.approvals.get(&step)?.granted.get(&worker.agent)?;
        let valid = approval.incarnation == worker.incarnation
            && now + MIN_REMAINING_VALIDITY < approval.valid_until;
        valid.then(|| approval.ticket.clone())
    }

    /// Takes the questions that have to be asked for units that wait.
    pub fn take_approval_requests(&mut self, now: Duration) -> Vec<ApprovalRequest> {
        let mut questions = Vec::new();
        for step in self.unapproved_steps(now) {
            let workers = self.workers_to_approve(step, now);
            if workers.is_empty() {
                continue;
            }
            let approvals = self.approvals.entry(step).or_default();
            approvals.requested_at = Some(now);
            questions.push(ApprovalRequest { step, workers });
        }
        questions
    }

    /// Returns the steps with waiting units that need an approval and have no valid one.
    fn unapproved_steps(&self, now: Duration) -> Vec<StepId> {
        let mut steps = Vec::new();
        for job in self.jobs.values() {
            if !job.policy.needs_approval || job.end.is_some() || job.awaiting_adoption {
                continue;
            }
            let waits = |(id, unit): &(&UnitId, &crate::job::Unit)| {
                unit.phase == Phase::Waiting && job.is_unblocked(**id)
            };
            for (id, _) in job.units.iter().filter(waits) {
                let step = StepId::of(job.id, *id);
                if !steps.contains(&step) && self.needs_request(step, now) {
                    steps.push(step);
                }
            }
        }
        steps
    }

    fn needs_request(&self, step: StepId, now: Duration) -> bool {
        let Some(approvals) = self.approvals.get(&step) else {
            return true;
        };
        let asked = approvals
            .requested_at
            .is_some_and(|at| now < at + REQUEST_RETRY_INTERVAL);
        let mut workers = self.workers.values();
        !asked && !workers.any(|worker| self.ticket(step, worker, now).is_some())
    }

    /// Returns the workers with the most free accelerators that may run a step.
    fn workers_to_approve(&self, step: StepId, now: Duration) -> Vec<Box<str>> {
        let Some(job) = self.jobs.get(&step.job) else {
            return Vec::new();
        };
        let id = UnitId {
            occurrence: step.occurrence,
            step: step.step,
            first: 0,
        };
        let Some(unit) = job.units.get(&id) else {
            return Vec::new();
        };
        let free = self.free_resources();
        let open = self.available_resources(&free, &ResourcesByWorker::new());
        let mut candidates = self.eligible_candidates(job, (id, unit), &open, now);
        candidates.sort_by_key(|candidate| std::cmp::Reverse(candidate.free.accelerators));
        let chosen = candidates.into_iter().take(MAX_WORKERS_PER_REQUEST);
        let name = |agent: AgentId| self.workers.get(&agent).map(|worker| worker.name.clone());
        let names = chosen.filter_map(|candidate| name(candidate.agent));
        names.filter(|name| !name.is_empty()).collect()
    }

    /// Takes the answer of the advisor: names of workers with their tickets, valid from `asked_at` for `validity`.
    pub fn record_approvals(
        &mut self,
        step: StepId,
        tickets: &[(Box<str>, Box<str>)],
        asked_at: Duration,
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
                valid_until: asked_at + validity,
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
        approvals.granted = granted;
    }

    /// Forgets the approvals of steps that have ended.
    pub(crate) fn forget_approvals(&mut self) {
        let jobs = &self.jobs;
        self.approvals
            .retain(|step, _| jobs.get(&step.job).is_some_and(|job| job.end.is_none()));
    }
}
