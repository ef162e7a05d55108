//! The state of a worker as known to the owner.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use model::{
    AgentId, DataCentreId, Incarnation, JobId, ResourceVector, ServiceId, TaskId, TaskRun,
};

use crate::job::UnitKey;
use crate::placement::AnyPlacement;
use crate::preempt::accelerator_equivalents;
use crate::scheduler::lapse_after;
use crate::speeds::WorkerSpeed;

/// Index of the rack name in the labels of a worker; index 0 has the kind of the worker.
const RACK_LABEL_INDEX: usize = 1;
/// Number of different jobs with failed runs, without a successful run in between, after which a worker is quarantined.
const QUARANTINE_FAILURES: usize = 2;
/// Time after a failed run until a suspect worker is probed by a task whose failure costs little.
const PROBE_DELAY: Duration = Duration::from_secs(8);
/// Length of the first quarantine, during which a worker gets no new tasks; each further one is twice as long.
const INITIAL_QUARANTINE: Duration = Duration::from_secs(4);
/// Upper bound of the length of a quarantine.
const MAX_QUARANTINE: Duration = Duration::from_secs(32);

/// Maximum number of runs on a worker. Tasks may ask for no resources, so that any number of them would fit, and each run costs its
/// agent and the owner some kilobytes.
const MAX_RUNS: usize = 1024;

/// A reported run that this owner neither placed nor adopted, because its job is unknown or has ended, or its unit does
/// not need it. It is stopped, and occupies resources until it has ended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OrphanRun {
    /// When the stop order was last sent.
    pub(crate) sent_at: Option<Duration>,
    /// Resources it occupies, if its job is known.
    pub(crate) resources: Option<ResourceVector>,
}

/// A worker and the runs that it may have.
#[derive(Debug, Clone)]
pub(crate) struct Worker {
    /// The agent that runs beside the worker.
    pub(crate) agent: AgentId,
    /// The name of the worker, which the external advisor uses.
    pub(crate) name: Box<str>,
    /// The service that the worker belongs to.
    pub(crate) service: ServiceId,
    /// Identifies the current process of the worker; `None` until the agent has reported one.
    pub(crate) incarnation: Option<Incarnation>,
    /// Total resources.
    pub(crate) capacity: ResourceVector,
    pub(crate) labels: Vec<Box<str>>,
    /// The data centre; empty if it is not known.
    pub(crate) data_centre: DataCentreId,
    /// Since when its data centre is known to be evacuated.
    pub(crate) evacuated_since: Option<Duration>,
    /// Until when the worker runs slower than usual because it has just started.
    pub(crate) cold_until: Duration,
    /// When the worker shuts down, set while it drains.
    pub(crate) drain_deadline: Option<Duration>,
    /// Whether the worker confirmed the epoch of this owner; it gets no orders before.
    pub(crate) confirmed: bool,
    /// Whether this owner has applied a complete list of the runs of this incarnation. Runs of earlier owners that a list left
    /// out occupy resources, so that the worker gets no new tasks before.
    pub(crate) runs_known: bool,
    /// Whether the worker is absent, or its lease has lapsed.
    pub(crate) lost: bool,
    /// When the owner last replied to the agent so that it may renew the lease of the worker.
    ///
    /// A lease of the worker ends at most [`max_lease`] after the agent sent the report that the owner replied to. The
    /// report was sent before the reply, so `max_lease` after this time is an upper bound.
    ///
    /// [`max_lease`]: crate::scheduler::SchedulerSettings::max_lease
    pub(crate) last_renewed_at: Duration,
    /// When the worker last reported again after its lease had lapsed. Its next lease begins with the reply to that report,
    /// so that no lease can lapse before as long after this.
    pub(crate) returned_at: Option<Duration>,
    /// `sent_at` of the latest report.
    pub(crate) last_report_sent_at: Duration,
    /// When the latest report arrived.
    pub(crate) last_report_at: Duration,
    /// Runs that have not ended, by task.
    pub(crate) placements: IndexMap<TaskId, AnyPlacement>,
    pub(crate) orphan_runs: IndexMap<TaskRun, OrphanRun>,
    /// Sequence number of the last applied end.
    pub(crate) last_end_sequence: u64,
    /// Applied ends that are not stored yet: sequence number, job, and the job version that includes the end.
    pub(crate) unstored_ends: Vec<(u64, JobId, u64)>,
    /// The last sequence number acknowledged to the worker.
    pub(crate) acknowledged_sequence: u64,
    /// Reported crashes by incarnation, each with the job versions that contain it. A crash is kept until its agent no
    /// longer reports it.
    pub(crate) reported_crashes: IndexMap<Incarnation, IndexMap<JobId, u64>>,
    /// Jobs with failed runs since the last successful run.
    pub(crate) failed_jobs: Vec<JobId>,
    /// When a run last failed, if none has succeeded since.
    pub(crate) last_failure_at: Option<Duration>,
    /// When the latest run was placed that made progress, or that lived until another member of its gang ended.
    pub(crate) last_sound_start: Option<Duration>,
    /// When the latest quarantine began.
    pub(crate) quarantined_at: Duration,
    /// The worker gets no new tasks before this time, except for probes.
    pub(crate) quarantined_until: Duration,
    /// Length of the next quarantine.
    pub(crate) next_quarantine_duration: Duration,
    /// What is known of its speed.
    pub(crate) speed: WorkerSpeed,
}

impl Worker {
    /// Creates a worker without any report.
    pub(crate) fn new(agent: AgentId, now: Duration) -> Self {
        Self {
            agent,
            name: Box::default(),
            service: Box::default(),
            incarnation: None,
            capacity: ResourceVector::default(),
            labels: Vec::new(),
            data_centre: Box::default(),
            evacuated_since: None,
            cold_until: Duration::ZERO,
            drain_deadline: None,
            confirmed: false,
            runs_known: false,
            lost: false,
            last_renewed_at: now,
            returned_at: None,
            last_report_sent_at: Duration::ZERO,
            last_report_at: now,
            placements: IndexMap::new(),
            orphan_runs: IndexMap::new(),
            last_end_sequence: 0,
            unstored_ends: Vec::new(),
            acknowledged_sequence: 0,
            reported_crashes: IndexMap::new(),
            failed_jobs: Vec::new(),
            last_failure_at: None,
            last_sound_start: None,
            quarantined_at: Duration::ZERO,
            quarantined_until: Duration::ZERO,
            next_quarantine_duration: INITIAL_QUARANTINE,
            speed: WorkerSpeed::default(),
        }
    }

    /// Returns whether the lease has lapsed that this owner last let the agent renew.
    pub(crate) fn has_lapsed(&self, max_lease: Duration, now: Duration) -> bool {
        now > self.last_renewed_at + lapse_after(max_lease)
    }

    /// Returns whether the worker is silent: the lease has lapsed that this owner last let the agent renew, and so has one that
    /// it could have begun since the worker reported again.
    pub(crate) fn is_silent(&self, max_lease: Duration, now: Duration) -> bool {
        let returned_at = self.returned_at.unwrap_or(Duration::ZERO);
        self.has_lapsed(max_lease, now) && now > returned_at + lapse_after(max_lease)
    }

    /// Returns whether the worker may have runs of a job, or its agent has an end or a crash of it that is not stored yet.
    pub(crate) fn may_have_runs_of(&self, job: JobId) -> bool {
        let mut placements = self.placements.keys();
        let mut orphans = self.orphan_runs.keys();
        let mut ends = self.unstored_ends.iter();
        let mut crashes = self.reported_crashes.values();
        placements.any(|task| task.job == job)
            || orphans.any(|orphan| orphan.task.job == job)
            || ends.any(|(_, id, _)| *id == job)
            || crashes.any(|jobs| jobs.contains_key(&job))
    }

    /// Returns the name of the rack.
    pub(crate) fn rack(&self) -> &str {
        self.labels.get(RACK_LABEL_INDEX).map_or("", |label| label)
    }

    /// Returns the resources that no run occupies.
    pub(crate) fn free_resources(&self) -> ResourceVector {
        self.capacity.saturating_sub(self.used_resources())
    }

    /// Returns how many more runs the worker may have.
    pub(crate) fn remaining_runs(&self) -> u32 {
        let runs = self.placements.len() + self.orphan_runs.len();
        u32::try_from(MAX_RUNS.saturating_sub(runs)).unwrap_or(u32::MAX)
    }

    /// Returns the resources that runs occupy. An orphan run of unknown size counts as the whole worker.
    fn used_resources(&self) -> ResourceVector {
        let placed = self.placements.values().map(AnyPlacement::resources);
        let orphans = self.orphan_runs.values();
        let orphans = orphans.map(|orphan| orphan.resources.unwrap_or(self.capacity));
        placed
            .chain(orphans)
            .fold(ResourceVector::default(), ResourceVector::saturating_add)
    }

    /// Returns the resources of the placed runs that are not being stopped.
    pub(crate) fn running_resources(&self) -> ResourceVector {
        let placements = self.placements.values();
        placements
            .filter(|placement| !placement.is_stopping())
            .map(AnyPlacement::resources)
            .fold(ResourceVector::default(), ResourceVector::saturating_add)
    }

    /// Returns the units whose pending starts do not fit into the capacity any more, the latest ones first. The capacity may
    /// have shrunk after they were placed.
    pub(crate) fn units_beyond_capacity(&self) -> IndexSet<UnitKey> {
        let mut units = IndexSet::new();
        let mut used = self.used_resources();
        for placement in self.placements.values().rev() {
            if self.capacity.fit_count(used) >= 1 {
                break;
            }
            if matches!(placement, AnyPlacement::Starting(_)) {
                used = used.saturating_sub(placement.resources());
                units.insert(placement.unit_key());
            }
        }
        units
    }

    /// Returns the resources that the stopping runs will free.
    pub(crate) fn stopping_resources(&self) -> ResourceVector {
        let placements = self.placements.values();
        placements
            .filter(|placement| placement.is_stopping())
            .map(AnyPlacement::resources)
            .fold(ResourceVector::default(), ResourceVector::saturating_add)
    }

    /// Returns the run time since the last checkpoints of all runs, multiplied by the accelerator equivalents of each.
    pub(crate) fn unsaved_work(&self, now: Duration) -> Duration {
        let placements = self.placements.values();
        let unsaved = placements.map(|placement| {
            let weight = accelerator_equivalents(placement.resources());
            placement.time_since_checkpoint(now).mul_f64(weight)
        });
        unsaved.sum()
    }

    /// Returns whether new tasks may be placed on the worker.
    pub(crate) fn accepts_tasks(&self, now: Duration) -> bool {
        self.is_available() && now >= self.quarantined_until
    }

    /// Returns whether new tasks may be placed on the worker unless it is quarantined.
    pub(crate) fn is_available(&self) -> bool {
        let is_leaving = self.drain_deadline.is_some() || self.evacuated_since.is_some();
        self.confirmed && self.runs_known && !self.lost && !is_leaving
    }

    /// Returns whether the worker runs slower than usual because it has just started.
    pub(crate) fn is_cold(&self, now: Duration) -> bool {
        now < self.cold_until
    }

    /// Returns whether the worker is quarantined and has no runs, so that a task may probe it.
    pub(crate) fn accepts_quarantine_probe(&self, now: Duration) -> bool {
        self.is_available()
            && now < self.quarantined_until
            && self.placements.is_empty()
            && self.orphan_runs.is_empty()
    }

    /// Sets a new incarnation and resets the state that belongs to the previous one. Orphan runs stay until a complete list
    /// of the new incarnation lacks them, because they may have begun in it.
    pub(crate) fn start_incarnation(&mut self, incarnation: Option<Incarnation>) {
        self.incarnation = incarnation;
        self.confirmed = false;
        self.runs_known = false;
        self.last_end_sequence = 0;
        self.unstored_ends.clear();
        self.acknowledged_sequence = 0;
        self.failed_jobs.clear();
        self.last_failure_at = None;
        self.last_sound_start = None;
        self.quarantined_until = Duration::ZERO;
        self.next_quarantine_duration = INITIAL_QUARANTINE;
    }

    /// Returns whether a run failed and none has succeeded since. Other workers are preferred to a suspect one.
    pub(crate) fn is_suspect(&self) -> bool {
        self.last_failure_at.is_some()
    }

    /// Returns whether a suspect worker may be probed by one task.
    pub(crate) fn accepts_probe(&self, now: Duration) -> bool {
        self.placements.is_empty()
            && self
                .last_failure_at
                .is_some_and(|failed_at| now >= failed_at + PROBE_DELAY)
    }

    /// Records that the start of a run that was placed at a time went well.
    pub(crate) fn record_sound_start(&mut self, placed_at: Duration) {
        self.last_sound_start = self.last_sound_start.max(Some(placed_at));
    }

    /// Records a successful run that was placed at a time. It resets the length of the next quarantine, and ends a present
    /// one in which it was placed.
    pub(crate) fn record_success(&mut self, placed_at: Duration) {
        if placed_at >= self.quarantined_at {
            self.quarantined_until = Duration::ZERO;
        }
        self.last_failure_at = None;
        self.failed_jobs.clear();
        self.next_quarantine_duration = INITIAL_QUARANTINE;
    }

    /// Records a failed run; failures of several jobs in a row are attributed to the worker.
    pub(crate) fn record_failure(&mut self, job: JobId, now: Duration) {
        self.last_failure_at = Some(now);
        if !self.failed_jobs.contains(&job) {
            self.failed_jobs.push(job);
        }
        if self.failed_jobs.len() >= QUARANTINE_FAILURES {
            self.quarantine(now);
        }
    }

    /// Quarantines the worker. Further failures during a quarantine are attributed to the same fault and do not extend
    /// it.
    pub(crate) fn quarantine(&mut self, now: Duration) {
        if now < self.quarantined_until {
            return;
        }
        self.quarantined_at = now;
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
