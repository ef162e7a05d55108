//! Claims of requests with an idempotency key, kept by the owner of the request's home cell.

use std::time::Duration;

use errors::{Error, ErrorKind, Result, Verdict};
use futures::future::{join, try_join_all};
use model::{CellId, Endpoint, RequestId};
use wire::{
    Call as PeerCall, Claim, ClaimHolder, ClaimReleaseReason, ClaimReply, FindRequest, Reply,
};

use crate::call::{Admitted, Call};
use crate::context::Context;
use crate::dispatch::unexpected_reply;
use crate::takeover::TakeoverWait;

/// Timeout of a call to an owner or agent: several times the latency between regions.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(500);
/// `Retry-After` when a claim could not be resolved: about the duration of an ownership change.
const CLAIM_RETRY_AFTER: Duration = Duration::from_secs(4);

/// The placement that an entry proposes in a claim.
#[derive(Debug, Clone, Default)]
pub(crate) struct Proposal {
    pub(crate) cell: Option<CellId>,
    pub(crate) holder: Option<ClaimHolder>,
    pub(crate) release: Option<ClaimReleaseReason>,
}

/// Claims the request at the owner of its home cell: returns the existing claim, or creates one as proposed.
///
/// The request is not dispatched before it is claimed, so a failure means "not run".
pub(crate) async fn claim(
    cx: &Context,
    call: &Call<Admitted>,
    content_digest: u128,
    proposal: Proposal,
) -> Result<ClaimReply> {
    let message = Claim {
        request: call.state.request.id,
        account: call.state.request.account.clone(),
        content_digest,
        timeout: call.remaining(timer::now())?,
        cell: proposal.cell,
        holder: proposal.holder,
        release: proposal.release,
    };
    let request = message.request;
    let message = PeerCall::Claim(message);
    let mut takeover = TakeoverWait::start(cx);
    loop {
        match claim_at_home_cell(cx, request, &message).await {
            Ok(value) => return Ok(value),
            Err(report) => takeover.wait(cx, call, report).await?,
        }
    }
}

async fn claim_at_home_cell(
    cx: &Context,
    request: RequestId,
    message: &PeerCall,
) -> Result<ClaimReply> {
    let home = home_cell(cx, request)?;
    let owner = cx.entry_board.owners.load().get(&home).cloned();
    let owner = owner.ok_or_else(|| no_claim_owner(&home))?;
    match cx.peers.call(owner.addr, message, CLAIM_TIMEOUT).await {
        Ok(Reply::Claimed(claimed)) => Ok(claimed),
        Ok(_) => Err(unexpected_reply()),
        Err(report) => Err(claim_failed(&home, report.current_context())),
    }
}

/// Returns the cell whose owner keeps the claim, by rendezvous hashing over all cells.
///
/// The cells of all regions are included, so that entries of two regions cannot both be granted a claim.
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
    home.ok_or_else(|| unavailable("the home cell of the idempotency key is not known yet"))
}

/// Queries the agents of all endpoints of the service for the request, as a new owner does not know earlier claims. An agent
/// that left the directories may have the request as well: a missed heartbeat is no proof that its process has ended.
///
/// Agents that do not have the request reject dispatches of it under earlier epochs from then on.
pub(crate) async fn find_holder(
    cx: &Context,
    call: &Call<Admitted>,
    content_digest: u128,
    claimed: &ClaimReply,
) -> Result<Option<ClaimHolder>> {
    let mut takeover = TakeoverWait::start(cx);
    loop {
        match find_once(cx, call, content_digest, claimed).await {
            Ok(value) => return Ok(value),
            Err(report) => takeover.wait(cx, call, report).await?,
        }
    }
}

async fn find_once(
    cx: &Context,
    call: &Call<Admitted>,
    content_digest: u128,
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
    let serving = serving
        .filter(|e| e.service == *service)
        .map(|e| holder_of(e));
    let draining = membership.draining.values();
    let draining = draining
        .filter(|e| e.service == *service)
        .map(|e| holder_of(e));
    let queries = serving
        .chain(draining)
        .map(|holder| query_agent(cx, holder, find.clone(), content_digest));
    // Read after the membership, which is published last.
    let silent = cx.entry_board.silent_endpoints.snapshot();
    // An idempotent request may run again, so it does not wait for silent agents.
    let idempotent = call.state.request.idempotent;
    let silent = silent
        .values()
        .filter(|e| !idempotent && e.service == *service);
    let silent_queries =
        silent.map(|e| query_silent_agent(cx, e.holder.clone(), find.clone(), content_digest));
    let (found, found_silent) = join(try_join_all(queries), try_join_all(silent_queries)).await;
    // The error of a silent agent goes first, because only it tells that the request may have run.
    let (found_silent, found) = (found_silent?, found?);
    Ok(found.into_iter().chain(found_silent).flatten().next())
}

/// Queries an agent that is in no directory; that it does not reply proves nothing about the request.
async fn query_silent_agent(
    cx: &Context,
    holder: ClaimHolder,
    find: FindRequest,
    content_digest: u128,
) -> Result<Option<ClaimHolder>> {
    let result = query_agent(cx, holder, find, content_digest).await;
    result.map_err(|report| {
        let error = report.current_context().clone();
        match error.kind {
            ErrorKind::Conflict => report,
            _ => Error {
                verdict: Verdict::MayHaveRun,
                ..error
            }
            .report(),
        }
    })
}

/// Returns an error unless all directories are complete; otherwise the request may be at an agent that is not queried.
fn check_settled(cx: &Context) -> Result<()> {
    let settled = cx.entry_board.settled_cells.load();
    let cells = cx.entry_board.cells.load();
    match cells.iter().flatten().find(|cell| !settled.contains(*cell)) {
        Some(cell) => Err(no_claim_owner(cell)),
        None => Ok(()),
    }
}

/// Returns the agent of an endpoint as the claim holder of a request without a shape.
pub(crate) fn holder_of<S>(endpoint: &Endpoint<S>) -> ClaimHolder {
    ClaimHolder {
        agent: endpoint.agent.clone(),
        addr: endpoint.agent_addr,
        incarnation: endpoint.incarnation,
        gang: None,
    }
}

async fn query_agent(
    cx: &Context,
    holder: ClaimHolder,
    find: FindRequest,
    content_digest: u128,
) -> Result<Option<ClaimHolder>> {
    let call = PeerCall::FindRequest(find);
    match cx.peers.call(holder.addr, &call, CLAIM_TIMEOUT).await {
        Ok(Reply::Found(None)) => Ok(None),
        Ok(Reply::Found(Some(found))) if found.content_digest == content_digest => Ok(Some(holder)),
        Ok(Reply::Found(Some(_))) => Err(conflict()),
        Ok(_) => Err(unexpected_reply()),
        Err(_) => {
            let message = format!(
                "agent {} did not report whether it has the request",
                holder.agent
            );
            let error = Error::not_run(ErrorKind::Unavailable, message);
            Err(error.retry_after(CLAIM_RETRY_AFTER).report())
        }
    }
}

fn conflict() -> error_stack::Report<Error> {
    let message = "the idempotency key was used for another body, service or shape";
    Error::not_run(ErrorKind::Conflict, message).report()
}

fn no_claim_owner(cell: &str) -> error_stack::Report<Error> {
    unavailable(format!(
        "cell {cell} has no owner that can resolve idempotency keys"
    ))
}

fn unavailable(message: impl Into<Box<str>>) -> error_stack::Report<Error> {
    let error = Error::not_run(ErrorKind::Unavailable, message);
    error.retry_after(CLAIM_RETRY_AFTER).report()
}

fn claim_failed(cell: &str, error: &Error) -> error_stack::Report<Error> {
    if error.kind == ErrorKind::Conflict || error.kind == ErrorKind::Overloaded {
        return error.clone().report();
    }
    let message = format!("the owner of cell {cell} did not answer: {}", error.message);
    let error = Error::new(Verdict::NotRun, ErrorKind::Unavailable, message);
    error.retry_after(CLAIM_RETRY_AFTER).report()
}
