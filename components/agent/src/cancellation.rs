//! The requests that run on each shard, so that they can be cancelled.
//!
//! A request registers on its own thread: the request controller runs on another one, and waking it twice for each
//! request cost more than the request's own bookkeeping.

use std::cell::RefCell;

use indexmap::IndexMap;
use model::RequestId;
use tokio::sync::broadcast;
use tokio_util::sync::CancellationToken;

use crate::context::Context;
use crate::requests::RequestEvent;

/// Cancellations that a busy shard may lag behind; a lost one only lets a request run to its end.
const CANCEL_QUEUE_CAPACITY: usize = 1024;

thread_local! {
    static CANCEL_TOKENS: RefCell<IndexMap<RequestId, CancellationToken>> = RefCell::default();
}

/// Tells all shards which requests to cancel.
pub(crate) type CancelSender = broadcast::Sender<RequestId>;

/// Creates the channel to the shards.
pub(crate) fn channel() -> CancelSender {
    broadcast::Sender::new(CANCEL_QUEUE_CAPACITY)
}

/// Cancels a request wherever it runs.
pub(crate) fn cancel(cx: &Context, request: RequestId) {
    let _ = cx.requests_tx.send(RequestEvent::Cancel { request });
    // Without shards there is nobody to tell.
    let _ = cx.cancels_tx.send(request);
}

/// Cancels requests of the current shard until the agent ends.
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

/// Lets a request be cancelled until this is dropped.
///
/// A task of a shard never leaves its thread; tasks of the shared runtime do, so the request controller keeps theirs.
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
