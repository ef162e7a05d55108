//! The claim controller: where the requests with an idempotency key are.

use std::sync::Arc;
use std::time::Instant;

use errors::{Error, ErrorKind, Result};
use membership::key_claims::{CLAIM_RETENTION, ClaimRequest, ClaimTable, Holder, ReleaseReason};
use model::Epoch;
use tokio::sync::{mpsc, oneshot};
use wire::{Claim, ClaimHolder, Claimed, LeaveClaim};

use crate::context::Context;

/// A claim and where its answer goes.
#[derive(Debug)]
pub(crate) struct ClaimEvent {
    pub(crate) claim: Claim,
    pub(crate) tx: oneshot::Sender<Result<Claimed>>,
}

/// The claims of one epoch.
struct State {
    epoch: Epoch,
    since: Instant,
    claims: ClaimTable,
}

/// Runs the controller until its last sender is gone.
pub(crate) async fn run(mut rx: mpsc::UnboundedReceiver<ClaimEvent>, cx: Arc<Context>) {
    let mut state = start(0);
    while let Some(event) = rx.recv().await {
        let epoch = cx.epoch();
        if state.epoch != epoch {
            state = start(epoch);
        }
        let _ = event.tx.send(claim(&mut state, event.claim));
    }
}

fn start(epoch: Epoch) -> State {
    State {
        epoch,
        since: timer::now(),
        claims: ClaimTable::default(),
    }
}

/// Asks the controller.
pub(crate) async fn ask(cx: &Context, claim: Claim) -> Result<Claimed> {
    let (tx, rx) = oneshot::channel();
    let _ = cx.claims.send(ClaimEvent { claim, tx });
    let ended = || Error::not_run(ErrorKind::Internal, "the claim controller ended").report();
    rx.await.unwrap_or_else(|_| Err(ended()))
}

fn claim(state: &mut State, claim: Claim) -> Result<Claimed> {
    if state.epoch == 0 {
        let message = "this process does not own the cell";
        return Err(Error::not_run(ErrorKind::Unavailable, message).report());
    }
    let now = timer::now();
    let claimed = state.claims.claim(claim_request(claim), now)?;
    Ok(Claimed {
        epoch: state.epoch,
        attempt: claimed.attempt,
        cell: claimed.cell,
        holder: claimed.holder.map(to_wire),
        new: claimed.new,
        keep: claimed.retention,
        incomplete: state.epoch > 1 && now < state.since + CLAIM_RETENTION,
    })
}

fn claim_request(claim: Claim) -> ClaimRequest {
    ClaimRequest {
        request: claim.request,
        account: claim.account,
        content_digest: claim.content,
        timeout: claim.timeout,
        cell: claim.cell,
        holder: claim.holder.map(from_wire),
        release: claim.leave.map(|leave| match leave {
            LeaveClaim::Ended(attempt) => ReleaseReason::Ended(attempt),
            LeaveClaim::Unsent(attempt) => ReleaseReason::Unsent(attempt),
            LeaveClaim::Cell => ReleaseReason::Unplaceable,
        }),
    }
}

fn from_wire(holder: ClaimHolder) -> Holder {
    Holder {
        agent: holder.agent,
        addr: holder.addr,
        incarnation: holder.incarnation,
        gang: holder.gang,
    }
}

fn to_wire(holder: Holder) -> ClaimHolder {
    ClaimHolder {
        agent: holder.agent,
        addr: holder.addr,
        incarnation: holder.incarnation,
        gang: holder.gang,
    }
}
