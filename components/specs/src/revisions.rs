//! Configuration revisions: three processes of a region that may restart or be isolated, and a store that may go down.
//!
//! An isolated process cannot reach its peers or the store, but sections that were sent earlier may still arrive.

use membership::revisions::{Recovery, Revisions, StagedSections};
use model::Revision;

const SECTION: &str = "policy";

/// A fault to inject into the protocol: a safeguard that is removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// No fault: the protocol as shipped.
    None,
    /// A process applies a section before its peers hold it.
    ApplyBeforePeersHold,
    /// A process applies every section that it receives, whatever its revision.
    ApplyAnyRevision,
    /// A recovered process serves sections before its peers hold them.
    ServeBeforePeersHold,
}

/// The limits of an exploration.
#[derive(Debug, Clone, Copy)]
pub struct Bound {
    /// The last revision that is written to the store.
    pub revisions: Revision,
    /// Maximum number of restarts; a process restarts only while another one serves.
    pub restarts: u8,
    /// Maximum number of isolations; at most one process is isolated at a time.
    pub isolations: u8,
    /// The injected fault.
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
    /// The highest revision that the process has served, including before restarts.
    highest_served: Revision,
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
    /// The highest revision that was sent to a peer; it and lower ones may arrive at any process at any later time.
    highest_sent: Revision,
}

impl State {
    /// Returns the state in which all processes serve and no section has been written.
    pub fn initial() -> Self {
        let process = Process {
            phase: Phase::Up(Revisions::default(), None),
            serving: true,
            highest_served: 0,
        };
        Self {
            processes: vec![process; 3],
            stored: 0,
            store_up: true,
            isolated: None,
            restarts: 0,
            isolations: 0,
            highest_sent: 0,
        }
    }

    /// Returns whether a process serves an older revision than it has served before.
    pub fn violates(&self) -> bool {
        let reverted = |process: &Process| {
            process.serving && process.applied_revision() < process.highest_served
        };
        self.processes.iter().any(reverted)
    }

    /// Returns all states that are reachable in one step.
    pub fn successors(&self, bound: Bound) -> Vec<Self> {
        let mut next = self.environment_steps(bound);
        for process in 0..self.processes.len() {
            next.extend(self.restart(process, bound));
            next.extend(self.read_store(process));
            next.extend(match &self.processes[process].phase {
                Phase::Recovering(recovery) => self.recover(process, recovery, bound),
                Phase::Up(revisions, None) => self.stage(process, revisions, bound),
                Phase::Up(_, Some(staged)) => self.distribute(process, staged, bound),
            });
        }
        for to in 0..self.processes.len() {
            let revisions = 1..=self.highest_sent;
            next.extend(
                revisions
                    .map(|revision| self.with_change(|next| next.receive(to, revision, bound))),
            );
        }
        next
    }

    fn with_change(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut next = self.clone();
        change(&mut next);
        next
    }

    fn environment_steps(&self, bound: Bound) -> Vec<Self> {
        let mut next = Vec::new();
        if self.store_up {
            next.push(self.with_change(|next| next.store_up = false));
        }
        if self.store_up && self.stored < bound.revisions {
            next.push(self.with_change(|next| next.stored += 1));
        }
        if self.isolated.is_some() {
            next.push(self.with_change(|next| next.isolated = None));
        } else if self.isolations < bound.isolations {
            next.extend((0..self.processes.len()).map(|process| {
                self.with_change(|next| {
                    next.isolations += 1;
                    next.isolated = Some(process);
                })
            }));
        }
        next
    }

    fn is_reachable(&self, from: usize, to: usize) -> bool {
        self.isolated != Some(from) && self.isolated != Some(to)
    }

    fn peers(&self, process: usize) -> impl Iterator<Item = usize> {
        (0..self.processes.len()).filter(move |peer| *peer != process)
    }

    fn restart(&self, process: usize, bound: Bound) -> Option<Self> {
        let peer_serves = self.peers(process).any(|peer| self.processes[peer].serving);
        if self.restarts >= bound.restarts || !peer_serves {
            return None;
        }
        Some(self.with_change(|next| {
            next.restarts += 1;
            let peers = self.peers(process).map(peer_id);
            next.processes[process].phase = Phase::Recovering(Recovery::start(peers));
            next.processes[process].serving = false;
        }))
    }

    fn read_store(&self, process: usize) -> Option<Self> {
        if !self.store_up || self.isolated == Some(process) {
            return None;
        }
        Some(
            self.with_change(|next| match &mut next.processes[process].phase {
                Phase::Up(revisions, _) => {
                    revisions.hold(SECTION, self.stored);
                }
                Phase::Recovering(recovery) => {
                    recovery.hold(SECTION, self.stored);
                    recovery.record_store_read();
                }
            }),
        )
    }

    /// Returns the states after the process has asked a peer, or stages the recovered sections if it has finished.
    fn recover(&self, process: usize, recovery: &Recovery, bound: Bound) -> Vec<Self> {
        if let Ok(revisions) = recovery.clone().finish() {
            let staged = StagedSections::new(&revisions, self.peers(process).map(peer_id));
            let next = self.with_change(|next| {
                next.processes[process].phase = Phase::Up(revisions, Some(staged));
                if bound.mutant == Mutant::ServeBeforePeersHold {
                    next.apply_without_peers(process);
                }
            });
            return vec![next];
        }
        let ask_peer = |peer: usize| {
            let mut recovery = recovery.clone();
            match &self.processes[peer].phase {
                Phase::Up(revisions, _) if self.is_reachable(process, peer) => {
                    for (section, revision) in revisions.held() {
                        recovery.hold(section, revision);
                    }
                    recovery.record_answered(&peer_id(peer));
                }
                _ => recovery.record_unreachable(&peer_id(peer)),
            }
            self.with_change(|next| next.processes[process].phase = Phase::Recovering(recovery))
        };
        self.peers(process).map(ask_peer).collect()
    }

    fn stage(&self, process: usize, revisions: &Revisions, bound: Bound) -> Vec<Self> {
        if revisions.pending().is_empty() {
            return Vec::new();
        }
        let staged = StagedSections::new(revisions, self.peers(process).map(peer_id));
        let next = self.with_change(|next| {
            next.processes[process].phase = Phase::Up(revisions.clone(), Some(staged));
            if bound.mutant == Mutant::ApplyBeforePeersHold {
                next.apply_without_peers(process);
            }
        });
        vec![next]
    }

    /// Returns the states after the process has sent the staged sections to a peer, applied them or staged them again.
    fn distribute(&self, process: usize, staged: &StagedSections, bound: Bound) -> Vec<Self> {
        let send_to_peer = |peer: usize| {
            self.with_change(|next| {
                let reachable = self.is_reachable(process, peer);
                for revision in staged.sections().values().filter(|_| reachable) {
                    next.receive(peer, *revision, bound);
                    next.highest_sent = next.highest_sent.max(*revision);
                }
                if reachable {
                    next.hold_sections_of(process, peer);
                }
                match &mut next.processes[process].phase {
                    Phase::Up(_, Some(staged)) if reachable => staged.record_held(&peer_id(peer)),
                    Phase::Up(_, Some(staged)) => staged.record_unreachable(&peer_id(peer)),
                    _ => {}
                }
            })
        };
        let mut next: Vec<_> = self.peers(process).map(send_to_peer).collect();
        next.push(self.with_change(|next| next.apply(process)));
        next.push(self.with_change(|next| next.stage_again(process)));
        next
    }

    /// Applies the staged sections and serves them, unless the process still waits for peers.
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
        process.highest_served = process.highest_served.max(process.applied_revision());
    }

    /// Holds the sections that a peer lists in its answer.
    fn hold_sections_of(&mut self, process: usize, peer: usize) {
        let Phase::Up(peer_revisions, _) = self.processes[peer].phase.clone() else {
            return;
        };
        if let Phase::Up(revisions, _) = &mut self.processes[process].phase {
            for (section, revision) in peer_revisions.held() {
                revisions.hold(section, revision);
            }
        }
    }

    fn stage_again(&mut self, process: usize) {
        let peers: Vec<_> = self.peers(process).map(peer_id).collect();
        if let Phase::Up(revisions, Some(staged)) = &mut self.processes[process].phase {
            *staged = StagedSections::new(revisions, peers);
        }
    }

    /// Applies the staged sections as if all peers held them.
    fn apply_without_peers(&mut self, process: usize) {
        if let Phase::Up(_, Some(staged)) = &mut self.processes[process].phase {
            (0..3).for_each(|peer| staged.record_held(&peer_id(peer)));
        }
        self.apply(process);
    }

    fn receive(&mut self, to: usize, revision: Revision, bound: Bound) {
        let apply_any = bound.mutant == Mutant::ApplyAnyRevision;
        match &mut self.processes[to].phase {
            Phase::Up(revisions, _) if apply_any => {
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
    fn applied_revision(&self) -> Revision {
        match &self.phase {
            Phase::Up(revisions, _) => revisions.applied(SECTION),
            Phase::Recovering(_) => 0,
        }
    }
}

fn peer_id(process: usize) -> Box<str> {
    process.to_string().into()
}
