//! What an owner of the takeover model knows.

use crate::placements::agent::{Agent, Run};
use crate::placements::{AGENTS, ALL_AGENTS, AgentIndex, AgentSet, Epoch, JOBS, Mutant, Store};

/// What an owner knows of the runs of earlier owners.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum Recovery {
    /// Any agent that was not heard may have a run of any job.
    Unrecorded,
    /// Agents that were not heard have runs of a job only if its set names them.
    Recorded,
    /// All agents were heard, or the leases of the others have lapsed.
    Ended,
}

/// A run that the owner takes for present.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct Placement {
    pub(crate) agent: AgentIndex,
    pub(crate) run: Run,
    pub(crate) life: u8,
}

/// A job as known to an owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct JobView {
    /// Agents that the stored set certainly names, whether a write in flight has been carried out or not.
    pub(crate) stored: AgentSet,
    /// The set that is being written.
    pub(crate) submitted: Option<AgentSet>,
    /// Whether the known revision of the key is the current one.
    pub(crate) is_current: bool,
    pub(crate) placement: Option<Placement>,
}

/// An owner.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct Owner {
    pub(crate) epoch: Epoch,
    /// Whether it lets agents renew leases.
    pub(crate) is_acting: bool,
    /// Whether its lease in the store cannot have lapsed.
    pub(crate) is_leased: bool,
    pub(crate) recovery: Recovery,
    /// Whether it has found its sets to name all agents with runs.
    pub(crate) is_recorded: bool,
    /// Agents that have confirmed the epoch, and the life of each.
    pub(crate) heard: AgentSet,
    pub(crate) lives: [u8; AGENTS],
    pub(crate) jobs: [JobView; JOBS],
    pub(crate) last_run: u8,
}

impl Owner {
    /// Creates an owner from the records in the store.
    pub(crate) fn new(store: Store, recovery: Recovery) -> Self {
        Self {
            epoch: store.owner,
            is_acting: true,
            is_leased: true,
            recovery,
            is_recorded: false,
            heard: 0,
            lives: [0; AGENTS],
            jobs: store.sets.map(|set| JobView {
                stored: set,
                submitted: None,
                is_current: true,
                placement: None,
            }),
            last_run: 0,
        }
    }

    /// Creates the first owner, which has heard all agents.
    pub(crate) fn first(store: Store) -> Self {
        Self {
            heard: ALL_AGENTS,
            ..Self::new(store, Recovery::Ended)
        }
    }

    /// Ends the lease in the store. From then on, the owner only goes on to answer agents.
    pub(crate) fn end_lease(&mut self) {
        let store = Store {
            owner: self.epoch,
            sets: [0; JOBS],
            is_recording: false,
        };
        *self = Self {
            is_acting: self.is_acting,
            is_leased: false,
            ..Self::new(store, Recovery::Unrecorded)
        };
    }

    pub(crate) fn has_heard(&self, agent: AgentIndex) -> bool {
        self.heard & (1 << agent) != 0
    }

    /// Applies the report of an agent.
    pub(crate) fn apply_report(&mut self, index: AgentIndex, agent: &Agent, mutant: Mutant) {
        let is_confirmed = agent.epoch == self.epoch;
        let is_outdated = self.has_heard(index) && agent.life < self.lives[index];
        if is_outdated || !is_confirmed && mutant != Mutant::UnconfirmedReportCounts {
            return;
        }
        self.apply_runs(index, agent);
        self.heard |= 1 << index;
        self.lives[index] = agent.life;
        if self.heard == ALL_AGENTS {
            self.recovery = Recovery::Ended;
        }
    }

    fn apply_runs(&mut self, index: AgentIndex, agent: &Agent) {
        for (job, view) in self.jobs.iter_mut().enumerate() {
            match view.placement {
                Some(placement) if placement.agent == index => {
                    let is_over = agent.ended[job] >= Some(placement.run);
                    if is_over || agent.life > placement.life {
                        view.placement = None;
                    }
                }
                Some(_) => continue,
                None => {}
            }
            if let (None, Some(run)) = (view.placement, agent.runs[job]) {
                view.placement = Some(Placement {
                    agent: index,
                    run,
                    life: agent.life,
                });
            }
        }
    }
}
