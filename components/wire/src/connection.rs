//! The task that owns one client connection.

use indexmap::IndexMap;
use tokio::sync::{mpsc, oneshot};

use crate::frame::{FrameReader, FrameWriter};
use crate::messages::Reply;

/// Number of waiting calls above which calls whose caller gave up are looked for.
const PURGE_THRESHOLD: usize = 1024;

/// An encoded call and where its reply goes.
pub(crate) struct Outgoing {
    pub(crate) id: u64,
    pub(crate) message: Vec<u8>,
    pub(crate) tx: oneshot::Sender<Reply>,
}

/// Sends calls and hands out replies until the connection or the last handle to it ends.
///
/// One task owns the map of waiting calls, so that callers share no lock.
pub(crate) async fn drive(
    mut rx: mpsc::Receiver<Outgoing>,
    mut reader: FrameReader,
    mut writer: FrameWriter,
) {
    let mut waiting: IndexMap<u64, oneshot::Sender<Reply>> = IndexMap::new();
    let mut open = true;
    while open || !waiting.is_empty() {
        tokio::select! {
            outgoing = rx.recv(), if open => match outgoing {
                Some(outgoing) => {
                    if send_ready(outgoing, &mut rx, &mut waiting, &mut writer).await.is_err() {
                        return;
                    }
                }
                None => open = false,
            },
            response = reader.next::<(u64, Reply)>() => match response {
                Some((id, reply)) => {
                    if let Some(tx) = waiting.swap_remove(&id) {
                        // The caller may have given up; its reply is dropped.
                        let _ = tx.send(reply);
                    }
                }
                None => return,
            },
        }
    }
}

/// Sends all calls that are ready with one flush.
async fn send_ready(
    first: Outgoing,
    rx: &mut mpsc::Receiver<Outgoing>,
    waiting: &mut IndexMap<u64, oneshot::Sender<Reply>>,
    writer: &mut FrameWriter,
) -> std::io::Result<()> {
    if waiting.len() > PURGE_THRESHOLD {
        waiting.retain(|_, tx| !tx.is_closed());
    }
    let mut next = Some(first);
    while let Some(outgoing) = next {
        waiting.insert(outgoing.id, outgoing.tx);
        writer.feed(outgoing.message).await?;
        next = rx.try_recv().ok();
    }
    writer.flush().await
}
