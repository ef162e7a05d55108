//! Gang start: one gang over several agents, a second owner that wants the same accelerators, and a hostile network.
//!
//! Messages of owners may arrive at any moment and any number of times. Messages between the leader and the members are
//! kept in a bounded set; each may be lost, late, repeated or overtaken. A paused process is one that takes no step.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use membership::fencing::Fence;
use membership::leader::{Ack, Arm, Arming, Leader, Leading, Pulse, Stopping};
use membership::reservation::{GANG_LEASE_TERM, WorkerShare};
use membership::{Incarnation, Reservations, Reserve};
use model::{AgentId, Epoch, GangId, Resources};

use crate::clock::{Tick, at, ticks};

/// The gang whose start is checked, placed by the first owner.
pub const GANG: GangId = 1;
/// A gang of the second owner that needs the same accelerators.
pub const RIVAL: GangId = 2;
const WORKER: &str = "w";

/// A guard that is removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// The protocol as shipped.
    None,
    /// The leader lets the gang run before every member is armed.
    GoBeforeAllArmed,
    /// The leader pulses on although a member is silent.
    PulseWithoutAcks,
    /// A member frees its accelerators as soon as it is told to stop.
    FreeOnStop,
    /// A restarted agent takes reservations at once.
    NoQuietTime,
    /// A restarted leader cannot be told from its earlier life.
    SameLife,
    /// A repeated `Start` leads again although the leader's agent does not hold the gang.
    StartWithoutReservation,
}

/// The limits of an exploration.
#[derive(Debug, Clone, Copy)]
pub struct Bound {
    /// Number of agents; each has one worker with one accelerator.
    pub agents: usize,
    /// The last tick; the first is the end of the agents' quiet time.
    pub horizon: Tick,
    /// Number of messages between leader and members in flight.
    pub in_flight: usize,
    /// Number of agent crashes.
    pub crashes: u8,
    /// The agent whose accelerator the second owner's gang wants, if there is a second owner.
    pub rival: Option<usize>,
    /// The guard that is removed.
    pub mutant: Mutant,
}

/// A message between the leader and a member; the number is the member.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Msg {
    /// From the leader.
    Arm(usize, Arm),
    /// From a member.
    Ack(usize, Ack),
    /// From the leader.
    Pulse(usize, Pulse),
    /// From the leader.
    Stop(usize),
    /// From a member.
    Stopped(usize),
    /// From the leader.
    Release(usize),
}

impl Msg {
    /// Returns the member that sends or receives the message.
    pub(crate) fn member(&self) -> usize {
        match self {
            Self::Arm(member, _)
            | Self::Ack(member, _)
            | Self::Pulse(member, _)
            | Self::Stop(member)
            | Self::Stopped(member)
            | Self::Release(member) => *member,
        }
    }
}

/// The leader's state on the first agent.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Lead {
    /// `Start` has not arrived.
    Idle,
    /// See [`Arming`].
    Arming(Leader<Arming>),
    /// See [`Leading`].
    Leading(Leader<Leading>),
    /// See [`Stopping`].
    Stopping(Leader<Stopping>),
    /// The gang is over for the leader.
    Done,
}

/// One agent, with what its earlier life left behind.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Agent {
    /// The adopted epoch.
    pub fence: Fence,
    /// The reservations.
    pub reservations: Reservations,
    /// Until when the platform keeps running a task that a crashed life started.
    pub orphan_until: Tick,
    /// The life of the agent's process.
    pub life: Incarnation,
    /// When a crash lost the reservation for the gang.
    pub lost: Option<Tick>,
}

/// One state of the system.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    /// The time.
    pub now: Tick,
    /// The agents; the first leads.
    pub agents: Vec<Agent>,
    /// Messages in flight.
    pub net: BTreeSet<Msg>,
    /// The leader.
    pub lead: Lead,
    /// When the leader began.
    pub lead_since: Tick,
    /// From which agents the first owner received `Held`.
    pub held: Vec<bool>,
    /// Whether the first owner sent `Start`.
    pub started: bool,
    /// Agent crashes so far.
    pub crashes: u8,
}

impl State {
    /// Returns the state before the first message.
    pub fn initial(bound: &Bound) -> Self {
        let agent = Agent {
            fence: Fence::default(),
            reservations: new_life(0),
            orphan_until: 0,
            life: 1,
            lost: None,
        };
        Self {
            now: ticks(GANG_LEASE_TERM),
            agents: vec![agent; bound.agents],
            net: BTreeSet::new(),
            lead: Lead::Idle,
            lead_since: 0,
            held: vec![false; bound.agents],
            started: false,
            crashes: 0,
        }
    }

    /// Returns the state in which all agents hold the gang and `Start` arrived.
    pub fn reserved(bound: &Bound) -> Self {
        let mut state = Self::initial(bound);
        let now = at(state.now);
        for agent in &mut state.agents {
            let order = order(GANG, 1);
            let _ = agent.reservations.reserve(&mut agent.fence, order, now);
        }
        let members = (0..bound.agents).map(name);
        state.started = true;
        state.lead_since = state.now;
        let own = &state.agents[0].reservations;
        if let Ok(leader) = Leader::start(own, 1, GANG, 1, members, now) {
            state.lead = Lead::Arming(leader);
        }
        state
    }

    /// Returns whether a task of the gang runs without another member's accelerators, or two gangs share some.
    ///
    /// After the loss of a member the others may run on for the gang lease term.
    pub fn violates(&self) -> bool {
        let runs = (0..self.agents.len()).any(|agent| self.runs(agent));
        let partial = runs
            && self
                .agents
                .iter()
                .any(|agent| !self.counts_as_reserved(agent));
        partial || (0..self.agents.len()).any(|agent| self.in_use(agent) > 1)
    }

    fn runs(&self, agent: usize) -> bool {
        let agent = &self.agents[agent];
        agent.reservations.is_running(GANG, at(self.now)) || self.now < agent.orphan_until
    }

    fn counts_as_reserved(&self, agent: &Agent) -> bool {
        let lost = agent.lost;
        agent.reservations.is_reserved(GANG)
            || lost.is_some_and(|lost| self.now < lost + ticks(GANG_LEASE_TERM))
    }

    fn in_use(&self, agent: usize) -> u32 {
        let agent = &self.agents[agent];
        let orphan = u32::from(self.now < agent.orphan_until);
        agent.reservations.reserved_on(WORKER).accelerators + orphan
    }
}

/// Returns the reservations of an agent that starts.
pub(crate) fn new_life(start: Tick) -> Reservations {
    let capacity = BTreeMap::from([(WORKER.into(), accelerator())]);
    Reservations::start(capacity, at(start))
}

/// Returns the id of an agent.
pub(crate) fn name(agent: usize) -> AgentId {
    agent.to_string().into()
}

/// Returns an owner's request for the accelerator of an agent.
pub(crate) fn order(gang: GangId, epoch: Epoch) -> Reserve {
    let share = WorkerShare {
        worker: WORKER.into(),
        total: accelerator(),
    };
    Reserve {
        gang,
        epoch,
        shares: Arc::new([share]),
    }
}

fn accelerator() -> Resources {
    Resources {
        accelerators: 1,
        ..Resources::default()
    }
}
