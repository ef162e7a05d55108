//! Sending a request to an agent.

use std::net::SocketAddr;
use std::time::Duration;

use board::Membership;
use error_stack::Report;
use errors::{Error, ErrorKind, Result, Verdict};
use model::{Attempt, GangId, RequestId};
use wire::{Call as PeerCall, Dispatch, DispatchClaim, Peers, Reply, decompress_answer};

use crate::call::{Admitted, Answered, Call};
use crate::context::Context;

/// How long an agent may take to hear of a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for the error of an agent whose endpoint missed the deadline to arrive.
const REPLY_GRACE: Duration = Duration::from_millis(100);

/// Where a request is sent.
pub(crate) struct Target {
    pub(crate) addr: SocketAddr,
    pub(crate) incarnation: u64,
    pub(crate) attempt: Attempt,
    pub(crate) gang: Option<GangId>,
    pub(crate) claim: Option<DispatchClaim>,
}

/// A failed dispatch.
pub(crate) enum Undone {
    /// The agent's own decision.
    Refused(Report<Error>),
    /// A fault on the way to the agent or back.
    Lost(Report<Error>),
}

impl Undone {
    /// Returns the error of either kind.
    pub(crate) fn into_report(self) -> Report<Error> {
        match self {
            Self::Refused(report) | Self::Lost(report) => report,
        }
    }
}

/// Sends a request and returns the checked answer.
pub(crate) async fn dispatch(
    cx: &Context,
    call: &Call<Admitted>,
    target: &Target,
) -> Result<Call<Answered>> {
    try_dispatch(cx, call, target)
        .await
        .map_err(Undone::into_report)
}

/// Sends a request and says who caused a failure.
pub(crate) async fn try_dispatch(
    cx: &Context,
    call: &Call<Admitted>,
    target: &Target,
) -> std::result::Result<Call<Answered>, Undone> {
    let request = call.request(timer::now()).map_err(Undone::Refused)?;
    let limit = request.timeout + REPLY_GRACE;
    let mut cancel = CancelOnDrop {
        peers: &cx.peers,
        addr: target.addr,
        // A request with an idempotency key goes on, because its caller may come back.
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
        // A frozen agent keeps its connections open; nobody waits for it until the deadline.
        () = lost(cx, target) => Err(agent_lost()),
    };
    cancel.request = None;
    if may_clear(&result, target) {
        call.state.sent.clear();
    }
    match result.map_err(Undone::Lost)? {
        Reply::Answer(answer) => {
            let answer = decompress_answer(answer).await.map_err(Undone::Refused)?;
            dispatched.answer(answer).map_err(Undone::Refused)
        }
        Reply::Failed(error) => Err(Undone::Refused(error.report())),
        _ => Err(Undone::Lost(unexpected_reply())),
    }
}

/// Returns once the directory no longer has the agent that the request was sent to.
async fn lost(cx: &Context, target: &Target) {
    let mut changes = cx.board.membership.changes();
    loop {
        if !is_known(&cx.board.membership.load(), target) {
            return;
        }
        // The section lives as long as the process.
        let _ = changes.changed().await;
    }
}

fn is_known(membership: &Membership, target: &Target) -> bool {
    let matches = |addr, incarnation| (addr, incarnation) == (target.addr, target.incarnation);
    let mut serving = membership.serving.values();
    let mut draining = membership.draining.values();
    serving.any(|e| matches(e.agent_addr, e.incarnation))
        || draining.any(|e| matches(e.agent_addr, e.incarnation))
}

fn agent_lost() -> Report<Error> {
    Error::may_have_run(ErrorKind::Unavailable, "the agent was lost").report()
}

/// With an idempotency key, another submission may have reached the agent.
fn may_clear(result: &Result<Reply>, target: &Target) -> bool {
    match result {
        Ok(Reply::Failed(error)) => error.verdict == Verdict::NotRun,
        Ok(_) => false,
        Err(report) => {
            target.claim.is_none() && report.current_context().verdict == Verdict::NotRun
        }
    }
}

/// Returns the error of a reply that does not belong to the call.
pub(crate) fn unexpected_reply() -> error_stack::Report<Error> {
    Error::may_have_run(ErrorKind::Internal, "unexpected reply of a peer").report()
}

/// Tells the agent when the caller of a request goes away.
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
            // An agent that does not hear this finishes the request and drops its answer.
            let _ = peers
                .call(addr, &PeerCall::CancelRequest(request), CANCEL_TIMEOUT)
                .await;
        });
    }
}
