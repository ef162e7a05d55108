//! The claim controller: tracks which agent or cell has each request with an idempotency key.

use std::sync::Arc;
use std::time::Instant;

use errors::{Error, ErrorKind, Result};
use membership::key_claims::{ClaimRequest, ClaimTable, Holder, ReleaseReason, may_miss_claim};
use model::Epoch;
use tokio::sync::{mpsc, oneshot};
use wire::{Claim, ClaimHolder, ClaimReleaseReason, ClaimReply};

use crate::context::Context;

/// A claim with the channel for its result.
#[derive(Debug)]
pub(crate) struct ClaimEvent {
    pub(crate) claim: Claim,
    pub(crate) tx: oneshot::Sender<Result<ClaimReply>>,
}

/// The claims of one epoch.
struct State {
    epoch: Epoch,
    since: Instant,
    claims: ClaimTable,
}

/// Runs the controller until all senders are dropped.
pub(crate) async fn run(mut rx: mpsc::UnboundedReceiver<ClaimEvent>, cx: Arc<Context>) {
    let mut state = new_state(0);
    while let Some(event) = rx.recv().await {
        let epoch = cx.epoch();
        if state.epoch != epoch {
            state = new_state(epoch);
        }
        let _ = event.tx.send(process(&mut state, event.claim));
    }
}

fn new_state(epoch: Epoch) -> State {
    State {
        epoch,
        since: timer::now(),
        claims: ClaimTable::default(),
    }
}

/// Sends a claim to the controller and waits for its result.
pub(crate) async fn submit(cx: &Context, claim: Claim) -> Result<ClaimReply> {
    let (tx, rx) = oneshot::channel();
    let _ = cx.claims_tx.send(ClaimEvent { claim, tx });
    let ended = || Error::not_run(ErrorKind::Internal, "the claim controller stopped").report();
    rx.await.unwrap_or_else(|_| Err(ended()))
}

fn process(state: &mut State, claim: Claim) -> Result<ClaimReply> {
    if state.epoch == 0 {
        let message = "this process does not own the cell";
        return Err(Error::not_run(ErrorKind::Unavailable, message).report());
    }
    let now = timer::now();
    let timeout = claim.timeout;
    let claimed = state.claims.claim(claim_request_from_wire(claim), now)?;
    Ok(ClaimReply {
        epoch: state.epoch,
        attempt: claimed.attempt,
        cell: claimed.cell,
        holder: claimed.holder.map(holder_to_wire),
        newly_assigned: claimed.new,
        retention: claimed.retention,
        incomplete: may_miss_claim(state.epoch, state.since, timeout, now),
    })
}

fn claim_request_from_wire(claim: Claim) -> ClaimRequest {
    ClaimRequest {
        request: claim.request,
        account: claim.account,
        content_digest: claim.content_digest,
        timeout: claim.timeout,
        cell: claim.cell,
        holder: claim.holder.map(holder_from_wire),
        release: claim.release.map(|reason| match reason {
            ClaimReleaseReason::Ended(attempt) => ReleaseReason::Ended(attempt),
            ClaimReleaseReason::Unsent(attempt) => ReleaseReason::Unsent(attempt),
            ClaimReleaseReason::Unplaceable => ReleaseReason::Unplaceable,
        }),
    }
}

fn holder_from_wire(holder: ClaimHolder) -> Holder {
    Holder {
        agent: holder.agent,
        addr: holder.addr,
        incarnation: holder.incarnation,
        gang: holder.gang,
    }
}

fn holder_to_wire(holder: Holder) -> ClaimHolder {
    ClaimHolder {
        agent: holder.agent,
        addr: holder.addr,
        incarnation: holder.incarnation,
        gang: holder.gang,
    }
}
