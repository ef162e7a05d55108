//! All reservations of an agent, one map for each state.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use errors::{Error, ErrorKind, Result};
use model::{Epoch, GangId, Resources, WorkerId};

use crate::ended::EndedGangs;
use crate::fencing::Fence;
use crate::leader::{Ack, Arm, Pulse};
use crate::orders::{
    Incarnation, Lapse, LapseKind, Renewal, Reserve, Sender, check_epoch, refused,
};
use crate::reservation::{Active, Armed, GANG_LEASE_TERM, Held, Part, Reservation, Stopped};

/// The reservations of an agent by state.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Reservations {
    capacity: Arc<BTreeMap<WorkerId, Resources>>,
    quiet_until: Instant,
    held: BTreeMap<GangId, Reservation<Held>>,
    armed: BTreeMap<GangId, Reservation<Armed>>,
    active: BTreeMap<GangId, Reservation<Active>>,
    stopped: BTreeMap<GangId, Reservation<Stopped>>,
    ended: EndedGangs,
    lapses: Vec<Lapse>,
}

impl Reservations {
    /// Starts without reservations.
    ///
    /// A restarted agent has forgotten its reservations while their tasks and the other members may still run, so it
    /// refuses reservations for the first `GANG_LEASE_TERM`.
    pub fn start(capacity: BTreeMap<WorkerId, Resources>, now: Instant) -> Self {
        Self {
            capacity: Arc::new(capacity),
            quiet_until: now + GANG_LEASE_TERM,
            held: BTreeMap::new(),
            armed: BTreeMap::new(),
            active: BTreeMap::new(),
            stopped: BTreeMap::new(),
            ended: EndedGangs::start(now),
            lapses: Vec::new(),
        }
    }

    /// Reserves the agent's part of a gang; a repeated request is answered again without a longer term.
    pub fn reserve(&mut self, fence: &mut Fence, order: Reserve, now: Instant) -> Result<()> {
        fence.admit(order.epoch)?;
        self.expire(now);
        self.check_open(order.gang)?;
        if let Some(held) = self.held.get(&order.gang) {
            return check_epoch(held.epoch, order.epoch);
        }
        if self.is_reserved(order.gang) {
            return Err(refused("the gang is already armed"));
        }
        if now < self.quiet_until {
            let wait = self.quiet_until - now;
            let error = Error::not_run(ErrorKind::Unavailable, "the agent started just now");
            return Err(error.retry_after(wait).report());
        }
        if self.ended.is_full() || !self.fits(&order.parts) {
            let error = Error::not_run(ErrorKind::Overloaded, "the agent lacks free resources");
            return Err(error.report());
        }
        let held = Reservation::hold(order.gang, order.epoch, order.parts, now);
        self.held.insert(order.gang, held);
        Ok(())
    }

    /// Arms the agent's part for the leader.
    pub fn arm(&mut self, arm: &Arm, now: Instant) -> Result<Ack> {
        self.expire(now);
        self.check_open(arm.gang)?;
        let armed = match (self.held.get(&arm.gang), self.armed.get(&arm.gang)) {
            (Some(held), _) if held.epoch == arm.epoch => held.clone().arm(arm.life, now),
            (_, Some(armed)) if armed.state.leader == arm.life => armed.clone().rearm(now),
            _ => {
                return Err(refused(
                    "the gang has no reservation that this leader can arm",
                ));
            }
        };
        let ack = ack(arm.gang, arm.life, arm.stamp, now - armed.state.since);
        self.held.remove(&arm.gang);
        self.armed.insert(arm.gang, armed);
        Ok(ack)
    }

    /// Starts the task at the first pulse and renews the gang lease at later ones.
    pub fn pulse(&mut self, pulse: &Pulse, now: Instant) -> Result<Renewal> {
        self.expire(now);
        self.check_open(pulse.gang)?;
        let gang = pulse.gang;
        let (active, starts) = match (self.armed.get(&gang), self.active.get(&gang)) {
            (Some(armed), _) if armed.state.leader == pulse.life => {
                let active = armed.clone().go(pulse.echo, now);
                let late = |_| refused("the pulse echoes an acknowledgement that is too old");
                (active.map_err(late)?, true)
            }
            (_, Some(active)) if active.state.leader == pulse.life => {
                (active.clone().renew(pulse.echo, now), false)
            }
            _ => return Err(refused("the gang is not armed by this leader")),
        };
        let renewal = Renewal {
            ack: ack(gang, pulse.life, pulse.stamp, now - active.state.since),
            starts,
            run_for: active.state.run_until - now,
        };
        self.armed.remove(&gang);
        self.active.insert(gang, active);
        Ok(renewal)
    }

    /// Stops the agent's part of a gang; its accelerators stay reserved until the leader or the lease releases them.
    ///
    /// A restarted agent does not confirm that a gang stopped which it does not know: the task of its earlier life may
    /// run until the end of its lease at the platform.
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

    /// Frees the accelerators if no member can run any more, and otherwise only stops the task.
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

    /// Ends what has passed its term and forgets gangs that ended long ago.
    pub fn expire(&mut self, now: Instant) {
        for (_, active) in self
            .active
            .extract_if(.., |_, r| now >= r.state.run_until)
            .collect::<Vec<_>>()
        {
            self.stop_task(active);
        }
        let mut over = Vec::new();
        over.extend(
            self.held
                .extract_if(.., |_, r| now >= r.state.until)
                .map(|(id, _)| id),
        );
        over.extend(
            self.armed
                .extract_if(.., |_, r| now >= r.state.until)
                .map(|(id, _)| id),
        );
        over.extend(
            self.stopped
                .extract_if(.., |_, r| now >= r.state.until)
                .map(|(id, _)| id),
        );
        for gang in over {
            self.end(gang);
        }
        self.ended.rotate(now);
    }

    /// Returns the changes since the last call, for the worker platform.
    pub fn take_lapses(&mut self) -> Vec<Lapse> {
        std::mem::take(&mut self.lapses)
    }

    /// Returns whether the agent reserves accelerators for the gang.
    pub fn is_reserved(&self, gang: GangId) -> bool {
        self.held.contains_key(&gang)
            || self.armed.contains_key(&gang)
            || self.active.contains_key(&gang)
            || self.stopped.contains_key(&gang)
    }

    /// Returns whether the gang is reserved at this epoch and not armed.
    pub fn is_held(&self, gang: GangId, epoch: Epoch, now: Instant) -> bool {
        let held = self.held.get(&gang);
        held.is_some_and(|held| held.epoch == epoch && now < held.state.until)
    }

    /// Returns whether the agent's task of the gang may run at this moment.
    pub fn is_running(&self, gang: GangId, now: Instant) -> bool {
        let active = self.active.get(&gang);
        active.is_some_and(|active| now < active.state.run_until)
    }

    /// Returns what is reserved on a worker.
    pub fn reserved_on(&self, worker: &str) -> Resources {
        sum_on(worker, self.parts())
    }

    fn parts(&self) -> impl Iterator<Item = &Part> {
        let held = self.held.values().map(|r| &r.parts);
        let armed = self.armed.values().map(|r| &r.parts);
        let active = self.active.values().map(|r| &r.parts);
        let stopped = self.stopped.values().map(|r| &r.parts);
        held.chain(armed)
            .chain(active)
            .chain(stopped)
            .flat_map(|parts| parts.iter())
    }

    fn fits(&self, parts: &[Part]) -> bool {
        parts.iter().all(|part| {
            let asked = sum_on(&part.worker, parts.iter());
            let wanted = self.reserved_on(&part.worker).plus(asked);
            let capacity = self.capacity.get(&part.worker);
            capacity.is_some_and(|capacity| capacity.checked_minus(wanted).is_some())
        })
    }

    fn check_open(&self, gang: GangId) -> Result<()> {
        if self.ended.contains(gang) {
            return Err(refused("the gang ended"));
        }
        Ok(())
    }

    fn stop_unknown(&mut self, gang: GangId, now: Instant) -> Result<()> {
        if !self.ended.is_full() {
            self.end(gang);
        }
        if now < self.quiet_until {
            let message = "the agent started just now and does not know the gang";
            return Err(Error::may_have_run(ErrorKind::Unavailable, message).report());
        }
        Ok(())
    }

    fn stop_task(&mut self, active: Reservation<Active>) {
        let (gang, kind) = (active.gang, LapseKind::Stopped);
        self.stopped.insert(gang, active.stop());
        self.lapses.push(Lapse { gang, kind });
    }

    fn end(&mut self, gang: GangId) {
        if self.ended.insert(gang) {
            let kind = LapseKind::Freed;
            self.lapses.push(Lapse { gang, kind });
        }
    }
}

fn sum_on<'a>(worker: &str, parts: impl Iterator<Item = &'a Part>) -> Resources {
    parts
        .filter(|part| *part.worker == *worker)
        .fold(Resources::default(), |sum, part| sum.plus(part.total))
}

fn ack(gang: GangId, life: Incarnation, echo: Duration, stamp: Duration) -> Ack {
    Ack {
        gang,
        life,
        echo,
        stamp,
    }
}
