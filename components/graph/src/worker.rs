//! What the owner knows of one worker.

use std::time::Duration;

use indexmap::IndexMap;
use model::{AgentId, Incarnation, JobId, Room, ServiceId, TaskId, TaskRun};

use crate::placement::Placement;

/// Position of the rack among the labels of a worker.
const RACK_LABEL_INDEX: usize = 1;
/// Failed runs of different jobs in a row, without a run that succeeded, after which a worker gets no new tasks.
const QUARANTINE_FAILURES: usize = 2;
/// Time without new tasks after the first quarantine; it doubles with each further one.
const INITIAL_QUARANTINE: Duration = Duration::from_secs(4);
/// The longest quarantine.
const MAX_QUARANTINE: Duration = Duration::from_secs(32);

/// A run that belongs to nothing any more; it takes its room until it has ended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OrphanRun {
    /// When its stop was last sent.
    pub(crate) sent_at: Option<Duration>,
    /// What it takes, if its job is known.
    pub(crate) resources: Option<Room>,
}

/// A worker and the runs that may be on it.
#[derive(Debug, Clone)]
pub(crate) struct Worker {
    /// The agent beside the worker.
    pub(crate) agent: AgentId,
    /// The name of the worker, by which an advisor knows it.
    pub(crate) name: Box<str>,
    /// The service that the worker belongs to.
    pub(crate) service: ServiceId,
    /// The life of the worker.
    pub(crate) incarnation: Option<Incarnation>,
    /// What it holds in total.
    pub(crate) capacity: Room,
    /// Its labels.
    pub(crate) labels: Vec<Box<str>>,
    /// When it leaves, once it drains.
    pub(crate) drain_deadline: Option<Duration>,
    /// Whether its runs are known at the epoch of this owner.
    pub(crate) adopted: bool,
    /// Whether it is silent for so long that its lease has lapsed, or is known to be down.
    pub(crate) lost: bool,
    /// When its agent was last answered; its leases count from before that time.
    pub(crate) last_answered_at: Duration,
    /// `sent_at` of the newest report.
    pub(crate) last_report_sent_at: Duration,
    /// When the newest report arrived.
    pub(crate) last_report_at: Duration,
    /// Runs that have not ended.
    pub(crate) placements: IndexMap<TaskId, Placement>,
    /// Runs that belong to nothing and are to stop.
    pub(crate) orphan_runs: IndexMap<TaskRun, OrphanRun>,
    /// The last end that was taken into account.
    pub(crate) last_end_sequence: u64,
    /// Ends that wait for the store: position, job and version of the job.
    pub(crate) unstored_ends: Vec<(u64, JobId, u64)>,
    /// The last position acknowledged to the worker.
    pub(crate) acknowledged_sequence: u64,
    /// Jobs of failed runs since the last run that succeeded.
    pub(crate) failed_jobs: Vec<JobId>,
    /// No new tasks before this time.
    pub(crate) quarantined_until: Duration,
    /// The next quarantine.
    pub(crate) next_quarantine_duration: Duration,
}

impl Worker {
    /// Creates a worker that was not heard yet.
    pub(crate) fn new(agent: AgentId, now: Duration) -> Self {
        Self {
            agent,
            name: Box::default(),
            service: Box::default(),
            incarnation: None,
            capacity: Room::default(),
            labels: Vec::new(),
            drain_deadline: None,
            adopted: false,
            lost: false,
            last_answered_at: now,
            last_report_sent_at: Duration::ZERO,
            last_report_at: now,
            placements: IndexMap::new(),
            orphan_runs: IndexMap::new(),
            last_end_sequence: 0,
            unstored_ends: Vec::new(),
            acknowledged_sequence: 0,
            failed_jobs: Vec::new(),
            quarantined_until: Duration::ZERO,
            next_quarantine_duration: INITIAL_QUARANTINE,
        }
    }

    /// Returns the name of the rack.
    pub(crate) fn rack(&self) -> &str {
        self.labels.get(RACK_LABEL_INDEX).map_or("", |label| label)
    }

    /// Returns what no run takes; nothing while a run of unknown size has not ended.
    pub(crate) fn free_resources(&self) -> Room {
        let placed = self.placements.values().map(Placement::resources);
        let strays = self.orphan_runs.values();
        let strays = strays.map(|stray| stray.resources.unwrap_or(self.capacity));
        let taken = placed.chain(strays).fold(Room::default(), Room::plus);
        self.capacity.minus(taken)
    }

    /// Returns whether new tasks may start here.
    pub(crate) fn accepts_tasks(&self, now: Duration) -> bool {
        self.adopted && !self.lost && self.drain_deadline.is_none() && now >= self.quarantined_until
    }

    /// Forgets what belonged to the last incarnation.
    pub(crate) fn start_incarnation(&mut self, incarnation: Option<Incarnation>) {
        self.incarnation = incarnation;
        self.adopted = false;
        self.orphan_runs.clear();
        self.last_end_sequence = 0;
        self.unstored_ends.clear();
        self.acknowledged_sequence = 0;
        self.failed_jobs.clear();
        self.quarantined_until = Duration::ZERO;
        self.next_quarantine_duration = INITIAL_QUARANTINE;
    }

    /// Notes a run that succeeded.
    pub(crate) fn record_success(&mut self) {
        self.failed_jobs.clear();
        self.next_quarantine_duration = INITIAL_QUARANTINE;
    }

    /// Notes a failed run; failures of different jobs in a row are the fault of the worker.
    pub(crate) fn record_failure(&mut self, job: JobId, now: Duration) {
        if !self.failed_jobs.contains(&job) {
            self.failed_jobs.push(job);
        }
        if self.failed_jobs.len() >= QUARANTINE_FAILURES {
            self.quarantine(now);
        }
    }

    /// Gives the worker no new tasks for a while; what else fails during that time belongs to the same fault.
    pub(crate) fn quarantine(&mut self, now: Duration) {
        if now < self.quarantined_until {
            return;
        }
        self.quarantined_until = now + self.next_quarantine_duration;
        self.next_quarantine_duration = (self.next_quarantine_duration * 2).min(MAX_QUARANTINE);
        log::warn!(
            target: "limpethook",
            agent:% = self.agent, until_ms = self.quarantined_until.as_millis(),
            failed_jobs = self.failed_jobs.len();
            "worker_quarantined"
        );
    }
}
