//! An HTTP server with one handler for all paths.

use std::net::SocketAddr;

use error_stack::Report;
use errors::{Error, ErrorKind, Result};
use salvo::conn::{Acceptor, Listener, TcpListener};
use salvo::server::ServerHandle;
use salvo::{Handler, Router};

/// A running server, which is stopped when it is dropped.
pub struct Server {
    addr: SocketAddr,
    handle: ServerHandle,
}

impl Server {
    /// Returns the bound address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the base URL.
    pub fn base_url(&self) -> Box<str> {
        format!("http://{}", self.addr).into()
    }

    /// Closes the listener and all connections.
    pub fn stop(&self) {
        self.handle.stop_forceful();
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Binds an address and serves all paths with one handler.
///
/// At most `connections` connections are accepted at the same time; `None` means no limit.
pub(crate) async fn serve(
    listen: SocketAddr,
    connections: Option<usize>,
    handler: impl Handler,
) -> Result<Server> {
    let acceptor = TcpListener::new(listen)
        .try_bind()
        .await
        .map_err(|e| bind_error(listen, &e.to_string()))?;
    let addr = acceptor.holdings()[0]
        .local_addr
        .clone()
        .into_std()
        .ok_or_else(|| bind_error(listen, "no IP address"))?;
    let mut server = salvo::Server::new(acceptor).disable_fuse();
    if let Some(connections) = connections {
        server = server.max_connections(connections);
    }
    let handle = server.handle();
    let router = Router::new().push(Router::with_path("{**path}").goal(handler));
    tokio::spawn(server.serve(router));
    Ok(Server { addr, handle })
}

fn bind_error(listen: SocketAddr, cause: &str) -> Report<Error> {
    let message = format!("cannot listen on {listen}: {cause}");
    Error::not_run(ErrorKind::Unavailable, message).report()
}
