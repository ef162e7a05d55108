//! Blackboard shared by the controllers of an entry.

use std::sync::Arc;

use board::Section;
use graph::JobUsage;
use indexmap::IndexMap;
use model::{Epoch, JobId, JobState, QueueId};
use wire::Leader;

use crate::configuration::Configuration;
use crate::evacuations::Evacuations;
use crate::in_force::InForce;
use crate::leader::LeaderHandle;
use crate::members::Members;

/// Job states as last published by the owner.
#[derive(Debug, Clone, Default)]
pub struct JobStates {
    /// Epoch of the owner, or 0 if this entry is not the owner.
    pub epoch: Epoch,
    /// State of each job.
    pub jobs: IndexMap<JobId, JobState>,
    /// Number of waiting jobs by queue.
    pub waiting: IndexMap<QueueId, u32>,
}

/// Snapshots shared by the controllers. Each section has one writer, and requests read it without
/// locking.
#[derive(Debug, Default)]
pub struct CellBoard {
    /// Configuration by which requests are handled; written together with `in_force`.
    pub configuration: Section<Arc<Configuration>>,
    /// Newest known configuration and its confirmation; written by [`Entry::record_configuration`].
    ///
    /// [`Entry::record_configuration`]: crate::entry::Entry::record_configuration
    pub(crate) in_force: Section<InForce>,
    /// Evacuated data centres; written by the check of the configuration.
    pub(crate) evacuations: Section<Evacuations>,
    /// Entries and owner of the cell; written by the members controller.
    pub(crate) members: Section<Members>,
    /// Newest owner announced by another entry; written by the handler of announcements.
    pub(crate) announced_leader: Section<Option<Leader>>,
    /// Handle to the owner in this process; written by the ownership controller.
    pub(crate) local_leader: Section<Option<LeaderHandle>>,
    /// Job states of the owner in this process; written by the owner.
    pub states: Section<JobStates>,
    /// Memory that the jobs of the owner in this process take; written by the owner.
    pub(crate) job_usage: Section<JobUsage>,
    /// Jobs that wait at the owner in this process, one line each, for operators; written by the owner.
    pub waits: Section<Box<str>>,
}

impl CellBoard {
    /// Returns the known owner with the highest epoch.
    pub(crate) fn leader(&self) -> Option<Leader> {
        let stored = self.members.load().leader.clone();
        let announced = self.announced_leader.load().as_ref().clone();
        stored
            .into_iter()
            .chain(announced)
            .max_by_key(|leader| leader.epoch)
    }
}
