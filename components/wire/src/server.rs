//! Answering calls from other processes.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use errors::Result;
use telemetry::TraceParent;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::auth::Key;
use crate::frame::{FrameWriter, Side, encode, handshake};
use crate::messages::{Call, Reply};

/// Pause after a failed accept; file descriptors may be used up.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Replies that wait for the socket of one connection.
const WRITE_QUEUE: usize = 1024;

/// A call with its id and the trace id and span id that it belongs to.
type Incoming = (u64, Option<(u128, u64)>, Call);

/// What is known about a call besides its message.
#[derive(Debug, Clone)]
pub struct CallContext {
    /// The address of the caller.
    pub peer: SocketAddr,
    /// The span that caused the call.
    pub parent: Option<TraceParent>,
}

/// A listener for calls.
#[derive(Debug)]
pub struct Server {
    listener: TcpListener,
    key: Key,
}

impl Server {
    /// Wraps a bound listener.
    pub fn new(listener: TcpListener, key: Key) -> Self {
        Self { listener, key }
    }

    /// Answers calls until `stop` is cancelled; each call runs in a task of its own.
    pub async fn serve<H, F>(self, handler: H, stop: CancellationToken)
    where
        H: Fn(CallContext, Call) -> F + Send + Sync + 'static,
        F: Future<Output = Result<Reply>> + Send + 'static,
    {
        let handler = Arc::new(handler);
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                () = stop.cancelled() => return,
            };
            let Ok((stream, peer)) = accepted else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let connection = serve_connection(stream, peer, self.key.clone(), Arc::clone(&handler));
            tokio::spawn(stop.clone().run_until_cancelled_owned(connection));
        }
    }
}

async fn serve_connection<H, F>(stream: TcpStream, peer: SocketAddr, key: Key, handler: Arc<H>)
where
    H: Fn(CallContext, Call) -> F + Send + Sync + 'static,
    F: Future<Output = Result<Reply>> + Send + 'static,
{
    let Ok((mut reader, writer)) = handshake(stream, &key, Side::Server, &Arc::default()).await
    else {
        return;
    };
    let (tx, rx) = mpsc::channel(WRITE_QUEUE);
    tokio::spawn(write_all(rx, writer));
    // A caller whose connection ended waits for nothing any more.
    let open = CancellationToken::new();
    let _close = open.clone().drop_guard();
    while let Some((id, trace, call)) = reader.next::<Incoming>().await {
        let parent = trace.map(|(trace, span)| TraceParent { trace, span });
        let reply = reply_to(
            Arc::clone(&handler),
            CallContext { peer, parent },
            id,
            call,
            tx.clone(),
        );
        tokio::spawn(open.clone().run_until_cancelled_owned(reply));
    }
}

async fn reply_to<H, F>(
    handler: Arc<H>,
    cx: CallContext,
    id: u64,
    call: Call,
    tx: mpsc::Sender<Vec<u8>>,
) where
    H: Fn(CallContext, Call) -> F + Send + Sync + 'static,
    F: Future<Output = Result<Reply>> + Send + 'static,
{
    let result = handler(cx, call).await;
    let reply = result.unwrap_or_else(|report| Reply::Failed(report.current_context().clone()));
    if let Ok(message) = encode(&(id, reply)) {
        // The caller may have closed the connection; it then learns nothing.
        let _ = tx.send(message).await;
    }
}

/// Writes queued messages; those that are ready together share one flush.
async fn write_all(mut rx: mpsc::Receiver<Vec<u8>>, mut writer: FrameWriter) {
    while let Some(message) = rx.recv().await {
        if write_ready(message, &mut rx, &mut writer).await.is_err() {
            return;
        }
    }
}

async fn write_ready(
    first: Vec<u8>,
    rx: &mut mpsc::Receiver<Vec<u8>>,
    writer: &mut FrameWriter,
) -> std::io::Result<()> {
    let mut next = Some(first);
    while let Some(message) = next {
        writer.feed(message).await?;
        next = rx.try_recv().ok();
    }
    writer.flush().await
}
