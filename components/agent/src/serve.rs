//! Handles calls and datagrams from peers.

use std::net::SocketAddr;
use std::sync::Arc;

use errors::{Error, ErrorKind, Result};
use telemetry::Span;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;
use wire::{Ack, Answer, Call, CallContext, Dispatch, Packet, Reply, compress_answer};

use crate::cancellation::cancel;
use crate::context::Context;
use crate::detached::{self, DetachedEvent};
use crate::dispatch::dispatch;
use crate::gangs::{GangEvent, ReplySender};
use crate::keyed_dispatch::{dispatch_keyed, find_request};

/// Handles one call in a span of its own and counts refused epochs.
pub(crate) async fn handle_call(
    cx: Arc<Context>,
    call_cx: CallContext,
    call: Call,
) -> Result<Reply> {
    let span = Span::with_remote_parent(span_name(&call), call_cx.parent);
    let result = span.run(route_call(&cx, call)).await;
    if let Err(report) = &result
        && report.current_context().kind == ErrorKind::StaleEpoch
    {
        cx.metrics.refused_epochs.inc();
    }
    result
}

fn span_name(call: &Call) -> &'static str {
    match call {
        Call::Dispatch(_) => "agent_dispatch",
        Call::FindRequest(_) => "agent_find",
        Call::Reserve(_) => "agent_reserve",
        Call::StartGang(_) => "agent_start_gang",
        Call::ArmGang(_) => "agent_arm_gang",
        Call::StopGang(_) => "agent_stop_gang",
        _ => "agent_call",
    }
}

async fn route_call(cx: &Arc<Context>, call: Call) -> Result<Reply> {
    match call {
        Call::Dispatch(req) if req.detached => detached::start(cx, req).await,
        Call::Dispatch(req) => handle_dispatch(cx, req).await.map(Reply::Answer),
        Call::Attach(attach) => detached::attach(cx, attach).await,
        Call::FindRequest(req) => find_request(cx, req).await.map(Reply::Found),
        Call::CancelRequest(request) => {
            cancel(cx, request);
            let _ = cx.detached_tx.send(DetachedEvent::Cancel { request });
            Ok(Reply::Done)
        }
        Call::Reserve(reserve) => ask_gang_controller(cx, |tx| GangEvent::Reserve { reserve, tx })
            .await
            .map(|()| Reply::Done),
        Call::StartGang(start) => ask_gang_controller(cx, |tx| GangEvent::Start { start, tx })
            .await
            .map(|()| Reply::Done),
        Call::ArmGang(arm) => ask_gang_controller(cx, |tx| GangEvent::Arm { arm, tx })
            .await
            .map(Reply::Armed),
        Call::StopGang(stop) => ask_gang_controller(cx, |tx| GangEvent::Stop { stop, tx })
            .await
            .map(|()| Reply::Done),
        Call::MemberFailed(failed) => {
            let _ = cx.gangs_tx.send(GangEvent::MemberFailed { failed });
            Ok(Reply::Done)
        }
        Call::FindOwner(name) if name == cx.settings.cell => {
            Ok(Reply::Owner(Option::clone(&cx.board.owner.load())))
        }
        _ => Err(Error::not_run(ErrorKind::NotFound, "agents do not support this call").report()),
    }
}

async fn handle_dispatch(cx: &Arc<Context>, mut req: Dispatch) -> Result<Answer> {
    let compress = req.compress;
    let answer = match req.claim.take() {
        Some(claim) => dispatch_keyed(cx, req, claim).await?,
        None => dispatch(cx, req, CancellationToken::new()).await?,
    };
    Ok(if compress {
        compress_answer(answer).await
    } else {
        answer
    })
}

async fn ask_gang_controller<T>(
    cx: &Context,
    event: impl FnOnce(ReplySender<T>) -> GangEvent,
) -> Result<T> {
    let (tx, rx) = oneshot::channel();
    let _ = cx.gangs_tx.send(event(tx));
    let stopped =
        || Error::may_have_run(ErrorKind::Internal, "the gang controller stopped").report();
    rx.await.unwrap_or_else(|_| Err(stopped()))
}

/// Receives datagrams and forwards them to the controllers.
pub(crate) async fn receive_datagrams(cx: Arc<Context>, acks: mpsc::Sender<Ack>) {
    loop {
        let (from, packet) = cx.datagrams.recv().await;
        route_packet(&cx, &acks, from, packet);
    }
}

fn route_packet(cx: &Context, acks: &mpsc::Sender<Ack>, from: SocketAddr, packet: Packet) {
    match packet {
        Packet::Pulse(pulse) => {
            let _ = cx.gangs_tx.send(GangEvent::Pulse { from, pulse });
        }
        Packet::PulseAck(ack) => {
            let _ = cx.gangs_tx.send(GangEvent::PulseAck { ack });
        }
        Packet::Ack(ack) => {
            // If the owner link is busy, it receives the next acknowledgement instead.
            let _ = acks.try_send(ack);
        }
        Packet::Heartbeat(_) => {}
    }
}
