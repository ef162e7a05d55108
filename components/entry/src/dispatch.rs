//! Sending a request to an agent.

use std::net::SocketAddr;
use std::time::Duration;

use board::Membership;
use errors::{Error, ErrorKind, Result};
use model::{Attempt, GangId, RequestId};
use wire::{Call as PeerCall, Dispatch, Peers, Reply};

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
}

/// Sends a request and returns the checked answer.
pub(crate) async fn dispatch(
    cx: &Context,
    call: &Call<Admitted>,
    target: &Target,
) -> Result<Call<Answered>> {
    let request = call.request(timer::now())?;
    let limit = request.timeout + REPLY_GRACE;
    let mut cancel = CancelOnDrop {
        peers: &cx.peers,
        addr: target.addr,
        request: Some(request.id),
    };
    let dispatched = call.dispatch(target.attempt);
    let message = PeerCall::Dispatch(Dispatch {
        request,
        attempt: target.attempt,
        incarnation: target.incarnation,
        gang: target.gang,
        body: call.state.body.clone(),
        detached: false,
    });
    let result = tokio::select! {
        result = cx.peers.call(target.addr, &message, limit) => result,
        // A frozen agent keeps its connections open; work that may run twice does not wait for it.
        () = lost(cx, target), if call.state.request.idempotent => return Err(agent_lost()),
    };
    cancel.request = None;
    match result? {
        Reply::Answer(answer) => dispatched.answer(answer),
        _ => Err(unexpected_reply()),
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

fn agent_lost() -> error_stack::Report<Error> {
    Error::may_have_run(ErrorKind::Unavailable, "the agent was lost").report()
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
