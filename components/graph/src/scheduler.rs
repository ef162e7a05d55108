//! The scheduling state of a cell owner.

use std::sync::Arc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use model::{
    AcceptedJob, AccountId, AgentId, DataCentreId, Epoch, JobEnd, JobId, JobState, QueueId,
    QueuePolicy, ResourceVector, RunNumber, ServiceId,
};

use crate::approvals::{Approvals, StepId};
use crate::cost::{EndedJob, JobUsage, job_bytes};
use crate::estimates::Estimates;
use crate::fit::Assignment;
use crate::headroom::UrgentDemand;
use crate::job::{Job, UnitId, UnitKey};
use crate::progress::Progress;
use crate::records::Records;
use crate::removals::RemovalReason;
use crate::speeds::Speeds;
use crate::waits::Waits;
use crate::worker::Worker;

/// Low bits of a run number that count the runs of one owner; the higher bits are the epoch, so that numbers increase
/// across owners.
const RUN_SEQUENCE_BITS: u32 = 20;

/// Time bounds of the workers and the owner, and the cost of restoring or moving a task.
#[derive(Debug, Clone, Copy)]
pub struct SchedulerSettings {
    /// The longest lease of a worker. A lease ends at most this long after its agent sent the report that the owner
    /// last replied to.
    pub max_lease: Duration,
    /// The longest time that stopping a run takes.
    pub max_stop_time: Duration,
    /// Time that a task needs to resume from a checkpoint.
    pub restore_time: Duration,
    /// Factor by which a task runs longer on a rack other than the one with its data.
    pub slowdown: f64,
    /// How long an owner that cannot reach the store still lets agents renew their leases.
    pub store_outage_grace: Duration,
}

/// A job as read from the store.
#[derive(Debug, Clone)]
pub struct LoadedJob {
    /// The id of the job.
    pub id: JobId,
    /// The job as it was accepted.
    pub spec: Arc<AcceptedJob>,
    /// The stored progress, if any.
    pub progress: Option<Progress>,
    /// Whether a cancellation was stored.
    pub cancelled: bool,
}

/// Resources reserved for an urgent unit that did not fit.
#[derive(Debug, Clone)]
pub(crate) struct Reservation {
    /// Whether the runs that occupy the resources were stopped for the unit; otherwise it waits until they end.
    pub(crate) preempts: bool,
    /// Whether the unit is guaranteed.
    pub(crate) guaranteed: bool,
    /// Resources of one task of the unit.
    pub(crate) task_resources: ResourceVector,
    /// The reserved workers, with the number of tasks on each.
    pub(crate) assignment: Assignment,
    /// When the workers were selected.
    pub(crate) created_at: Duration,
    /// When the reservation is dropped if the unit was not placed by then.
    pub(crate) expires_at: Duration,
}

/// Decides which runs start and stop on the workers of a cell.
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) settings: SchedulerSettings,
    pub(crate) epoch: Epoch,
    /// Sequence number of the latest run of this owner.
    pub(crate) last_run_sequence: RunNumber,
    pub(crate) workers: IndexMap<AgentId, Worker>,
    /// Jobs that have not ended, or that still have runs or an unstored end.
    pub(crate) jobs: IndexMap<JobId, Job>,
    /// Jobs whose end is stored and that have no runs.
    pub(crate) ended: IndexMap<JobId, EndedJob>,
    /// Memory that the jobs and the ended jobs take.
    usage: JobUsage,
    pub(crate) queues: IndexMap<QueueId, QueuePolicy>,
    /// Guaranteed accelerators by client account.
    pub(crate) guarantees: IndexMap<AccountId, u32>,
    pub(crate) reservations: IndexMap<UnitKey, Reservation>,
    /// The evacuated data centres, and since when this owner knows of each evacuation.
    pub(crate) evacuated: IndexMap<DataCentreId, Duration>,
    /// Approvals by the external advisor, for steps of queues that require them.
    pub(crate) approvals: IndexMap<StepId, Approvals>,
    /// Resource demand of recent urgent jobs.
    pub(crate) urgent_demand: UrgentDemand,
    /// Learned run times by queue.
    pub(crate) estimates: Estimates,
    /// Queues whose estimates have changed since the expected run times of their jobs were updated.
    pub(crate) relearned_queues: IndexSet<QueueId>,
    /// What is known of the speeds of workers beside the record of each worker.
    pub(crate) speeds: Speeds,
    /// Times from the acceptance of jobs to their first running task, collected for the metrics.
    pub(crate) start_delays: Vec<Duration>,
    /// Number of suspects of each recorded crash, collected for the metrics.
    pub(crate) crash_suspects: Vec<usize>,
    /// Number of runs removed without a report of their end, collected for the metrics.
    pub(crate) removed_runs: IndexMap<RemovalReason, usize>,
    /// Services that are under half in use, and since when.
    pub(crate) half_idle_since: IndexMap<ServiceId, Duration>,
    /// Jobs that wait, for the log, the metrics and operators.
    pub(crate) waits: Waits,
    /// Incremented when a job state or queue count that clients can query may have changed.
    pub(crate) status_version: u64,
    /// Jobs within the guarantees of their client accounts, as of the latest plan.
    pub(crate) guaranteed: IndexSet<JobId>,
    /// Agents in the roster of earlier owners whose runs this owner does not know yet.
    pub(crate) pending_agents: IndexSet<AgentId>,
    /// Number of agents whose leases lapsed before this owner knew their runs.
    pub(crate) lapsed_agents: usize,
    /// What is known of the records of placements.
    pub(crate) records: Records,
    /// Times that starts waited for their records, collected for the metrics.
    pub(crate) record_delays: Vec<Duration>,
    /// Whether anything has changed since the latest plan that may allow or require another one.
    pub(crate) plan_needed: bool,
    /// When the next plan is due even if nothing changes.
    pub(crate) next_plan_at: Duration,
    /// When recovery ends even if some agents are still pending, because the leases of their workers have lapsed;
    /// `None` once recovery has ended.
    pub(crate) recovery_deadline: Option<Duration>,
    /// When recovery began.
    pub(crate) recovery_started_at: Duration,
    /// Pending agents whose wait was logged.
    pub(crate) logged_waits: IndexSet<AgentId>,
    /// How long recovery took, collected for the metrics.
    pub(crate) recovery_time: Option<Duration>,
}

impl Scheduler {
    /// Creates the state of a new owner; `roster` lists the agents to which earlier owners may have assigned tasks.
    pub fn new(
        settings: SchedulerSettings,
        epoch: Epoch,
        roster: IndexSet<AgentId>,
        now: Duration,
    ) -> Self {
        // An earlier owner that lost the store lets agents renew leases during the outage grace.
        let wait = settings.store_outage_grace + lapse_after(settings.max_lease);
        Self {
            settings,
            epoch,
            last_run_sequence: 0,
            workers: IndexMap::new(),
            jobs: IndexMap::new(),
            ended: IndexMap::new(),
            usage: JobUsage::default(),
            queues: IndexMap::new(),
            guarantees: IndexMap::new(),
            reservations: IndexMap::new(),
            evacuated: IndexMap::new(),
            approvals: IndexMap::new(),
            urgent_demand: UrgentDemand::default(),
            estimates: Estimates::default(),
            relearned_queues: IndexSet::new(),
            speeds: Speeds::default(),
            start_delays: Vec::new(),
            crash_suspects: Vec::new(),
            removed_runs: IndexMap::new(),
            half_idle_since: IndexMap::new(),
            waits: Waits::default(),
            status_version: 0,
            guaranteed: IndexSet::new(),
            records: Records::default(),
            record_delays: Vec::new(),
            pending_agents: roster,
            lapsed_agents: 0,
            plan_needed: true,
            next_plan_at: Duration::ZERO,
            recovery_deadline: Some(now + wait),
            recovery_started_at: now,
            logged_waits: IndexSet::new(),
            recovery_time: None,
        }
    }

    /// Takes the start delays recorded since the last call.
    pub fn take_start_delays(&mut self) -> Vec<Duration> {
        std::mem::take(&mut self.start_delays)
    }

    /// Records that no earlier owner renews leases any more, which shortens the wait for pending agents to one lease.
    pub fn previous_ended(&mut self, now: Duration) {
        let lapsed_at = now + lapse_after(self.settings.max_lease);
        if let Some(deadline) = &mut self.recovery_deadline {
            *deadline = lapsed_at.min(*deadline);
        }
    }

    /// Returns the epoch of this owner.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Sets the queue policies and the guaranteed accelerators of the client accounts.
    pub fn configure(
        &mut self,
        queues: IndexMap<QueueId, QueuePolicy>,
        guarantees: IndexMap<AccountId, u32>,
    ) {
        self.plan_needed = true;
        self.queues = queues;
        self.guarantees = guarantees;
        for job in self.jobs.values_mut() {
            if let Some(policy) = self.queues.get(&job.spec.queue) {
                job.policy = policy.clone();
            }
        }
    }

    /// Adds a job accepted during the term of this owner, so that no earlier owner can have started it.
    pub fn accept(
        &mut self,
        id: JobId,
        spec: Arc<AcceptedJob>,
        now: Duration,
        unix_time: Duration,
    ) {
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
            unix_time,
        );
    }

    /// Adds a job from the store, which an earlier owner may have started.
    pub fn load(&mut self, job: LoadedJob, now: Duration, unix_time: Duration) {
        let id = job.id;
        self.insert_job(job, now, unix_time);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.awaiting_recovery = self.recovery_deadline.is_some();
        }
    }

    /// Adds an ended job from the store.
    pub fn load_ended(&mut self, id: JobId, end: JobEnd) {
        self.status_version += 1;
        let ended = EndedJob { end, account: None };
        self.usage.add_ended(&ended);
        self.ended.insert(id, ended);
    }

    /// Adds an ended job that the store has, unless it is known.
    pub fn record_ended(&mut self, id: JobId, end: JobEnd) {
        if !self.jobs.contains_key(&id) && !self.ended.contains_key(&id) {
            self.load_ended(id, end);
        }
    }

    /// Removes the ended jobs whose records were deleted from the store, as selected by `deleted`.
    pub fn remove_deleted_jobs(&mut self, deleted: impl Fn(JobId) -> bool) {
        let before = self.ended.len();
        let usage = &mut self.usage;
        self.ended.retain(|id, ended| {
            let is_deleted = deleted(*id);
            if is_deleted {
                usage.subtract_ended(ended);
            }
            !is_deleted
        });
        if self.ended.len() < before {
            self.status_version += 1;
        }
    }

    /// Returns the memory that the jobs take.
    pub fn usage(&self) -> &JobUsage {
        &self.usage
    }

    /// Returns a number that increases when a job state or the number of queued jobs of a queue changes.
    pub fn status_version(&self) -> u64 {
        self.status_version
    }

    fn insert_job(&mut self, loaded: LoadedJob, now: Duration, unix_time: Duration) {
        let age = unix_time.saturating_sub(loaded.spec.accepted_at);
        let accepted_at = now.saturating_sub(age);
        let mut job = Job::new(loaded.id, loaded.spec, accepted_at, &self.estimates);
        if let Some(policy) = self.queues.get(&job.spec.queue) {
            job.policy = policy.clone();
        }
        if let Some(progress) = &loaded.progress {
            job.restore(progress);
        }
        job.create_due_occurrences(unix_time);
        self.urgent_demand.record(&job);
        if loaded.cancelled {
            job.end = Some(JobEnd::Cancelled);
            job.mark_changed();
        } else if job.is_complete() {
            job.end = Some(JobEnd::Completed);
            job.mark_changed();
        }
        self.usage.add(&job.spec.account, job_bytes(&job.spec));
        self.jobs.insert(loaded.id, job);
        self.plan_needed = true;
        self.status_version += 1;
    }

    /// Ends a job whose cancellation was stored and stops its runs.
    pub fn cancel(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.end.is_some() {
            return;
        }
        job.end = Some(JobEnd::Cancelled);
        job.mark_changed();
        self.plan_needed = true;
        self.status_version += 1;
        self.stop_job(id);
    }

    /// Returns the state of a job as shown to clients: an end is shown only once it is stored.
    pub fn state(&self, id: JobId) -> Option<JobState> {
        if let Some(ended) = self.ended.get(&id) {
            return Some(JobState::Ended(ended.end));
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

    /// Returns the states of all known jobs.
    pub fn states(&self) -> IndexMap<JobId, JobState> {
        let ids = self.ended.keys().chain(self.jobs.keys());
        ids.filter_map(|id| Some((*id, self.state(*id)?))).collect()
    }

    /// Returns the number of queued jobs, which have no started task, by queue.
    pub fn queued_job_counts(&self) -> IndexMap<QueueId, u32> {
        let mut counts = IndexMap::new();
        let is_queued = |job: &&Job| !job.started && job.end.is_none();
        for job in self.jobs.values().filter(is_queued) {
            *counts.entry(job.spec.queue.clone()).or_default() += 1;
        }
        counts
    }

    /// Replaces each job whose end is stored and that has no runs left by its end, to free memory.
    pub fn compact_ended_jobs(&mut self) {
        self.drop_ended_approvals();
        let (ended, usage) = (&mut self.ended, &mut self.usage);
        let workers = &self.workers;
        self.jobs.retain(|id, job| {
            let Some(end) = job.end.filter(|_| job.stored_version >= job.version) else {
                return true;
            };
            let has_runs = workers.values().any(|worker| {
                worker
                    .placements
                    .values()
                    .any(|placement| placement.unit_key().0 == *id)
            });
            if !has_runs {
                let account = &job.spec.account;
                usage.subtract(account, job_bytes(&job.spec));
                let job = EndedJob {
                    end,
                    account: Some(account.clone()),
                };
                usage.add_ended(&job);
                ended.insert(*id, job);
            }
            has_runs
        });
    }

    /// Returns the agents whose workers may have runs: all known ones except lost workers without runs, and those whose
    /// runs are not known yet. Agents whose reports of a crash are not stored are among them. The next owner waits for
    /// these agents.
    pub fn roster(&self) -> IndexSet<AgentId> {
        let may_have_runs = |worker: &&Worker| {
            !worker.lost || !worker.placements.is_empty() || self.has_unstored_crash(worker)
        };
        let known = self.workers.values().filter(may_have_runs);
        let known = known.map(|worker| worker.agent.clone());
        known.chain(self.pending_agents.iter().cloned()).collect()
    }

    /// Returns the number of the next run, higher than those of all earlier owners.
    pub(crate) fn next_run_number(&mut self) -> RunNumber {
        self.last_run_sequence += 1;
        (self.epoch << RUN_SEQUENCE_BITS) + self.last_run_sequence
    }

    /// Returns whether a run was placed by this owner.
    pub(crate) fn is_own_run(&self, run: RunNumber) -> bool {
        run >> RUN_SEQUENCE_BITS == self.epoch
    }

    /// Marks all runs of a job for stopping.
    pub(crate) fn stop_job(&mut self, id: JobId) {
        self.stop_where(|unit, _| unit.0 == id);
    }

    /// Marks all runs of a unit for stopping.
    pub(crate) fn stop_unit(&mut self, id: JobId, unit: UnitId) {
        self.stop_where(|key, _| key == (id, unit));
    }

    /// Marks the selected runs for stopping; the orders are sent with the next instructions to their agents.
    pub(crate) fn stop_where(&mut self, selected: impl Fn(UnitKey, &AgentId) -> bool) {
        for worker in self.workers.values_mut() {
            let agent = worker.agent.clone();
            for placement in worker.placements.values_mut() {
                if selected(placement.unit_key(), &agent) && !placement.is_stopping() {
                    *placement = placement.clone().into_stopping();
                }
            }
        }
    }
}

/// The fraction by which the clock of a worker may be slow.
const CLOCK_DRIFT: f64 = 0.02;
/// Added to a lease before the runs under it count as ended, for the clock resolution and the time to kill a process.
const LAPSE_MARGIN: Duration = Duration::from_millis(250);

/// Returns the time after which a lease of this length has lapsed, even by a slow worker clock.
pub fn lapse_after(lease: Duration) -> Duration {
    lease.mul_f64(1.0 + CLOCK_DRIFT) + LAPSE_MARGIN
}
