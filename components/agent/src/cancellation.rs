//! Cancellation of running requests.
//!
//! A request registers its token on its own shard. The request controller runs on another thread, and waking it twice
//! for each request cost more than the request's own bookkeeping.

use std::cell::RefCell;

use indexmap::IndexMap;
use model::RequestId;
use tokio::sync::broadcast;
use tokio_util::sync::CancellationToken;

use crate::context::Context;
use crate::requests::RequestEvent;

/// Number of cancellations that a busy shard may lag behind; a request whose cancellation is lost runs to completion.
const CANCEL_QUEUE_CAPACITY: usize = 1024;

thread_local! {
    /// Tokens of the requests that run on this shard.
    static CANCEL_TOKENS: RefCell<IndexMap<RequestId, CancellationToken>> = RefCell::default();
}

/// Broadcasts the requests to cancel to all shards.
pub(crate) type CancelSender = broadcast::Sender<RequestId>;

/// Creates the broadcast channel to the shards.
pub(crate) fn channel() -> CancelSender {
    broadcast::Sender::new(CANCEL_QUEUE_CAPACITY)
}

/// Cancels a request on whichever shard it runs.
pub(crate) fn cancel(cx: &Context, request: RequestId) {
    let _ = cx.requests_tx.send(RequestEvent::Cancel { request });
    // The send fails only if no shard has subscribed.
    let _ = cx.cancels_tx.send(request);
}

/// Cancels requests of the current shard until the channel is closed.
pub(crate) async fn receive_cancellations(mut rx: broadcast::Receiver<RequestId>) {
    loop {
        match rx.recv().await {
            Ok(request) => CANCEL_TOKENS.with_borrow(|tokens| {
                if let Some(cancel) = tokens.get(&request) {
                    cancel.cancel();
                }
            }),
            Err(broadcast::error::RecvError::Lagged(_)) => {}
            Err(broadcast::error::RecvError::Closed) => return,
        }
    }
}

/// Registers a request for cancellation until this is dropped.
///
/// Tasks of a shard stay on its thread. Tasks of the shared runtime move between threads, so the request controller
/// keeps their tokens.
pub(crate) struct CancelRegistration<'a> {
    cx: &'a Context,
    request: RequestId,
    shard: usize,
}

impl<'a> CancelRegistration<'a> {
    pub(crate) fn new(cx: &'a Context, request: RequestId, cancel: &CancellationToken) -> Self {
        let shard = shards::current();
        let cancel = cancel.clone();
        if shard == shards::SHARED {
            let _ = cx
                .requests_tx
                .send(RequestEvent::Register { request, cancel });
        } else {
            CANCEL_TOKENS.with_borrow_mut(|tokens| tokens.insert(request, cancel));
        }
        Self { cx, request, shard }
    }
}

impl Drop for CancelRegistration<'_> {
    fn drop(&mut self) {
        let request = self.request;
        if self.shard == shards::SHARED {
            let _ = self
                .cx
                .requests_tx
                .send(RequestEvent::Unregister { request });
        } else {
            CANCEL_TOKENS.with_borrow_mut(|tokens| tokens.swap_remove(&request));
        }
    }
}
