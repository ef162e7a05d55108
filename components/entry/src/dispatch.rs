//! Dispatch of a request to an agent.

use std::net::SocketAddr;
use std::time::Duration;

use board::Membership;
use error_stack::Report;
use errors::{Error, ErrorKind, Result, Verdict};
use model::{Attempt, GangId, RequestId};
use wire::{Call as PeerCall, Dispatch, DispatchClaim, Peers, Reply, decompress_answer};

use crate::call::{Admitted, Answered, Call};
use crate::context::Context;

/// Timeout of a cancellation call to an agent.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time past the deadline for the agent's own timeout error to arrive.
const REPLY_GRACE: Duration = Duration::from_millis(100);

/// The agent and attempt to which a request is dispatched.
pub(crate) struct Target {
    pub(crate) addr: SocketAddr,
    pub(crate) incarnation: u64,
    pub(crate) attempt: Attempt,
    pub(crate) gang: Option<GangId>,
    pub(crate) claim: Option<DispatchClaim>,
}

/// A failed dispatch.
pub(crate) enum DispatchFailure {
    /// The agent reported an error, or the request or its answer failed a check of the entry.
    Rejected(Report<Error>),
    /// The exchange with the agent failed.
    Transport(Report<Error>),
}

impl DispatchFailure {
    pub(crate) fn into_report(self) -> Report<Error> {
        match self {
            Self::Rejected(report) | Self::Transport(report) => report,
        }
    }
}

/// Sends a request and returns the verified answer.
pub(crate) async fn dispatch(
    cx: &Context,
    call: &Call<Admitted>,
    target: &Target,
) -> Result<Call<Answered>> {
    try_dispatch(cx, call, target)
        .await
        .map_err(DispatchFailure::into_report)
}

/// Sends a request and distinguishes errors of the agent from transport failures.
pub(crate) async fn try_dispatch(
    cx: &Context,
    call: &Call<Admitted>,
    target: &Target,
) -> std::result::Result<Call<Answered>, DispatchFailure> {
    let request = call
        .request(timer::now())
        .map_err(DispatchFailure::Rejected)?;
    let limit = request.timeout + REPLY_GRACE;
    let mut cancel = CancelOnDrop {
        peers: &cx.peers,
        addr: target.addr,
        // A request with an idempotency key continues, because its caller may submit it again.
        request: target.claim.is_none().then_some(request.id),
    };
    let dispatched = call.dispatch(target.attempt);
    let message = PeerCall::Dispatch(Dispatch {
        request,
        attempt: target.attempt,
        incarnation: target.incarnation,
        gang: target.gang,
        compress: cx.peers.is_remote(target.addr),
        claim: target.claim.clone(),
        body: call.state.body.clone(),
        detached: false,
    });
    call.state.sent.set();
    let result = tokio::select! {
        result = cx.peers.exchange(target.addr, &message, limit) => result,
        // A frozen process keeps its connections open, so the exchange would wait until the deadline.
        () = wait_until_removed(cx, target) => Err(agent_lost()),
    };
    cancel.request = None;
    if proves_not_run(&result, target) {
        call.state.sent.clear();
    }
    match result.map_err(DispatchFailure::Transport)? {
        Reply::Answer(answer) => {
            let answer = decompress_answer(answer)
                .await
                .map_err(DispatchFailure::Rejected)?;
            dispatched.answer(answer).map_err(DispatchFailure::Rejected)
        }
        Reply::Failed(error) => Err(DispatchFailure::Rejected(error.report())),
        _ => Err(DispatchFailure::Transport(unexpected_reply())),
    }
}

/// Waits until the target agent is no longer in the directory.
async fn wait_until_removed(cx: &Context, target: &Target) {
    let mut changes = cx.board.membership.changes();
    loop {
        if !is_in_directory(&cx.board.membership.load(), target) {
            return;
        }
        // Cannot fail, because the section lives as long as the process.
        let _ = changes.changed().await;
    }
}

fn is_in_directory(membership: &Membership, target: &Target) -> bool {
    let matches = |addr, incarnation| (addr, incarnation) == (target.addr, target.incarnation);
    let mut serving = membership.serving.values();
    let mut draining = membership.draining.values();
    serving.any(|e| matches(e.agent_addr, e.incarnation))
        || draining.any(|e| matches(e.agent_addr, e.incarnation))
}

fn agent_lost() -> Report<Error> {
    Error::may_have_run(
        ErrorKind::Unavailable,
        "the agent is no longer in the directory",
    )
    .report()
}

/// Returns whether the result proves that the request did not run.
///
/// With an idempotency key a transport failure proves nothing, because another submission may have reached the agent.
fn proves_not_run(result: &Result<Reply>, target: &Target) -> bool {
    match result {
        Ok(Reply::Failed(error)) => error.verdict == Verdict::NotRun,
        Ok(_) => false,
        Err(report) => {
            target.claim.is_none() && report.current_context().verdict == Verdict::NotRun
        }
    }
}

/// Returns the error for a reply of the wrong type.
pub(crate) fn unexpected_reply() -> error_stack::Report<Error> {
    Error::may_have_run(ErrorKind::Internal, "unexpected reply from a peer").report()
}

/// Cancels a request at its agent when the caller disconnects.
struct CancelOnDrop<'a> {
    peers: &'a Peers,
    addr: SocketAddr,
    request: Option<RequestId>,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        let Some(request) = self.request else { return };
        let peers = self.peers.clone();
        let addr = self.addr;
        tokio::spawn(async move {
            // An agent that misses this completes the request and drops its answer.
            let _ = peers
                .call(addr, &PeerCall::CancelRequest(request), CANCEL_TIMEOUT)
                .await;
        });
    }
}
