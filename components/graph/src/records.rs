//! Records of placements: the store names, for each job, the agents on which the job may have runs.
//!
//! A start is ordered only once the record of its job names the agent. So a new owner waits, for each job, only for the
//! agents that its record names, if the records are complete. An owner states to the agents whether they are, and agents
//! repeat the latest statement to the next owner. The next owner relies on the records if a majority of the roster repeats
//! that they are complete.

use std::time::Duration;

use indexmap::IndexSet;
use model::{AgentId, Epoch, JobId, RecordsState, RecordsStatement, WorkerReport};

use crate::job::Job;
use crate::scheduler::Scheduler;

/// The agents on which a job may have runs, to be stored in place of those stored before.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacementChange {
    /// The id of the job.
    pub job: JobId,
    /// The agents.
    pub agents: IndexSet<AgentId>,
}

/// The record of the agents on which a job may have runs.
#[derive(Debug, Clone, Default)]
pub(crate) struct PlacementRecord {
    /// Agents that the stored record certainly names, whether a write in flight has been carried out or not.
    stored: IndexSet<AgentId>,
    /// The record that is being written.
    submitted: Option<IndexSet<AgentId>>,
    /// Agents with placements that are in neither of them.
    wanted: IndexSet<AgentId>,
    /// Agents that may have runs although the stored record may not name them.
    exposed: IndexSet<AgentId>,
}

impl PlacementRecord {
    /// Returns whether the stored record certainly names an agent.
    pub(crate) fn contains(&self, agent: &AgentId) -> bool {
        self.stored.contains(agent)
    }

    /// Returns whether a write is in flight.
    pub(crate) fn is_being_written(&self) -> bool {
        self.submitted.is_some()
    }

    /// Records that a start on an agent is to be ordered; returns whether that needs a write.
    fn want(&mut self, agent: &AgentId) -> bool {
        let is_submitted = self.submitted.as_ref();
        let is_submitted = is_submitted.is_some_and(|agents| agents.contains(agent));
        if self.contains(agent) || is_submitted {
            return false;
        }
        self.wanted.insert(agent.clone())
    }

    /// Records that an agent may have a run of the job.
    fn expose(&mut self, agent: &AgentId) {
        if !self.contains(agent) {
            self.exposed.insert(agent.clone());
        }
    }

    /// Takes the agents to store, those that are selected, unless none is missing in the stored record.
    fn submit(&mut self, selected: impl Fn(&AgentId) -> bool) -> Option<IndexSet<AgentId>> {
        let mut wanted = std::mem::take(&mut self.wanted);
        wanted.retain(&selected);
        // The runs on agents that are not selected have ended.
        self.exposed.retain(&selected);
        if wanted.is_empty() {
            return None;
        }
        self.stored.retain(&selected);
        let agents: IndexSet<AgentId> = self.stored.iter().cloned().chain(wanted).collect();
        self.submitted = Some(agents.clone());
        Some(agents)
    }

    /// Records that the write was carried out.
    fn mark_stored(&mut self) {
        if let Some(stored) = self.submitted.take() {
            self.exposed.retain(|agent| !stored.contains(agent));
            self.stored = stored;
        }
    }
}

/// What this owner knows of the records of placements.
#[derive(Debug, Clone)]
pub(crate) struct Records {
    statement: RecordsStatement,
    /// Jobs whose records lack agents.
    due: IndexSet<JobId>,
    /// The roster that earlier owners stored.
    roster: IndexSet<AgentId>,
    /// Agents of that roster that obey this owner, and to which the latest earlier owner stated that the records were
    /// complete.
    witnesses: IndexSet<AgentId>,
}

impl Records {
    pub(crate) fn new(epoch: Epoch, roster: IndexSet<AgentId>) -> Self {
        Self {
            statement: RecordsStatement {
                epoch,
                sequence: 0,
                state: RecordsState::Recovering,
            },
            due: IndexSet::new(),
            roster,
            witnesses: IndexSet::new(),
        }
    }

    /// Returns what this owner states to the agents.
    pub(crate) fn statement(&self) -> RecordsStatement {
        self.statement
    }

    /// Returns whether the records of earlier owners are known to be complete.
    ///
    /// An earlier owner orders starts that are not recorded only after a majority of the roster has learned that the
    /// records are incomplete, so that not all agents of another majority can repeat the statement that they are complete.
    pub(crate) fn are_proven(&self) -> bool {
        is_majority(&self.witnesses, &self.roster)
    }

    fn state(&mut self, state: RecordsState) {
        self.statement.sequence += 1;
        self.statement.state = state;
        log::info!(
            target: "limpethook",
            epoch = self.statement.epoch, sequence = self.statement.sequence, state:? = state;
            "records_stated"
        );
    }
}

/// Returns whether a part of the agents is a majority of the roster.
fn is_majority(part: &IndexSet<AgentId>, roster: &IndexSet<AgentId>) -> bool {
    let present = roster.iter().filter(|agent| part.contains(*agent));
    2 * present.count() > roster.len()
}

impl Scheduler {
    /// Sets the stored record of the agents on which a loaded job may have runs.
    pub fn load_placements(&mut self, job: JobId, agents: IndexSet<AgentId>) {
        if let Some(job) = self.jobs.get_mut(&job) {
            job.record.stored = agents;
        }
    }

    /// Records that a run of a job was placed on an agent, or that the agent may have one already.
    pub(crate) fn record_agent(&mut self, job: JobId, agent: &AgentId, may_have_run: bool) {
        let Some(job) = self.jobs.get_mut(&job) else {
            return;
        };
        if job.record.want(agent) {
            self.records.due.insert(job.id);
        }
        if may_have_run {
            job.record.expose(agent);
        }
    }

    /// Takes up to `limit` records to store, at most one per job in flight.
    pub fn take_placements(&mut self, limit: usize) -> Vec<PlacementChange> {
        let mut changes = Vec::new();
        for id in self.records.due.clone() {
            if changes.len() >= limit {
                break;
            }
            let Some(job) = self.jobs.get_mut(&id).filter(|job| job.end.is_none()) else {
                self.records.due.shift_remove(&id);
                continue;
            };
            if job.record.is_being_written() {
                continue;
            }
            self.records.due.shift_remove(&id);
            let (workers, pending) = (&self.workers, &self.pending_agents);
            let may_have_runs = |agent: &AgentId| {
                let worker = workers.get(agent);
                pending.contains(agent) || worker.is_some_and(|worker| worker.may_have_runs_of(id))
            };
            if let Some(agents) = job.record.submit(may_have_runs) {
                changes.push(PlacementChange { job: id, agents });
            }
        }
        changes
    }

    /// Records that the records of jobs that were taken last were stored.
    pub fn mark_placements_stored(&mut self, jobs: &[JobId]) {
        for id in jobs {
            if let Some(job) = self.jobs.get_mut(id) {
                job.record.mark_stored();
            }
        }
    }

    /// Applies what the agent of a report repeats of the statements of earlier owners.
    pub(crate) fn apply_records_statement(&mut self, report: &WorkerReport, now: Duration) {
        if self.recovery_deadline.is_none() || report.owner_epoch < self.epoch {
            return;
        }
        let is_complete = report.records.is_some_and(|stated| {
            stated.epoch < self.epoch && stated.state == RecordsState::Complete
        });
        if !is_complete || self.records.are_proven() {
            return;
        }
        self.records.witnesses.insert(report.agent.clone());
        if self.records.are_proven() {
            log::info!(
                target: "limpethook",
                epoch = self.epoch, agents = self.records.witnesses.len(), roster = self.records.roster.len(),
                after_ms = now.saturating_sub(self.recovery_started_at).as_millis();
                "records_proven"
            );
            self.end_job_recoveries();
        }
    }

    /// Updates the statement of this owner: the records are complete if those of earlier owners are, or recovery has ended,
    /// and no adopted run is missing.
    pub fn update_records(&mut self) {
        if self.records.statement.state == RecordsState::Complete {
            return;
        }
        let is_recovered = self.recovery_deadline.is_none() || self.records.are_proven();
        if is_recovered && !self.has_exposed_runs() {
            self.records.state(RecordsState::Complete);
        }
    }

    /// Returns whether an agent may have a run of a job that is not stored as ended, and whose record may lack the agent.
    fn has_exposed_runs(&self) -> bool {
        let is_ended = |job: &Job| job.end.is_some() && job.stored_version >= job.version;
        let mut jobs = self.jobs.values();
        jobs.any(|job| !job.record.exposed.is_empty() && !is_ended(job))
    }
}
