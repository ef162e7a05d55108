//! Reads settings from JSON text.

use std::net::SocketAddr;
use std::time::Duration;

use errors::Result;
use model::{CellId, Resources};

use crate::checker::{Faults, Node};
use crate::settings::{AgentSettings, Duty, EndpointSettings, EntrySettings, PeerKey};
use crate::settings::{Settings, WorkerSettings};

/// A shorter key could be guessed from one recorded datagram and its hash.
const MIN_PEER_KEY_LENGTH: usize = 32;

const DEFAULT_CONNECTIONS: u32 = 1024;

/// Entry VMs are thin; more threads than cores only add switches between them.
const DEFAULT_ENTRY_THREADS: u32 = 4;

/// An agent has a small part of the VM of its endpoint.
const DEFAULT_AGENT_THREADS: u32 = 2;

const LOG_LEVELS: &[&str] = &["off", "error", "warn", "info", "debug", "trace"];

fn parse_with<T>(file: &str, text: &str, read: fn(&Node<'_>) -> T) -> Result<T> {
    let faults = Faults::new(file);
    let value = faults.parse(text)?;
    let settings = read(&faults.root(&value));
    faults.finish()?;
    Ok(settings)
}

impl Settings for EntrySettings {
    fn parse(file_name: &str, text: &str) -> Result<Self> {
        parse_with(file_name, text, read_entry)
    }
}

impl Settings for AgentSettings {
    fn parse(file_name: &str, text: &str) -> Result<Self> {
        parse_with(file_name, text, read_agent)
    }
}

fn read_entry(node: &Node<'_>) -> EntrySettings {
    node.known(&[
        "id",
        "region",
        "data_centre",
        "cell",
        "http_listen",
        "peer_listen",
        "store_url",
        "peer_key",
        "duties",
        "log_level",
        "seeds",
        "drain_timeout_ms",
        "connections",
        "threads",
    ]);
    let region = node.field("region").id();
    EntrySettings {
        id: node.field("id").id(),
        data_centre: node.field("data_centre").id(),
        cell: read_cell(node, &region),
        region,
        http_listen: node.field("http_listen").addr(),
        peer_listen: node.field("peer_listen").addr(),
        store_url: node.field("store_url").url(),
        peer_key: read_peer_key(&node.field("peer_key")),
        duties: read_duties(node),
        log_level: read_log_level(node),
        seeds: read_seeds(node),
        drain_timeout: read_drain_timeout(node),
        connections: node
            .field("connections")
            .given()
            .map_or(DEFAULT_CONNECTIONS, |f| f.small(1..=65_536)),
        threads: read_threads(node, DEFAULT_ENTRY_THREADS),
    }
}

fn read_agent(node: &Node<'_>) -> AgentSettings {
    node.known(&[
        "id",
        "region",
        "data_centre",
        "rack",
        "cell",
        "peer_listen",
        "metrics_listen",
        "store_url",
        "peer_key",
        "seeds",
        "log_level",
        "drain_timeout_ms",
        "endpoint",
        "workers",
        "threads",
    ]);
    let region = node.field("region").id();
    let rack = node.field("rack").id();
    AgentSettings {
        id: node.field("id").id(),
        data_centre: node.field("data_centre").id(),
        cell: read_cell(node, &region),
        region,
        peer_listen: node.field("peer_listen").addr(),
        metrics_listen: node.field("metrics_listen").given().map(|f| f.addr()),
        store_url: node.field("store_url").url(),
        peer_key: read_peer_key(&node.field("peer_key")),
        seeds: read_seeds(node),
        log_level: read_log_level(node),
        drain_timeout: read_drain_timeout(node),
        endpoint: node.field("endpoint").given().map(|f| read_endpoint(&f)),
        workers: read_workers(node, &rack),
        threads: read_threads(node, DEFAULT_AGENT_THREADS),
        rack,
    }
}

fn read_threads(node: &Node<'_>, default: u32) -> u32 {
    node.field("threads")
        .given()
        .map_or(default, |f| f.small(1..=64))
}

fn read_cell(node: &Node<'_>, region: &str) -> CellId {
    let cell = node.field("cell").given();
    cell.map_or_else(|| region.into(), |f| f.id())
}

fn read_peer_key(node: &Node<'_>) -> PeerKey {
    let key = node.text();
    if !key.is_empty() && key.chars().count() < MIN_PEER_KEY_LENGTH {
        node.fault(format_args!(
            "must have at least {MIN_PEER_KEY_LENGTH} characters"
        ));
    }
    PeerKey(key)
}

fn read_duties(node: &Node<'_>) -> Vec<Duty> {
    let Some(list) = node.field("duties").given() else {
        return vec![Duty::Owner, Duty::Relay];
    };
    let items = list.items();
    let duty = |item: &Node<'_>| match item.choice(&["owner", "relay"]) {
        "owner" => Duty::Owner,
        _ => Duty::Relay,
    };
    items.iter().map(duty).collect()
}

fn read_log_level(node: &Node<'_>) -> Box<str> {
    let level = node.field("log_level").given();
    level.map_or("info", |f| f.choice(LOG_LEVELS)).into()
}

fn read_seeds(node: &Node<'_>) -> Vec<SocketAddr> {
    let seeds = node.field("seeds").given();
    seeds.map_or_else(Vec::new, |f| f.items().iter().map(Node::addr).collect())
}

fn read_drain_timeout(node: &Node<'_>) -> Option<Duration> {
    let field = node.field("drain_timeout_ms").given()?;
    Some(Duration::from_millis(field.integer(100..=604_800_000)))
}

fn read_endpoint(node: &Node<'_>) -> EndpointSettings {
    node.known(&["id", "service", "url", "slots", "connections", "backlog"]);
    let slots = node.field("slots").small(1..=1024);
    EndpointSettings {
        id: node.field("id").id(),
        service: node.field("service").id(),
        url: node.field("url").url(),
        slots,
        connections: node.field("connections").small(1..=4096),
        backlog: node
            .field("backlog")
            .given()
            .map_or(slots, |f| f.small(0..=65_536)),
    }
}

fn read_workers(node: &Node<'_>, rack: &str) -> Vec<WorkerSettings> {
    let Some(list) = node.field("workers").given() else {
        return Vec::new();
    };
    let items = list.items();
    let workers: Vec<_> = items.iter().map(|item| read_worker(item, rack)).collect();
    for (index, worker) in workers.iter().enumerate() {
        if workers[..index].iter().any(|other| other.id == worker.id) {
            items[index]
                .field("id")
                .fault("must differ from the other workers");
        }
    }
    workers
}

fn read_worker(node: &Node<'_>, rack: &str) -> WorkerSettings {
    node.known(&["id", "url", "rack", "accelerators", "cores", "memory_mb"]);
    let given = node.field("rack").given();
    WorkerSettings {
        id: node.field("id").id(),
        url: node.field("url").url(),
        rack: given.map_or_else(|| rack.into(), |f| f.id()),
        capacity: Resources {
            accelerators: node.field("accelerators").small(0..=64),
            cores: node.field("cores").small(1..=4096),
            memory_mb: node.field("memory_mb").small(1..=67_108_864),
        },
    }
}
