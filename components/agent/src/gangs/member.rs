//! The agent as a member of a gang: reserves resources and runs tasks while the leader sends pulses.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use errors::{Error, ErrorKind, Result};
use indexmap::IndexMap;
use membership::leader::{Arm, Pulse as LeaderPulse};
use membership::reservation::WorkerShare;
use membership::{ReservationEventKind, Reserve as ReserveShares, Sender};
use model::{GangId, Member, WorkerId};
use tokio_util::task::TaskTracker;
use wire::{ArmGang, Call, MemberFailed, Packet, Pulse, PulseAck, Reserve, StopGang};

use workers::TaskId;

use crate::gangs::ReplySender;
use crate::gangs::state::{LocalGang, State};
use crate::tasks;

/// When an owner may retry after the endpoint had no free slot or a worker had not confirmed a stop.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Timeout of the report of a failed task to the leader; if the leader is unreachable, the gang ends with its lease.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Reserves resources for the members of a gang at this agent, and an endpoint slot if the request will run here.
pub(crate) fn reserve(state: &mut State, reserve: Reserve, now: Instant) -> Result<()> {
    if state.cx.is_draining() {
        return Err(Error::not_run(ErrorKind::Draining, "the agent is shutting down").report());
    }
    let known = state.gangs.contains_key(&reserve.gang);
    if !known {
        check_stops_confirmed(state, &reserve.members)?;
    }
    let slot = if reserve.runs_request && !known {
        Some(state.cx.slots.try_acquire().ok_or_else(no_slot_error)?)
    } else {
        None
    };
    let shares: Arc<[WorkerShare]> = reserve
        .members
        .iter()
        .map(|member| WorkerShare {
            worker: member.worker.clone(),
            total: member.total(),
        })
        .collect();
    let order = ReserveShares {
        gang: reserve.gang,
        epoch: reserve.epoch,
        shares,
    };
    state.reservations.reserve(&mut state.fence, order, now)?;
    if !known {
        let gang = LocalGang {
            epoch: reserve.epoch,
            job: reserve.job,
            members: reserve.members,
            runs_request: reserve.runs_request,
            slot,
            request: None,
            leader_addr: None,
            pending_starts: TaskTracker::new(),
            started_tasks: IndexMap::new(),
            run_until: None,
        };
        state.gangs.insert(reserve.gang, gang);
    }
    Ok(())
}

fn no_slot_error() -> error_stack::Report<Error> {
    let error = Error::not_run(ErrorKind::Overloaded, "the endpoint has no free slot");
    error.retry_after(BUSY_RETRY_AFTER).report()
}

/// Arms the members at this agent, which extends their reservation to the gang lease.
pub(crate) fn arm(state: &mut State, arm: ArmGang, now: Instant) -> Result<PulseAck> {
    let ack = state.reservations.arm(
        &Arm {
            gang: arm.gang,
            epoch: arm.epoch,
            leader_incarnation: arm.leader_incarnation,
            timestamp: arm.timestamp,
        },
        now,
    )?;
    if let Some(gang) = state.gangs.get_mut(&arm.gang) {
        gang.leader_addr = Some(arm.leader);
        gang.request = Some(arm.request);
    }
    Ok(PulseAck {
        gang: arm.gang,
        agent: state.cx.settings.id.clone(),
        leader_incarnation: ack.leader_incarnation,
        echo: ack.echo,
        timestamp: ack.timestamp,
    })
}

/// Handles a pulse of the leader: the first one starts the tasks, later ones extend their run term.
pub(crate) fn pulse(state: &mut State, from: SocketAddr, pulse: &Pulse, now: Instant) {
    let renewal = state.reservations.pulse(
        &LeaderPulse {
            gang: pulse.gang,
            leader_incarnation: pulse.leader_incarnation,
            timestamp: pulse.timestamp,
            echo: pulse.echo,
        },
        now,
    );
    // The gang has ended at this agent; the leader stops it because the acknowledgement is missing.
    let Ok(renewal) = renewal else { return };
    if let Some(gang) = state.gangs.get_mut(&pulse.gang) {
        let until = now + renewal.run_for;
        gang.run_until = Some(until);
        if renewal.starts {
            tasks::start(&state.cx, pulse.gang, gang, until);
        }
    }
    let ack = PulseAck {
        gang: pulse.gang,
        agent: state.cx.settings.id.clone(),
        leader_incarnation: renewal.ack.leader_incarnation,
        echo: renewal.ack.echo,
        timestamp: renewal.ack.timestamp,
    };
    let cx = Arc::clone(&state.cx);
    tokio::spawn(async move { cx.datagrams.send(from, Packet::PulseAck(ack)).await });
}

/// Stops the tasks of a gang and replies once the workers have stopped them.
pub(crate) fn stop(state: &mut State, stop: &StopGang, tx: ReplySender<()>, now: Instant) {
    let sender = stop.epoch.map_or(Sender::Leader, Sender::Owner);
    let result = if stop.release {
        state
            .reservations
            .release(&mut state.fence, stop.gang, sender, now)
    } else {
        state
            .reservations
            .stop(&mut state.fence, stop.gang, sender, now)
    };
    if let Err(report) = result {
        let _ = tx.send(Err(report));
        return;
    }
    let running = state
        .gangs
        .get_mut(&stop.gang)
        .filter(|gang| gang.run_until.is_some());
    let Some(gang) = running else {
        let _ = tx.send(Ok(()));
        return;
    };
    gang.run_until = None;
    let checkpoint = stop.reason == ErrorKind::Stopped
        && gang
            .request
            .as_ref()
            .is_some_and(|request| request.stoppable);
    tasks::stop(&state.cx, stop.gang, gang, checkpoint, Some(tx));
    await_stop_confirmations(state, stop.gang);
}

/// Applies lapsed and ended reservations: stops their tasks and removes the gangs whose resources were freed.
pub(crate) fn apply_reservation_events(state: &mut State) {
    for event in state.reservations.take_events() {
        match event.kind {
            ReservationEventKind::Stopped => stop_tasks(state, event.gang),
            ReservationEventKind::Freed => {
                stop_tasks(state, event.gang);
                state.gangs.swap_remove(&event.gang);
            }
        }
    }
}

fn stop_tasks(state: &mut State, id: GangId) {
    let Some(gang) = state.gangs.get_mut(&id) else {
        return;
    };
    if gang.run_until.take().is_some() {
        tasks::stop(&state.cx, id, gang, false, None);
        await_stop_confirmations(state, id);
    }
}

/// Excludes the workers of a gang from reservations until they confirm that its tasks stopped.
fn await_stop_confirmations(state: &mut State, id: GangId) {
    let members = state
        .gangs
        .get(&id)
        .into_iter()
        .flat_map(|gang| &gang.members);
    for member in members {
        *state
            .unconfirmed_stops
            .entry(member.worker.clone())
            .or_default() += 1;
    }
}

/// Records a confirmed stop; the worker accepts reservations again after it has confirmed all stops.
pub(crate) fn record_stop_confirmed(state: &mut State, worker: &WorkerId) {
    if let Some(stops) = state.unconfirmed_stops.get_mut(worker) {
        *stops = stops.saturating_sub(1);
        if *stops == 0 {
            state.unconfirmed_stops.swap_remove(worker);
        }
    }
}

fn check_stops_confirmed(state: &State, members: &[Member]) -> Result<()> {
    let Some(member) = members
        .iter()
        .find(|member| state.unconfirmed_stops.contains_key(&member.worker))
    else {
        return Ok(());
    };
    let message = format!(
        "worker {} has not confirmed that earlier tasks stopped",
        member.worker
    );
    let error = Error::not_run(ErrorKind::Unavailable, message);
    Err(error.retry_after(BUSY_RETRY_AFTER).report())
}

/// Records a started task, so that it is renewed.
pub(crate) fn record_task_started(state: &mut State, id: GangId, worker: WorkerId, task: TaskId) {
    if let Some(gang) = state.gangs.get_mut(&id) {
        gang.started_tasks.entry(worker).or_default().push(task);
    }
}

/// Reports a failed task of a worker of this agent to the leader.
pub(crate) fn report_task_failed(
    state: &mut State,
    id: GangId,
    worker: WorkerId,
    message: Box<str>,
) {
    // A renewal that overlaps the stop of its gang reports the stopped task as ended; the worker did not fail.
    let running = state.gangs.get(&id).filter(|gang| gang.run_until.is_some());
    let Some(leader) = running.and_then(|gang| gang.leader_addr) else {
        return;
    };
    log::warn!(
        target: "limpethook",
        gang:% = format_args!("{id:032x}"), worker:% = worker, message:% = message;
        "task_failed"
    );
    let call = Call::MemberFailed(MemberFailed {
        gang: id,
        worker,
        message,
    });
    let cx = Arc::clone(&state.cx);
    tokio::spawn(async move {
        // If the report is lost, the gang ends with its lease, which this member no longer renews.
        let _ = cx.peers.call(leader, &call, REPORT_TIMEOUT).await;
    });
}
