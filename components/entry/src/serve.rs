//! Handling of calls and datagrams from peers.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use errors::{Error, ErrorKind, Result};
use telemetry::Span;
use wire::{Call, CallContext, Packet, Reply};

use crate::context::Context;

/// Handles one call under a span of the caller's trace.
pub(crate) async fn serve_call(
    cx: Arc<Context>,
    call_cx: CallContext,
    call: Call,
) -> Result<Reply> {
    let span = Span::with_remote_parent(span_name(&call), call_cx.parent);
    span.run(handle_call(&cx, call)).await
}

fn span_name(call: &Call) -> &'static str {
    match call {
        Call::Place(_) => "owner_place",
        Call::Claim(_) => "owner_claim",
        Call::Cancel(_) => "owner_cancel",
        _ => "owner_call",
    }
}

async fn handle_call(cx: &Context, call: Call) -> Result<Reply> {
    match (call, &cx.owner) {
        (Call::SectionsAfter(_) | Call::AgentSections(_) | Call::NextSections { .. }, _)
            if !cx.config_recovered.load(Ordering::Acquire) =>
        {
            let message = "this entry has not recovered its configuration yet";
            Err(Error::not_run(ErrorKind::Unavailable, message).report())
        }
        (Call::SectionsAfter(after), _) => {
            let config = cx.entry_board.received_config.load();
            Ok(Reply::Sections(distribution::sections_after(
                &config, after,
            )))
        }
        (Call::AgentSections(after), _) => {
            let config = cx.entry_board.received_config.load();
            let sections = distribution::agent_sections_after(&config, after);
            Ok(Reply::Sections(sections))
        }
        (Call::NextSections { after, follower }, _) => {
            cx.followers.record_poll(follower, after, timer::now());
            let sections =
                distribution::next_sections(&cx.entry_board.received_config, after).await;
            Ok(Reply::Sections(sections))
        }
        (Call::FindOwner(name), _) => {
            let owner = cx.entry_board.owners.load().get(&name).cloned();
            Ok(Reply::Owner(owner))
        }
        (call, Some(owner)) => owner.handle_call(call).await,
        (_, None) => {
            let message = "this entry does not have the owner duty";
            Err(Error::not_run(ErrorKind::Unavailable, message).report())
        }
    }
}

/// Passes received heartbeats to the owner.
pub(crate) async fn receive_datagrams(cx: Arc<Context>) {
    loop {
        let (from, packet) = cx.datagrams.recv().await;
        if let (Packet::Heartbeat(heartbeat), Some(owner)) = (packet, &cx.owner) {
            owner.handle_heartbeat(from, heartbeat);
        }
    }
}
