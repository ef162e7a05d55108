//! Shards: threads that handle requests, each with its own single-threaded runtime.
//!
//! A request stays on the thread that accepted its connection, so handling it does not wake other threads. Shards share
//! only the board and its atomics. In `path_bench`, a single work-stealing runtime needed twice the processor time per
//! request.

use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::Duration;

use errors::{Error, ErrorKind, Result};
use tokio::net::{TcpListener, TcpSocket};

/// The shard number of threads that do not belong to a shard.
pub const NO_SHARD: usize = 0;

/// Maximum number of connections that wait to be accepted by one shard.
const LISTEN_BACKLOG: u32 = 1024;

thread_local! {
    static CURRENT: Cell<usize> = const { Cell::new(NO_SHARD) };
}

/// Returns the shard number of the current thread. Tasks of one shard share connections.
pub fn current() -> usize {
    CURRENT.get()
}

/// Spawns `count` shards, each of which runs the future that `start` returns for its number, starting at 1.
pub fn spawn<F>(
    count: usize,
    name: &str,
    start: impl Fn(usize) -> F + Clone + Send + 'static,
) -> Result<Vec<JoinHandle<()>>>
where
    F: Future<Output = ()>,
{
    let mut threads = Vec::with_capacity(count);
    for shard in 1..=count {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|e| spawn_error(&e))?;
        let start = start.clone();
        let run = move || {
            CURRENT.set(shard);
            runtime.block_on(start(shard));
        };
        let thread = std::thread::Builder::new()
            .name(format!("{name}-{shard}"))
            .spawn(run);
        threads.push(thread.map_err(|e| spawn_error(&e))?);
    }
    Ok(threads)
}

/// Binds a listener to an address on which several shards listen; the kernel distributes connections among them.
pub fn listen(addr: SocketAddr) -> Result<TcpListener> {
    let bind = || {
        let socket = if addr.is_ipv4() {
            TcpSocket::new_v4()?
        } else {
            TcpSocket::new_v6()?
        };
        socket.set_reuseaddr(true)?;
        socket.set_reuseport(true)?;
        socket.bind(addr)?;
        socket.listen(LISTEN_BACKLOG)
    };
    bind().map_err(|e: std::io::Error| {
        Error::not_run(
            ErrorKind::Unavailable,
            format!("cannot listen on {addr}: {e}"),
        )
        .report()
    })
}

/// Delay before another attempt to bind an address that a previous process may still be releasing.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of retries to bind an address.
const MAX_BIND_RETRIES: u32 = 20;

/// Binds an address with `bind` and retries on failure, because a previous process may still be releasing the address.
pub async fn bind_with_retry<T, E, F>(addr: SocketAddr, bind: impl Fn() -> F) -> Result<T>
where
    E: std::fmt::Display,
    F: Future<Output = std::result::Result<T, E>>,
{
    let mut retries = 0;
    loop {
        match bind().await {
            Ok(bound) => return Ok(bound),
            Err(_) if retries < MAX_BIND_RETRIES => {
                retries += 1;
                tokio::time::sleep(BIND_RETRY_DELAY).await;
            }
            Err(e) => {
                let message = format!("cannot listen on {addr}: {e}");
                return Err(Error::not_run(ErrorKind::Unavailable, message).report());
            }
        }
    }
}

fn spawn_error(e: &std::io::Error) -> error_stack::Report<Error> {
    Error::not_run(ErrorKind::Internal, format!("cannot start a thread: {e}")).report()
}
