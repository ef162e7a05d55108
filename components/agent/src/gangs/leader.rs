//! The agent as the leader of a gang: arms the members, sends pulses and hands out the endpoint slot.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use errors::{Error, ErrorKind, Result};
use membership::leader::{Ack, Leader, Leading};
use model::{AgentId, GangId};
use tokio_util::sync::CancellationToken;
use wire::{ArmGang, Call, Packet, Pulse, PulseAck, Reply, StartGang};

use crate::context::Context;
use crate::gangs::state::{LeaderInfo, LedGang, State};
use crate::gangs::termination::{abort_start, begin_stop, finish, stop_members};
use crate::gangs::{ClaimedGang, GangEvent, ReplySender};

/// Timeout of a call to a member; a call without an answer is repeated or superseded by the end of the gang lease.
pub(super) const MEMBER_CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// How long a running gang waits for its request to arrive at this agent.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);

/// Arms all members of a gang.
pub(crate) fn start(state: &mut State, start: StartGang, tx: ReplySender<()>, now: Instant) {
    let has_slot = state
        .gangs
        .get(&start.gang)
        .is_some_and(|gang| gang.runs_request);
    if !has_slot || state.leader_info(start.gang).is_some() {
        let message = "the gang has no reserved slot at this agent or has already started";
        let _ = tx.send(Err(Error::not_run(ErrorKind::Conflict, message).report()));
        return;
    }
    if let Err(report) = state.fence.admit(start.epoch) {
        let _ = tx.send(Err(report));
        return;
    }
    let members = start.agents.iter().map(|(agent, _)| agent.clone());
    let incarnation = state.cx.datagrams.incarnation();
    let result = Leader::start(
        &state.reservations,
        incarnation,
        start.gang,
        start.epoch,
        members,
        now,
    );
    let leader = match result {
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
            leader_incarnation: arm.leader_incarnation,
            timestamp: arm.timestamp,
            leader: state.cx.addr(),
            request: start.request.clone(),
        });
        spawn_arm(&state.cx, start.gang, agent.clone(), *addr, call);
    }
    let info = LeaderInfo {
        agents: start.agents,
        members: start.members,
        request: start.request,
        start_tx: Some(tx),
        claim_deadline: now + CLAIM_TIMEOUT,
        claimed: false,
        stopped: CancellationToken::new(),
        error: None,
        failed_workers: Vec::new(),
    };
    state.arming.insert(start.gang, LedGang { leader, info });
}

fn spawn_arm(cx: &Arc<Context>, gang: GangId, agent: AgentId, addr: SocketAddr, call: Call) {
    let cx = Arc::clone(cx);
    tokio::spawn(async move {
        let result = match cx.peers.call(addr, &call, MEMBER_CALL_TIMEOUT).await {
            Ok(Reply::Armed(ack)) => Ok(ack),
            Ok(_) => {
                Err(Error::not_run(ErrorKind::Internal, "unexpected reply to ArmGang").report())
            }
            Err(report) => Err(report),
        };
        let _ = cx.gangs_tx.send(GangEvent::ArmResult {
            gang,
            agent,
            result,
        });
    });
}

/// Records the answer of a member to `ArmGang`, and starts the gang once all members are armed.
pub(crate) fn record_arm_result(
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
            abort_start(state, led, Error::not_run(cause.kind, message), now);
            return;
        }
    };
    led.leader.record_ack(agent, &ack);
    match led.leader.activate(now) {
        Ok(leader) => {
            let mut led = LedGang {
                leader,
                info: led.info,
            };
            if let Some(tx) = led.info.start_tx.take() {
                let _ = tx.send(Ok(()));
            }
            led.info.claim_deadline = now + CLAIM_TIMEOUT;
            send_pulses(state, led, now);
        }
        Err(leader) => {
            state.arming.insert(
                gang,
                LedGang {
                    leader,
                    info: led.info,
                },
            );
        }
    }
}

/// Records the acknowledgement of a pulse.
pub(crate) fn record_pulse_ack(state: &mut State, ack: &PulseAck) {
    if let Some(led) = state.leading.get_mut(&ack.gang) {
        led.leader.record_ack(&ack.agent, &member_ack(ack));
    }
}

fn member_ack(ack: &PulseAck) -> Ack {
    Ack {
        gang: ack.gang,
        leader_incarnation: ack.leader_incarnation,
        echo: ack.echo,
        timestamp: ack.timestamp,
    }
}

/// Sends pulses, aborts gangs that did not start in time, and finishes gangs whose members have stopped.
pub(crate) fn tick(state: &mut State, now: Instant) {
    for led in std::mem::take(&mut state.arming).into_values() {
        if now < led.info.claim_deadline {
            state.arming.insert(led.leader.gang, led);
            continue;
        }
        let error = Error::not_run(ErrorKind::Timeout, "the members were not armed in time");
        abort_start(state, led, error, now);
    }
    for mut led in std::mem::take(&mut state.leading).into_values() {
        if !led.info.claimed && now >= led.info.claim_deadline {
            let message = "the request did not arrive at the endpoint's agent in time";
            led.info.error = Some(Error::not_run(ErrorKind::Unavailable, message));
            begin_stop(state, led, ErrorKind::Unavailable);
            continue;
        }
        send_pulses(state, led, now);
    }
    let finished: Vec<GangId> = state
        .stopping
        .iter()
        .filter(|(_, led)| led.leader.all_stopped(now))
        .map(|(gang, _)| *gang)
        .collect();
    for gang in finished {
        finish(state, gang);
    }
}

fn send_pulses(state: &mut State, led: LedGang<Leading>, now: Instant) {
    let LedGang { leader, mut info } = led;
    match leader.pulse(now) {
        Ok((leader, pulses)) => {
            let led = LedGang { leader, info };
            for (agent, pulse) in pulses {
                let Some(addr) = led.member_addr(&agent) else {
                    continue;
                };
                let packet = Packet::Pulse(Pulse {
                    gang: pulse.gang,
                    leader_incarnation: pulse.leader_incarnation,
                    timestamp: pulse.timestamp,
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
                LedGang {
                    leader: stopping,
                    info,
                },
            );
        }
    }
}

/// Transfers the endpoint slot to the request of a running gang; succeeds once per gang.
pub(crate) fn claim(state: &mut State, gang: GangId) -> Result<ClaimedGang> {
    let not_running =
        || Error::not_run(ErrorKind::Stopped, "the gang is no longer running").report();
    let led = state.leading.get_mut(&gang).ok_or_else(not_running)?;
    let slot = state
        .gangs
        .get_mut(&gang)
        .and_then(|gang| gang.slot.take())
        .ok_or_else(not_running)?;
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
