//! Claims of requests with an idempotency key at the owner of their home cell.

use std::time::Duration;

use errors::{Error, ErrorKind, Result, Verdict};
use futures::future::try_join_all;
use model::{CellId, Endpoint, RequestId};
use wire::{
    Call as PeerCall, Claim, ClaimHolder, ClaimReleaseReason, ClaimReply, FindRequest, Reply,
};

use crate::call::{Admitted, Call};
use crate::context::Context;
use crate::dispatch::unexpected_reply;
use crate::takeover::Takeover;

/// How long an owner may take to answer, several times the latency between regions.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(500);
/// When a caller may try again whose claim could not be answered: about the time of a change of ownership.
const RETRY_AFTER: Duration = Duration::from_secs(4);

/// What an entry proposes in a claim.
#[derive(Debug, Clone, Default)]
pub(crate) struct Proposal {
    pub(crate) cell: Option<CellId>,
    pub(crate) holder: Option<ClaimHolder>,
    pub(crate) leave: Option<ClaimReleaseReason>,
}

/// Asks the owner of the home cell where the request is, or puts it at the proposed place.
///
/// Nothing is dispatched before this, so a failure means "not run".
pub(crate) async fn claim(
    cx: &Context,
    call: &Call<Admitted>,
    content: u128,
    proposal: Proposal,
) -> Result<ClaimReply> {
    let message = Claim {
        request: call.state.request.id,
        account: call.state.request.account.clone(),
        content_digest: content,
        timeout: call.remaining(timer::now())?,
        cell: proposal.cell,
        holder: proposal.holder,
        release: proposal.leave,
    };
    let request = message.request;
    let message = PeerCall::Claim(message);
    let mut takeover = Takeover::start(cx);
    loop {
        match ask_home(cx, request, &message).await {
            Ok(value) => return Ok(value),
            Err(report) => takeover.wait(cx, call, report).await?,
        }
    }
}

async fn ask_home(cx: &Context, request: RequestId, message: &PeerCall) -> Result<ClaimReply> {
    let home = home_cell(cx, request)?;
    let owner = cx.entry_board.owners.load().get(&home).cloned();
    let owner = owner.ok_or_else(|| unavailable(&home))?;
    match cx.peers.call(owner.addr, message, CLAIM_TIMEOUT).await {
        Ok(Reply::Claimed(claimed)) => Ok(claimed),
        Ok(_) => Err(unexpected_reply()),
        Err(report) => Err(not_claimed(&home, report.current_context())),
    }
}

/// Returns the cell whose owner keeps the claim, the same at every entry (rendezvous hashing over all cells).
///
/// The cells of all regions take part, so that entries of two regions cannot both grant a claim.
fn home_cell(cx: &Context, request: RequestId) -> Result<CellId> {
    let cells = cx.entry_board.cells.load();
    let weight = |cell: &CellId| {
        let mut hasher = blake3::Hasher::new();
        hasher
            .update(&request.to_le_bytes())
            .update(cell.as_bytes());
        *hasher.finalize().as_bytes()
    };
    let cells = cells.iter().flatten();
    let home = cells.max_by_key(|cell| weight(cell)).cloned();
    home.ok_or_else(|| unavailable("of the idempotency key"))
}

/// Looks for the request at all endpoints of its service when the owner does not know the claims of earlier owners.
///
/// Agents that do not know it refuse it under the earlier epochs from now on.
pub(crate) async fn find(
    cx: &Context,
    call: &Call<Admitted>,
    content: u128,
    claimed: &ClaimReply,
) -> Result<Option<ClaimHolder>> {
    let mut takeover = Takeover::start(cx);
    loop {
        match find_once(cx, call, content, claimed).await {
            Ok(value) => return Ok(value),
            Err(report) => takeover.wait(cx, call, report).await?,
        }
    }
}

async fn find_once(
    cx: &Context,
    call: &Call<Admitted>,
    content: u128,
    claimed: &ClaimReply,
) -> Result<Option<ClaimHolder>> {
    let find = FindRequest {
        request: call.state.request.id,
        epoch: claimed.epoch,
        retention: claimed.retention,
    };
    check_settled(cx)?;
    let membership = cx.board.membership.snapshot();
    let service = &call.state.request.service;
    let serving = membership.serving.values();
    let serving = serving.filter(|e| e.service == *service).map(|e| holder(e));
    let draining = membership.draining.values();
    let draining = draining
        .filter(|e| e.service == *service)
        .map(|e| holder(e));
    let questions = serving
        .chain(draining)
        .map(|holder| find_at(cx, holder, find.clone(), content));
    let found = try_join_all(questions).await?;
    Ok(found.into_iter().flatten().next())
}

/// Without the list of all agents, the request may be at one that is not asked.
fn check_settled(cx: &Context) -> Result<()> {
    let settled = cx.entry_board.settled.load();
    let cells = cx.entry_board.cells.load();
    match cells.iter().flatten().find(|cell| !settled.contains(*cell)) {
        Some(cell) => Err(unavailable(cell)),
        None => Ok(()),
    }
}

/// Returns the claim of an agent for a request without a shape.
pub(crate) fn holder<S>(endpoint: &Endpoint<S>) -> ClaimHolder {
    ClaimHolder {
        agent: endpoint.agent.clone(),
        addr: endpoint.agent_addr,
        incarnation: endpoint.incarnation,
        gang: None,
    }
}

async fn find_at(
    cx: &Context,
    holder: ClaimHolder,
    find: FindRequest,
    content: u128,
) -> Result<Option<ClaimHolder>> {
    let call = PeerCall::FindRequest(find);
    match cx.peers.call(holder.addr, &call, CLAIM_TIMEOUT).await {
        Ok(Reply::Found(None)) => Ok(None),
        Ok(Reply::Found(Some(found))) if found.content_digest == content => Ok(Some(holder)),
        Ok(Reply::Found(Some(_))) => Err(conflict()),
        Ok(_) => Err(unexpected_reply()),
        Err(_) => {
            let message = format!(
                "agent {} cannot say whether it has the request",
                holder.agent
            );
            let error = Error::not_run(ErrorKind::Unavailable, message);
            Err(error.retry_after(RETRY_AFTER).report())
        }
    }
}

fn conflict() -> error_stack::Report<Error> {
    let message = "the idempotency key was used for another body, service or shape";
    Error::not_run(ErrorKind::Conflict, message).report()
}

fn unavailable(cell: &str) -> error_stack::Report<Error> {
    let message = format!("the cell {cell} has no owner that keeps idempotency keys");
    let error = Error::not_run(ErrorKind::Unavailable, message);
    error.retry_after(RETRY_AFTER).report()
}

fn not_claimed(cell: &str, error: &Error) -> error_stack::Report<Error> {
    if error.kind == ErrorKind::Conflict || error.kind == ErrorKind::Overloaded {
        return error.clone().report();
    }
    let message = format!("the owner of cell {cell} did not answer: {}", error.message);
    let error = Error::new(Verdict::NotRun, ErrorKind::Unavailable, message);
    error.retry_after(RETRY_AFTER).report()
}
