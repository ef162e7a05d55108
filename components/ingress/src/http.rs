//! HTTP servers that keep an account of their connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use errors::{Error, ErrorKind, Result};
use futures::StreamExt;
use salvo::conn::{Acceptor, ConnCtrl, Listener, TcpListener};
use salvo::fuse::{ArcConnObserver, ConnObserver, FuseAction, FuseConfig, FuseInfo, FusePolicy};
use salvo::http::Method;
use salvo::http::body::{Body, ResBody};
use salvo::prelude::{Depot, FlowCtrl, Handler, Request, Response, Router, Server, Service};
use salvo::server::ServerHandle;
use tokio::io::{AsyncRead, AsyncWrite};

use crate::connection::{Connection, Exchange, MAX_READ_BUFFER_BYTES, Receiving, Serving};
use crate::decide;
use crate::ledger::ClientBoard;
use crate::short_reads::ShortReads;

/// Delay after which a client should repeat a request that was refused for lack of memory.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Serves a router on an address, with the account that all servers of a process share.
pub async fn serve(
    addr: SocketAddr,
    router: Router,
    clients: &Arc<ClientBoard>,
) -> Result<ServerHandle> {
    let acceptor = shards::bind_with_retry(addr, || TcpListener::new(addr).try_bind()).await?;
    let server = limited_server(acceptor, clients);
    let handle = server.handle();
    let service = Service::new(router).hoop(track_exchanges(clients));
    tokio::spawn(server.serve(service));
    Ok(handle)
}

/// Creates a server whose connections are accounted for. Its router needs the hoop of [`track_exchanges`].
pub fn limited_server<A>(acceptor: A, clients: &Arc<ClientBoard>) -> Server<ShortReads<A>>
where
    A: Acceptor + Send,
    A::Stream: AsyncRead + AsyncWrite,
{
    let mut server =
        Server::new(ShortReads(acceptor)).fuse_policy(ConnectionPolicy(Arc::clone(clients)));
    server.http1_mut().max_buf_size(MAX_READ_BUFFER_BYTES);
    server
}

/// Accepts connections while there is room.
struct ConnectionPolicy(Arc<ClientBoard>);

#[async_trait]
impl FusePolicy for ConnectionPolicy {
    async fn decide(&self, _info: &FuseInfo) -> FuseAction {
        if self.0.make_room().await {
            // The controller closes connections that take too long.
            FuseAction::Accept(FuseConfig::disabled())
        } else {
            FuseAction::Reject
        }
    }

    fn observe(&self, info: &FuseInfo, ctrl: &ConnCtrl) -> Option<ArcConnObserver> {
        let closer = ctrl.clone();
        let addrs = info
            .remote_addr
            .clone()
            .into_std()
            .zip(info.local_addr.clone().into_std());
        let opened =
            addrs.and_then(|(remote, local)| self.0.open(remote, local, move || closer.abort()));
        let Some(connection) = opened else {
            // Another port has taken the room.
            ctrl.abort();
            return None;
        };
        Some(Arc::new(HttpConnection {
            connection,
            ctrl: ctrl.clone(),
        }))
    }
}

/// Records what is read and written on a connection.
struct HttpConnection {
    connection: Arc<Connection>,
    ctrl: ConnCtrl,
}

impl ConnObserver for HttpConnection {
    fn on_read(&self, bytes: usize) {
        if let Some(reason) = self.connection.record_http_read(bytes) {
            self.connection.count(reason);
            self.ctrl.abort();
        }
    }

    fn on_write(&self, bytes: usize) {
        self.connection.record_http_written(bytes);
    }
}

/// Returns a handler that keeps the account of each request and comes before all others.
pub fn track_exchanges(clients: &Arc<ClientBoard>) -> impl Handler {
    ExchangeTracker(Arc::clone(clients))
}

struct ExchangeTracker(Arc<ClientBoard>);

#[async_trait]
impl Handler for ExchangeTracker {
    async fn handle(
        &self,
        req: &mut Request,
        depot: &mut Depot,
        res: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        let remote = req.remote_addr().clone().into_std();
        let local = req.local_addr().clone().into_std();
        let slot = remote
            .zip(local)
            .and_then(|(remote, local)| self.0.find(remote, local));
        let Some(slot) = slot else {
            // The connection is being closed.
            ctrl.call_next(req, depot, res).await;
            return;
        };
        let exchange = Exchange::begin(slot.clone());
        // A request whose body is not read is complete for its handler, and may run already.
        let reads_body = matches!(*req.method(), Method::POST | Method::PUT);
        if req.body().is_end_stream() || !reads_body {
            let _serving = exchange.received();
            ctrl.call_next(req, depot, res).await;
        } else {
            depot.insert_typed(exchange);
            ctrl.call_next(req, depot, res).await;
        }
        let length = match &res.body {
            ResBody::Once(body) if *req.method() != Method::HEAD => body.len(),
            _ => 0,
        };
        slot.clients.record_response(slot.index, length);
    }
}

/// Reads the body of a request of at most `limit` bytes. The account of the request is held until the returned value is dropped.
///
/// Memory is reserved as the body arrives, and chunks are copied into parts: a chunk of one byte would otherwise hold its share of
/// the read buffer and an entry in a list, about forty times its size.
pub async fn read_body(
    req: &mut Request,
    depot: &mut Depot,
    limit: usize,
) -> Result<(Vec<u8>, Option<Exchange<Serving>>)> {
    let mut parts = BodyParts::new(depot);
    let mut body = req.take_body();
    if body.size_hint().lower() > limit as u64 {
        return Err(invalid_body(&format!("it exceeds {limit} bytes")));
    }
    while let Some(frame) = body.next().await {
        let frame = frame.map_err(|e| invalid_body(&e))?;
        // Trailers are not part of the body.
        if let Ok(chunk) = frame.into_data() {
            parts.append(&chunk, limit)?;
        }
    }
    parts.join()
}

/// What has arrived of a body, which is accounted for.
#[derive(Debug)]
pub struct BodyParts {
    exchange: Option<Exchange<Receiving>>,
    buffers: Vec<Vec<u8>>,
    length: usize,
}

impl BodyParts {
    /// Begins to read the body of a request.
    pub fn new(depot: &mut Depot) -> Self {
        Self {
            exchange: depot.remove_typed::<Exchange<Receiving>>().ok(),
            buffers: Vec::new(),
            length: 0,
        }
    }

    /// Returns the number of bytes that have arrived.
    pub fn length(&self) -> usize {
        self.length
    }

    /// Adds a chunk to a body of at most `limit` bytes.
    pub fn append(&mut self, mut chunk: &[u8], limit: usize) -> Result<()> {
        if self.length + chunk.len() > limit {
            return Err(invalid_body(&format!("it exceeds {limit} bytes")));
        }
        while !chunk.is_empty() {
            let room = self
                .buffers
                .last()
                .map_or(0, |part| part.capacity() - part.len());
            if room == 0 {
                let capacity = decide::body_part(self.length, limit);
                self.reserve(capacity)?;
                self.buffers.push(Vec::with_capacity(capacity));
                continue;
            }
            let (now, later) = chunk.split_at(room.min(chunk.len()));
            if let Some(part) = self.buffers.last_mut() {
                part.extend_from_slice(now);
            }
            self.length += now.len();
            chunk = later;
        }
        Ok(())
    }

    /// Joins the parts of a complete body. The account of the request is held until the returned value is dropped.
    pub fn join(mut self) -> Result<(Vec<u8>, Option<Exchange<Serving>>)> {
        let body = if self.buffers.len() > 1 {
            self.reserve(self.length)?;
            let mut body = Vec::with_capacity(self.length);
            for part in std::mem::take(&mut self.buffers) {
                body.extend_from_slice(&part);
                if let Some(exchange) = &mut self.exchange {
                    exchange.give_back(part.capacity());
                }
            }
            body
        } else {
            self.buffers.pop().unwrap_or_default()
        };
        Ok((body, self.exchange.map(Exchange::received)))
    }

    /// Reserves memory; without an account, the connection is being closed.
    fn reserve(&mut self, bytes: usize) -> Result<()> {
        if self
            .exchange
            .as_mut()
            .is_none_or(|exchange| exchange.reserve(bytes))
        {
            return Ok(());
        }
        let message = "unfinished requests use up the memory for requests";
        let error = Error::not_run(ErrorKind::Overloaded, message);
        Err(error.retry_after(RETRY_DELAY).report())
    }
}

fn invalid_body(reason: &dyn std::fmt::Display) -> error_stack::Report<Error> {
    let message = format!("cannot read request body: {reason}");
    Error::not_run(ErrorKind::InvalidRequest, message).report()
}
