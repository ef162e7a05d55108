//! Records of placements: the store names, for each job, the agents on which the job may have runs.
//!
//! A start is ordered only once the stored record of its job names the agent. So a new owner waits, for each job, only for
//! the agents that its record names. Owners of earlier versions kept no records; while one of them may have placed runs, a
//! new owner does not rely on the records.

use std::time::Duration;

use indexmap::IndexSet;
use model::{AgentId, JobId};

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
    /// Since when a placement waits for the record.
    waiting_since: Option<Duration>,
    /// Agents that may have runs although the stored record may not name them.
    exposed: IndexSet<AgentId>,
}

impl PlacementRecord {
    /// Returns whether the stored record certainly names an agent.
    pub(crate) fn contains(&self, agent: &AgentId) -> bool {
        self.stored.contains(agent)
    }

    /// Returns whether the stored record names any of the agents.
    pub(crate) fn names_any(&self, agents: &IndexSet<AgentId>) -> bool {
        self.stored.iter().any(|agent| agents.contains(agent))
    }

    /// Returns whether a write is in flight.
    pub(crate) fn is_being_written(&self) -> bool {
        self.submitted.is_some()
    }

    /// Records that a start on an agent is to be ordered; returns whether that needs a write.
    fn want(&mut self, agent: &AgentId, now: Duration) -> bool {
        if self.contains(agent) {
            return false;
        }
        self.waiting_since.get_or_insert(now);
        let submitted = self.submitted.as_ref();
        if submitted.is_some_and(|agents| agents.contains(agent)) {
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
            self.waiting_since = None;
            return None;
        }
        self.stored.retain(&selected);
        let agents: IndexSet<AgentId> = self.stored.iter().cloned().chain(wanted).collect();
        self.submitted = Some(agents.clone());
        Some(agents)
    }

    /// Takes the agents to store that are selected, if the stored record names others as well.
    fn submit_shrunk(&mut self, selected: impl Fn(&AgentId) -> bool) -> Option<IndexSet<AgentId>> {
        let before = self.stored.len();
        self.stored.retain(selected);
        if self.stored.len() == before {
            return None;
        }
        self.submitted = Some(self.stored.clone());
        self.submitted.clone()
    }

    /// Records that the write was carried out; returns since when placements waited for it.
    fn mark_stored(&mut self) -> Option<Duration> {
        let stored = self.submitted.take()?;
        self.exposed.retain(|agent| !stored.contains(agent));
        self.stored = stored;
        let since = self.waiting_since.take();
        if !self.wanted.is_empty() {
            self.waiting_since = since;
        }
        since
    }
}

/// What this owner knows of the records of placements.
#[derive(Debug, Clone, Default)]
pub(crate) struct Records {
    /// Whether the records name all agents on which earlier owners may have placed runs.
    reliable: bool,
    /// Jobs whose records lack agents.
    due: IndexSet<JobId>,
    /// Jobs with a stored end since the records were last compared with the runs.
    ended_runs: IndexSet<JobId>,
    /// Jobs whose records may name agents without runs.
    outdated: IndexSet<JobId>,
}

impl Records {
    /// Returns whether the records name all agents on which earlier owners may have placed runs.
    pub(crate) fn are_reliable(&self) -> bool {
        self.reliable
    }
}

impl Scheduler {
    /// Sets the stored record of the agents on which a loaded job may have runs.
    pub fn load_placements(&mut self, job: JobId, agents: IndexSet<AgentId>) {
        if let Some(job) = self.jobs.get_mut(&job) {
            job.record.stored = agents;
        }
    }

    /// Relies on the loaded records, because all earlier owners kept them: jobs wait only for the agents that their records
    /// name.
    pub fn rely_on_records(&mut self) {
        self.records.reliable = true;
        self.end_job_recoveries();
    }

    /// Returns whether the stored records name all agents on which jobs may have runs, so that the next owner may rely on them.
    pub fn are_records_complete(&self) -> bool {
        let is_recovered = self.records.reliable || self.recovery_deadline.is_none();
        is_recovered && !self.has_exposed_runs()
    }

    /// Records that a run of a job was placed on an agent, or that the agent may have one already.
    pub(crate) fn record_agent(
        &mut self,
        job: JobId,
        agent: &AgentId,
        may_have_run: bool,
        now: Duration,
    ) {
        let Some(job) = self.jobs.get_mut(&job) else {
            return;
        };
        if job.record.want(agent, now) {
            self.records.due.insert(job.id);
        }
        if may_have_run {
            job.record.expose(agent);
        }
    }

    /// Takes up to `limit` records to store, at most one per job in flight.
    pub fn take_placements(&mut self, limit: usize) -> Vec<PlacementChange> {
        let mut changes = Vec::new();
        for id in std::mem::take(&mut self.records.due) {
            let Some(job) = self.jobs.get_mut(&id).filter(|job| job.end.is_none()) else {
                continue;
            };
            if changes.len() >= limit || job.record.is_being_written() {
                self.records.due.insert(id);
                continue;
            }
            let (workers, pending) = (&self.workers, &self.pending_agents);
            let may_have_runs = |agent: &AgentId| {
                let worker = workers.get(agent);
                pending.contains(agent) || worker.is_some_and(|worker| worker.may_have_runs_of(id))
            };
            if let Some(agents) = job.record.submit(may_have_runs) {
                changes.push(PlacementChange { job: id, agents });
            }
        }
        self.take_outdated_records(limit, &mut changes);
        changes
    }

    /// Takes the records that name agents without runs, so that their jobs do not wait for these agents after a takeover.
    fn take_outdated_records(&mut self, limit: usize, changes: &mut Vec<PlacementChange>) {
        for id in std::mem::take(&mut self.records.outdated) {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            // A record that lacks agents is compared when these are added.
            if job.end.is_some() || job.awaiting_recovery || !job.record.wanted.is_empty() {
                continue;
            }
            if changes.len() >= limit || job.record.is_being_written() {
                self.records.outdated.insert(id);
                continue;
            }
            let workers = &self.workers;
            let may_have_runs = |agent: &AgentId| {
                let worker = workers.get(agent);
                worker.is_none_or(|worker| worker.may_have_runs_of(id))
            };
            if let Some(agents) = job.record.submit_shrunk(may_have_runs) {
                changes.push(PlacementChange { job: id, agents });
            }
        }
    }

    /// Notes a job of which an end was stored, so that its record may name an agent without runs.
    pub(crate) fn note_stored_end(&mut self, id: JobId) {
        let job = self.jobs.get(&id);
        if job.is_some_and(|job| !job.record.stored.is_empty()) {
            self.records.ended_runs.insert(id);
        }
    }

    /// Lets the records be compared with the runs of the jobs of which ends were stored. This is done at an interval, because
    /// most of these jobs need another agent soon, or end.
    pub(crate) fn check_records(&mut self) {
        let ended = std::mem::take(&mut self.records.ended_runs);
        self.records.outdated.extend(ended);
    }

    /// Records that the records of jobs that were taken last were stored.
    pub fn mark_placements_stored(&mut self, jobs: &[JobId], now: Duration) {
        for id in jobs {
            if let Some(job) = self.jobs.get_mut(id) {
                let since = job.record.mark_stored();
                let delay = since.map(|since| now.saturating_sub(since));
                self.record_delays.extend(delay);
            }
        }
    }

    /// Takes the delays of starts by the writes of records since the last call.
    pub fn take_record_delays(&mut self) -> Vec<Duration> {
        std::mem::take(&mut self.record_delays)
    }

    /// Returns whether an agent may have a run of a job that is not stored as ended, and whose record may lack the agent.
    fn has_exposed_runs(&self) -> bool {
        let is_ended = |job: &Job| job.end.is_some() && job.stored_version >= job.version;
        let mut jobs = self.jobs.values();
        jobs.any(|job| !job.record.exposed.is_empty() && !is_ended(job))
    }
}
