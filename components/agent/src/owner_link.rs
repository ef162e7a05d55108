//! The link to the owner of the cell: finds the owner, announces the agent and sends heartbeats.

use std::sync::Arc;
use std::time::{Duration, Instant};

use errors::{Error, ErrorKind, Result};
use membership::liveness::{HEARTBEAT_INTERVAL, SILENCE_LIMIT};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;
use wire::{Ack, Call, OwnerRecord, Packet, Reply};

use crate::announce::{build_announcement, build_heartbeat};
use crate::context::Context;
use crate::gangs::GangEvent;

/// Timeout of an announcement, whose size grows with the gangs and attempts of the agent.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without an answer to a heartbeat after which the agent looks for a new owner; ten round trips between regions.
const ACK_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of a lookup of the owner; the lookup delays the next heartbeat.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(500);
/// How long the owner may be silent before the agent fetches newer sections from its seeds. A change must be in force
/// within 4 s, so there is no time to wait until the lease of the owner expires.
const SEED_FALLBACK_DELAY: Duration = Duration::from_millis(1500);
/// Bounds of the random delay before the next lookup of the owner; spreads out the lookups of many agents.
const RETRY_DELAY_MS: std::ops::Range<u64> = 100..400;

/// Keeps the agent registered with the current owner of its cell.
pub(crate) async fn run(cx: Arc<Context>, mut acks: mpsc::Receiver<Ack>) {
    loop {
        match announce_to_owner(&cx).await {
            Ok(owner) => {
                log::info!(
                    target: "limpethook",
                    owner:% = owner.owner, addr:% = owner.addr, epoch = owner.epoch;
                    "owner_linked"
                );
                cx.board.owner.publish(Some(owner.clone()));
                heartbeat_loop(&cx, &owner, &mut acks).await;
            }
            Err(report) => {
                log::debug!(target: "limpethook", error:% = report.current_context(); "owner_not_linked");
                tokio::spawn(fetch_config_from_seeds(Arc::clone(&cx)));
            }
        }
        let delay = Duration::from_millis(fastrand::u64(RETRY_DELAY_MS));
        cx.timer.subscribe_after(delay).recv().await;
    }
}

/// Finds the owner, adopts its epoch and then announces the agent to it.
async fn announce_to_owner(cx: &Context) -> Result<OwnerRecord> {
    let owner = cx.locator.owner(&cx.settings.cell).await?;
    let (tx, rx) = oneshot::channel();
    let _ = cx.gangs_tx.send(GangEvent::AdoptEpoch {
        epoch: owner.epoch,
        tx,
    });
    let _ = rx.await;
    recover_config(cx, &owner).await?;
    let call = Call::Announce(build_announcement(cx).await);
    match cx.peers.call(owner.addr, &call, ANNOUNCE_TIMEOUT).await? {
        Reply::Epoch(epoch) => Ok(OwnerRecord { epoch, ..owner }),
        _ => Err(Error::not_run(ErrorKind::Internal, "unexpected reply to Announce").report()),
    }
}

/// Fetches the configuration if the agent has none yet; the agent receives no work before it announces itself.
async fn recover_config(cx: &Context, owner: &OwnerRecord) -> Result<()> {
    if cx.board.config.load().revision == 0 {
        let sections = distribution::fetch_for_agent(&cx.peers, owner.addr, 0).await?;
        cx.config_updates.deliver(sections).await;
    }
    Ok(())
}

/// Fetches newer sections from the first seed in the settings that answers; used while the owner does not answer.
async fn fetch_config_from_seeds(cx: Arc<Context>) {
    let own_revision = cx.board.config.load().revision;
    for seed in &cx.settings.seeds {
        if let Ok(sections) = distribution::fetch_for_agent(&cx.peers, *seed, own_revision).await {
            return cx.config_updates.deliver(sections).await;
        }
    }
}

/// Sends heartbeats until the owner is silent, is superseded or requests a new announcement.
async fn heartbeat_loop(cx: &Arc<Context>, owner: &OwnerRecord, acks: &mut mpsc::Receiver<Ack>) {
    let mut ticks = cx.timer.subscribe_every(HEARTBEAT_INTERVAL);
    let mut drain_reported = cx.is_draining();
    let mut last_ack = timer::now();
    let mut last_sent = last_ack;
    send_heartbeat(cx, owner).await;
    let mut ack_overdue = cx.timer.subscribe_after(ACK_TIMEOUT);
    loop {
        tokio::select! {
            _ = ticks.recv() => {
                if is_silent(last_ack) {
                    log::warn!(target: "limpethook", owner:% = owner.owner; "owner_silent");
                    return;
                }
                last_sent = timer::now();
                if timer::now().saturating_duration_since(last_ack) >= SEED_FALLBACK_DELAY {
                    tokio::spawn(fetch_config_from_seeds(Arc::clone(cx)));
                }
                send_heartbeat(cx, owner).await;
                ack_overdue = cx.timer.subscribe_after(ACK_TIMEOUT);
            }
            Some(_) = ack_overdue.recv() => {
                if last_ack < last_sent && is_superseded(cx, owner).await {
                    log::info!(target: "limpethook", owner:% = owner.owner; "owner_replaced");
                    return;
                }
            }
            // A drain is reported immediately, so that the owner sends no further work.
            () = cx.drain.cancelled(), if !drain_reported => {
                drain_reported = true;
                send_heartbeat(cx, owner).await;
            }
            ack = acks.recv() => match ack {
                Some(ack) if ack.announce || ack.epoch > owner.epoch => return,
                // An earlier owner that was paused may still answer old heartbeats after it resumes.
                Some(ack) if ack.epoch < owner.epoch => {}
                Some(ack) => {
                    last_ack = timer::now();
                    fetch_newer_config(cx, owner, &ack).await;
                }
                None => return,
            },
        }
    }
}

fn is_silent(last_ack: Instant) -> bool {
    timer::now().saturating_duration_since(last_ack) >= SILENCE_LIMIT
}

/// Returns whether the cell has a newer owner, so that the agent can announce itself well before `SILENCE_LIMIT`.
async fn is_superseded(cx: &Context, owner: &OwnerRecord) -> bool {
    let found = timeout(LOOKUP_TIMEOUT, cx.locator.owner(&cx.settings.cell)).await;
    matches!(found, Ok(Ok(found)) if found.epoch > owner.epoch)
}

async fn send_heartbeat(cx: &Context, owner: &OwnerRecord) {
    cx.datagrams
        .send(owner.addr, Packet::Heartbeat(build_heartbeat(cx)))
        .await;
}

/// Fetches the configuration sections that the owner has and this agent does not.
async fn fetch_newer_config(cx: &Context, owner: &OwnerRecord, ack: &Ack) {
    let own_revision = cx.board.config.load().revision;
    if ack.revision <= own_revision {
        return;
    }
    if let Ok(sections) = distribution::fetch_for_agent(&cx.peers, owner.addr, own_revision).await {
        cx.config_updates.deliver(sections).await;
    }
}
