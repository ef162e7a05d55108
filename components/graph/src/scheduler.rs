//! The state of the owner.

use std::sync::Arc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use model::{
    AcceptedJob, AccountId, AgentId, Epoch, JobEnd, JobId, JobState, QueueId, QueuePolicy, Room,
    RunNumber,
};

use crate::approvals::{Approvals, StepId};
use crate::estimates::Estimates;
use crate::job::{Job, UnitId};
use crate::progress::Progress;
use crate::reserve::UrgentDemand;
use crate::worker::Worker;

/// Bits of a run number that count the runs of one owner; the epoch stands above them.
const RUN_SEQUENCE_BITS: u32 = 20;

/// Bounds of the workers, from the settings.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// The longest lease that a worker grants.
    pub max_lease: Duration,
    /// The longest time that a stop takes.
    pub max_stop_time: Duration,
    /// Time that a task needs to resume from a checkpoint.
    pub restore_time: Duration,
    /// How many times as long a task takes on the wrong rack.
    pub slowdown: f64,
    /// How long an owner without contact to the store lets agents renew leases.
    pub store_outage_grace: Duration,
}

/// A job as the store has it.
#[derive(Debug, Clone)]
pub struct LoadedJob {
    /// The job.
    pub id: JobId,
    /// What was accepted.
    pub spec: Arc<AcceptedJob>,
    /// What is done of it.
    pub progress: Option<Progress>,
    /// Whether a cancellation is stored.
    pub cancelled: bool,
}

/// Room that is kept for a unit.
#[derive(Debug, Clone)]
pub(crate) struct Reservation {
    /// Whether what is in the way was stopped; otherwise it runs to its end.
    pub(crate) preempts: bool,
    /// Whether the unit is within a guarantee.
    pub(crate) guaranteed: bool,
    /// What a task of the unit takes.
    pub(crate) task_resources: Room,
    /// Tasks of the unit by worker.
    pub(crate) assignment: Vec<(AgentId, u32)>,
    /// The claim ends at this time.
    pub(crate) expires_at: Duration,
}

/// Decides for all workers of a cell.
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) limits: Limits,
    pub(crate) epoch: Epoch,
    pub(crate) last_run_sequence: RunNumber,
    pub(crate) workers: IndexMap<AgentId, Worker>,
    pub(crate) jobs: IndexMap<JobId, Job>,
    pub(crate) ended: IndexMap<JobId, JobEnd>,
    pub(crate) queues: IndexMap<QueueId, QueuePolicy>,
    pub(crate) guarantees: IndexMap<AccountId, u32>,
    pub(crate) reservations: IndexMap<(JobId, UnitId), Reservation>,
    /// Approvals of steps that need them.
    pub(crate) approvals: IndexMap<StepId, Approvals>,
    /// Urgent jobs that arrived of late.
    pub(crate) urgent_demand: UrgentDemand,
    /// Run times of the queues.
    pub(crate) estimates: Estimates,
    /// Times from the acceptance of jobs to their first running tasks, until they are taken.
    pub(crate) start_delays: Vec<Duration>,
    /// Counts changes of what clients are told.
    pub(crate) status_version: u64,
    /// Jobs within the guarantees of their client accounts, as of the last plan.
    pub(crate) guaranteed: IndexSet<JobId>,
    /// Agents of earlier owners that may hold runs, and until when the others wait for them.
    pub(crate) unheard: IndexSet<AgentId>,
    pub(crate) adoption_deadline: Option<Duration>,
}

impl Scheduler {
    /// Creates the state of a new owner; `roster` names the agents that earlier owners may have given tasks to.
    pub fn new(limits: Limits, epoch: Epoch, roster: IndexSet<AgentId>, now: Duration) -> Self {
        let wait = limits.store_outage_grace + lapse_after(limits.max_lease);
        Self {
            limits,
            epoch,
            last_run_sequence: 0,
            workers: IndexMap::new(),
            jobs: IndexMap::new(),
            ended: IndexMap::new(),
            queues: IndexMap::new(),
            guarantees: IndexMap::new(),
            reservations: IndexMap::new(),
            approvals: IndexMap::new(),
            urgent_demand: UrgentDemand::default(),
            estimates: Estimates::default(),
            start_delays: Vec::new(),
            status_version: 0,
            guaranteed: IndexSet::new(),
            unheard: roster,
            adoption_deadline: Some(now + wait),
        }
    }

    /// Takes the times that jobs waited for their first running tasks since the last call.
    pub fn take_start_delays(&mut self) -> Vec<Duration> {
        std::mem::take(&mut self.start_delays)
    }

    /// Notes that the owner before this one gives no permissions any more.
    pub fn previous_ended(&mut self, now: Duration) {
        let until = now + lapse_after(self.limits.max_lease);
        if let Some(adopt_until) = &mut self.adoption_deadline {
            *adopt_until = until.min(*adopt_until);
        }
    }

    /// Returns the epoch.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Takes the rules of the queues and the guaranteed accelerators of the client accounts.
    pub fn configure(
        &mut self,
        queues: IndexMap<QueueId, QueuePolicy>,
        guarantees: IndexMap<AccountId, u32>,
    ) {
        self.queues = queues;
        self.guarantees = guarantees;
        for job in self.jobs.values_mut() {
            if let Some(policy) = self.queues.get(&job.spec.queue) {
                job.policy = policy.clone();
            }
        }
    }

    /// Takes a job that was accepted while this owner leads; earlier owners never knew it.
    pub fn accept(&mut self, id: JobId, spec: Arc<AcceptedJob>, now: Duration, wall: Duration) {
        if self.jobs.contains_key(&id) || self.ended.contains_key(&id) {
            return;
        }
        self.insert_job(
            LoadedJob {
                id,
                spec,
                progress: None,
                cancelled: false,
            },
            now,
            wall,
        );
    }

    /// Takes a job that an earlier owner may have begun.
    pub fn load(&mut self, job: LoadedJob, now: Duration, wall: Duration) {
        let id = job.id;
        self.insert_job(job, now, wall);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.awaiting_adoption = self.adoption_deadline.is_some();
        }
    }

    /// Takes a job that has ended.
    pub fn load_ended(&mut self, id: JobId, end: JobEnd) {
        self.status_version += 1;
        self.ended.insert(id, end);
    }

    /// Forgets ended jobs whose records have left the store.
    pub fn forget_where(&mut self, gone: impl Fn(JobId) -> bool) {
        let before = self.ended.len();
        self.ended.retain(|id, _| !gone(*id));
        if self.ended.len() < before {
            self.status_version += 1;
        }
    }

    /// Returns a number that changes with the states of jobs and the counts of waiting jobs.
    pub fn status_version(&self) -> u64 {
        self.status_version
    }

    fn insert_job(&mut self, loaded: LoadedJob, now: Duration, wall: Duration) {
        let age = wall.saturating_sub(loaded.spec.accepted);
        let accepted_at = now.saturating_sub(age);
        let mut job = Job::new(loaded.id, loaded.spec, accepted_at, &self.estimates);
        if let Some(policy) = self.queues.get(&job.spec.queue) {
            job.policy = policy.clone();
        }
        if let Some(progress) = &loaded.progress {
            job.restore(progress);
        }
        job.create_due_occurrences(wall);
        self.urgent_demand.record(&job);
        if loaded.cancelled {
            job.end = Some(JobEnd::Cancelled);
            job.mark_changed();
        } else if job.is_complete() {
            job.end = Some(JobEnd::Completed);
            job.mark_changed();
        }
        self.jobs.insert(loaded.id, job);
        self.status_version += 1;
    }

    /// Ends a job whose cancellation is stored, and stops its tasks.
    pub fn cancel(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.end.is_some() {
            return;
        }
        job.end = Some(JobEnd::Cancelled);
        job.mark_changed();
        self.status_version += 1;
        self.stop_job(id);
    }

    /// Returns what a client is told about a job; only stored ends count.
    pub fn state(&self, id: JobId) -> Option<JobState> {
        if let Some(end) = self.ended.get(&id) {
            return Some(JobState::Ended(*end));
        }
        let job = self.jobs.get(&id)?;
        Some(match job.end {
            Some(end) if end == JobEnd::Cancelled || job.stored_version >= job.version => {
                JobState::Ended(end)
            }
            _ if job.started => JobState::Running,
            _ => JobState::Queued,
        })
    }

    /// Returns the states of all jobs.
    pub fn states(&self) -> IndexMap<JobId, JobState> {
        let ids = self.ended.keys().chain(self.jobs.keys());
        ids.filter_map(|id| Some((*id, self.state(*id)?))).collect()
    }

    /// Returns the number of jobs by queue of which no task has started.
    pub fn waiting_by_queue(&self) -> IndexMap<QueueId, u32> {
        let mut waiting = IndexMap::new();
        let waits = |job: &&Job| !job.started && job.end.is_none();
        for job in self.jobs.values().filter(waits) {
            *waiting.entry(job.spec.queue.clone()).or_default() += 1;
        }
        waiting
    }

    /// Drops jobs that ended, whose end is stored and whose runs are gone.
    pub fn forget_ended(&mut self) {
        self.forget_approvals();
        let ended = &mut self.ended;
        let workers = &self.workers;
        self.jobs.retain(|id, job| {
            let Some(end) = job.end.filter(|_| job.stored_version >= job.version) else {
                return true;
            };
            let placed = workers.values().any(|worker| {
                worker
                    .placements
                    .values()
                    .any(|run| run.unit_key().0 == *id)
            });
            if !placed {
                ended.insert(*id, end);
            }
            placed
        });
    }

    /// Returns the agents that may hold runs: not those whose workers are down or whose leases have lapsed.
    pub fn roster(&self) -> IndexSet<AgentId> {
        let holds = |worker: &&Worker| !worker.lost || !worker.placements.is_empty();
        let known = self.workers.values().filter(holds);
        let known = known.map(|worker| worker.agent.clone());
        known.chain(self.unheard.iter().cloned()).collect()
    }

    /// Returns the number of the next run, above all of earlier owners.
    pub(crate) fn next_run_number(&mut self) -> RunNumber {
        self.last_run_sequence += 1;
        (self.epoch << RUN_SEQUENCE_BITS) + self.last_run_sequence
    }

    /// Returns whether this owner gave a run its number.
    pub(crate) fn is_own_run(&self, run: RunNumber) -> bool {
        run >> RUN_SEQUENCE_BITS == self.epoch
    }

    /// Orders the stop of all runs of a job.
    pub(crate) fn stop_job(&mut self, id: JobId) {
        self.stop_where(|owner, _| owner.0 == id);
    }

    /// Orders the stop of all runs of a unit.
    pub(crate) fn stop_unit(&mut self, id: JobId, unit: UnitId) {
        self.stop_where(|owner, _| owner == (id, unit));
    }

    pub(crate) fn stop_where(&mut self, stops: impl Fn((JobId, UnitId), &AgentId) -> bool) {
        for worker in self.workers.values_mut() {
            let agent = worker.agent.clone();
            for placement in worker.placements.values_mut() {
                if stops(placement.unit_key(), &agent) && !placement.is_stopping() {
                    *placement = placement.clone().into_stopping();
                }
            }
        }
    }
}

/// The share by which the clock of a worker may be slow.
const CLOCK_DRIFT: f64 = 0.02;
/// Added to a lease before its runs count as ended: the grain of clocks and the time that a kill takes.
const LAPSE_MARGIN: Duration = Duration::from_millis(250);

/// Returns the time after which a lease of this length has lapsed on every clock.
pub fn lapse_after(lease: Duration) -> Duration {
    lease.mul_f64(1.0 + CLOCK_DRIFT) + LAPSE_MARGIN
}
