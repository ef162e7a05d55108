//! An agent as the leader of a gang.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use errors::{Error, ErrorKind, Result};
use membership::leader::{Ack, Leader, Leading};
use model::{AgentId, GangId};
use tokio_util::sync::CancellationToken;
use wire::{ArmGang, Call, Packet, Pulse, PulseAck, Reply, StartGang};

use crate::context::Context;
use crate::gangs::ending::{begin_stop, finish, give_up, stop_members};
use crate::gangs::state::{Led, LedInfo, State};
use crate::gangs::{ClaimedGang, GangEvent, ReplyTo};

/// How long one call to a member may take; it is repeated or given up with the gang lease.
pub(super) const MEMBER_TIMEOUT: Duration = Duration::from_millis(800);
/// How long a running gang waits for the body of its request.
const CLAIM_TERM: Duration = Duration::from_secs(2);
/// Arms all members of a gang.
pub(crate) fn start(state: &mut State, start: StartGang, tx: ReplyTo<()>, now: Instant) {
    let own_part = state
        .gangs
        .get(&start.gang)
        .is_some_and(|gang| gang.has_slot);
    if !own_part || state.led_info(start.gang).is_some() {
        let message = "the gang has no reserved slot here or has started already";
        let _ = tx.send(Err(Error::not_run(ErrorKind::Conflict, message).report()));
        return;
    }
    if let Err(report) = state.fence.admit(start.epoch) {
        let _ = tx.send(Err(report));
        return;
    }
    let members = start.agents.iter().map(|(agent, _)| agent.clone());
    let life = state.cx.datagrams.incarnation();
    let led = Leader::start(
        &state.reservations,
        life,
        start.gang,
        start.epoch,
        members,
        now,
    );
    let leader = match led {
        Ok(leader) => leader,
        Err(report) => {
            let _ = tx.send(Err(report));
            return;
        }
    };
    let arm = leader.arm(now);
    for (agent, addr) in &start.agents {
        let call = Call::ArmGang(ArmGang {
            gang: arm.gang,
            epoch: arm.epoch,
            life: arm.leader_incarnation,
            stamp: arm.timestamp,
            leader: state.cx.addr(),
            request: start.request.clone(),
        });
        spawn_arm(&state.cx, start.gang, agent.clone(), *addr, call);
    }
    let info = LedInfo {
        agents: start.agents,
        members: start.members,
        request: start.request,
        started: Some(tx),
        claim_by: now + CLAIM_TERM,
        claimed: false,
        stopped: CancellationToken::new(),
        error: None,
        failed_workers: Vec::new(),
    };
    state.arming.insert(start.gang, Led { leader, info });
}

fn spawn_arm(cx: &Arc<Context>, gang: GangId, agent: AgentId, addr: SocketAddr, call: Call) {
    let cx = Arc::clone(cx);
    tokio::spawn(async move {
        let result = match cx.peers.call(addr, &call, MEMBER_TIMEOUT).await {
            Ok(Reply::Armed(ack)) => Ok(ack),
            Ok(_) => Err(Error::not_run(ErrorKind::Internal, "unexpected reply").report()),
            Err(report) => Err(report),
        };
        let _ = cx.gangs.send(GangEvent::Armed {
            gang,
            agent,
            result,
        });
    });
}

/// Records that a member is armed, and lets the gang run once all are.
pub(crate) fn armed(
    state: &mut State,
    gang: GangId,
    agent: &str,
    result: Result<PulseAck>,
    now: Instant,
) {
    let Some(mut led) = state.arming.swap_remove(&gang) else {
        return;
    };
    let ack = match result {
        Ok(ack) => member_ack(&ack),
        Err(report) => {
            let cause = report.current_context();
            let message = format!("agent {agent} could not arm its members: {}", cause.message);
            give_up(state, led, Error::not_run(cause.kind, message), now);
            return;
        }
    };
    led.leader.record_ack(agent, &ack);
    match led.leader.activate(now) {
        Ok(leader) => {
            let mut led = Led {
                leader,
                info: led.info,
            };
            if let Some(started) = led.info.started.take() {
                let _ = started.send(Ok(()));
            }
            led.info.claim_by = now + CLAIM_TERM;
            send_pulses(state, led, now);
        }
        Err(leader) => {
            state.arming.insert(
                gang,
                Led {
                    leader,
                    info: led.info,
                },
            );
        }
    }
}

/// Records a member's answer to a pulse.
pub(crate) fn pulse_acked(state: &mut State, ack: &PulseAck) {
    if let Some(led) = state.leading.get_mut(&ack.gang) {
        led.leader.record_ack(&ack.agent, &member_ack(ack));
    }
}

fn member_ack(ack: &PulseAck) -> Ack {
    Ack {
        gang: ack.gang,
        leader_incarnation: ack.life,
        echo: ack.echo,
        timestamp: ack.stamp,
    }
}

/// Sends pulses, gives up gangs that cannot start, and ends gangs that have stopped.
pub(crate) fn tick(state: &mut State, now: Instant) {
    for led in std::mem::take(&mut state.arming).into_values() {
        if now < led.info.claim_by {
            state.arming.insert(led.leader.gang, led);
            continue;
        }
        let error = Error::not_run(ErrorKind::Timeout, "the members were not armed in time");
        give_up(state, led, error, now);
    }
    for mut led in std::mem::take(&mut state.leading).into_values() {
        if !led.info.claimed && now >= led.info.claim_by {
            let message = "the request did not arrive at the endpoint's agent in time";
            led.info.error = Some(Error::not_run(ErrorKind::Unavailable, message));
            begin_stop(state, led, ErrorKind::Unavailable);
            continue;
        }
        send_pulses(state, led, now);
    }
    let over: Vec<GangId> = state
        .stopping
        .iter()
        .filter(|(_, led)| led.leader.all_stopped(now))
        .map(|(gang, _)| *gang)
        .collect();
    for gang in over {
        finish(state, gang);
    }
}

fn send_pulses(state: &mut State, led: Led<Leading>, now: Instant) {
    let Led { leader, mut info } = led;
    match leader.pulse(now) {
        Ok((leader, pulses)) => {
            let led = Led { leader, info };
            for (agent, pulse) in pulses {
                let Some(addr) = led.addr(&agent) else {
                    continue;
                };
                let packet = Packet::Pulse(Pulse {
                    gang: pulse.gang,
                    life: pulse.leader_incarnation,
                    stamp: pulse.timestamp,
                    echo: pulse.echo,
                });
                let cx = Arc::clone(&state.cx);
                tokio::spawn(async move { cx.datagrams.send(addr, packet).await });
            }
            state.leading.insert(led.leader.gang, led);
        }
        Err(stopping) => {
            let message = "a member of the gang was lost";
            let verdict = info.verdict();
            info.error
                .get_or_insert_with(|| Error::new(verdict, ErrorKind::Stopped, message));
            info.stopped.cancel();
            stop_members(state, stopping.gang, &info, ErrorKind::Unavailable);
            state.stopping.insert(
                stopping.gang,
                Led {
                    leader: stopping,
                    info,
                },
            );
        }
    }
}

/// Hands the endpoint slot to the request of a running gang, once.
pub(crate) fn claim(state: &mut State, gang: GangId) -> Result<ClaimedGang> {
    let missing = || Error::not_run(ErrorKind::Stopped, "the gang no longer runs").report();
    let led = state.leading.get_mut(&gang).ok_or_else(missing)?;
    let slot = state
        .gangs
        .get_mut(&gang)
        .and_then(|gang| gang.slot.take())
        .ok_or_else(missing)?;
    led.info.claimed = true;
    Ok(ClaimedGang {
        slot,
        stopped: led.info.stopped.clone(),
        workers: led
            .info
            .members
            .iter()
            .map(|member| member.worker.clone())
            .collect(),
    })
}
