//! The gang leader: arms all members, lets them run, renews the gang lease, and stops all members if one is silent.
//!
//! Timestamps are durations since a process joined the gang, measured by its own clock. Each side echoes the last
//! timestamp of the other, so that the age of a delayed message is known and no clocks are compared.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use error_stack::Report;
use errors::Error;
use model::{AgentId, Epoch, GangId};

use crate::protocol::{Incarnation, refused};
use crate::reservation::RUN_TERM;
use crate::reservations::Reservations;

/// Interval between the pulses of the leader; a lost pulse is repeated three times within `RUN_TERM`.
pub const PULSE_INTERVAL: Duration = Duration::from_millis(250);

/// The leader's request to a member to extend its reservation to the gang lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Arm {
    /// The gang.
    pub gang: GangId,
    /// The epoch of the reservation.
    pub epoch: Epoch,
    /// The incarnation of the leader's agent.
    pub leader_incarnation: Incarnation,
    /// The leader's timestamp.
    pub timestamp: Duration,
}

/// The leader's permission to run, which also renews the gang lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Pulse {
    /// The gang.
    pub gang: GangId,
    /// The incarnation of the leader's agent.
    pub leader_incarnation: Incarnation,
    /// The leader's timestamp.
    pub timestamp: Duration,
    /// The last timestamp that the leader received from the member.
    pub echo: Duration,
}

/// The pulses to send, by member.
pub type Pulses = Vec<(AgentId, Pulse)>;

/// A member's answer to `Arm` and `Pulse`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ack {
    /// The gang.
    pub gang: GangId,
    /// The incarnation of the leader's agent that sent the echoed timestamp.
    pub leader_incarnation: Incarnation,
    /// The leader's timestamp that is acknowledged.
    pub echo: Duration,
    /// The member's timestamp.
    pub timestamp: Duration,
}

/// A gang in one state of its life cycle at the leader.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Leader<S> {
    /// The gang.
    pub gang: GangId,
    /// The epoch of the reservations.
    pub epoch: Epoch,
    incarnation: Incarnation,
    timestamp_origin: Instant,
    members: BTreeMap<AgentId, Option<LastAck>>,
    /// What is known in this state.
    pub state: S,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct LastAck {
    echo: Duration,
    timestamp: Duration,
}

/// The leader waits until every member is armed.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Arming;

/// The members may run as long as the leader sends pulses.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Leading {
    last_pulse: Instant,
}

/// The leader stops all members.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Stopping {
    /// When the run terms of all members have ended, even if some did not confirm.
    run_terms_end: Instant,
    unconfirmed: Vec<AgentId>,
}

impl<S> Leader<S> {
    /// Returns the agents of the gang.
    pub fn members(&self) -> impl Iterator<Item = &AgentId> {
        self.members.keys()
    }

    /// Records a member's acknowledgement; acknowledgements may arrive in any order.
    ///
    /// An acknowledgement for an earlier incarnation of the leader is ignored, as its timestamps have another origin.
    pub fn record_ack(&mut self, member: &str, ack: &Ack) {
        if ack.leader_incarnation != self.incarnation {
            return;
        }
        let Some(last_ack) = self.members.get_mut(member) else {
            return;
        };
        let old = last_ack.take().unwrap_or(LastAck {
            echo: Duration::ZERO,
            timestamp: Duration::ZERO,
        });
        *last_ack = Some(LastAck {
            echo: old.echo.max(ack.echo),
            timestamp: old.timestamp.max(ack.timestamp),
        });
    }

    /// Returns whether every member acknowledged a message sent less than `RUN_TERM` ago.
    pub fn all_acks_recent(&self, now: Instant) -> bool {
        self.members.values().all(|last_ack| {
            last_ack
                .as_ref()
                .is_some_and(|ack| now < self.timestamp_origin + ack.echo + RUN_TERM)
        })
    }

    fn with_state<T>(self, state: T) -> Leader<T> {
        Leader {
            gang: self.gang,
            epoch: self.epoch,
            incarnation: self.incarnation,
            timestamp_origin: self.timestamp_origin,
            members: self.members,
            state,
        }
    }

    /// Starts to stop all members and drops their acknowledgements, which are no longer used.
    fn stop_at(mut self, run_terms_end: Instant) -> Leader<Stopping> {
        let unconfirmed = self.members.keys().cloned().collect();
        self.members.values_mut().for_each(|ack| *ack = None);
        self.with_state(Stopping {
            run_terms_end,
            unconfirmed,
        })
    }
}

impl Leader<Arming> {
    /// Creates the leader for a `Start` message if the leader's own agent holds the gang and has not armed it.
    ///
    /// A repeated `Start` to a restarted agent must not create a second leader, which would give up and release members
    /// while the task of the agent's earlier incarnation still runs.
    pub fn start(
        own: &Reservations,
        incarnation: Incarnation,
        gang: GangId,
        epoch: Epoch,
        members: impl IntoIterator<Item = AgentId>,
        now: Instant,
    ) -> Result<Self, Report<Error>> {
        if !own.is_held(gang, epoch, now) {
            return Err(refused(
                "the leader's agent has no unarmed reservation for the gang",
            ));
        }
        Ok(Self {
            gang,
            epoch,
            incarnation,
            timestamp_origin: now,
            members: members.into_iter().map(|member| (member, None)).collect(),
            state: Arming,
        })
    }

    /// Returns the request to send to members that are not armed.
    pub fn arm(&self, now: Instant) -> Arm {
        Arm {
            gang: self.gang,
            epoch: self.epoch,
            leader_incarnation: self.incarnation,
            timestamp: now - self.timestamp_origin,
        }
    }

    /// Lets the gang run if every member is armed; otherwise returns `self`.
    pub fn activate(self, now: Instant) -> Result<Leader<Leading>, Self> {
        if !self.all_acks_recent(now) {
            return Err(self);
        }
        Ok(self.with_state(Leading { last_pulse: now }))
    }

    /// Gives up before any member was allowed to run.
    pub fn stop(self, now: Instant) -> Leader<Stopping> {
        self.stop_at(now)
    }
}

impl Leader<Leading> {
    /// Returns the pulses to send, or stops the gang if a member is silent.
    pub fn pulse(mut self, now: Instant) -> Result<(Self, Pulses), Leader<Stopping>> {
        if !self.all_acks_recent(now) {
            return Err(self.stop());
        }
        self.state.last_pulse = now;
        let pulses = self.members.iter().filter_map(|(member, last_ack)| {
            let pulse = Pulse {
                gang: self.gang,
                leader_incarnation: self.incarnation,
                timestamp: now - self.timestamp_origin,
                echo: last_ack.as_ref()?.timestamp,
            };
            Some((member.clone(), pulse))
        });
        let pulses = pulses.collect();
        Ok((self, pulses))
    }

    /// Stops the gang; after `RUN_TERM` no pulse in flight can let a member run.
    pub fn stop(self) -> Leader<Stopping> {
        let run_terms_end = self.state.last_pulse + RUN_TERM;
        self.stop_at(run_terms_end)
    }
}

impl Leader<Stopping> {
    /// Records that a member confirmed its stop.
    pub fn record_stopped(&mut self, member: &str) {
        self.state.unconfirmed.retain(|agent| **agent != *member);
    }

    /// Returns whether no member can run any more, so that all may be released.
    pub fn all_stopped(&self, now: Instant) -> bool {
        self.state.unconfirmed.is_empty() || now >= self.state.run_terms_end
    }
}
