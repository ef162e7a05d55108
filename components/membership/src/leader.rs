//! The gang leader: arms all members, lets them run, renews the gang lease, and stops all when a member is silent.
//!
//! Stamps are times since a process began with the gang, by its own clock. Each side returns the other's last stamp,
//! so a delayed message carries its age and no clocks are compared.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use error_stack::Report;
use errors::Error;
use model::{AgentId, Epoch, GangId};

use crate::orders::{Incarnation, refused};
use crate::reservation::RUN_TERM;
use crate::reservations::Reservations;

/// How often the leader pulses; a lost pulse is repeated three times within `RUN_TERM`.
pub const PULSE_INTERVAL: Duration = Duration::from_millis(250);

/// The leader's request to a member to extend its reservation to the gang lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Arm {
    /// The gang.
    pub gang: GangId,
    /// The epoch of the reservation.
    pub epoch: Epoch,
    /// The life of the leader's agent.
    pub life: Incarnation,
    /// The leader's stamp.
    pub stamp: Duration,
}

/// The leader's permission to run, which also renews the gang lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Pulse {
    /// The gang.
    pub gang: GangId,
    /// The life of the leader's agent.
    pub life: Incarnation,
    /// The leader's stamp.
    pub stamp: Duration,
    /// The receiver's last stamp that the leader heard.
    pub echo: Duration,
}

/// The pulse to send to each member.
pub type Pulses = Vec<(AgentId, Pulse)>;

/// A member's answer to `Arm` and `Pulse`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ack {
    /// The gang.
    pub gang: GangId,
    /// The life of the leader's agent, which gives the echoed stamp its meaning.
    pub life: Incarnation,
    /// The leader's stamp that is answered.
    pub echo: Duration,
    /// The member's stamp.
    pub stamp: Duration,
}

/// A gang in one state of its life cycle at the leader.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Leader<S> {
    /// The gang.
    pub gang: GangId,
    /// The epoch of the reservations.
    pub epoch: Epoch,
    life: Incarnation,
    since: Instant,
    members: BTreeMap<AgentId, Option<Heard>>,
    /// What is known in this state.
    pub state: S,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Heard {
    echo: Duration,
    stamp: Duration,
}

/// The leader waits until every member is armed.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Arming;

/// The members may run.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Leading {
    last_pulse: Instant,
}

/// The leader stops all members.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Stopping {
    over_at: Instant,
    waiting: Vec<AgentId>,
}

impl<S> Leader<S> {
    /// Returns the agents of the gang.
    pub fn members(&self) -> impl Iterator<Item = &AgentId> {
        self.members.keys()
    }

    /// Records a member's answer; the order of answers does not matter.
    ///
    /// An answer to the leader of an earlier life is ignored, because its stamp counts from another moment.
    pub fn acked(&mut self, member: &str, ack: &Ack) {
        if ack.life != self.life {
            return;
        }
        let Some(heard) = self.members.get_mut(member) else {
            return;
        };
        let old = heard.take().unwrap_or(Heard {
            echo: Duration::ZERO,
            stamp: Duration::ZERO,
        });
        *heard = Some(Heard {
            echo: old.echo.max(ack.echo),
            stamp: old.stamp.max(ack.stamp),
        });
    }

    /// Returns whether every member answered a message sent less than `RUN_TERM` ago.
    pub fn all_fresh(&self, now: Instant) -> bool {
        self.members.values().all(|heard| {
            heard
                .as_ref()
                .is_some_and(|heard| now < self.since + heard.echo + RUN_TERM)
        })
    }

    fn with<T>(self, state: T) -> Leader<T> {
        Leader {
            gang: self.gang,
            epoch: self.epoch,
            life: self.life,
            since: self.since,
            members: self.members,
            state,
        }
    }

    /// Ends the leadership; what was heard no longer matters.
    fn stop_at(mut self, over_at: Instant) -> Leader<Stopping> {
        let waiting = self.members.keys().cloned().collect();
        self.members.values_mut().for_each(|heard| *heard = None);
        self.with(Stopping { over_at, waiting })
    }
}

impl Leader<Arming> {
    /// Begins with the members of `Start`, if the leader's own agent holds the gang and has not armed it.
    ///
    /// A repeated `Start` to a restarted agent must not lead again: the new leader would give up and release members
    /// while the task of the agent's earlier life still runs.
    pub fn start(
        own: &Reservations,
        life: Incarnation,
        gang: GangId,
        epoch: Epoch,
        members: impl IntoIterator<Item = AgentId>,
        now: Instant,
    ) -> Result<Self, Report<Error>> {
        if !own.is_held(gang, epoch, now) {
            return Err(refused("the leader's agent does not hold the gang"));
        }
        Ok(Self {
            gang,
            epoch,
            life,
            since: now,
            members: members.into_iter().map(|member| (member, None)).collect(),
            state: Arming,
        })
    }

    /// Returns the request to send to members that are not armed.
    pub fn arm(&self, now: Instant) -> Arm {
        Arm {
            gang: self.gang,
            epoch: self.epoch,
            life: self.life,
            stamp: now - self.since,
        }
    }

    /// Lets the gang run once every member is armed, or hands the leader back.
    pub fn go(self, now: Instant) -> Result<Leader<Leading>, Self> {
        if !self.all_fresh(now) {
            return Err(self);
        }
        Ok(self.with(Leading { last_pulse: now }))
    }

    /// Gives up; no member was ever allowed to run.
    pub fn stop(self, now: Instant) -> Leader<Stopping> {
        self.stop_at(now)
    }
}

impl Leader<Leading> {
    /// Returns the pulses to send, or stops the gang if a member is silent.
    pub fn pulse(mut self, now: Instant) -> Result<(Self, Pulses), Leader<Stopping>> {
        if !self.all_fresh(now) {
            return Err(self.stop());
        }
        self.state.last_pulse = now;
        let pulses = self.members.iter().filter_map(|(member, heard)| {
            let pulse = Pulse {
                gang: self.gang,
                life: self.life,
                stamp: now - self.since,
                echo: heard.as_ref()?.stamp,
            };
            Some((member.clone(), pulse))
        });
        let pulses = pulses.collect();
        Ok((self, pulses))
    }

    /// Stops the gang; after `RUN_TERM` no pulse in flight lets a member run.
    pub fn stop(self) -> Leader<Stopping> {
        let over_at = self.state.last_pulse + RUN_TERM;
        self.stop_at(over_at)
    }
}

impl Leader<Stopping> {
    /// Records that a member stopped for good.
    pub fn stopped(&mut self, member: &str) {
        self.state.waiting.retain(|waiting| **waiting != *member);
    }

    /// Returns whether no member can run any more, so that all may be released.
    pub fn is_over(&self, now: Instant) -> bool {
        self.state.waiting.is_empty() || now >= self.state.over_at
    }
}
