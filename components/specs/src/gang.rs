//! Gang start: a gang on several agents, a second owner that competes for an accelerator, and an unreliable network.
//!
//! Messages of owners may arrive at any time and any number of times. Messages between the leader and the members are
//! kept in a bounded set, and each may be lost, delayed, duplicated or reordered. A paused process takes no steps.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use membership::fencing::Fence;
use membership::leader::{Ack, Arm, Arming, Leader, Leading, Pulse, Stopping};
use membership::reservation::{GANG_LEASE_TERM, WorkerShare};
use membership::{Incarnation, Reservations, Reserve};
use model::{AgentId, Epoch, GangId, Resources};

use crate::clock::{Tick, instant, ticks};

/// The gang whose start is checked; the first owner places it.
pub const GANG: GangId = 1;
/// A gang of the second owner that needs an accelerator of [`GANG`].
pub const COMPETING_GANG: GangId = 2;
const WORKER: &str = "w";

/// A fault to inject into the protocol: a safeguard that is removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// No fault: the protocol as shipped.
    None,
    /// The leader activates the gang before every member is armed.
    ActivateBeforeAllArmed,
    /// The leader continues to send pulses although a member does not acknowledge them.
    PulseWithoutAcks,
    /// A member releases its accelerators as soon as it is requested to stop.
    ReleaseOnStop,
    /// A restarted agent accepts reservations immediately.
    NoStartupDelay,
    /// A restarted agent keeps the incarnation that it had before.
    SameIncarnation,
    /// A repeated `Start` creates a leader although the leader's own agent does not hold the gang.
    StartWithoutReservation,
}

/// The limits of an exploration.
#[derive(Debug, Clone, Copy)]
pub struct Bound {
    /// Number of agents; each has one worker with one accelerator.
    pub agents: usize,
    /// The last tick; the first one is the end of the startup delay of the agents.
    pub horizon: Tick,
    /// Maximum number of messages in flight between the leader and the members.
    pub in_flight: usize,
    /// Maximum number of agent crashes.
    pub crashes: u8,
    /// The agent whose accelerator the gang of the second owner needs, if there is a second owner.
    pub contended_agent: Option<usize>,
    /// The injected fault.
    pub mutant: Mutant,
}

/// A message between the leader and a member, with the index of the member.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Message {
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

impl Message {
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

/// The state of the leader, which is on the first agent.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum LeaderState {
    /// `Start` has not arrived.
    Idle,
    /// See [`Arming`].
    Arming(Leader<Arming>),
    /// See [`Leading`].
    Leading(Leader<Leading>),
    /// See [`Stopping`].
    Stopping(Leader<Stopping>),
    /// The leader has requested the release of all members.
    Done,
}

/// An agent, with the effects of its earlier incarnations.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Agent {
    /// The highest epoch that the agent has seen.
    pub fence: Fence,
    /// The reservations.
    pub reservations: Reservations,
    /// When the platform stops the task that an agent started before its crash; 0 if there is none.
    pub orphan_until: Tick,
    /// The incarnation of the agent.
    pub incarnation: Incarnation,
    /// When a crash lost the reservation for the gang; cleared after `GANG_LEASE_TERM`.
    pub reservation_lost_at: Option<Tick>,
}

/// One state of the system.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    /// The current time.
    pub now: Tick,
    /// The agents; the first one is the leader.
    pub agents: Vec<Agent>,
    /// Messages in flight.
    pub network: BTreeSet<Message>,
    /// The state of the leader.
    pub leader: LeaderState,
    /// When the leader started.
    pub leader_since: Tick,
    /// Which agents have confirmed their reservation to the first owner.
    pub confirmed: Vec<bool>,
    /// Whether the first owner has sent `Start`.
    pub started: bool,
    /// Number of agent crashes so far.
    pub crashes: u8,
}

impl State {
    /// Returns the state before the first message.
    pub fn initial(bound: &Bound) -> Self {
        let agent = Agent {
            fence: Fence::default(),
            reservations: new_reservations(0),
            orphan_until: 0,
            incarnation: 1,
            reservation_lost_at: None,
        };
        Self {
            now: ticks(GANG_LEASE_TERM),
            agents: vec![agent; bound.agents],
            network: BTreeSet::new(),
            leader: LeaderState::Idle,
            leader_since: 0,
            confirmed: vec![false; bound.agents],
            started: false,
            crashes: 0,
        }
    }

    /// Returns the state in which all agents hold the gang and `Start` has arrived.
    pub fn reserved(bound: &Bound) -> Self {
        let mut state = Self::initial(bound);
        let now = instant(state.now);
        for agent in &mut state.agents {
            let request = reserve_request(GANG, 1);
            let _ = agent.reservations.reserve(&mut agent.fence, request, now);
        }
        let members = (0..bound.agents).map(agent_id);
        state.started = true;
        state.leader_since = state.now;
        let own = &state.agents[0].reservations;
        if let Ok(leader) = Leader::start(own, 1, GANG, 1, members, now) {
            state.leader = LeaderState::Arming(leader);
        }
        state
    }

    /// Returns whether a task runs while the accelerators of another member are not reserved, or two gangs use the same
    /// accelerators.
    ///
    /// After the loss of a member, the others may continue to run for the gang lease term.
    pub fn violates(&self) -> bool {
        let running = (0..self.agents.len()).any(|agent| self.is_running(agent));
        let partial = running
            && self
                .agents
                .iter()
                .any(|agent| !self.counts_as_reserved(agent));
        partial || (0..self.agents.len()).any(|agent| self.in_use(agent) > 1)
    }

    fn is_running(&self, agent: usize) -> bool {
        let agent = &self.agents[agent];
        agent.reservations.is_running(GANG, instant(self.now)) || self.now < agent.orphan_until
    }

    fn counts_as_reserved(&self, agent: &Agent) -> bool {
        let lost_at = agent.reservation_lost_at;
        agent.reservations.is_reserved(GANG)
            || lost_at.is_some_and(|lost_at| self.now < lost_at + ticks(GANG_LEASE_TERM))
    }

    /// Returns the number of accelerators that reservations and orphaned tasks use at an agent.
    fn in_use(&self, agent: usize) -> u32 {
        let agent = &self.agents[agent];
        let orphan = u32::from(self.now < agent.orphan_until);
        agent.reservations.reserved_on(WORKER).accelerators + orphan
    }
}

/// Returns the reservations of an agent that starts.
pub(crate) fn new_reservations(start: Tick) -> Reservations {
    let capacity = BTreeMap::from([(WORKER.into(), accelerator())]);
    Reservations::start(capacity, instant(start))
}

/// Returns the id of an agent.
pub(crate) fn agent_id(agent: usize) -> AgentId {
    agent.to_string().into()
}

/// Returns the request of an owner for the accelerator of an agent.
pub(crate) fn reserve_request(gang: GangId, epoch: Epoch) -> Reserve {
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
