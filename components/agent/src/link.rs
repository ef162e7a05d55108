//! The link to the owner of the cell: finding it, announcing, heartbeats.

use std::sync::Arc;
use std::time::{Duration, Instant};

use errors::{Error, ErrorKind, Result};
use membership::liveness::{HEARTBEAT_INTERVAL, SILENCE_LIMIT};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;
use wire::{Ack, Call, OwnerRecord, Packet, Reply};

use crate::announce::{announce, heartbeat};
use crate::context::Context;
use crate::gangs::GangEvent;

/// How long an announcement may take; it grows with the gangs and attempts of the agent.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(2);
/// When an answer to a heartbeat is overdue and the agent looks for a new owner: ten round trips between regions.
const ACK_LIMIT: Duration = Duration::from_millis(300);
/// Bounds a look-up of the owner, which delays the next heartbeat.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(500);
/// How long the owner may be silent before peers are asked for newer sections; the owner's lease leaves no time for that
/// within the 4 s in which a change must be in force.
const SEED_FALLBACK: Duration = Duration::from_millis(1500);
/// Bounds of the pause before the owner is looked up again; spread out so that agents do not ask at the same time.
const RETRY_DELAY_MS: std::ops::Range<u64> = 100..400;

/// Keeps the agent linked to the owner of its cell.
pub(crate) async fn run(cx: Arc<Context>, mut acks: mpsc::Receiver<Ack>) {
    loop {
        match link(&cx).await {
            Ok(owner) => {
                log::info!(
                    target: "limpethook",
                    owner:% = owner.owner, addr:% = owner.addr, epoch = owner.epoch;
                    "owner_linked"
                );
                cx.board.owner.publish(Some(owner.clone()));
                keep(&cx, &owner, &mut acks).await;
            }
            Err(report) => {
                log::debug!(target: "limpethook", error:% = report.current_context(); "owner_not_linked");
                tokio::spawn(ask_seeds(Arc::clone(&cx)));
            }
        }
        let delay = Duration::from_millis(fastrand::u64(RETRY_DELAY_MS));
        cx.timer.subscribe_after(delay).recv().await;
    }
}

/// Finds the owner, adopts its epoch, and only then reports to it.
async fn link(cx: &Context) -> Result<OwnerRecord> {
    let owner = cx.locator.owner(&cx.settings.cell).await?;
    let (tx, rx) = oneshot::channel();
    let _ = cx.gangs.send(GangEvent::Adopt {
        epoch: owner.epoch,
        tx,
    });
    let _ = rx.await;
    recover_config(cx, &owner).await?;
    let call = Call::Announce(announce(cx).await);
    match cx.peers.call(owner.addr, &call, ANNOUNCE_TIMEOUT).await? {
        Reply::Epoch(epoch) => Ok(OwnerRecord { epoch, ..owner }),
        _ => Err(Error::not_run(ErrorKind::Internal, "unexpected reply to Announce").report()),
    }
}

/// Fetches the configuration of an agent that started just now; the agent gets no work before it announces itself.
async fn recover_config(cx: &Context, owner: &OwnerRecord) -> Result<()> {
    if cx.board.config.load().revision == 0 {
        let sections = distribution::fetch_for_agent(&cx.peers, owner.addr, 0).await?;
        cx.config_updates.deliver(sections).await;
    }
    Ok(())
}

/// Fetches newer sections from the first peer in the settings that answers, while the owner does not.
async fn ask_seeds(cx: Arc<Context>) {
    let own = cx.board.config.load().revision;
    for seed in &cx.settings.seeds {
        if let Ok(sections) = distribution::fetch_for_agent(&cx.peers, *seed, own).await {
            return cx.config_updates.deliver(sections).await;
        }
    }
}

/// Sends heartbeats until the owner is silent or asks for a new announcement.
async fn keep(cx: &Arc<Context>, owner: &OwnerRecord, acks: &mut mpsc::Receiver<Ack>) {
    let mut ticks = cx.timer.subscribe_every(HEARTBEAT_INTERVAL);
    let mut drain_reported = cx.is_draining();
    let mut heard = timer::now();
    let mut sent = heard;
    send_heartbeat(cx, owner).await;
    let mut overdue = cx.timer.subscribe_after(ACK_LIMIT);
    loop {
        tokio::select! {
            _ = ticks.recv() => {
                if is_silent(heard) {
                    log::warn!(target: "limpethook", owner:% = owner.owner; "owner_silent");
                    return;
                }
                sent = timer::now();
                if timer::now().saturating_duration_since(heard) >= SEED_FALLBACK {
                    tokio::spawn(ask_seeds(Arc::clone(cx)));
                }
                send_heartbeat(cx, owner).await;
                overdue = cx.timer.subscribe_after(ACK_LIMIT);
            }
            Some(_) = overdue.recv() => {
                if heard < sent && has_successor(cx, owner).await {
                    log::info!(target: "limpethook", owner:% = owner.owner; "owner_replaced");
                    return;
                }
            }
            // A leaving endpoint is reported at once, so that the owner sends no further work.
            () = cx.drain.cancelled(), if !drain_reported => {
                drain_reported = true;
                send_heartbeat(cx, owner).await;
            }
            ack = acks.recv() => match ack {
                Some(ack) if ack.announce || ack.epoch > owner.epoch => return,
                // A frozen owner that continues answers the heartbeats of its time.
                Some(ack) if ack.epoch < owner.epoch => {}
                Some(ack) => {
                    heard = timer::now();
                    fetch_newer_config(cx, owner, &ack).await;
                }
                None => return,
            },
        }
    }
}

fn is_silent(heard: Instant) -> bool {
    timer::now().saturating_duration_since(heard) >= SILENCE_LIMIT
}

/// Returns whether the cell has another owner by now; the agent then reports to it long before `SILENCE_LIMIT`.
async fn has_successor(cx: &Context, owner: &OwnerRecord) -> bool {
    let found = timeout(LOOKUP_TIMEOUT, cx.locator.owner(&cx.settings.cell)).await;
    matches!(found, Ok(Ok(found)) if found.epoch > owner.epoch)
}

async fn send_heartbeat(cx: &Context, owner: &OwnerRecord) {
    cx.datagrams
        .send(owner.addr, Packet::Heartbeat(heartbeat(cx)))
        .await;
}

/// Fetches the configuration sections that the owner has and this agent does not.
async fn fetch_newer_config(cx: &Context, owner: &OwnerRecord, ack: &Ack) {
    let own = cx.board.config.load().revision;
    if ack.revision <= own {
        return;
    }
    if let Ok(sections) = distribution::fetch_for_agent(&cx.peers, owner.addr, own).await {
        cx.config_updates.deliver(sections).await;
    }
}
