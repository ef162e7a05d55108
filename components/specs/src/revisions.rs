//! Configuration revisions: three processes of a region, a store that goes down, restarts and one isolation.
//!
//! An isolated process reaches neither its peers nor the store. Sections that were sent before may arrive late.

use membership::revisions::{Recovery, Revisions, StagedSections};
use model::Revision;

const SECTION: &str = "policy";

/// A guard that is removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// The protocol as shipped.
    None,
    /// A process applies a section before its peers hold it.
    ApplyBeforePeersHold,
    /// A process applies whatever arrives.
    ApplyAnyRevision,
    /// A recovered process serves before its peers hold what it recovered.
    ServeBeforeStaging,
}

/// The limits of an exploration.
#[derive(Debug, Clone, Copy)]
pub struct Bound {
    /// The last revision that operators write.
    pub revisions: Revision,
    /// Number of restarts; at each, another process serves.
    pub restarts: u8,
    /// Number of isolations of one process.
    pub isolations: u8,
    /// The guard that is removed.
    pub mutant: Mutant,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Phase {
    Recovering(Recovery),
    Up(Revisions, Option<StagedSections>),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Process {
    phase: Phase,
    serving: bool,
    /// The highest revision that any life of the process served.
    highest: Revision,
}

/// One state of the system.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    processes: Vec<Process>,
    stored: Revision,
    store_up: bool,
    isolated: Option<usize>,
    restarts: u8,
    isolations: u8,
    /// The highest revision that any process passed on; it and lower ones may arrive anywhere at any later moment.
    sent: Revision,
}

impl State {
    /// Returns the state in which every process serves and no section was written.
    pub fn initial() -> Self {
        let process = Process {
            phase: Phase::Up(Revisions::default(), None),
            serving: true,
            highest: 0,
        };
        Self {
            processes: vec![process; 3],
            stored: 0,
            store_up: true,
            isolated: None,
            restarts: 0,
            isolations: 0,
            sent: 0,
        }
    }

    /// Returns whether a process serves an older revision than it did before.
    pub fn violates(&self) -> bool {
        let fell = |process: &Process| process.serving && process.in_force() < process.highest;
        self.processes.iter().any(fell)
    }

    /// Returns every state that one step reaches.
    pub fn successors(&self, bound: Bound) -> Vec<Self> {
        let mut next = self.environment(bound);
        for process in 0..self.processes.len() {
            next.extend(self.restart(process, bound));
            next.extend(self.read_store(process));
            next.extend(match &self.processes[process].phase {
                Phase::Recovering(recovery) => self.recover(process, recovery, bound),
                Phase::Up(revisions, None) => self.stage(process, revisions, bound),
                Phase::Up(_, Some(staged)) => self.pass_on(process, staged, bound),
            });
        }
        for to in 0..self.processes.len() {
            let late = 1..=self.sent;
            next.extend(late.map(|revision| self.with(|next| next.receive(to, revision, bound))));
        }
        next
    }

    fn with(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut next = self.clone();
        change(&mut next);
        next
    }

    fn environment(&self, bound: Bound) -> Vec<Self> {
        let mut next = Vec::new();
        if self.store_up {
            next.push(self.with(|next| next.store_up = false));
        }
        if self.store_up && self.stored < bound.revisions {
            next.push(self.with(|next| next.stored += 1));
        }
        if self.isolated.is_some() {
            next.push(self.with(|next| next.isolated = None));
        } else if self.isolations < bound.isolations {
            next.extend((0..self.processes.len()).map(|process| {
                self.with(|next| {
                    next.isolations += 1;
                    next.isolated = Some(process);
                })
            }));
        }
        next
    }

    fn reach(&self, from: usize, to: usize) -> bool {
        self.isolated != Some(from) && self.isolated != Some(to)
    }

    fn peers(&self, process: usize) -> impl Iterator<Item = usize> {
        (0..self.processes.len()).filter(move |peer| *peer != process)
    }

    fn restart(&self, process: usize, bound: Bound) -> Option<Self> {
        let other = self.peers(process).any(|peer| self.processes[peer].serving);
        if self.restarts >= bound.restarts || !other {
            return None;
        }
        Some(self.with(|next| {
            next.restarts += 1;
            let peers = self.peers(process).map(name);
            next.processes[process].phase = Phase::Recovering(Recovery::start(peers));
            next.processes[process].serving = false;
        }))
    }

    fn read_store(&self, process: usize) -> Option<Self> {
        if !self.store_up || self.isolated == Some(process) {
            return None;
        }
        Some(self.with(|next| match &mut next.processes[process].phase {
            Phase::Up(revisions, _) => {
                revisions.hold(SECTION, self.stored);
            }
            Phase::Recovering(recovery) => {
                recovery.hold(SECTION, self.stored);
                recovery.record_store_read();
            }
        }))
    }

    /// Asks the next peers, or begins to pass on what was collected.
    fn recover(&self, process: usize, recovery: &Recovery, bound: Bound) -> Vec<Self> {
        if let Ok(revisions) = recovery.clone().finish() {
            let staged = StagedSections::new(&revisions, self.peers(process).map(name));
            let next = self.with(|next| {
                next.processes[process].phase = Phase::Up(revisions, Some(staged));
                if bound.mutant == Mutant::ServeBeforeStaging {
                    next.apply_unheld(process);
                }
            });
            return vec![next];
        }
        let ask = |peer: usize| {
            let mut recovery = recovery.clone();
            match &self.processes[peer].phase {
                Phase::Up(revisions, _) if self.reach(process, peer) => {
                    for (section, revision) in revisions.held() {
                        recovery.hold(section, revision);
                    }
                    recovery.record_answered(&name(peer));
                }
                _ => recovery.record_unreachable(&name(peer)),
            }
            self.with(|next| next.processes[process].phase = Phase::Recovering(recovery))
        };
        self.peers(process).map(ask).collect()
    }

    fn stage(&self, process: usize, revisions: &Revisions, bound: Bound) -> Vec<Self> {
        if revisions.pending().is_empty() {
            return Vec::new();
        }
        let staged = StagedSections::new(revisions, self.peers(process).map(name));
        let next = self.with(|next| {
            next.processes[process].phase = Phase::Up(revisions.clone(), Some(staged));
            if bound.mutant == Mutant::ApplyBeforePeersHold {
                next.apply_unheld(process);
            }
        });
        vec![next]
    }

    /// Sends the staged sections to a peer that has not answered, or applies them.
    fn pass_on(&self, process: usize, staged: &StagedSections, bound: Bound) -> Vec<Self> {
        let send = |peer: usize| {
            self.with(|next| {
                let reached = self.reach(process, peer);
                for revision in staged.sections().values().filter(|_| reached) {
                    next.receive(peer, *revision, bound);
                    next.sent = next.sent.max(*revision);
                }
                if reached {
                    next.hold_from(process, peer);
                }
                match &mut next.processes[process].phase {
                    Phase::Up(_, Some(staged)) if reached => staged.record_held(&name(peer)),
                    Phase::Up(_, Some(staged)) => staged.record_unreachable(&name(peer)),
                    _ => {}
                }
            })
        };
        let mut next: Vec<_> = self.peers(process).map(send).collect();
        next.push(self.with(|next| next.apply(process)));
        next.push(self.with(|next| next.stage_again(process)));
        next
    }

    /// Applies what is staged and serves it, unless peers are awaited.
    fn apply(&mut self, process: usize) {
        let process = &mut self.processes[process];
        let Phase::Up(revisions, staged) = &mut process.phase else {
            return;
        };
        let applied = staged.take().map(|staged| staged.apply(revisions));
        match applied {
            Some(Err(waiting)) => *staged = Some(waiting),
            Some(Ok(_)) => process.serving = true,
            None => {}
        }
        process.highest = process.highest.max(process.in_force());
    }

    /// A peer's answer says what it holds.
    fn hold_from(&mut self, process: usize, peer: usize) {
        let Phase::Up(theirs, _) = self.processes[peer].phase.clone() else {
            return;
        };
        if let Phase::Up(revisions, _) = &mut self.processes[process].phase {
            for (section, revision) in theirs.held() {
                revisions.hold(section, revision);
            }
        }
    }

    fn stage_again(&mut self, process: usize) {
        let peers: Vec<_> = self.peers(process).map(name).collect();
        if let Phase::Up(revisions, Some(staged)) = &mut self.processes[process].phase {
            *staged = StagedSections::new(revisions, peers);
        }
    }

    fn apply_unheld(&mut self, process: usize) {
        if let Phase::Up(_, Some(staged)) = &mut self.processes[process].phase {
            (0..3).for_each(|peer| staged.record_held(&name(peer)));
        }
        self.apply(process);
    }

    fn receive(&mut self, to: usize, revision: Revision, bound: Bound) {
        let forget = bound.mutant == Mutant::ApplyAnyRevision;
        match &mut self.processes[to].phase {
            Phase::Up(revisions, _) if forget => {
                *revisions = Revisions::default();
                revisions.admit(SECTION, revision);
            }
            Phase::Up(revisions, _) => {
                revisions.hold(SECTION, revision);
            }
            Phase::Recovering(recovery) => recovery.hold(SECTION, revision),
        }
    }
}

impl Process {
    fn in_force(&self) -> Revision {
        match &self.phase {
            Phase::Up(revisions, _) => revisions.applied(SECTION),
            Phase::Recovering(_) => 0,
        }
    }
}

fn name(process: usize) -> Box<str> {
    process.to_string().into()
}
