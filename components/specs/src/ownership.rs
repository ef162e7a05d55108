//! Ownership with fencing: two candidates, a store with lost and late writes, and one agent.
//!
//! The store may end any lease at any moment, which covers holders that are paused or cut off. A write takes effect at any
//! later moment or never, and its answer is never used; processes read instead, and a read may be old when it is used.

use std::collections::BTreeSet;

use membership::fencing::Fence;
use membership::ownership::{
    Candidate, CellRecord, CellView, Duty, Holder, LeaseId, OWNER_LEASE_TERM, RenewalOutcome,
    SendDecision, Step,
};
use model::{Epoch, Revision};

use crate::clock::{Tick, at, ticks};

/// A guard that is removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// The protocol as shipped.
    None,
    /// The agent accepts every epoch.
    NoFence,
    /// The store writes the cell record without comparing its revision.
    NoCompare,
}

/// The limits of an exploration.
#[derive(Debug, Clone, Copy)]
pub struct Bound {
    /// The last tick; time passes in steps of the lease term.
    pub horizon: Tick,
    /// Number of leases that the store grants.
    pub leases: LeaseId,
    /// The guard that is removed.
    pub mutant: Mutant,
}

/// A write that has not reached the store.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Write {
    TakeHolder(LeaseId),
    /// Owner, epoch, lease and the expected revision.
    Raise(usize, Epoch, LeaseId, Revision),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Process {
    Idle,
    Candidate(Duty<Candidate>, Option<(CellView, Tick)>),
    Holder(Duty<Holder>),
}

/// One state of the system.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    now: Tick,
    processes: Vec<Process>,
    view: CellView,
    alive: BTreeSet<LeaseId>,
    granted: LeaseId,
    writes: BTreeSet<Write>,
    /// Reservations in flight by owner and epoch; each may arrive late and more than once.
    reservations: BTreeSet<(usize, Epoch)>,
    fence: Fence,
    /// Accepted epochs by owner; an owner that is accepted below the highest epoch breaks fencing.
    accepted: BTreeSet<(Epoch, usize)>,
    broken: bool,
}

impl State {
    /// Returns the state before anybody owns the cell.
    pub fn initial() -> Self {
        Self {
            now: 0,
            processes: vec![Process::Idle; 2],
            view: CellView::default(),
            alive: BTreeSet::new(),
            granted: 0,
            writes: BTreeSet::new(),
            reservations: BTreeSet::new(),
            fence: Fence::default(),
            accepted: BTreeSet::new(),
            broken: false,
        }
    }

    /// Returns whether an epoch fell, two owners shared an epoch, or an agent accepted an owner it had left behind.
    pub fn violates(&self) -> bool {
        let mut epochs = BTreeSet::new();
        let unique = self.accepted.iter().all(|(epoch, _)| epochs.insert(epoch));
        let holders: Vec<_> = self.processes.iter().filter_map(epoch_of).collect();
        let shared = holders.len() == 2 && holders[0] == holders[1];
        self.broken || !unique || shared
    }

    /// Returns every state that one step reaches.
    pub fn successors(&self, bound: Bound) -> Vec<Self> {
        let mut next = Vec::new();
        if self.now < bound.horizon {
            next.push(self.with(|next| next.now += ticks(OWNER_LEASE_TERM)));
        }
        for process in 0..self.processes.len() {
            next.extend(self.process_steps(process, bound));
        }
        for lease in &self.alive {
            next.push(self.with(|next| next.lapse(*lease)));
        }
        for write in &self.writes {
            next.push(self.with(|next| next.store(write, bound)));
        }
        for &(owner, epoch) in &self.reservations {
            next.push(self.with(|next| next.reserve(owner, epoch, bound)));
        }
        next
    }

    fn with(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut next = self.clone();
        change(&mut next);
        next
    }

    fn process_steps(&self, process: usize, bound: Bound) -> Vec<Self> {
        match &self.processes[process] {
            Process::Idle if self.granted < bound.leases => {
                vec![self.with(|next| next.grant(process))]
            }
            Process::Idle => Vec::new(),
            Process::Candidate(duty, None) => {
                let read = Some((self.view.clone(), self.now));
                let duty = duty.clone();
                vec![self.with(|next| next.processes[process] = Process::Candidate(duty, read))]
            }
            Process::Candidate(duty, Some((view, asked))) => {
                let step = duty.clone().decide(view, at(*asked), at(self.now));
                vec![self.with(|next| next.carry_out(process, step))]
            }
            Process::Holder(duty) => self.holder_steps(process, duty),
        }
    }

    fn grant(&mut self, process: usize) {
        self.granted += 1;
        self.alive.insert(self.granted);
        let duty = Duty::granted(process.to_string().into(), self.granted, at(self.now));
        self.processes[process] = Process::Candidate(duty, None);
    }

    fn carry_out(&mut self, process: usize, step: Step) {
        self.processes[process] = match step {
            Step::Wait(duty) => Process::Candidate(duty, None),
            Step::TakeHolder(duty, lease) => {
                self.writes.insert(Write::TakeHolder(lease));
                Process::Candidate(duty, None)
            }
            Step::RaiseEpoch {
                duty,
                record,
                expected,
            } => {
                let write = Write::Raise(process, record.epoch, record.lease, expected);
                self.writes.insert(write);
                Process::Candidate(duty, None)
            }
            Step::Own(duty) => Process::Holder(duty),
            Step::Restart(_) => Process::Idle,
        };
    }

    /// The holder sends if it may, or renews; the store answers truly or not at all.
    fn holder_steps(&self, process: usize, duty: &Duty<Holder>) -> Vec<Self> {
        let now = at(self.now);
        let mut next = Vec::new();
        if duty.send_decision(now) == SendDecision::Send {
            next.push(self.with(|next| {
                next.reservations.insert((process, duty.state.epoch));
            }));
        }
        let answer = if self.alive.contains(&duty.lease()) {
            RenewalOutcome::Renewed
        } else {
            RenewalOutcome::Expired
        };
        for answer in [answer, RenewalOutcome::NoAnswer] {
            let renewed = duty.clone().apply_renewal(answer, now, now);
            next.push(self.with(|next| {
                next.processes[process] = renewed.map_or(Process::Idle, Process::Holder);
            }));
        }
        next
    }

    fn lapse(&mut self, lease: LeaseId) {
        self.alive.remove(&lease);
        if self.view.holder == Some(lease) {
            self.view.holder = None;
        }
    }

    /// A write may take effect again later, as after a repeated call.
    fn store(&mut self, write: &Write, bound: Bound) {
        match write {
            Write::TakeHolder(lease) => {
                if self.alive.contains(lease) && self.view.holder.is_none() {
                    self.view.holder = Some(*lease);
                }
            }
            Write::Raise(owner, epoch, lease, expected) => {
                let old = self.view.record.as_ref();
                let (old, revision) = old.map_or((0, 0), |(record, at)| (record.epoch, *at));
                if revision != *expected && bound.mutant != Mutant::NoCompare {
                    return;
                }
                self.broken |= *epoch < old;
                let record = CellRecord {
                    epoch: *epoch,
                    owner: owner.to_string().into(),
                    lease: *lease,
                };
                self.view.record = Some((record, revision + 1));
            }
        }
    }

    /// The refusal reaches the owner that is still in that epoch.
    fn reserve(&mut self, owner: usize, epoch: Epoch, bound: Bound) {
        let highest = self.fence.highest();
        let refused = self.fence.admit(epoch).is_err();
        if !refused || bound.mutant == Mutant::NoFence {
            self.broken |= epoch < highest;
            self.accepted.insert((epoch, owner));
            return;
        }
        if let Process::Holder(duty) = &self.processes[owner] {
            let kept = duty.clone().observe_epoch(highest);
            self.processes[owner] = kept.map_or(Process::Idle, Process::Holder);
        }
    }
}

fn epoch_of(process: &Process) -> Option<Epoch> {
    match process {
        Process::Holder(duty) => Some(duty.state.epoch),
        Process::Idle | Process::Candidate(..) => None,
    }
}
