//! Startup and shutdown of the entry.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32};
use std::thread::JoinHandle;
use std::time::Duration;

use board::Board;
use config::{Duty, EntrySettings};
use discovery::Locator;
use errors::{Error, ErrorKind, Result};
use ingress::ClientBoard;
use ingress::decide::{Capacity, RequestLimits};
use owner::{Owner, OwnerDependencies, OwnerSettings};
use salvo::conn::tcp::TcpAcceptor;
use store::{HttpStore, HttpStoreSettings, KvStore};
use timer::Timer;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use wire::{DatagramSocket, Key, Peers, Server};

use crate::context::{Context, EntryBoard};
use crate::metrics::Metrics;
use crate::{directory, drain, http, limits, recovery, relay, serve};

/// Limits of a single request. The time for a body is that of the largest one at the minimum rate, which the handler checks.
const REQUEST_LIMITS: RequestLimits = RequestLimits {
    head_bytes: 32 * 1024,
    head_timeout: Duration::from_secs(9),
    idle_timeout: Duration::from_secs(30),
    body_timeout: Duration::from_mins(20),
};
/// Minimum number of connections for each thread; fewer are served by fewer threads.
const MIN_CONNECTIONS_PER_THREAD: u32 = 64;
/// Time to send the last responses after the drain.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);
/// Time to send the last responses after an abort; the process exits 1 s after the second signal.
const ABORT_FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Runs an entry until `shutdown` is cancelled and it has drained; returns whether all requests completed.
///
/// When `abort` is cancelled, requests in progress fail immediately with a verdict.
pub async fn run(
    settings: EntrySettings,
    shutdown: CancellationToken,
    abort: CancellationToken,
) -> Result<bool> {
    let key = Key::from_secret(settings.peer_key.as_str());
    let peer_addr = settings.peer_listen;
    let listener = TcpListener::bind(peer_addr)
        .await
        .map_err(|e| cannot_listen("peer_listen", &e))?;
    let datagrams = DatagramSocket::bind(peer_addr, key.clone(), &settings.id)
        .await
        .map_err(|e| cannot_listen("peer_listen", &e))?;
    let (config_updates, config_rx) = distribution::update_channel();
    let (callers, peers) = capacities(&settings);
    let cx = Arc::new(build_context(
        settings,
        ClientBoard::new(callers),
        key.clone(),
        datagrams,
        config_updates,
        abort,
    )?);

    tokio::spawn(distribution::run_staged_controller(
        config_rx,
        Arc::clone(&cx),
        relay::stages(),
    ));
    tokio::spawn(relay::run(Arc::clone(&cx)));
    tokio::spawn(limits::run(Arc::clone(&cx)));
    tokio::spawn(serve::receive_datagrams(Arc::clone(&cx)));
    tokio::spawn(directory::run(Arc::clone(&cx)));
    let stop = CancellationToken::new();
    let handler_cx = Arc::clone(&cx);
    let peers = ClientBoard::new(peers);
    for clients in [&cx.clients, &peers] {
        ingress::spawn_controller(clients, &cx.timer, || REQUEST_LIMITS);
    }
    let server = Server::new(listener, key).account(peers).serve(
        move |call_cx, call| serve::serve_call(Arc::clone(&handler_cx), call_cx, call),
        stop.clone(),
    );
    tokio::spawn(server);
    let recovered = shutdown
        .clone()
        .run_until_cancelled_owned(recovery::recover_config(&cx))
        .await;
    if recovered.is_none() {
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
    let ended = drain::drain_or_abort(&cx).await;
    http_stop.cancel();
    // Joining blocks, which a thread of the shared runtime must not do because it also drives other tasks.
    let _ = tokio::task::spawn_blocking(move || join_threads(threads)).await;
    stop.cancel();
    Ok(ended)
}

/// Serves HTTP on several threads until `stop` is cancelled.
fn serve_on_shards(cx: &Arc<Context>, stop: &CancellationToken) -> Result<Vec<JoinHandle<()>>> {
    let (cx, stop) = (Arc::clone(cx), stop.clone());
    let threads = cx
        .settings
        .threads
        .min(cx.settings.connections / MIN_CONNECTIONS_PER_THREAD);
    shards::spawn(threads.max(1) as usize, "entry", move |_| {
        serve_shard(Arc::clone(&cx), stop.clone())
    })
}

/// Returns what callers and what connections between processes may use.
fn capacities(settings: &EntrySettings) -> (Capacity, Capacity) {
    let machine = &settings.machine;
    Capacity::of_native_entry(
        machine.memory_bytes(),
        ingress::descriptors(machine.descriptors),
        settings.connections as usize,
    )
}

async fn serve_shard(cx: Arc<Context>, stop: CancellationToken) {
    let acceptor = match shards::listen(cx.settings.http_listen).map(TcpAcceptor::try_from) {
        Ok(Ok(acceptor)) => acceptor,
        Ok(Err(e)) => return log_shard_not_started(&e),
        Err(report) => return log_shard_not_started(report.current_context()),
    };
    let http = ingress::limited_server(acceptor, &cx.clients);
    let handle = http.handle();
    let service = http::service(&cx);
    tokio::spawn(async move {
        stop.cancelled().await;
        let limit = if cx.abort.is_cancelled() {
            ABORT_FLUSH_TIMEOUT
        } else {
            FLUSH_TIMEOUT
        };
        handle.stop_graceful(limit);
    });
    http.serve(service).await;
}

fn log_shard_not_started(error: &dyn std::fmt::Display) {
    log::error!(target: "limpethook", error:% = error; "shard_not_started");
}

fn join_threads(threads: Vec<JoinHandle<()>>) {
    for thread in threads {
        let _ = thread.join();
    }
}

fn build_context(
    settings: EntrySettings,
    clients: Arc<ClientBoard>,
    key: Key,
    datagrams: DatagramSocket,
    config_updates: distribution::UpdateSender,
    abort: CancellationToken,
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
        is_relay: AtomicBool::new(false),
        config_recovered: AtomicBool::new(false),
        drain: CancellationToken::new(),
        abort,
        in_flight: AtomicU32::new(0),
        metrics,
        clients,
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
