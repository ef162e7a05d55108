//! Blackboard shared by the controllers of an entry.

use std::sync::Arc;

use board::Section;
use errors::Result;
use model::Epoch;
use wire::Leader;

use crate::configuration::Configuration;
use crate::evacuations::Evacuations;
use crate::in_force::InForce;
use crate::leader::{Leading, Owner};
use crate::members::Members;
use crate::serve::not_owner_error;

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
    /// Entries and owner of the cell, once the store has been read; written by the members controller.
    pub(crate) members: Section<Option<Members>>,
    /// Newest owner announced by another entry; written by the handler of announcements.
    pub(crate) announced_leader: Section<Option<Leader>>,
    /// The owner in this process, once it has loaded its records, with the board that it writes; written by the ownership
    /// controller.
    pub(crate) owner: Section<Option<Arc<Owner<Leading>>>>,
}

impl CellBoard {
    /// Returns the known owner with the highest epoch.
    pub(crate) fn leader(&self) -> Option<Leader> {
        let members = self.members.load();
        let stored = members
            .as_ref()
            .as_ref()
            .and_then(|known| known.leader.clone());
        let announced = self.announced_leader.load().as_ref().clone();
        stored
            .into_iter()
            .chain(announced)
            .max_by_key(|leader| leader.epoch)
    }

    /// Ends the owner in this process if its epoch is lower than that of another owner.
    pub(crate) fn end_owner_before(&self, epoch: Epoch) {
        if let Ok(owner) = self.owner()
            && owner.handle.epoch < epoch
        {
            owner.handle.end();
        }
    }

    /// Returns the owner in this process, or an error if this process does not own the cell.
    pub(crate) fn owner(&self) -> Result<Arc<Owner<Leading>>> {
        let owner = self.owner.load();
        let owner = owner
            .as_ref()
            .as_ref()
            .filter(|owner| !owner.handle.has_ended());
        owner.map(Arc::clone).ok_or_else(not_owner_error)
    }
}
