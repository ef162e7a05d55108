//! The store: records of jobs, of placements and of the roster, with writes that take time or stall.

use std::sync::Arc;
use std::time::Duration;

use graph::{Change, Content, PlacementChange, Progress};
use indexmap::{IndexMap, IndexSet};
use model::{AcceptedJob, AgentId, Epoch, JobEnd, JobId, TaskId};

/// A job in the store.
#[derive(Debug, Clone)]
pub(crate) struct StoredJob {
    pub(crate) spec: Arc<AcceptedJob>,
    pub(crate) progress: Option<Progress>,
    pub(crate) end: Option<JobEnd>,
}

/// The records, which only the owner with the stored epoch may write.
#[derive(Debug, Default)]
pub(crate) struct Store {
    pub(crate) epoch: Epoch,
    pub(crate) jobs: IndexMap<JobId, StoredJob>,
    pub(crate) placements: IndexMap<JobId, IndexSet<AgentId>>,
    pub(crate) roster: IndexSet<AgentId>,
    /// Whether a recent owner is not listed as recording.
    pub(crate) lacks_records: bool,
    /// Writes are not answered before this time.
    pub(crate) stalls_until: Duration,
    /// Whether the answers to some writes are lost, so that they are repeated.
    pub(crate) loses_answers: bool,
    /// Which owner stored the end of each unit, and when, by job, step and first task.
    done_units: IndexMap<(JobId, u32, u32), (Epoch, Duration)>,
    ended_jobs: IndexMap<JobId, (Epoch, Duration)>,
}

/// A write of an owner.
#[derive(Debug, Clone)]
pub(crate) enum Write {
    Jobs(Vec<Change>),
    Placements(Vec<PlacementChange>),
    Roster(IndexSet<AgentId>),
    /// Lists the owner as the only recent one, after which the records of placements are complete.
    Recording,
}

/// A write that is under way. It is repeated until it is answered.
#[derive(Debug, Clone)]
pub(crate) struct PendingWrite {
    pub(crate) write: Write,
    /// When it is carried out, unless the store stalls.
    pub(crate) lands_at: Duration,
    /// Whether it is carried out while the store stalls; only the answer is missing then.
    pub(crate) lands_in_stall: bool,
    pub(crate) answered_at: Duration,
    pub(crate) has_landed: bool,
}

impl Store {
    pub(crate) fn is_stalled(&self, now: Duration) -> bool {
        now < self.stalls_until
    }

    /// Carries out a write of the owner that owns the cell.
    pub(crate) fn apply(&mut self, write: &Write, now: Duration) {
        match write {
            Write::Jobs(changes) => {
                for change in changes {
                    self.apply_change(change, now);
                }
            }
            Write::Placements(changes) => {
                for change in changes {
                    let agents = change.agents.clone();
                    self.placements.insert(change.job, agents);
                }
            }
            Write::Roster(agents) => self.roster.clone_from(agents),
            Write::Recording => self.lacks_records = false,
        }
    }

    fn apply_change(&mut self, change: &Change, now: Duration) {
        let Some(job) = self.jobs.get_mut(&change.job) else {
            return;
        };
        match &change.content {
            Content::Progress(progress) => {
                for unit in progress.units.iter().filter(|unit| unit.done) {
                    let key = (change.job, unit.step, unit.first);
                    self.done_units.entry(key).or_insert((self.epoch, now));
                }
                job.progress = Some(progress.clone());
            }
            Content::Ended(end) => {
                job.end = Some(*end);
                self.ended_jobs.insert(change.job, (self.epoch, now));
                self.placements.swap_remove(&change.job);
            }
        }
    }

    /// Returns which owner stored, and when, that a task needs no further run.
    pub(crate) fn done(&self, task: TaskId) -> Option<(Epoch, Duration)> {
        let step = &self.jobs.get(&task.job)?.spec.graph.steps[task.step as usize];
        let first = if step.gang { 0 } else { task.index };
        let unit = self.done_units.get(&(task.job, task.step, first));
        unit.or_else(|| self.ended_jobs.get(&task.job)).copied()
    }
}
