//! The transitions of the gang start model; all decisions are made by the shipped functions.

use std::time::Duration;

use membership::fencing::Fence;
use membership::leader::{Ack, Leader, Leading};
use membership::reservation::GANG_LEASE_TERM;
use membership::{Reservations, Sender};

use crate::clock::{TICK, Tick, instant, ticks};
use crate::gang::{
    Agent, Bound, COMPETING_GANG, GANG, LeaderState, Message, Mutant, State, agent_id,
    new_reservations, reserve_request,
};

/// Returns all states that are reachable in one step.
pub fn successors(state: &State, bound: &Bound) -> Vec<State> {
    let mut next = Vec::new();
    if state.now < bound.horizon {
        next.push(tick(state));
    }
    for agent in 0..bound.agents {
        next.extend(owner_messages(state, agent, bound));
        next.extend(crash(state, agent, bound));
    }
    next.extend(start(state, bound));
    next.extend(leader_steps(state, bound));
    for message in &state.network {
        let mut lost = state.clone();
        lost.network.remove(message);
        let mut delivered = lost.clone();
        deliver(&mut delivered, message, bound);
        let mut duplicated = state.clone();
        deliver(&mut duplicated, message, bound);
        next.extend([lost, delivered, duplicated]);
    }
    next
}

/// Returns a changed copy of the state, and discards the reservation events of one agent as handled by the platform.
fn with_change(state: &State, agent: usize, change: impl FnOnce(&mut State)) -> State {
    let mut next = state.clone();
    change(&mut next);
    let _ = next.agents[agent].reservations.take_events();
    next
}

/// Advances the clock by one tick and expires the reservations of all agents.
///
/// Delayed timers need no exploration: they only release accelerators later, and each decision of an agent expires
/// reservations first.
fn tick(state: &State) -> State {
    let mut next = state.clone();
    next.now += 1;
    for agent in &mut next.agents {
        agent.reservations.expire(instant(next.now));
        let _ = agent.reservations.take_events();
        if agent.orphan_until <= next.now {
            agent.orphan_until = 0;
        }
        let over = |lost_at: &Tick| next.now >= lost_at + ticks(GANG_LEASE_TERM);
        agent.reservation_lost_at = agent.reservation_lost_at.filter(|lost_at| !over(lost_at));
    }
    next
}

/// Returns the states after messages of the owners: the first owner reserves and releases its gang, and the second
/// owner reserves its own gang and releases the gang of the first.
///
/// `Release` and `Stop` from an owner have the same effect on an armed gang, so only `Release` is explored.
fn owner_messages(state: &State, agent: usize, bound: &Bound) -> Vec<State> {
    let now = instant(state.now);
    let mut next = vec![reserve_gang(state, agent)];
    let contended = bound.contended_agent == Some(agent);
    if contended {
        next.push(with_change(state, agent, |next| {
            let agent = &mut next.agents[agent];
            let request = reserve_request(COMPETING_GANG, 2);
            let _ = agent.reservations.reserve(&mut agent.fence, request, now);
        }));
    }
    if contended || agent == 1 {
        next.push(with_change(state, agent, |next| {
            let agent = &mut next.agents[agent];
            let sender = Sender::Owner(if contended { 2 } else { 1 });
            let _ = agent
                .reservations
                .release(&mut agent.fence, GANG, sender, now);
        }));
    }
    next
}

fn reserve_gang(state: &State, agent: usize) -> State {
    with_change(state, agent, |next| {
        let reserving = &mut next.agents[agent];
        let request = reserve_request(GANG, 1);
        let reply =
            reserving
                .reservations
                .reserve(&mut reserving.fence, request, instant(state.now));
        next.confirmed[agent] |= reply.is_ok() && !state.started;
    })
}

fn start(state: &State, bound: &Bound) -> Option<State> {
    let ready = state.started || state.confirmed.iter().all(|confirmed| *confirmed);
    if !ready || state.leader != LeaderState::Idle {
        return None;
    }
    let members = (0..bound.agents).map(agent_id);
    let new_agent = State::initial(bound).agents.swap_remove(0);
    let skip_check = bound.mutant == Mutant::StartWithoutReservation;
    let own = if skip_check {
        with_held_gang(new_agent, state.now)
    } else {
        state.agents[0].reservations.clone()
    };
    let leader = Leader::start(
        &own,
        state.agents[0].incarnation,
        GANG,
        1,
        members,
        instant(state.now),
    )
    .ok()?;
    let mut next = with_leader(state, LeaderState::Arming(leader));
    next.started = true;
    next.confirmed.fill(false);
    next.leader_since = state.now;
    Some(next)
}

/// Returns the reservations of an agent after it has reserved the gang.
fn with_held_gang(mut agent: Agent, now: Tick) -> Reservations {
    let request = reserve_request(GANG, 1);
    let _ = agent
        .reservations
        .reserve(&mut agent.fence, request, instant(now));
    agent.reservations
}

fn crash(state: &State, agent: usize, bound: &Bound) -> Option<State> {
    if state.crashes >= bound.crashes {
        return None;
    }
    let mut next = state.clone();
    next.crashes += 1;
    let crashed = &mut next.agents[agent];
    let end = run_end(&crashed.reservations, state.now);
    if end > state.now {
        crashed.orphan_until = end;
    }
    if crashed.reservations.is_reserved(GANG) {
        crashed.reservation_lost_at = Some(state.now);
    }
    let skipped_delay = if bound.mutant == Mutant::NoStartupDelay {
        ticks(GANG_LEASE_TERM)
    } else {
        0
    };
    crashed.reservations = new_reservations(state.now - skipped_delay);
    crashed.fence = Fence::default();
    crashed.incarnation += u64::from(bound.mutant != Mutant::SameIncarnation);
    if agent == 0 {
        next.leader = LeaderState::Idle;
    }
    Some(next)
}

/// Returns the tick at which the platform stops the task of an agent that crashes now.
fn run_end(reservations: &Reservations, now: Tick) -> Tick {
    let last = now + ticks(GANG_LEASE_TERM);
    let mut ends = (now..last).filter(|tick| !reservations.is_running(GANG, instant(*tick)));
    ends.next().unwrap_or(last)
}

fn leader_steps(state: &State, bound: &Bound) -> Vec<State> {
    let now = instant(state.now);
    match state.leader.clone() {
        LeaderState::Idle | LeaderState::Done => Vec::new(),
        LeaderState::Arming(leader) => {
            let arm = leader.arm(now);
            let arm_sent = send_all(state, bound, |member| Message::Arm(member, arm.clone()));
            let given_up = with_leader(state, LeaderState::Stopping(leader.clone().stop(now)));
            let mut leader = leader;
            if bound.mutant == Mutant::ActivateBeforeAllArmed {
                forge_acks(bound, |member, ack| leader.record_ack(member, ack), state);
            }
            let activated = leader.activate(now).ok();
            let activated =
                activated.map(|leader| with_leader(state, LeaderState::Leading(leader)));
            [arm_sent, given_up].into_iter().chain(activated).collect()
        }
        LeaderState::Leading(mut leader) => {
            let stopped = with_leader(state, LeaderState::Stopping(leader.clone().stop()));
            if bound.mutant == Mutant::PulseWithoutAcks {
                forge_acks(bound, |member, ack| leader.record_ack(member, ack), state);
            }
            vec![stopped, pulse(state, bound, leader)]
        }
        LeaderState::Stopping(leader) => {
            let stop_sent = send_all(state, bound, Message::Stop);
            if !leader.all_stopped(now) {
                return vec![stop_sent];
            }
            let done = with_leader(state, LeaderState::Done);
            vec![stop_sent, send_all(&done, bound, Message::Release)]
        }
    }
}

fn pulse(state: &State, bound: &Bound, leader: Leader<Leading>) -> State {
    match leader.pulse(instant(state.now)) {
        Err(stopping) => with_leader(state, LeaderState::Stopping(stopping)),
        Ok((leader, pulses)) => {
            let mut next = with_leader(state, LeaderState::Leading(leader));
            for (member, (_, pulse)) in pulses.into_iter().enumerate() {
                send(&mut next, bound, Message::Pulse(member, pulse));
            }
            next
        }
    }
}

/// Records a forged acknowledgement from every member at the leader.
fn forge_acks(bound: &Bound, mut record_ack: impl FnMut(&str, &Ack), state: &State) {
    for member in 0..bound.agents {
        let ack = Ack {
            gang: GANG,
            leader_incarnation: state.agents[0].incarnation,
            echo: TICK * (state.now - state.leader_since),
            timestamp: Duration::ZERO,
        };
        record_ack(&agent_id(member), &ack);
    }
}

fn with_leader(state: &State, leader: LeaderState) -> State {
    let mut next = state.clone();
    next.leader = leader;
    next
}

fn send_all(state: &State, bound: &Bound, message: impl Fn(usize) -> Message) -> State {
    let mut next = state.clone();
    for member in 0..bound.agents {
        send(&mut next, bound, message(member));
    }
    next
}

/// Adds a message to the network, unless too many are in flight.
///
/// Messages between the leader and its own agent stay within one process and are delivered immediately.
fn send(state: &mut State, bound: &Bound, message: Message) {
    let member = message.member();
    if member == 0 {
        deliver(state, &message, bound);
    } else if state.network.len() < bound.in_flight {
        state.network.insert(message);
    }
}

fn deliver(state: &mut State, message: &Message, bound: &Bound) {
    let now = instant(state.now);
    match message {
        Message::Ack(member, ack) => record_ack(state, *member, ack),
        Message::Stopped(member) => {
            if let LeaderState::Stopping(leader) = &mut state.leader {
                leader.record_stopped(&agent_id(*member));
            }
        }
        Message::Arm(member, arm) => {
            if let Ok(ack) = state.agents[*member].reservations.arm(arm, now) {
                send(state, bound, Message::Ack(*member, ack));
            }
        }
        Message::Pulse(member, pulse) => {
            if let Ok(renewal) = state.agents[*member].reservations.pulse(pulse, now) {
                send(state, bound, Message::Ack(*member, renewal.ack));
            }
        }
        Message::Stop(member) => {
            let agent = &mut state.agents[*member];
            let result = if bound.mutant == Mutant::ReleaseOnStop {
                agent
                    .reservations
                    .release(&mut agent.fence, GANG, Sender::Leader, now)
            } else {
                agent
                    .reservations
                    .stop(&mut agent.fence, GANG, Sender::Leader, now)
            };
            if result.is_ok() {
                send(state, bound, Message::Stopped(*member));
            }
        }
        Message::Release(member) => {
            let agent = &mut state.agents[*member];
            let _ = agent
                .reservations
                .release(&mut agent.fence, GANG, Sender::Leader, now);
        }
    }
    for agent in &mut state.agents {
        let _ = agent.reservations.take_events();
    }
}

fn record_ack(state: &mut State, member: usize, ack: &Ack) {
    match &mut state.leader {
        LeaderState::Arming(leader) => leader.record_ack(&agent_id(member), ack),
        LeaderState::Leading(leader) => leader.record_ack(&agent_id(member), ack),
        LeaderState::Idle | LeaderState::Stopping(_) | LeaderState::Done => {}
    }
}
