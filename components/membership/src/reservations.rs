//! All reservations of an agent, in one map for each state.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use errors::{Error, ErrorKind, Result};
use model::{Epoch, GangId, Resources, WorkerId};

use crate::ended::EndedGangs;
use crate::fencing::Fence;
use crate::leader::{Ack, Arm, Pulse};
use crate::protocol::{
    Incarnation, Renewal, ReservationEvent, ReservationEventKind, Reserve, Sender, check_epoch,
    refused,
};
use crate::reservation::{Active, Armed, GANG_LEASE_TERM, Held, Reservation, Stopped, WorkerShare};

/// The reservations of an agent by state.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Reservations {
    capacity: Arc<BTreeMap<WorkerId, Resources>>,
    startup_delay_end: Instant,
    held: BTreeMap<GangId, Reservation<Held>>,
    armed: BTreeMap<GangId, Reservation<Armed>>,
    active: BTreeMap<GangId, Reservation<Active>>,
    stopped: BTreeMap<GangId, Reservation<Stopped>>,
    ended: EndedGangs,
    events: Vec<ReservationEvent>,
}

impl Reservations {
    /// Creates an empty set of reservations.
    ///
    /// A restarted agent has lost its reservations while their tasks and the other members may still run, so it refuses
    /// new reservations for the first `GANG_LEASE_TERM`.
    pub fn start(capacity: BTreeMap<WorkerId, Resources>, now: Instant) -> Self {
        Self {
            capacity: Arc::new(capacity),
            startup_delay_end: now + GANG_LEASE_TERM,
            held: BTreeMap::new(),
            armed: BTreeMap::new(),
            active: BTreeMap::new(),
            stopped: BTreeMap::new(),
            ended: EndedGangs::start(now),
            events: Vec::new(),
        }
    }

    /// Reserves the agent's part of a gang; a repeated request succeeds again but does not extend the term.
    pub fn reserve(&mut self, fence: &mut Fence, request: Reserve, now: Instant) -> Result<()> {
        fence.admit(request.epoch)?;
        self.expire(now);
        self.check_not_ended(request.gang)?;
        if let Some(held) = self.held.get(&request.gang) {
            return check_epoch(held.epoch, request.epoch);
        }
        if self.is_reserved(request.gang) {
            return Err(refused("the gang is already armed"));
        }
        if now < self.startup_delay_end {
            let wait = self.startup_delay_end - now;
            let error = Error::not_run(ErrorKind::Unavailable, "the agent has just started");
            return Err(error.retry_after(wait).report());
        }
        if self.ended.is_full() || !self.fits(&request.shares) {
            let error = Error::not_run(
                ErrorKind::Overloaded,
                "the agent has too few free resources",
            );
            return Err(error.report());
        }
        let held = Reservation::hold(request.gang, request.epoch, request.shares, now);
        self.held.insert(request.gang, held);
        Ok(())
    }

    /// Arms the agent's part of a gang for its leader.
    pub fn arm(&mut self, arm: &Arm, now: Instant) -> Result<Ack> {
        self.expire(now);
        self.check_not_ended(arm.gang)?;
        let armed = match (self.held.get(&arm.gang), self.armed.get(&arm.gang)) {
            (Some(held), _) if held.epoch == arm.epoch => {
                held.clone().arm(arm.leader_incarnation, now)
            }
            (_, Some(armed)) if armed.state.leader_incarnation == arm.leader_incarnation => {
                armed.clone().rearm(now)
            }
            _ => {
                return Err(refused(
                    "the gang has no reservation that this leader can arm",
                ));
            }
        };
        let ack = ack(
            arm.gang,
            arm.leader_incarnation,
            arm.timestamp,
            now - armed.state.timestamp_origin,
        );
        self.held.remove(&arm.gang);
        self.armed.insert(arm.gang, armed);
        Ok(ack)
    }

    /// Starts the task on the first pulse and renews the gang lease on later ones.
    pub fn pulse(&mut self, pulse: &Pulse, now: Instant) -> Result<Renewal> {
        self.expire(now);
        self.check_not_ended(pulse.gang)?;
        let gang = pulse.gang;
        let (active, starts) = match (self.armed.get(&gang), self.active.get(&gang)) {
            (Some(armed), _) if armed.state.leader_incarnation == pulse.leader_incarnation => {
                let active = armed.clone().activate(pulse.echo, now);
                let late = |_| refused("the pulse echoes an acknowledgement that is too old");
                (active.map_err(late)?, true)
            }
            (_, Some(active)) if active.state.leader_incarnation == pulse.leader_incarnation => {
                (active.clone().renew(pulse.echo, now), false)
            }
            _ => return Err(refused("the gang is not armed by this leader")),
        };
        let renewal = Renewal {
            ack: ack(
                gang,
                pulse.leader_incarnation,
                pulse.timestamp,
                now - active.state.timestamp_origin,
            ),
            starts,
            run_for: active.state.run_until - now,
        };
        self.armed.remove(&gang);
        self.active.insert(gang, active);
        Ok(renewal)
    }

    /// Stops the agent's part of a gang; its accelerators stay reserved until the leader or the end of the lease frees
    /// them.
    ///
    /// A restarted agent does not confirm the stop of a gang that it does not know, because the task of its earlier
    /// incarnation may run until the end of its lease at the platform.
    pub fn stop(
        &mut self,
        fence: &mut Fence,
        gang: GangId,
        by: Sender,
        now: Instant,
    ) -> Result<()> {
        by.admit(fence)?;
        self.expire(now);
        if !self.is_reserved(gang) {
            return self.stop_unknown(gang, now);
        }
        if self.held.remove(&gang).is_some() {
            self.end(gang);
        } else if let Some(armed) = self.armed.remove(&gang) {
            self.stopped.insert(gang, armed.stop());
        } else if let Some(active) = self.active.remove(&gang) {
            self.stop_task(active);
        }
        Ok(())
    }

    /// Stops the agent's part of a gang, and frees its accelerators if the sender is the leader.
    ///
    /// Only the leader knows that no member can run any more.
    pub fn release(
        &mut self,
        fence: &mut Fence,
        gang: GangId,
        by: Sender,
        now: Instant,
    ) -> Result<()> {
        self.stop(fence, gang, by, now)?;
        if by == Sender::Leader && self.stopped.remove(&gang).is_some() {
            self.end(gang);
        }
        Ok(())
    }

    /// Ends the reservations whose term is over and drops the records of gangs that ended long ago.
    pub fn expire(&mut self, now: Instant) {
        for (_, active) in self
            .active
            .extract_if(.., |_, r| now >= r.state.run_until)
            .collect::<Vec<_>>()
        {
            self.stop_task(active);
        }
        let mut expired = Vec::new();
        expired.extend(
            self.held
                .extract_if(.., |_, r| now >= r.state.reserved_until)
                .map(|(id, _)| id),
        );
        expired.extend(
            self.armed
                .extract_if(.., |_, r| now >= r.state.reserved_until)
                .map(|(id, _)| id),
        );
        expired.extend(
            self.stopped
                .extract_if(.., |_, r| now >= r.state.reserved_until)
                .map(|(id, _)| id),
        );
        for gang in expired {
            self.end(gang);
        }
        self.ended.rotate(now);
    }

    /// Returns the events since the last call, to be applied at the worker platform.
    pub fn take_events(&mut self) -> Vec<ReservationEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns whether the agent reserves accelerators for the gang.
    pub fn is_reserved(&self, gang: GangId) -> bool {
        self.held.contains_key(&gang)
            || self.armed.contains_key(&gang)
            || self.active.contains_key(&gang)
            || self.stopped.contains_key(&gang)
    }

    /// Returns whether the gang is reserved under this epoch and not yet armed.
    pub fn is_held(&self, gang: GangId, epoch: Epoch, now: Instant) -> bool {
        let held = self.held.get(&gang);
        held.is_some_and(|held| held.epoch == epoch && now < held.state.reserved_until)
    }

    /// Returns whether the agent's task of the gang may run at `now`.
    pub fn is_running(&self, gang: GangId, now: Instant) -> bool {
        let active = self.active.get(&gang);
        active.is_some_and(|active| now < active.state.run_until)
    }

    /// Returns the resources that are reserved on a worker.
    pub fn reserved_on(&self, worker: &str) -> Resources {
        sum_on(worker, self.shares())
    }

    fn shares(&self) -> impl Iterator<Item = &WorkerShare> {
        let held = self.held.values().map(|r| &r.shares);
        let armed = self.armed.values().map(|r| &r.shares);
        let active = self.active.values().map(|r| &r.shares);
        let stopped = self.stopped.values().map(|r| &r.shares);
        held.chain(armed)
            .chain(active)
            .chain(stopped)
            .flat_map(|shares| shares.iter())
    }

    fn fits(&self, shares: &[WorkerShare]) -> bool {
        shares.iter().all(|share| {
            let requested = sum_on(&share.worker, shares.iter());
            let total = self.reserved_on(&share.worker).saturating_add(requested);
            let capacity = self.capacity.get(&share.worker);
            capacity.is_some_and(|capacity| capacity.checked_sub(total).is_some())
        })
    }

    fn check_not_ended(&self, gang: GangId) -> Result<()> {
        if self.ended.contains(gang) {
            return Err(refused("the gang has ended"));
        }
        Ok(())
    }

    fn stop_unknown(&mut self, gang: GangId, now: Instant) -> Result<()> {
        if !self.ended.is_full() {
            self.end(gang);
        }
        if now < self.startup_delay_end {
            let message = "the agent has just started and has no record of the gang";
            return Err(Error::may_have_run(ErrorKind::Unavailable, message).report());
        }
        Ok(())
    }

    fn stop_task(&mut self, active: Reservation<Active>) {
        let (gang, kind) = (active.gang, ReservationEventKind::Stopped);
        self.stopped.insert(gang, active.stop());
        self.events.push(ReservationEvent { gang, kind });
    }

    fn end(&mut self, gang: GangId) {
        if self.ended.insert(gang) {
            let kind = ReservationEventKind::Freed;
            self.events.push(ReservationEvent { gang, kind });
        }
    }
}

fn sum_on<'a>(worker: &str, shares: impl Iterator<Item = &'a WorkerShare>) -> Resources {
    shares
        .filter(|share| *share.worker == *worker)
        .fold(Resources::default(), |sum, share| {
            sum.saturating_add(share.total)
        })
}

fn ack(gang: GangId, leader_incarnation: Incarnation, echo: Duration, timestamp: Duration) -> Ack {
    Ack {
        gang,
        leader_incarnation,
        echo,
        timestamp,
    }
}
