//! Builds the announcement and the heartbeats that the agent sends to the owner of its cell.

use model::{Location, Worker};
use tokio::sync::oneshot;
use wire::{Announce, EndpointEntry, Heartbeat, RecordedAttempt};

use crate::context::Context;
use crate::requests::RequestEvent;

/// Builds the full state of the agent, which a new owner needs.
pub(crate) async fn build_announcement(cx: &Context) -> Announce {
    Announce {
        agent: cx.settings.id.clone(),
        addr: cx.addr(),
        incarnation: cx.datagrams.incarnation(),
        workers: announced_workers(cx),
        endpoint: endpoint_entry(cx),
        gangs: Vec::clone(&cx.board.gangs.load()),
        attempts: recorded_attempts(cx).await,
    }
}

/// Builds the part of the state that changes from second to second.
pub(crate) fn build_heartbeat(cx: &Context) -> Heartbeat {
    Heartbeat {
        agent: cx.settings.id.clone(),
        incarnation: cx.datagrams.incarnation(),
        epoch: cx
            .board
            .owner
            .load()
            .as_ref()
            .as_ref()
            .map_or(0, |owner| owner.epoch),
        free: cx.slots.free(),
        revision: cx.board.config.load().revision,
        draining: cx.is_draining(),
    }
}

async fn recorded_attempts(cx: &Context) -> Vec<RecordedAttempt> {
    let (tx, rx) = oneshot::channel();
    let _ = cx.requests_tx.send(RequestEvent::ListRecorded { tx });
    rx.await.unwrap_or_default()
}

fn announced_workers(cx: &Context) -> Vec<Worker> {
    let workers = cx.settings.workers.iter();
    let workers = workers.map(|worker| Worker {
        id: worker.id.clone(),
        agent: cx.settings.id.clone(),
        location: Location {
            rack: worker.rack.clone(),
            ..location(cx)
        },
        capacity: worker.capacity,
    });
    workers.collect()
}

fn endpoint_entry(cx: &Context) -> Option<EndpointEntry> {
    let endpoint = cx.settings.endpoint.as_ref()?;
    Some(EndpointEntry {
        id: endpoint.id.clone(),
        agent: cx.settings.id.clone(),
        agent_addr: cx.addr(),
        incarnation: cx.datagrams.incarnation(),
        service: endpoint.service.clone(),
        location: location(cx),
        slots: endpoint.slots,
        free: cx.slots.free(),
        draining: cx.is_draining(),
    })
}

fn location(cx: &Context) -> Location {
    Location {
        region: cx.settings.region.clone(),
        data_centre: cx.settings.data_centre.clone(),
        rack: cx.settings.rack.clone(),
    }
}
