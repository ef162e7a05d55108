//! The event loop of the gang controller.

use std::collections::BTreeMap;
use std::sync::Arc;

use indexmap::IndexMap;
use membership::Reservations;
use membership::fencing::Fence;
use membership::leader::PULSE_INTERVAL;
use tokio::sync::mpsc;

use crate::context::Context;
use crate::gangs::state::State;
use crate::gangs::{GangEvent, leader, member, termination};
use crate::tasks;

/// Maximum number of events that are applied before the gang section is published again.
const MAX_BATCH: usize = 64;

/// Runs the controller until all senders are dropped.
pub(crate) async fn run(mut rx: mpsc::UnboundedReceiver<GangEvent>, cx: Arc<Context>) {
    let workers = &cx.settings.workers;
    let capacity: BTreeMap<_, _> = workers
        .iter()
        .map(|worker| (worker.id.clone(), worker.capacity))
        .collect();
    let mut state = State {
        cx: Arc::clone(&cx),
        fence: Fence::default(),
        reservations: Reservations::start(capacity, timer::now()),
        gangs: IndexMap::new(),
        unconfirmed_stops: IndexMap::new(),
        arming: IndexMap::new(),
        leading: IndexMap::new(),
        stopping: IndexMap::new(),
    };
    let mut ticks = cx.timer.subscribe_every(PULSE_INTERVAL);
    let mut batch = Vec::with_capacity(MAX_BATCH);
    loop {
        tokio::select! {
            received = rx.recv_many(&mut batch, MAX_BATCH) => if received == 0 { return },
            _ = ticks.recv() => batch.push(GangEvent::Tick),
        }
        // The section must show a reservation before the reply that reports it leaves the agent.
        for event in batch.drain(..) {
            apply(&mut state, event);
            member::apply_reservation_events(&mut state);
        }
        cx.board.gangs.publish(state.held_gangs());
    }
}

fn apply(state: &mut State, event: GangEvent) {
    let now = timer::now();
    match event {
        GangEvent::AdoptEpoch { epoch, tx } => {
            // An older epoch is not an error here; the fence refuses later calls with it.
            let _ = state.fence.admit(epoch);
            let _ = tx.send(());
        }
        GangEvent::Reserve { reserve, tx } => {
            let _ = tx.send(member::reserve(state, reserve, now));
        }
        GangEvent::Arm { arm, tx } => {
            let _ = tx.send(member::arm(state, arm, now));
        }
        GangEvent::Pulse { from, pulse } => member::pulse(state, from, &pulse, now),
        GangEvent::Stop { stop, tx } => stop_gang(state, &stop, tx),
        GangEvent::TaskStarted { gang, worker, task } => {
            member::record_task_started(state, gang, worker, task);
        }
        GangEvent::StopConfirmed { worker } => member::record_stop_confirmed(state, &worker),
        GangEvent::TaskFailed {
            gang,
            worker,
            message,
        } => member::report_task_failed(state, gang, worker, message),
        GangEvent::Start { start, tx } => leader::start(state, start, tx, now),
        GangEvent::ArmResult {
            gang,
            agent,
            result,
        } => leader::record_arm_result(state, gang, &agent, result, now),
        GangEvent::PulseAck { ack } => leader::record_pulse_ack(state, &ack),
        GangEvent::MemberStopped { gang, agent } => {
            termination::record_member_stopped(state, gang, &agent, now);
        }
        GangEvent::MemberFailed { failed } => termination::stop_after_failure(state, &failed, now),
        GangEvent::Claim { gang, tx } => {
            let _ = tx.send(leader::claim(state, gang));
        }
        GangEvent::RequestEnded { gang, error } => {
            termination::stop_after_request(state, gang, error);
        }
        GangEvent::Tick => {
            state.reservations.expire(now);
            leader::tick(state, now);
            tasks::renew(state, now);
        }
    }
}

/// Stops a gang: as its leader if the owner asks and this agent leads it, otherwise as a member.
fn stop_gang(state: &mut State, stop: &wire::StopGang, tx: crate::gangs::ReplySender<()>) {
    let now = timer::now();
    if stop.epoch.is_some() && state.leader_info(stop.gang).is_some() {
        let _ = tx.send(termination::stop_by_owner(state, stop, now));
        return;
    }
    member::stop(state, stop, tx, now);
}
