//! Answering calls and datagrams of peers.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use errors::{Error, ErrorKind, Result};
use telemetry::Span;
use wire::{Call, CallContext, Packet, Reply};

use crate::context::Context;

/// Answers one call.
pub(crate) async fn answer(cx: Arc<Context>, call_cx: CallContext, call: Call) -> Result<Reply> {
    let span = Span::caused_by(span_name(&call), call_cx.parent);
    span.run(handle(&cx, call)).await
}

fn span_name(call: &Call) -> &'static str {
    match call {
        Call::Place(_) => "owner_place",
        Call::Claim(_) => "owner_claim",
        Call::Cancel(_) => "owner_cancel",
        _ => "owner_call",
    }
}

async fn handle(cx: &Context, call: Call) -> Result<Reply> {
    match (call, &cx.owner) {
        (Call::SectionsAfter(_) | Call::AgentSections(_) | Call::NextSections { .. }, _)
            if !cx.recovered.load(Ordering::Acquire) =>
        {
            let message = "this entry has not recovered its configuration yet";
            Err(Error::not_run(ErrorKind::Unavailable, message).report())
        }
        (Call::SectionsAfter(after), _) => {
            let held = cx.entry_board.held.load();
            Ok(Reply::Sections(distribution::sections_after(&held, after)))
        }
        (Call::AgentSections(after), _) => {
            let held = cx.entry_board.held.load();
            let sections = distribution::agent_sections_after(&held, after);
            Ok(Reply::Sections(sections))
        }
        (Call::NextSections { after, follower }, _) => {
            cx.followers.asked(follower, after, timer::now());
            let sections = distribution::next_sections(&cx.entry_board.held, after).await;
            Ok(Reply::Sections(sections))
        }
        (Call::FindOwner(name), _) => {
            let owner = cx.entry_board.owners.load().get(&name).cloned();
            Ok(Reply::Owner(owner))
        }
        (call, Some(owner)) => owner.handle_call(call).await,
        (_, None) => {
            let message = "this entry does not take the duty of an owner";
            Err(Error::not_run(ErrorKind::Unavailable, message).report())
        }
    }
}

/// Hands heartbeats to the owner.
pub(crate) async fn receive(cx: Arc<Context>) {
    loop {
        let (from, packet) = cx.datagrams.recv().await;
        if let (Packet::Heartbeat(heartbeat), Some(owner)) = (packet, &cx.owner) {
            owner.handle_heartbeat(from, heartbeat);
        }
    }
}
