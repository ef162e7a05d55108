//! Takeover of a cell whose owners record in the store on which agents a job may have runs.
//!
//! An owner orders a start on an agent only once the stored set of the job names the agent. So a new owner waits, for each
//! job, only for the agents of its set that it has not heard. An earlier owner may be of a version that keeps no records;
//! beside such an owner, a new one waits for all agents, or for the deadline.
//!
//! The store applies writes late, without an answer, or never. Instructions and reports may be late, lost and overtaken.
//! Every owner goes on to answer agents, cut off from the store or not, until the deadline of a later one.
//!
//! Time is abstract: a takeover may happen at any moment and ends the store lease of the owner before, and a deadline may
//! pass at any moment and ends the worker leases that its owner waits for.

mod agent;
mod deliveries;
mod owner;
mod rules;
mod steps;
mod symmetry;
mod writes;

use std::collections::BTreeSet;

use crate::placements::agent::{Agent, Run};
use crate::placements::owner::{Owner, Recovery};

/// A number of an owner; each has a higher one than the one before.
pub type Epoch = u8;
/// A number of an agent.
pub type AgentIndex = usize;
/// A set of agents, with a bit for each.
pub type AgentSet = u8;
/// A number of a job.
pub type JobIndex = usize;

/// Number of agents.
pub const AGENTS: usize = 3;
/// Maximum number of jobs.
pub const JOBS: usize = 2;
/// All agents.
pub const ALL_AGENTS: AgentSet = (1 << AGENTS) - 1;

/// A fault to inject into the protocol: a safeguard that is removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// No fault.
    None,
    /// A start is ordered before the set with its agent is stored.
    StartBeforeRecord,
    /// An agent is left out of a set while a run may be there.
    ShrinkBeforeEnd,
    /// The store writes a set without comparing its revision.
    NoRevisionCheck,
    /// An owner goes on to rely on a set while a write that shrinks it is unanswered.
    UnansweredShrinkIgnored,
    /// An owner orders starts after its lease in the store could have lapsed.
    StartWithoutLease,
    /// A report counts before it confirms the epoch of the new owner.
    UnconfirmedReportCounts,
    /// A new owner relies on the sets although an earlier one kept none.
    RelyWithoutRecords,
    /// An owner counts itself as recording before its recovery has ended.
    RecordingBeforeRecovery,
    /// An owner counts itself as recording before the runs that it adopted are recorded.
    RecordingBeforeAdoptedStored,
    /// An owner waits for all agents, whatever the sets name.
    WaitForAll,
}

/// The limits of an exploration.
#[derive(Debug, Clone, Copy)]
pub struct Bound {
    /// Maximum number of owners.
    pub owners: Epoch,
    /// Owner of a version that keeps no records; 0 for none.
    pub unrecording: Epoch,
    /// Number of jobs.
    pub jobs: usize,
    /// Maximum number of runs that an owner starts.
    pub runs: u8,
    /// Maximum number of sets to write; each write is repeated until it is answered.
    pub writes: u8,
    /// Maximum number of late messages and writes.
    pub late: u8,
    /// Maximum number of restarts of an agent's process alone.
    pub restarts: u8,
    /// Maximum number of restarts of an agent's machine.
    pub reboots: u8,
    /// Maximum number of runs that end by themselves.
    pub ends: u8,
    /// The injected fault.
    pub mutant: Mutant,
}

/// Faults and ends so far, each up to its bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub(crate) struct Used {
    pub(crate) writes: u8,
    pub(crate) late: u8,
    pub(crate) restarts: u8,
    pub(crate) reboots: u8,
    pub(crate) ends: u8,
}

/// The keys in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct Store {
    pub(crate) owner: Epoch,
    /// Agents on which each job may have runs.
    pub(crate) sets: [AgentSet; JOBS],
    /// Whether all recent owners are listed as recording.
    pub(crate) is_recording: bool,
}

/// A message or write that takes effect at any later time, or never.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum Late {
    /// Replaces the set of a job, on the condition that the owner still owns the cell and the key is unchanged.
    Write {
        epoch: Epoch,
        job: JobIndex,
        set: AgentSet,
        is_current: bool,
    },
    /// Tells an agent the epoch of the owner, and may order a start on a life of its worker.
    Instruction(AgentIndex, Epoch, Option<(JobIndex, Run, u8)>),
    /// The state of an agent, reported to the owner with this epoch.
    Report(Epoch, AgentIndex, Agent),
}

/// One state of the system.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct State {
    pub(crate) store: Store,
    /// The owners by epoch, starting with epoch 1.
    pub(crate) owners: Vec<Owner>,
    pub(crate) agents: [Agent; AGENTS],
    pub(crate) late: BTreeSet<Late>,
    pub(crate) used: Used,
}

impl State {
    /// Returns the state in which the first owner has heard all agents and nothing runs.
    pub fn initial(bound: &Bound) -> Self {
        let store = Store {
            owner: 1,
            sets: [0; JOBS],
            is_recording: bound.unrecording != 1,
        };
        let agent = Agent::following(1);
        Self {
            store,
            owners: vec![Owner::first(store)],
            agents: std::array::from_fn(|_| agent.clone()),
            late: BTreeSet::new(),
            used: Used::default(),
        }
    }

    /// Returns whether the state breaks a property of the protocol.
    pub fn violates(&self, bound: &Bound) -> bool {
        self.runs_twice() || self.lacks_record() || self.waits_needlessly(bound)
    }

    /// Returns whether a job runs on two agents.
    pub fn runs_twice(&self) -> bool {
        (0..JOBS).any(|job| {
            let runs_job = |agent: &&Agent| agent.runs[job].is_some();
            self.agents.iter().filter(runs_job).count() > 1
        })
    }

    /// Returns whether a set lacks a run, although the latest owner relies on the sets, or the next one would.
    pub fn lacks_record(&self) -> bool {
        let relies = |owner: &Owner| owner.recovery == Recovery::Recorded;
        let are_relied_on = self.store.is_recording || self.owners.last().is_some_and(relies);
        are_relied_on
            && self.agents.iter().enumerate().any(|(index, agent)| {
                let is_unrecorded = |job: JobIndex| {
                    agent.runs[job].is_some() && self.store.sets[job] & (1 << index) == 0
                };
                (0..JOBS).any(is_unrecorded)
            })
    }

    /// Returns whether the latest owner holds a job back, although it relies on the sets and has heard all agents that the
    /// stored set of the job names.
    pub fn waits_needlessly(&self, bound: &Bound) -> bool {
        self.owners.last().is_some_and(|owner| {
            let is_free = |job: JobIndex| self.store.sets[job] & !owner.heard == 0;
            owner.recovery == Recovery::Recorded
                && (0..JOBS).any(|job| is_free(job) && !owner.may_place(job, bound.mutant))
        })
    }

    /// Returns whether the latest owner has placed a job although it has not heard all agents.
    pub fn has_placed_before_all_heard(&self) -> bool {
        self.owners.last().is_some_and(|owner| {
            owner.recovery == Recovery::Recorded && owner.last_run > 0 && owner.heard != ALL_AGENTS
        })
    }

    pub(crate) fn with_change(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut next = self.clone();
        change(&mut next);
        next
    }
}
