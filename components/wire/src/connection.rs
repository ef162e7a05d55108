//! The task that owns a client connection.

use indexmap::IndexMap;
use tokio::sync::{mpsc, oneshot};

use crate::frame::{FrameReader, FrameWriter};
use crate::messages::Reply;

/// Reply channels by call id.
type PendingCalls = IndexMap<u64, oneshot::Sender<Reply>>;

/// Number of pending calls above which abandoned calls are removed.
const PURGE_THRESHOLD: usize = 1024;

/// An encoded call with the channel for its reply.
pub(crate) struct OutgoingCall {
    pub(crate) id: u64,
    pub(crate) message: Vec<u8>,
    pub(crate) reply_tx: oneshot::Sender<Reply>,
}

/// Sends calls and dispatches replies until the connection is closed or all senders are dropped.
///
/// This task owns the map of pending calls, so that callers need no shared lock.
pub(crate) async fn run_connection(
    mut rx: mpsc::Receiver<OutgoingCall>,
    mut reader: FrameReader,
    mut writer: FrameWriter,
) {
    let mut pending: PendingCalls = IndexMap::new();
    let mut open = true;
    while open || !pending.is_empty() {
        tokio::select! {
            outgoing = rx.recv(), if open => match outgoing {
                Some(outgoing) => {
                    if send_batch(outgoing, &mut rx, &mut pending, &mut writer).await.is_err() {
                        return;
                    }
                }
                None => open = false,
            },
            response = reader.next::<(u64, Reply)>() => match response {
                Some((id, reply)) => {
                    if let Some(reply_tx) = pending.swap_remove(&id) {
                        // Sending fails if the caller no longer waits for the reply.
                        let _ = reply_tx.send(reply);
                    }
                }
                None => return,
            },
        }
    }
}

/// Sends a call and all calls that are already queued, with a single flush.
async fn send_batch(
    first: OutgoingCall,
    rx: &mut mpsc::Receiver<OutgoingCall>,
    pending: &mut PendingCalls,
    writer: &mut FrameWriter,
) -> std::io::Result<()> {
    if pending.len() > PURGE_THRESHOLD {
        pending.retain(|_, reply_tx| !reply_tx.is_closed());
    }
    let mut next = Some(first);
    while let Some(outgoing) = next {
        pending.insert(outgoing.id, outgoing.reply_tx);
        writer.feed(outgoing.message).await?;
        next = rx.try_recv().ok();
    }
    writer.flush().await
}
