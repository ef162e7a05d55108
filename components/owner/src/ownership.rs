//! Acquires, renews and gives up the ownership of the cell.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use discovery::cell_key;
use errors::{Error, ErrorKind, Result};
use membership::ownership::{
    CellRecord, CellView, Duty, Holder, OWNER_LEASE_TERM, RENEW_INTERVAL, RenewalOutcome, Step,
};
use store::{KvPair, Precondition};
use wire::{Ack, OwnerRecord, Packet};

use crate::context::Context;
use crate::members::MemberEvent;
use crate::observations::ObservationEvent;
use crate::published::Ownership;
use crate::scheduler::SchedulerEvent;

/// Prefix of the keys that exist while a cell has an owner.
const HOLDERS_PREFIX: &str = "holders/";
/// How long a candidate waits for the holder key to change before it reads it again.
const HOLDER_WATCH_TIMEOUT: Duration = Duration::from_secs(2);
/// How long an attempt to renew the lease that the store left unanswered tells that this process was not paused. In an outage, two
/// attempts end at most 3 s after each other: the interval of the renewals and the timeout of a call.
const ATTEMPT_VALIDITY: Duration = Duration::from_secs(4);
/// Range of the delay after a failed attempt, in milliseconds; random so that candidates do not collide again.
const RETRY_DELAY_MS: std::ops::Range<u64> = 100..400;

/// Tries to own the cell until the process resigns.
pub(crate) async fn run(cx: Arc<Context>) {
    while !cx.resigning.is_cancelled() {
        match acquire(&cx).await {
            Ok(duty) => renew_until_lost(&cx, duty).await,
            Err(report) => {
                log::debug!(target: "limpethook", error:% = report.current_context(); "cell_not_acquired");
                wait_before_retry(&cx).await;
            }
        }
    }
}

async fn wait_before_retry(cx: &Context) {
    let delay = Duration::from_millis(fastrand::u64(RETRY_DELAY_MS));
    cx.timer.subscribe_after(delay).recv().await;
}

fn holder_key(cx: &Context) -> String {
    format!("{HOLDERS_PREFIX}{}", cx.settings.cell)
}

/// Performs the steps of a candidate until it owns the cell.
async fn acquire(cx: &Context) -> Result<Duty<Holder>> {
    wait_until_unheld(cx).await?;
    let requested_at = timer::now();
    let lease = cx.store.grant_lease(OWNER_LEASE_TERM).await?;
    let mut duty = Duty::granted(cx.settings.id.clone(), lease, requested_at);
    loop {
        let requested_at = timer::now();
        let view = read_cell(cx).await?;
        duty = match duty.decide(&view, requested_at, timer::now()) {
            Step::Own(duty) => return Ok(duty),
            Step::Restart(_) => {
                return Err(unavailable(
                    "the store lease expired before the cell was acquired",
                ));
            }
            Step::Wait(_) => {
                let _ = cx.store.revoke_lease(lease).await;
                return Err(unavailable("another process holds the cell"));
            }
            Step::TakeHolder(duty, lease) => {
                let value = Bytes::from(cx.settings.id.to_string());
                // The next read shows whether the write took effect.
                let _ = cx
                    .store
                    .put(&holder_key(cx), value, Precondition::Absent, Some(lease))
                    .await;
                duty
            }
            Step::RaiseEpoch {
                duty,
                record,
                expected,
            } => {
                raise_epoch(cx, &record, expected).await;
                duty
            }
        };
    }
}

async fn raise_epoch(cx: &Context, record: &CellRecord, expected: u64) {
    let precondition = if expected == 0 {
        Precondition::Absent
    } else {
        Precondition::Revision(expected)
    };
    let value = OwnerRecord {
        owner: record.owner.clone(),
        addr: cx.settings.addr,
        epoch: record.epoch,
        lease: record.lease,
    };
    if let Ok(value) = serde_json::to_vec(&value) {
        // The next read shows whether the write took effect.
        let _ = cx
            .store
            .put(
                &cell_key(&cx.settings.cell),
                value.into(),
                precondition,
                None,
            )
            .await;
    }
}

/// Waits until no process holds the cell, so that candidates need no store lease while they wait.
async fn wait_until_unheld(cx: &Context) -> Result<()> {
    let key = holder_key(cx);
    while !cx.resigning.is_cancelled() {
        let listing = cx.store.list(&key).await?;
        if !listing.pairs.iter().any(|entry| *entry.key == *key) {
            return Ok(());
        }
        cx.store
            .watch(&key, listing.revision, HOLDER_WATCH_TIMEOUT)
            .await?;
    }
    Err(unavailable("the process is giving up its ownership"))
}

async fn read_cell(cx: &Context) -> Result<CellView> {
    let record = cx.store.get(&cell_key(&cx.settings.cell)).await?;
    let holder = cx.store.get(&holder_key(cx)).await?;
    Ok(CellView {
        record: record.as_ref().and_then(parse_cell_record),
        holder: holder.and_then(|entry| entry.lease),
    })
}

fn parse_cell_record(entry: &KvPair) -> Option<(CellRecord, u64)> {
    let record: OwnerRecord = serde_json::from_slice(&entry.value).ok()?;
    let record = CellRecord {
        epoch: record.epoch,
        owner: record.owner,
        lease: record.lease,
    };
    Some((record, entry.revision))
}

/// Holds the cell and renews the lease until the ownership is lost or given up.
async fn renew_until_lost(cx: &Arc<Context>, mut duty: Duty<Holder>) {
    let epoch = duty.state.epoch;
    let ownership = begin_ownership(cx, epoch, duty.valid_until());
    let mut renewals = cx.timer.subscribe_every(RENEW_INTERVAL);
    let mut higher_epochs = cx.superseded_rx.lock().await;
    loop {
        let next = tokio::select! {
            _ = renewals.recv() => renew(cx, duty, &ownership).await,
            Some(agent_epoch) = higher_epochs.recv() => duty.observe_epoch(agent_epoch),
            () = cx.resigning.cancelled() => {
                let _ = cx.store.revoke_lease(duty.lease()).await;
                redirect_agents(cx).await;
                break;
            }
        };
        duty = match next {
            Ok(duty) => duty,
            Err(_) => break,
        };
    }
    end_ownership(cx, epoch);
}

/// Asks the agents to look up the next owner, so that they need not detect the loss of this one first.
async fn redirect_agents(cx: &Context) {
    let ack = Ack {
        epoch: 0,
        revision: 0,
        announce: true,
    };
    let membership = cx.board.membership.snapshot();
    for agent in membership.agents.values() {
        cx.datagrams
            .send(agent.addr, Packet::Ack(ack.clone()))
            .await;
    }
}

async fn renew(
    cx: &Context,
    duty: Duty<Holder>,
    ownership: &Ownership,
) -> std::result::Result<Duty<Holder>, model::EntryId> {
    let requested_at = timer::now();
    let renewal = match cx.store.renew_lease(duty.lease()).await {
        Ok(true) => {
            ownership.extend(requested_at + OWNER_LEASE_TERM);
            RenewalOutcome::Renewed
        }
        Ok(false) => RenewalOutcome::Expired,
        Err(_) => {
            ownership.extend(timer::now() + ATTEMPT_VALIDITY);
            RenewalOutcome::NoAnswer
        }
    };
    duty.apply_renewal(renewal, requested_at, timer::now())
}

fn begin_ownership(cx: &Context, epoch: u64, valid_until: Instant) -> Arc<Ownership> {
    log::info!(target: "limpethook", cell:% = cx.settings.cell, epoch = epoch; "cell_owned");
    // No gang can run before the first owner, so only later owners wait for announcements.
    let recover = epoch > 1;
    let ownership = Ownership::new(epoch, valid_until);
    cx.set_ownership(Some(Arc::clone(&ownership)));
    reset_controllers(cx, Some(Arc::clone(&ownership)), recover);
    ownership
}

fn reset_controllers(cx: &Context, ownership: Option<Arc<Ownership>>, recover: bool) {
    let epoch = ownership.as_ref().map_or(0, |owned| owned.epoch);
    // The scheduler must drop its earlier state before the membership controller reports gangs to it.
    let _ = cx
        .scheduler_tx
        .send(SchedulerEvent::Reset { ownership, recover });
    let _ = cx.members_tx.send(MemberEvent::Reset { epoch });
    let _ = cx.observations_tx.send(ObservationEvent::Reset);
}

fn end_ownership(cx: &Context, epoch: u64) {
    log::info!(target: "limpethook", cell:% = cx.settings.cell, epoch = epoch; "cell_released");
    cx.set_ownership(None);
    reset_controllers(cx, None, false);
}

/// Gives up the ownership and waits until it has ended.
pub(crate) async fn resign(cx: &Context) {
    cx.resigning.cancel();
    let mut checks = cx.timer.subscribe_every(Duration::from_millis(20));
    while cx.epoch() != 0 {
        checks.recv().await;
    }
}

fn unavailable(message: &str) -> error_stack::Report<Error> {
    Error::not_run(ErrorKind::Unavailable, message).report()
}
