//! Acquiring, renewing and giving up the ownership of the cell.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use discovery::cell_key;
use errors::{Error, ErrorKind, Result};
use membership::ownership::{
    CellRecord, CellView, Duty, Holder, OWNER_LEASE_TERM, RENEW_INTERVAL, RenewalOutcome, Step,
};
use store::{Entry, Expect};
use wire::{Ack, OwnerRecord, Packet};

use crate::context::Context;
use crate::members::MemberEvent;
use crate::records::RecordEvent;
use crate::scheduler::SchedulerEvent;

/// The prefix of the keys that exist while a cell has an owner.
const HOLDERS_PREFIX: &str = "holders/";
/// How long a candidate waits for the holder key to change before it reads it again.
const HOLDER_WATCH: Duration = Duration::from_secs(2);
/// Bounds of the pause after a failed call, in milliseconds; spread out so that candidates do not collide again.
const RETRY_DELAY_MS: std::ops::Range<u64> = 100..400;

/// Tries to own the cell until the process resigns.
pub(crate) async fn run(cx: Arc<Context>) {
    while !cx.resigning.is_cancelled() {
        match acquire(&cx).await {
            Ok(duty) => hold(&cx, duty).await,
            Err(report) => {
                log::debug!(target: "limpethook", error:% = report.current_context(); "cell_not_acquired");
                pause(&cx).await;
            }
        }
    }
}

async fn pause(cx: &Context) {
    let delay = Duration::from_millis(fastrand::u64(RETRY_DELAY_MS));
    cx.timer.subscribe_after(delay).recv().await;
}

fn holder_key(cx: &Context) -> String {
    format!("{HOLDERS_PREFIX}{}", cx.settings.cell)
}

/// Follows the steps of a candidate until it owns the cell.
async fn acquire(cx: &Context) -> Result<Duty<Holder>> {
    wait_for_vacancy(cx).await?;
    let asked = timer::now();
    let lease = cx.store.grant_lease(OWNER_LEASE_TERM).await?;
    let mut duty = Duty::granted(cx.settings.id.clone(), lease, asked);
    loop {
        let asked = timer::now();
        let view = read(cx).await?;
        duty = match duty.decide(&view, asked, timer::now()) {
            Step::Own(duty) => return Ok(duty),
            Step::Restart(_) => return Err(lost("the store lease lapsed")),
            Step::Wait(_) => {
                let _ = cx.store.revoke_lease(lease).await;
                return Err(lost("another process holds the cell"));
            }
            Step::TakeHolder(duty, lease) => {
                let value = Bytes::from(cx.settings.id.to_string());
                // The next read tells what became of the write.
                let _ = cx
                    .store
                    .put(&holder_key(cx), value, Expect::Absent, Some(lease))
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
    let expect = if expected == 0 {
        Expect::Absent
    } else {
        Expect::Revision(expected)
    };
    let value = OwnerRecord {
        owner: record.owner.clone(),
        addr: cx.settings.addr,
        epoch: record.epoch,
        lease: record.lease,
    };
    if let Ok(value) = serde_json::to_vec(&value) {
        // The next read tells what became of the write.
        let _ = cx
            .store
            .put(&cell_key(&cx.settings.cell), value.into(), expect, None)
            .await;
    }
}

/// Waits until no process holds the cell, so that candidates need no lease while they wait.
async fn wait_for_vacancy(cx: &Context) -> Result<()> {
    let key = holder_key(cx);
    while !cx.resigning.is_cancelled() {
        let listing = cx.store.list(&key).await?;
        if !listing.entries.iter().any(|entry| *entry.key == *key) {
            return Ok(());
        }
        cx.store.watch(&key, listing.revision, HOLDER_WATCH).await?;
    }
    Err(lost("the process resigns"))
}

async fn read(cx: &Context) -> Result<CellView> {
    let record = cx.store.get(&cell_key(&cx.settings.cell)).await?;
    let holder = cx.store.get(&holder_key(cx)).await?;
    Ok(CellView {
        record: record.as_ref().and_then(cell_record),
        holder: holder.and_then(|entry| entry.lease),
    })
}

fn cell_record(entry: &Entry) -> Option<(CellRecord, u64)> {
    let record: OwnerRecord = serde_json::from_slice(&entry.value).ok()?;
    let record = CellRecord {
        epoch: record.epoch,
        owner: record.owner,
        lease: record.lease,
    };
    Some((record, entry.revision))
}

/// Owns the cell and renews the lease until it is lost or given up.
async fn hold(cx: &Arc<Context>, mut duty: Duty<Holder>) {
    let epoch = duty.state.epoch;
    begin(cx, epoch);
    let mut renewals = cx.timer.subscribe_every(RENEW_INTERVAL);
    let mut superseded = cx.superseded_rx.lock().await;
    loop {
        let next = tokio::select! {
            _ = renewals.recv() => renew(cx, duty).await,
            Some(seen) = superseded.recv() => duty.observe_epoch(seen),
            () = cx.resigning.cancelled() => {
                let _ = cx.store.revoke_lease(duty.lease()).await;
                dismiss_agents(cx).await;
                break;
            }
        };
        duty = match next {
            Ok(duty) => duty,
            Err(_) => break,
        };
    }
    end(cx, epoch);
}

/// Tells the agents to look for the next owner, so that they do not wait until this one is silent.
async fn dismiss_agents(cx: &Context) {
    let ack = Ack {
        epoch: 0,
        revision: 0,
        announce: true,
    };
    let agents = cx.board.membership.snapshot();
    for agent in agents.agents.values() {
        cx.datagrams
            .send(agent.addr, Packet::Ack(ack.clone()))
            .await;
    }
}

async fn renew(
    cx: &Context,
    duty: Duty<Holder>,
) -> std::result::Result<Duty<Holder>, model::EntryId> {
    let asked = timer::now();
    let renewal = match cx.store.renew_lease(duty.lease()).await {
        Ok(true) => RenewalOutcome::Renewed,
        Ok(false) => RenewalOutcome::Expired,
        Err(_) => RenewalOutcome::NoAnswer,
    };
    duty.apply_renewal(renewal, asked, timer::now())
}

fn begin(cx: &Context, epoch: u64) {
    log::info!(target: "limpethook", cell:% = cx.settings.cell, epoch = epoch; "cell_owned");
    // No gang can run before the first owner, so only later ones wait for announcements.
    let recover = epoch > 1;
    cx.set_recovering(recover);
    cx.set_epoch(epoch);
    reset(cx, epoch, recover);
}

fn reset(cx: &Context, epoch: u64, recover: bool) {
    // The scheduler forgets the earlier ownership before the membership controller reports gangs to it.
    let _ = cx.scheduler.send(SchedulerEvent::Reset { recover });
    let _ = cx.members.send(MemberEvent::Reset { epoch });
    let _ = cx.records.send(RecordEvent::Reset);
}

fn end(cx: &Context, epoch: u64) {
    log::info!(target: "limpethook", cell:% = cx.settings.cell, epoch = epoch; "cell_released");
    cx.set_epoch(0);
    cx.set_recovering(false);
    reset(cx, 0, false);
}

/// Gives up the ownership.
pub(crate) async fn resign(cx: &Context) {
    cx.resigning.cancel();
    let mut checks = cx.timer.subscribe_every(Duration::from_millis(20));
    while cx.epoch() != 0 {
        checks.recv().await;
    }
}

fn lost(message: &str) -> error_stack::Report<Error> {
    Error::not_run(ErrorKind::Unavailable, message).report()
}
