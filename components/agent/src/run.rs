//! Starts the agent and shuts it down.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::thread::JoinHandle;
use std::time::Duration;

use config::AgentSettings;
use discovery::Locator;
use errors::{Error, ErrorKind, Result};
use indexmap::IndexMap;
use ingress::ClientBoard;
use ingress::decide::{Capacity, RequestLimits};
use model::WorkerId;
use store::{HttpStore, HttpStoreSettings, KvStore};
use timer::Timer;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use wire::{DatagramSocket, Key, Peers, Server};
use workers::{HttpWorkers, HttpWorkersSettings, WorkerPlatform};

use crate::context::{AgentBoard, Context};
use crate::endpoint::EndpointClient;
use crate::metrics::Metrics;
use crate::slots::Slots;
use crate::{cancellation, detached, drain, gangs, owner_link, requests, serve};

/// Capacity of the queue of heartbeat acknowledgements for the owner link.
const ACK_QUEUE: usize = 16;
/// Time for the last replies to be sent after the drain.
const FLUSH_DELAY: Duration = Duration::from_millis(100);

/// Runs an agent until `shutdown` is cancelled and the drain is over; returns whether all work ended.
///
/// When `abort` is cancelled, each request in progress ends immediately with a verdict.
pub async fn run(
    settings: AgentSettings,
    shutdown: CancellationToken,
    abort: CancellationToken,
) -> Result<bool> {
    let key = Key::from_secret(settings.peer_key.as_str());
    let (gangs_tx, gangs_rx) = mpsc::unbounded_channel();
    let (requests_tx, requests_rx) = mpsc::unbounded_channel();
    let (detached_tx, detached_rx) = mpsc::unbounded_channel();
    let (config_updates, config_rx) = distribution::update_channel();
    let datagrams = DatagramSocket::bind(settings.peer_listen, key.clone(), &settings.id)
        .await
        .map_err(|e| listen_error(&settings, &e))?;
    let incarnation = datagrams.incarnation();
    let cx = Arc::new(build_context(
        settings,
        key.clone(),
        datagrams,
        ControllerSenders {
            gangs_tx,
            requests_tx,
            detached_tx,
            config_updates,
        },
        abort,
    )?);

    tokio::spawn(gangs::run(gangs_rx, Arc::clone(&cx)));
    tokio::spawn(requests::run(requests_rx, incarnation));
    tokio::spawn(detached::run(detached_rx, Arc::clone(&cx)));
    tokio::spawn(distribution::run_controller(
        config_rx,
        Arc::clone(&cx),
        |cx| &cx.board.config,
    ));
    let (ack_tx, ack_rx) = mpsc::channel(ACK_QUEUE);
    tokio::spawn(serve::receive_datagrams(Arc::clone(&cx), ack_tx));
    tokio::spawn(owner_link::run(Arc::clone(&cx), ack_rx));
    let machine = cx.settings.machine;
    let descriptors = ingress::descriptors(machine.descriptors);
    let clients = ClientBoard::new(Capacity::of_machine(machine.memory_bytes(), descriptors));
    ingress::spawn_controller(&clients, &cx.timer, RequestLimits::default);
    if let Some(addr) = cx.settings.metrics_listen {
        tokio::spawn(serve_metrics(addr, Arc::clone(&cx), Arc::clone(&clients)));
    }
    let stop_serving = CancellationToken::new();
    let threads = serve_on_shards(&cx, &key, &clients, &stop_serving)?;
    log::info!(
        target: "limpethook",
        agent:% = cx.settings.id, addr:% = cx.addr(), workers = cx.settings.workers.len(),
        slots = cx.slots.total(), incarnation = incarnation;
        "agent_started"
    );

    shutdown.cancelled().await;
    let all_ended = drain::drain_or_abort(&cx).await;
    cx.timer.subscribe_after(FLUSH_DELAY).recv().await;
    stop_serving.cancel();
    // Joining blocks the thread, which is not allowed on a thread of the shared runtime.
    let joined =
        tokio::task::spawn_blocking(move || threads.into_iter().for_each(|t| drop(t.join())));
    let _ = joined.await;
    Ok(all_ended)
}

/// Serves the metrics. An agent without them still serves calls.
async fn serve_metrics(addr: SocketAddr, cx: Arc<Context>, clients: Arc<ClientBoard>) {
    let counted = Arc::clone(&clients);
    let router = telemetry::metrics_router(move || cx.metrics.text(&cx) + &counted.metrics_text());
    if let Err(report) = ingress::serve(addr, router, &clients).await {
        log::error!(target: "limpethook", addr:% = addr, error:% = report.current_context(); "metrics_not_served");
    }
}

/// Serves calls on one thread per shard until `stop_serving` is cancelled.
fn serve_on_shards(
    cx: &Arc<Context>,
    key: &Key,
    clients: &Arc<ClientBoard>,
    stop_serving: &CancellationToken,
) -> Result<Vec<JoinHandle<()>>> {
    let (cx, key, stop_serving) = (Arc::clone(cx), key.clone(), stop_serving.clone());
    let clients = Arc::clone(clients);
    shards::spawn(cx.settings.threads as usize, "agent", move |_| {
        let clients = Arc::clone(&clients);
        serve_shard(Arc::clone(&cx), key.clone(), clients, stop_serving.clone())
    })
}

async fn serve_shard(
    cx: Arc<Context>,
    key: Key,
    clients: Arc<ClientBoard>,
    stop_serving: CancellationToken,
) {
    match shards::listen(cx.addr()) {
        Ok(listener) => {
            tokio::spawn(cancellation::receive_cancellations(
                cx.cancels_tx.subscribe(),
            ));
            let handler = move |call_cx, call| serve::handle_call(Arc::clone(&cx), call_cx, call);
            Server::new(listener, key)
                .account(clients)
                .serve(handler, stop_serving)
                .await;
        }
        Err(report) => {
            log::error!(target: "limpethook", error:% = report.current_context(); "shard_not_started");
        }
    }
}

/// The event channels of the controllers.
struct ControllerSenders {
    gangs_tx: mpsc::UnboundedSender<gangs::GangEvent>,
    requests_tx: mpsc::UnboundedSender<requests::RequestEvent>,
    detached_tx: mpsc::UnboundedSender<detached::DetachedEvent>,
    config_updates: distribution::UpdateSender,
}

fn build_context(
    settings: AgentSettings,
    key: Key,
    datagrams: DatagramSocket,
    senders: ControllerSenders,
    abort: CancellationToken,
) -> Result<Context> {
    let store = Arc::new(HttpStore::new(&HttpStoreSettings::new(
        settings.store_url.clone(),
    ))?);
    let peers = Peers::new(key);
    let locator = Locator::new(
        Arc::clone(&store) as Arc<dyn KvStore>,
        peers.clone(),
        &settings.seeds,
    );
    let platforms = worker_platforms(&settings)?;
    let endpoint = settings
        .endpoint
        .as_ref()
        .map(|endpoint| EndpointClient::new(endpoint, settings.threads))
        .transpose()?;
    let (slots, backlog) = settings
        .endpoint
        .as_ref()
        .map_or((0, 0), |e| (e.slots, e.backlog));
    let metrics = Metrics::new().map_err(|e| {
        Error::not_run(
            ErrorKind::Internal,
            format!("cannot register the metrics: {e}"),
        )
        .report()
    })?;
    Ok(Context {
        settings,
        board: AgentBoard::default(),
        timer: Timer::start(),
        peers,
        datagrams,
        store,
        locator,
        platforms,
        endpoint,
        slots: Slots::new(slots, backlog),
        gangs_tx: senders.gangs_tx,
        requests_tx: senders.requests_tx,
        detached_tx: senders.detached_tx,
        unread_outcomes: AtomicUsize::new(0),
        cancels_tx: cancellation::channel(),
        config_updates: senders.config_updates,
        drain: CancellationToken::new(),
        abort,
        metrics,
    })
}

/// Creates the platform client for each worker; workers with the same URL share a client.
fn worker_platforms(
    settings: &AgentSettings,
) -> Result<IndexMap<WorkerId, Arc<dyn WorkerPlatform>>> {
    let mut clients: IndexMap<&str, Arc<dyn WorkerPlatform>> = IndexMap::new();
    let mut platforms = IndexMap::new();
    for worker in &settings.workers {
        let client = match clients.get(&*worker.url) {
            Some(client) => Arc::clone(client),
            None => Arc::new(HttpWorkers::new(&HttpWorkersSettings::new(
                worker.url.clone(),
            ))?),
        };
        clients.insert(&worker.url, Arc::clone(&client));
        platforms.insert(worker.id.clone(), client);
    }
    Ok(platforms)
}

fn listen_error(settings: &AgentSettings, e: &std::io::Error) -> error_stack::Report<Error> {
    let message = format!(
        "key peer_listen: cannot listen on {}: {e}",
        settings.peer_listen
    );
    Error::not_run(ErrorKind::Unavailable, message).report()
}
