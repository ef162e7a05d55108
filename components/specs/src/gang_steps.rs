//! The steps of the gang specification; every decision is made by the shipped functions.

use std::time::Duration;

use membership::fencing::Fence;
use membership::leader::{Ack, Leader, Leading};
use membership::reservation::GANG_LEASE_TERM;
use membership::{Reservations, Sender};

use crate::clock::{TICK, Tick, at, ticks};
use crate::gang::{Agent, Bound, GANG, Lead, Msg, Mutant, RIVAL, State, name, new_life, order};

/// Returns every state that one step reaches.
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
    next.extend(lead(state, bound));
    for msg in &state.net {
        let mut lost = state.clone();
        lost.net.remove(msg);
        let mut once = lost.clone();
        deliver(&mut once, msg, bound);
        let mut repeated = state.clone();
        deliver(&mut repeated, msg, bound);
        next.extend([lost, once, repeated]);
    }
    next
}

/// Changes a copy of one agent; the platform carries out what lapsed.
fn at_agent(state: &State, agent: usize, act: impl FnOnce(&mut State)) -> State {
    let mut next = state.clone();
    act(&mut next);
    let _ = next.agents[agent].reservations.take_events();
    next
}

/// Lets time pass; every agent expires what is due.
///
/// An agent whose timer is late gives accelerators back later, and each of its decisions expires first, so a late timer
/// adds no behaviour that matters here.
fn tick(state: &State) -> State {
    let mut next = state.clone();
    next.now += 1;
    for agent in &mut next.agents {
        agent.reservations.expire(at(next.now));
        let _ = agent.reservations.take_events();
        if agent.orphan_until <= next.now {
            agent.orphan_until = 0;
        }
        let over = |lost: &Tick| next.now >= lost + ticks(GANG_LEASE_TERM);
        agent.lost = agent.lost.filter(|lost| !over(lost));
    }
    next
}

/// The first owner reserves and releases; the second one reserves for its gang and cleans up.
///
/// An owner's `Release` and `Stop` do the same to a gang that was armed, so one of them is enough.
fn owner_messages(state: &State, agent: usize, bound: &Bound) -> Vec<State> {
    let now = at(state.now);
    let mut next = vec![reserve_gang(state, agent)];
    let rival = bound.rival == Some(agent);
    if rival {
        next.push(at_agent(state, agent, |next| {
            let at = &mut next.agents[agent];
            let _ = at.reservations.reserve(&mut at.fence, order(RIVAL, 2), now);
        }));
    }
    if rival || agent == 1 {
        next.push(at_agent(state, agent, |next| {
            let at = &mut next.agents[agent];
            let by = Sender::Owner(if rival { 2 } else { 1 });
            let _ = at.reservations.release(&mut at.fence, GANG, by, now);
        }));
    }
    next
}

fn reserve_gang(state: &State, agent: usize) -> State {
    at_agent(state, agent, |next| {
        let at_agent = &mut next.agents[agent];
        let order = order(GANG, 1);
        let answer = at_agent
            .reservations
            .reserve(&mut at_agent.fence, order, at(state.now));
        next.held[agent] |= answer.is_ok() && !state.started;
    })
}

fn start(state: &State, bound: &Bound) -> Option<State> {
    let known = state.started || state.held.iter().all(|held| *held);
    if !known || state.lead != Lead::Idle {
        return None;
    }
    let members = (0..bound.agents).map(name);
    let fresh = State::initial(bound).agents.swap_remove(0);
    let forged = bound.mutant == Mutant::StartWithoutReservation;
    let own = if forged {
        held(fresh, state.now)
    } else {
        state.agents[0].reservations.clone()
    };
    let leader = Leader::start(&own, state.agents[0].life, GANG, 1, members, at(state.now)).ok()?;
    let mut next = with_lead(state, Lead::Arming(leader));
    next.started = true;
    next.held.fill(false);
    next.lead_since = state.now;
    Some(next)
}

/// Returns the reservations of an agent that holds the gang.
fn held(mut agent: Agent, now: Tick) -> Reservations {
    let order = order(GANG, 1);
    let _ = agent.reservations.reserve(&mut agent.fence, order, at(now));
    agent.reservations
}

fn crash(state: &State, agent: usize, bound: &Bound) -> Option<State> {
    if state.crashes >= bound.crashes {
        return None;
    }
    let mut next = state.clone();
    next.crashes += 1;
    let was = &mut next.agents[agent];
    let end = run_end(&was.reservations, state.now);
    if end > state.now {
        was.orphan_until = end;
    }
    if was.reservations.is_reserved(GANG) {
        was.lost = Some(state.now);
    }
    let quiet = if bound.mutant == Mutant::NoQuietTime {
        ticks(GANG_LEASE_TERM)
    } else {
        0
    };
    was.reservations = new_life(state.now - quiet);
    was.fence = Fence::default();
    was.life += u64::from(bound.mutant != Mutant::SameLife);
    if agent == 0 {
        next.lead = Lead::Idle;
    }
    Some(next)
}

/// Returns the tick at which the platform stops the task of a crashed agent.
fn run_end(reservations: &Reservations, now: Tick) -> Tick {
    let last = now + ticks(GANG_LEASE_TERM);
    let mut ends = (now..last).filter(|tick| !reservations.is_running(GANG, at(*tick)));
    ends.next().unwrap_or(last)
}

fn lead(state: &State, bound: &Bound) -> Vec<State> {
    let now = at(state.now);
    match state.lead.clone() {
        Lead::Idle | Lead::Done => Vec::new(),
        Lead::Arming(leader) => {
            let arm = leader.arm(now);
            let armed = send_all(state, bound, |member| Msg::Arm(member, arm.clone()));
            let given_up = with_lead(state, Lead::Stopping(leader.clone().stop(now)));
            let mut leader = leader;
            if bound.mutant == Mutant::GoBeforeAllArmed {
                forge_acks(bound, |member, ack| leader.record_ack(member, ack), state);
            }
            let gone = leader.activate(now).ok();
            let gone = gone.map(|leader| with_lead(state, Lead::Leading(leader)));
            [armed, given_up].into_iter().chain(gone).collect()
        }
        Lead::Leading(mut leader) => {
            let stopped = with_lead(state, Lead::Stopping(leader.clone().stop()));
            if bound.mutant == Mutant::PulseWithoutAcks {
                forge_acks(bound, |member, ack| leader.record_ack(member, ack), state);
            }
            vec![stopped, pulse(state, bound, leader)]
        }
        Lead::Stopping(leader) => {
            let stop = send_all(state, bound, Msg::Stop);
            if !leader.all_stopped(now) {
                return vec![stop];
            }
            let released = with_lead(state, Lead::Done);
            vec![stop, send_all(&released, bound, Msg::Release)]
        }
    }
}

fn pulse(state: &State, bound: &Bound, leader: Leader<Leading>) -> State {
    match leader.pulse(at(state.now)) {
        Err(stopping) => with_lead(state, Lead::Stopping(stopping)),
        Ok((leader, pulses)) => {
            let mut next = with_lead(state, Lead::Leading(leader));
            for (member, (_, pulse)) in pulses.into_iter().enumerate() {
                send(&mut next, bound, Msg::Pulse(member, pulse));
            }
            next
        }
    }
}

/// Makes the leader believe that every member answered its last message.
fn forge_acks(bound: &Bound, mut acked: impl FnMut(&str, &Ack), state: &State) {
    for member in 0..bound.agents {
        let ack = Ack {
            gang: GANG,
            leader_incarnation: state.agents[0].life,
            echo: TICK * (state.now - state.lead_since),
            timestamp: Duration::ZERO,
        };
        acked(&name(member), &ack);
    }
}

fn with_lead(state: &State, lead: Lead) -> State {
    let mut next = state.clone();
    next.lead = lead;
    next
}

fn send_all(state: &State, bound: &Bound, msg: impl Fn(usize) -> Msg) -> State {
    let mut next = state.clone();
    for member in 0..bound.agents {
        send(&mut next, bound, msg(member));
    }
    next
}

/// Messages between the leader and its own agent stay within one process and arrive at once.
fn send(state: &mut State, bound: &Bound, msg: Msg) {
    let member = msg.member();
    if member == 0 {
        deliver(state, &msg, bound);
    } else if state.net.len() < bound.in_flight {
        state.net.insert(msg);
    }
}

fn deliver(state: &mut State, msg: &Msg, bound: &Bound) {
    let now = at(state.now);
    match msg {
        Msg::Ack(member, ack) => heard(state, *member, ack),
        Msg::Stopped(member) => {
            if let Lead::Stopping(leader) = &mut state.lead {
                leader.record_stopped(&name(*member));
            }
        }
        Msg::Arm(member, arm) => {
            if let Ok(ack) = state.agents[*member].reservations.arm(arm, now) {
                send(state, bound, Msg::Ack(*member, ack));
            }
        }
        Msg::Pulse(member, pulse) => {
            if let Ok(renewal) = state.agents[*member].reservations.pulse(pulse, now) {
                send(state, bound, Msg::Ack(*member, renewal.ack));
            }
        }
        Msg::Stop(member) => {
            let at = &mut state.agents[*member];
            let done = if bound.mutant == Mutant::FreeOnStop {
                at.reservations
                    .release(&mut at.fence, GANG, Sender::Leader, now)
            } else {
                at.reservations
                    .stop(&mut at.fence, GANG, Sender::Leader, now)
            };
            if done.is_ok() {
                send(state, bound, Msg::Stopped(*member));
            }
        }
        Msg::Release(member) => {
            let at = &mut state.agents[*member];
            let _ = at
                .reservations
                .release(&mut at.fence, GANG, Sender::Leader, now);
        }
    }
    for agent in &mut state.agents {
        let _ = agent.reservations.take_events();
    }
}

fn heard(state: &mut State, member: usize, ack: &Ack) {
    match &mut state.lead {
        Lead::Arming(leader) => leader.record_ack(&name(member), ack),
        Lead::Leading(leader) => leader.record_ack(&name(member), ack),
        Lead::Idle | Lead::Stopping(_) | Lead::Done => {}
    }
}
