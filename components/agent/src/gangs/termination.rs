//! Terminates gangs that this agent leads.

use std::sync::Arc;
use std::time::{Duration, Instant};

use errors::{Error, ErrorKind, Result};
use membership::leader::{Arming, Leading};
use model::GangId;
use wire::{Call, GangEnded, MemberFailed, StopGang};

use crate::context::Context;
use crate::gangs::GangEvent;
use crate::gangs::leader::MEMBER_CALL_TIMEOUT;
use crate::gangs::state::{LeaderInfo, LedGang, State};

/// Delay before the end of a gang is reported again to an owner that did not answer.
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Maximum number of attempts to report an end; a later owner learns of it from `Announce`.
const MAX_REPORT_ATTEMPTS: usize = 20;

/// Stops a gang whose request ended.
pub(crate) fn stop_after_request(state: &mut State, gang: GangId, error: Option<Error>) {
    let reason = error
        .as_ref()
        .map_or(ErrorKind::Cancelled, |error| error.kind);
    if let Some(mut led) = state.leading.swap_remove(&gang) {
        led.info.error = error;
        begin_stop(state, led, reason);
    }
}

/// Stops a gang because a worker failed a task.
pub(crate) fn stop_after_failure(state: &mut State, failed: &MemberFailed, now: Instant) {
    let Some(info) = state.leader_info(failed.gang) else {
        return;
    };
    if !info.failed_workers.contains(&failed.worker) {
        info.failed_workers.push(failed.worker.clone());
    }
    let message = format!("worker {} failed a task: {}", failed.worker, failed.message);
    if let Some(mut led) = state.leading.swap_remove(&failed.gang) {
        led.info.error = Some(Error::new(led.info.verdict(), ErrorKind::Failed, message));
        begin_stop(state, led, ErrorKind::Failed);
    } else if let Some(led) = state.arming.swap_remove(&failed.gang) {
        abort_start(state, led, Error::not_run(ErrorKind::Failed, message), now);
    }
}

/// Stops a gang because its owner asked for it.
pub(crate) fn stop_by_owner(state: &mut State, stop: &StopGang, now: Instant) -> Result<()> {
    state.fence.admit(stop.epoch.unwrap_or_default())?;
    let message = "the owner stopped the gang";
    if let Some(mut led) = state.leading.swap_remove(&stop.gang) {
        led.info.error = Some(Error::new(led.info.verdict(), stop.reason, message));
        begin_stop(state, led, stop.reason);
    } else if let Some(led) = state.arming.swap_remove(&stop.gang) {
        abort_start(state, led, Error::not_run(stop.reason, message), now);
    }
    Ok(())
}

pub(super) fn begin_stop(state: &mut State, led: LedGang<Leading>, reason: ErrorKind) {
    let LedGang { leader, info } = led;
    let gang = leader.gang;
    info.stopped.cancel();
    stop_members(state, gang, &info, reason);
    state.stopping.insert(
        gang,
        LedGang {
            leader: leader.stop(),
            info,
        },
    );
}

/// Stops a gang before any member was allowed to run.
pub(super) fn abort_start(state: &mut State, led: LedGang<Arming>, error: Error, now: Instant) {
    let LedGang { leader, mut info } = led;
    let gang = leader.gang;
    if let Some(tx) = info.start_tx.take() {
        let _ = tx.send(Err(error.clone().report()));
    }
    info.error = Some(error);
    info.stopped.cancel();
    stop_members(state, gang, &info, ErrorKind::Cancelled);
    state.stopping.insert(
        gang,
        LedGang {
            leader: leader.stop(now),
            info,
        },
    );
}

/// Stops the tasks of all members; each member replies once its workers have stopped them.
pub(super) fn stop_members(state: &State, gang: GangId, info: &LeaderInfo, reason: ErrorKind) {
    for (agent, addr) in &info.agents {
        let call = Call::StopGang(StopGang {
            gang,
            epoch: None,
            reason,
            release: false,
        });
        let cx = Arc::clone(&state.cx);
        let (agent, addr) = (agent.clone(), *addr);
        tokio::spawn(async move {
            // A member that does not answer stops its tasks when the gang lease is no longer renewed.
            if cx
                .peers
                .call(addr, &call, MEMBER_CALL_TIMEOUT)
                .await
                .is_ok()
            {
                let _ = cx.gangs_tx.send(GangEvent::MemberStopped { gang, agent });
            }
        });
    }
}

/// Records that a member stopped; the gang is finished after the last member.
pub(crate) fn record_member_stopped(state: &mut State, gang: GangId, agent: &str, now: Instant) {
    let Some(led) = state.stopping.get_mut(&gang) else {
        return;
    };
    led.leader.record_stopped(agent);
    if led.leader.all_stopped(now) {
        finish(state, gang);
    }
}

/// Releases all members and reports the end to the owner.
pub(super) fn finish(state: &mut State, gang: GangId) {
    let Some(led) = state.stopping.swap_remove(&gang) else {
        return;
    };
    let info = led.info;
    for (_, addr) in &info.agents {
        let call = Call::StopGang(StopGang {
            gang,
            epoch: None,
            reason: ErrorKind::Cancelled,
            release: true,
        });
        let cx = Arc::clone(&state.cx);
        let addr = *addr;
        tokio::spawn(async move {
            // A member that does not receive this frees its accelerators when the gang lease expires.
            let _ = cx.peers.call(addr, &call, MEMBER_CALL_TIMEOUT).await;
        });
    }
    log::info!(
        target: "limpethook",
        gang:% = format_args!("{gang:032x}"), request:% = format_args!("{:032x}", info.request.id),
        result:% = info.error.as_ref().map_or("answered", |error| error.kind.as_str());
        "gang_ended"
    );
    let ended = GangEnded {
        gang,
        epoch: state.fence.highest(),
        error: info.error,
        failed_workers: info.failed_workers,
    };
    tokio::spawn(report_end(Arc::clone(&state.cx), ended));
}

async fn report_end(cx: Arc<Context>, ended: GangEnded) {
    let call = Call::GangEnded(ended);
    for _ in 0..MAX_REPORT_ATTEMPTS {
        let owner = cx
            .board
            .owner
            .load()
            .as_ref()
            .as_ref()
            .map(|owner| owner.addr);
        if let Some(addr) = owner
            && cx
                .peers
                .call(addr, &call, MEMBER_CALL_TIMEOUT)
                .await
                .is_ok()
        {
            return;
        }
        cx.timer.subscribe_after(REPORT_RETRY_DELAY).recv().await;
    }
}
