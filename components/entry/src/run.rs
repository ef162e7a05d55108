//! Starting and ending the entry.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32};
use std::thread::JoinHandle;
use std::time::Duration;

use board::Board;
use config::{Duty, EntrySettings};
use discovery::Locator;
use errors::{Error, ErrorKind, Result};
use owner::{Owner, OwnerDependencies, OwnerSettings};
use salvo::conn::tcp::TcpAcceptor;
use salvo::fuse::FuseConfig;
use salvo::prelude::Server as HttpServer;
use store::{HttpStore, HttpStoreSettings, KvStore};
use timer::Timer;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use wire::{DatagramSocket, Key, Peers, Server};

use crate::context::{Context, EntryBoard};
use crate::metrics::Metrics;
use crate::{directory, drain, http, limits, ready, relay, serve};

/// How long the head of a request may take; it also bounds idle connections.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Fewer connections are not split over threads.
const MIN_CONNECTIONS_PER_THREAD: u32 = 64;
/// Time for the last responses to leave after the drain.
const FLUSH_LIMIT: Duration = Duration::from_secs(2);
/// The same after requests were cut off; the process ends 1 s after the second signal.
const CUT_FLUSH_LIMIT: Duration = Duration::from_millis(300);

/// Runs an entry until `shutdown` is cancelled and its requests have ended; returns whether all requests ended.
///
/// Once `cut` is cancelled, each request in progress ends at once with a verdict.
pub async fn run(
    settings: EntrySettings,
    shutdown: CancellationToken,
    cut: CancellationToken,
) -> Result<bool> {
    let key = Key::from_secret(settings.peer_key.as_str());
    let peer_addr = settings.peer_listen;
    let listener = TcpListener::bind(peer_addr)
        .await
        .map_err(|e| cannot_listen("peer_listen", &e))?;
    let datagrams = DatagramSocket::bind(peer_addr, key.clone(), &settings.id)
        .await
        .map_err(|e| cannot_listen("peer_listen", &e))?;
    let (config_updates, config_rx) = distribution::updates();
    let cx = Arc::new(context(
        settings,
        key.clone(),
        datagrams,
        config_updates,
        cut,
    )?);

    tokio::spawn(distribution::run_staged(
        config_rx,
        Arc::clone(&cx),
        relay::stages(),
    ));
    tokio::spawn(relay::run(Arc::clone(&cx)));
    tokio::spawn(limits::run(Arc::clone(&cx)));
    tokio::spawn(serve::receive(Arc::clone(&cx)));
    tokio::spawn(directory::run(Arc::clone(&cx)));
    let stop = CancellationToken::new();
    let handler_cx = Arc::clone(&cx);
    let server = Server::new(listener, key).serve(
        move |call_cx, call| serve::answer(Arc::clone(&handler_cx), call_cx, call),
        stop.clone(),
    );
    tokio::spawn(server);
    let early_end = shutdown
        .clone()
        .run_until_cancelled_owned(ready::recover_config(&cx))
        .await;
    if early_end.is_none() {
        return Ok(true);
    }

    let http_stop = CancellationToken::new();
    let threads = serve_on_shards(&cx, &http_stop)?;
    log::info!(
        target: "limpethook",
        entry:% = cx.settings.id, http:% = cx.settings.http_listen, peers:% = peer_addr,
        config_revision = cx.board.config.load().revision;
        "entry_started"
    );

    shutdown.cancelled().await;
    let ended = drain::drain_or_cut(&cx).await;
    http_stop.cancel();
    // Joining blocks, which a thread of the shared runtime must not do while it drives others.
    let _ = tokio::task::spawn_blocking(move || join_all(threads)).await;
    stop.cancel();
    Ok(ended)
}

/// Serves callers on several threads until `stop` is cancelled.
fn serve_on_shards(cx: &Arc<Context>, stop: &CancellationToken) -> Result<Vec<JoinHandle<()>>> {
    let (cx, stop) = (Arc::clone(cx), stop.clone());
    let (threads, connections) = share(cx.settings.threads, cx.settings.connections);
    shards::spawn(threads, "entry", move |_| {
        serve_shard(Arc::clone(&cx), connections, stop.clone())
    })
}

/// Returns the number of threads and the connections of each.
///
/// The system spreads connections over the threads at random, so a small limit is not split.
fn share(threads: u32, connections: u32) -> (usize, usize) {
    let threads = threads.min(connections / MIN_CONNECTIONS_PER_THREAD).max(1);
    (threads as usize, connections.div_ceil(threads) as usize)
}

async fn serve_shard(cx: Arc<Context>, connections: usize, stop: CancellationToken) {
    let acceptor = match shards::listen(cx.settings.http_listen).map(TcpAcceptor::try_from) {
        Ok(Ok(acceptor)) => acceptor,
        Ok(Err(e)) => return not_started(&e),
        Err(report) => return not_started(report.current_context()),
    };
    let mut fuse = FuseConfig::default();
    fuse.http1_header_timeout = Some(HEADER_TIMEOUT);
    let http = HttpServer::new(acceptor)
        .fuse_config(fuse)
        .max_connections(connections);
    let handle = http.handle();
    let service = http::service(&cx);
    tokio::spawn(async move {
        stop.cancelled().await;
        let limit = if cx.cut.is_cancelled() {
            CUT_FLUSH_LIMIT
        } else {
            FLUSH_LIMIT
        };
        handle.stop_graceful(limit);
    });
    http.serve(service).await;
}

fn not_started(error: &dyn std::fmt::Display) {
    log::error!(target: "limpethook", error:% = error; "shard_not_started");
}

fn join_all(threads: Vec<JoinHandle<()>>) {
    for thread in threads {
        let _ = thread.join();
    }
}

fn context(
    settings: EntrySettings,
    key: Key,
    datagrams: DatagramSocket,
    config_updates: distribution::Updates,
    cut: CancellationToken,
) -> Result<Context> {
    let store = Arc::new(HttpStore::new(&HttpStoreSettings::new(
        settings.store_url.clone(),
    ))?);
    let kv: Arc<dyn KvStore> = Arc::clone(&store) as Arc<dyn KvStore>;
    let peers = Peers::new(key);
    let timer = Timer::start();
    let board = Board::default();
    let datagrams = Arc::new(datagrams);
    let owner = settings.duties.contains(&Duty::Owner).then(|| {
        let dependencies = OwnerDependencies {
            board: Arc::new(Board {
                config: Arc::clone(&board.config),
                ..Board::default()
            }),
            store: Arc::clone(&kv),
            peers: peers.clone(),
            datagrams: Arc::clone(&datagrams),
            timer: timer.clone(),
        };
        Owner::start(owner_settings(&settings), dependencies)
    });
    let metrics = Metrics::new()
        .map_err(|e| Error::not_run(ErrorKind::Internal, format!("metrics: {e}")).report())?;
    Ok(Context {
        board,
        entry_board: EntryBoard::default(),
        timer,
        locator: Locator::new(kv, peers.clone(), &settings.seeds),
        peers,
        datagrams,
        store,
        owner,
        config_updates,
        followers: distribution::Followers::default(),
        relaying: AtomicBool::new(false),
        recovered: AtomicBool::new(false),
        drain: CancellationToken::new(),
        cut,
        in_flight: AtomicU32::new(0),
        metrics,
        settings,
    })
}

fn owner_settings(settings: &EntrySettings) -> OwnerSettings {
    OwnerSettings {
        id: settings.id.clone(),
        cell: settings.cell.clone(),
        region: settings.region.clone(),
        addr: settings.peer_listen,
    }
}

fn cannot_listen(key: &str, e: &dyn std::fmt::Display) -> error_stack::Report<Error> {
    Error::not_run(
        ErrorKind::Unavailable,
        format!("key {key}: cannot listen: {e}"),
    )
    .report()
}
