//! Ownership with fencing: two candidates, a store with lost and delayed writes, and one agent.
//!
//! The store may end any lease at any time, which covers holders that are paused or isolated. A write takes effect at
//! any later time or never. Its result is never used: processes read the store instead, and a read may be stale when it
//! is used.

use std::collections::BTreeSet;

use membership::fencing::Fence;
use membership::ownership::{
    Candidate, CellRecord, CellView, Duty, Holder, LeaseId, OWNER_LEASE_TERM, RenewalOutcome,
    SendDecision, Step,
};
use model::{Epoch, Revision};

use crate::clock::{Tick, instant, ticks};

/// A fault to inject into the protocol: a safeguard that is removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// No fault: the protocol as shipped.
    None,
    /// The agent accepts every epoch.
    NoFence,
    /// The store writes the cell record without comparing its revision.
    NoRevisionCheck,
}

/// The limits of an exploration.
#[derive(Debug, Clone, Copy)]
pub struct Bound {
    /// The last tick; time advances in steps of the lease term.
    pub horizon: Tick,
    /// Maximum number of leases that the store grants.
    pub leases: LeaseId,
    /// The injected fault.
    pub mutant: Mutant,
}

/// A write that may reach the store at any time.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Write {
    /// Creates the holder key under a lease.
    CreateHolder(LeaseId),
    /// Replaces the cell record, given owner, epoch, lease and expected revision.
    RaiseEpoch(usize, Epoch, LeaseId, Revision),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Process {
    Idle,
    /// A candidate, with the last read of both keys and the tick of its request.
    Candidate(Duty<Candidate>, Option<(CellView, Tick)>),
    Holder(Duty<Holder>),
}

/// One state of the system.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    now: Tick,
    processes: Vec<Process>,
    view: CellView,
    valid_leases: BTreeSet<LeaseId>,
    last_lease: LeaseId,
    writes: BTreeSet<Write>,
    /// Reservation requests in flight, by owner and epoch; each may be delayed and duplicated.
    reservations: BTreeSet<(usize, Epoch)>,
    fence: Fence,
    /// The epochs that the agent has accepted, with their owners.
    accepted: BTreeSet<(Epoch, usize)>,
    /// Whether the epoch in the store has decreased, or the agent has accepted an epoch below the highest one.
    violated: bool,
}

impl State {
    /// Returns the state before any process owns the cell.
    pub fn initial() -> Self {
        Self {
            now: 0,
            processes: vec![Process::Idle; 2],
            view: CellView::default(),
            valid_leases: BTreeSet::new(),
            last_lease: 0,
            writes: BTreeSet::new(),
            reservations: BTreeSet::new(),
            fence: Fence::default(),
            accepted: BTreeSet::new(),
            violated: false,
        }
    }

    /// Returns whether an epoch decreased, two owners had the same epoch, or the agent accepted a superseded owner.
    pub fn violates(&self) -> bool {
        let mut epochs = BTreeSet::new();
        let unique = self.accepted.iter().all(|(epoch, _)| epochs.insert(epoch));
        let holders: Vec<_> = self.processes.iter().filter_map(held_epoch).collect();
        let shared = holders.len() == 2 && holders[0] == holders[1];
        self.violated || !unique || shared
    }

    /// Returns all states that are reachable in one step.
    pub fn successors(&self, bound: Bound) -> Vec<Self> {
        let mut next = Vec::new();
        if self.now < bound.horizon {
            next.push(self.with_change(|next| next.now += ticks(OWNER_LEASE_TERM)));
        }
        for process in 0..self.processes.len() {
            next.extend(self.process_steps(process, bound));
        }
        for lease in &self.valid_leases {
            next.push(self.with_change(|next| next.end_lease(*lease)));
        }
        for write in &self.writes {
            next.push(self.with_change(|next| next.apply_write(write, bound)));
        }
        for &(owner, epoch) in &self.reservations {
            next.push(self.with_change(|next| next.deliver_reservation(owner, epoch, bound)));
        }
        next
    }

    fn with_change(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut next = self.clone();
        change(&mut next);
        next
    }

    fn process_steps(&self, process: usize, bound: Bound) -> Vec<Self> {
        match &self.processes[process] {
            Process::Idle if self.last_lease < bound.leases => {
                vec![self.with_change(|next| next.grant_lease(process))]
            }
            Process::Idle => Vec::new(),
            Process::Candidate(duty, None) => {
                let read = Some((self.view.clone(), self.now));
                let duty = duty.clone();
                vec![self.with_change(|next| {
                    next.processes[process] = Process::Candidate(duty, read);
                })]
            }
            Process::Candidate(duty, Some((view, requested))) => {
                let step = duty
                    .clone()
                    .decide(view, instant(*requested), instant(self.now));
                vec![self.with_change(|next| next.apply_step(process, step))]
            }
            Process::Holder(duty) => self.holder_steps(process, duty),
        }
    }

    fn grant_lease(&mut self, process: usize) {
        self.last_lease += 1;
        self.valid_leases.insert(self.last_lease);
        let duty = Duty::granted(
            process.to_string().into(),
            self.last_lease,
            instant(self.now),
        );
        self.processes[process] = Process::Candidate(duty, None);
    }

    fn apply_step(&mut self, process: usize, step: Step) {
        self.processes[process] = match step {
            Step::Wait(duty) => Process::Candidate(duty, None),
            Step::TakeHolder(duty, lease) => {
                self.writes.insert(Write::CreateHolder(lease));
                Process::Candidate(duty, None)
            }
            Step::RaiseEpoch {
                duty,
                record,
                expected,
            } => {
                let write = Write::RaiseEpoch(process, record.epoch, record.lease, expected);
                self.writes.insert(write);
                Process::Candidate(duty, None)
            }
            Step::Own(duty) => Process::Holder(duty),
            Step::Restart(_) => Process::Idle,
        };
    }

    /// Returns the states in which the holder sends a reservation request, if it may, or renews its lease.
    ///
    /// A renewal request gets the correct answer or none.
    fn holder_steps(&self, process: usize, duty: &Duty<Holder>) -> Vec<Self> {
        let now = instant(self.now);
        let mut next = Vec::new();
        if duty.send_decision(now) == SendDecision::Send {
            next.push(self.with_change(|next| {
                next.reservations.insert((process, duty.state.epoch));
            }));
        }
        let outcome = if self.valid_leases.contains(&duty.lease()) {
            RenewalOutcome::Renewed
        } else {
            RenewalOutcome::Expired
        };
        for outcome in [outcome, RenewalOutcome::NoAnswer] {
            let renewed = duty.clone().apply_renewal(outcome, now, now);
            next.push(self.with_change(|next| {
                next.processes[process] = renewed.map_or(Process::Idle, Process::Holder);
            }));
        }
        next
    }

    fn end_lease(&mut self, lease: LeaseId) {
        self.valid_leases.remove(&lease);
        if self.view.holder == Some(lease) {
            self.view.holder = None;
        }
    }

    /// Applies a write, which stays in flight and may take effect again, as after a repeated call.
    fn apply_write(&mut self, write: &Write, bound: Bound) {
        match write {
            Write::CreateHolder(lease) => {
                if self.valid_leases.contains(lease) && self.view.holder.is_none() {
                    self.view.holder = Some(*lease);
                }
            }
            Write::RaiseEpoch(owner, epoch, lease, expected) => {
                let record = self.view.record.as_ref();
                let (old_epoch, revision) =
                    record.map_or((0, 0), |(record, revision)| (record.epoch, *revision));
                if revision != *expected && bound.mutant != Mutant::NoRevisionCheck {
                    return;
                }
                self.violated |= *epoch < old_epoch;
                let record = CellRecord {
                    epoch: *epoch,
                    owner: owner.to_string().into(),
                    lease: *lease,
                };
                self.view.record = Some((record, revision + 1));
            }
        }
    }

    /// Delivers a reservation request to the agent, and its refusal to the owner if it is still a holder.
    fn deliver_reservation(&mut self, owner: usize, epoch: Epoch, bound: Bound) {
        let highest = self.fence.highest();
        let refused = self.fence.admit(epoch).is_err();
        if !refused || bound.mutant == Mutant::NoFence {
            self.violated |= epoch < highest;
            self.accepted.insert((epoch, owner));
            return;
        }
        if let Process::Holder(duty) = &self.processes[owner] {
            let holder = duty.clone().observe_epoch(highest);
            self.processes[owner] = holder.map_or(Process::Idle, Process::Holder);
        }
    }
}

fn held_epoch(process: &Process) -> Option<Epoch> {
    match process {
        Process::Holder(duty) => Some(duty.state.epoch),
        Process::Idle | Process::Candidate(..) => None,
    }
}
