//! Server for calls from other processes.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use errors::Result;
use ingress::{ClientBoard, Connection};
use telemetry::TraceParent;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::auth::Key;
use crate::frame::{FrameWriter, Side, encode, handshake};
use crate::messages::{Call, Reply};

/// Delay after a failed accept, because file descriptors may be exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of replies queued for the socket of a connection.
const REPLY_QUEUE_CAPACITY: usize = 1024;

/// A call with its id and its trace context (trace id and parent span id).
type IncomingCall = (u64, Option<(u128, u64)>, Call);

/// Metadata of a call.
#[derive(Debug, Clone)]
pub struct CallContext {
    /// Address of the caller.
    pub peer: SocketAddr,
    /// Parent span of the call, if it is traced.
    pub parent: Option<TraceParent>,
}

/// Accepts connections from peers and handles their calls.
#[derive(Debug)]
pub struct Server {
    listener: TcpListener,
    key: Key,
    clients: Option<Arc<ClientBoard>>,
}

impl Server {
    /// Creates a server that accepts connections on a bound listener.
    pub fn new(listener: TcpListener, key: Key) -> Self {
        Self {
            listener,
            key,
            clients: None,
        }
    }

    /// Accounts for the connections, so that senders without the key cannot use up the memory and descriptors of the process.
    #[must_use]
    pub fn account(mut self, clients: Arc<ClientBoard>) -> Self {
        self.clients = Some(clients);
        self
    }

    /// Handles calls until `shutdown` is cancelled; each call runs in its own task.
    pub async fn serve<H, F>(self, handler: H, shutdown: CancellationToken)
    where
        H: Fn(CallContext, Call) -> F + Send + Sync + 'static,
        F: Future<Output = Result<Reply>> + Send + 'static,
    {
        let handler = Arc::new(handler);
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                () = shutdown.cancelled() => return,
            };
            let Ok((stream, peer)) = accepted else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let closed = shutdown.child_token();
            let account = match &self.clients {
                Some(clients) => match open_account(clients, &stream, peer, &closed).await {
                    Some(account) => Some(account),
                    None => continue,
                },
                None => None,
            };
            let connection = serve_connection(
                stream,
                peer,
                self.key.clone(),
                account,
                Arc::clone(&handler),
            );
            tokio::spawn(closed.run_until_cancelled_owned(connection));
        }
    }
}

/// Opens the account of a connection; `None` if the process has no room for it.
async fn open_account(
    clients: &Arc<ClientBoard>,
    stream: &TcpStream,
    peer: SocketAddr,
    closed: &CancellationToken,
) -> Option<Arc<Connection>> {
    let local = stream.local_addr().ok()?;
    if !clients.make_room().await {
        return None;
    }
    let closed = closed.clone();
    clients.open(peer, local, move || closed.cancel())
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    peer: SocketAddr,
    key: Key,
    account: Option<Arc<Connection>>,
    handler: Arc<H>,
) where
    H: Fn(CallContext, Call) -> F + Send + Sync + 'static,
    F: Future<Output = Result<Reply>> + Send + 'static,
{
    let Ok((mut reader, writer)) =
        handshake(stream, &key, Side::Server, &Arc::default(), account).await
    else {
        return;
    };
    let (tx, rx) = mpsc::channel(REPLY_QUEUE_CAPACITY);
    tokio::spawn(write_replies(rx, writer));
    // Cancels the handlers when the connection ends, because nobody waits for their replies any more.
    let closed = CancellationToken::new();
    let _close_guard = closed.clone().drop_guard();
    while let Some((id, trace, call)) = reader.next::<IncomingCall>().await {
        let parent = trace.map(|(trace, span)| TraceParent { trace, span });
        let call_task = handle_call(
            Arc::clone(&handler),
            CallContext { peer, parent },
            id,
            call,
            tx.clone(),
        );
        tokio::spawn(closed.clone().run_until_cancelled_owned(call_task));
    }
}

async fn handle_call<H, F>(
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
        // Sending fails if the connection is closed, in which case the caller cannot be notified.
        let _ = tx.send(message).await;
    }
}

/// Writes queued replies; replies that are queued at the same time share one flush.
async fn write_replies(mut rx: mpsc::Receiver<Vec<u8>>, mut writer: FrameWriter) {
    while let Some(message) = rx.recv().await {
        if write_batch(message, &mut rx, &mut writer).await.is_err() {
            return;
        }
    }
}

async fn write_batch(
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
