//! Parses and validates settings.

use std::net::SocketAddr;
use std::time::Duration;

use errors::Result;
use model::{CellId, Resources};

use crate::settings::{AgentSettings, Duty, EndpointSettings, EntrySettings, PeerKey};
use crate::settings::{MachineLimits, Settings, WorkerSettings};
use crate::validator::{Node, Validator};

/// The minimum key length; a shorter key could be guessed offline from one recorded datagram and its hash.
const MIN_PEER_KEY_LENGTH: usize = 32;

const DEFAULT_CONNECTIONS: u32 = 1024;

/// Entry VMs have few cores; more threads than cores only add context switches.
const DEFAULT_ENTRY_THREADS: u32 = 4;

/// An agent gets only a small share of the VM of its endpoint.
const DEFAULT_AGENT_THREADS: u32 = 2;

/// A fifth of it holds the largest body, of 64 MB, while it is copied.
const DEFAULT_ENTRY_MEMORY_MB: u32 = 1024;

/// The memory of an agent at the target size.
const DEFAULT_AGENT_MEMORY_MB: u32 = 128;

const LOG_LEVELS: &[&str] = &["off", "error", "warn", "info", "debug", "trace"];

fn parse_with<T>(file: &str, text: &str, parse: fn(&Node<'_>) -> T) -> Result<T> {
    let validator = Validator::new(file);
    let value = validator.parse(text)?;
    let settings = parse(&validator.root(&value));
    validator.finish()?;
    Ok(settings)
}

impl Settings for EntrySettings {
    fn parse(file_name: &str, text: &str) -> Result<Self> {
        parse_with(file_name, text, parse_entry)
    }
}

impl Settings for AgentSettings {
    fn parse(file_name: &str, text: &str) -> Result<Self> {
        parse_with(file_name, text, parse_agent)
    }
}

fn parse_entry(node: &Node<'_>) -> EntrySettings {
    node.reject_unknown_keys(&[
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
        "memory_mb",
        "descriptors",
    ]);
    let region = node.field("region").id();
    EntrySettings {
        id: node.field("id").id(),
        data_centre: node.field("data_centre").id(),
        cell: parse_cell(node, &region),
        region,
        http_listen: node.field("http_listen").socket_addr(),
        peer_listen: node.field("peer_listen").socket_addr(),
        store_url: node.field("store_url").http_url(),
        peer_key: parse_peer_key(&node.field("peer_key")),
        duties: parse_duties(node),
        log_level: parse_log_level(node),
        seeds: parse_seeds(node),
        drain_timeout: parse_drain_timeout(node),
        connections: node
            .field("connections")
            .if_present()
            .map_or(DEFAULT_CONNECTIONS, |f| f.u32(1..=65_536)),
        threads: parse_threads(node, DEFAULT_ENTRY_THREADS),
        machine: parse_machine(node, DEFAULT_ENTRY_MEMORY_MB),
    }
}

fn parse_agent(node: &Node<'_>) -> AgentSettings {
    node.reject_unknown_keys(&[
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
        "memory_mb",
        "descriptors",
    ]);
    let region = node.field("region").id();
    let rack = node.field("rack").id();
    AgentSettings {
        id: node.field("id").id(),
        data_centre: node.field("data_centre").id(),
        cell: parse_cell(node, &region),
        region,
        peer_listen: node.field("peer_listen").socket_addr(),
        metrics_listen: node
            .field("metrics_listen")
            .if_present()
            .map(|f| f.socket_addr()),
        store_url: node.field("store_url").http_url(),
        peer_key: parse_peer_key(&node.field("peer_key")),
        seeds: parse_seeds(node),
        log_level: parse_log_level(node),
        drain_timeout: parse_drain_timeout(node),
        endpoint: node
            .field("endpoint")
            .if_present()
            .map(|f| parse_endpoint(&f)),
        workers: parse_workers(node, &rack),
        threads: parse_threads(node, DEFAULT_AGENT_THREADS),
        machine: parse_machine(node, DEFAULT_AGENT_MEMORY_MB),
        rack,
    }
}

fn parse_machine(node: &Node<'_>, default_memory_mb: u32) -> MachineLimits {
    let memory_mb = node.field("memory_mb").if_present();
    let descriptors = node.field("descriptors").if_present();
    MachineLimits {
        memory_mb: memory_mb.map_or(default_memory_mb, |f| f.u32(32..=1_048_576)),
        descriptors: descriptors.map(|f| f.u32(256..=1_048_576)),
    }
}

fn parse_threads(node: &Node<'_>, default: u32) -> u32 {
    node.field("threads")
        .if_present()
        .map_or(default, |f| f.u32(1..=64))
}

fn parse_cell(node: &Node<'_>, region: &str) -> CellId {
    let cell = node.field("cell").if_present();
    cell.map_or_else(|| region.into(), |f| f.id())
}

fn parse_peer_key(node: &Node<'_>) -> PeerKey {
    let key = node.string();
    if !key.is_empty() && key.chars().count() < MIN_PEER_KEY_LENGTH {
        node.add_error(format_args!(
            "must have at least {MIN_PEER_KEY_LENGTH} characters"
        ));
    }
    PeerKey(key)
}

fn parse_duties(node: &Node<'_>) -> Vec<Duty> {
    let Some(list) = node.field("duties").if_present() else {
        return vec![Duty::Owner, Duty::Relay];
    };
    let items = list.items();
    let duty = |item: &Node<'_>| match item.one_of(&["owner", "relay"]) {
        "owner" => Duty::Owner,
        _ => Duty::Relay,
    };
    items.iter().map(duty).collect()
}

fn parse_log_level(node: &Node<'_>) -> Box<str> {
    let level = node.field("log_level").if_present();
    level.map_or("info", |f| f.one_of(LOG_LEVELS)).into()
}

fn parse_seeds(node: &Node<'_>) -> Vec<SocketAddr> {
    let seeds = node.field("seeds").if_present();
    seeds.map_or_else(Vec::new, |f| {
        f.items().iter().map(Node::socket_addr).collect()
    })
}

fn parse_drain_timeout(node: &Node<'_>) -> Option<Duration> {
    let field = node.field("drain_timeout_ms").if_present()?;
    Some(Duration::from_millis(field.u64(100..=604_800_000)))
}

fn parse_endpoint(node: &Node<'_>) -> EndpointSettings {
    node.reject_unknown_keys(&["id", "service", "url", "slots", "connections", "backlog"]);
    let slots = node.field("slots").u32(1..=1024);
    EndpointSettings {
        id: node.field("id").id(),
        service: node.field("service").id(),
        url: node.field("url").http_url(),
        slots,
        connections: node.field("connections").u32(1..=4096),
        backlog: node
            .field("backlog")
            .if_present()
            .map_or(slots, |f| f.u32(0..=65_536)),
    }
}

fn parse_workers(node: &Node<'_>, rack: &str) -> Vec<WorkerSettings> {
    let Some(list) = node.field("workers").if_present() else {
        return Vec::new();
    };
    let items = list.items();
    let workers: Vec<_> = items.iter().map(|item| parse_worker(item, rack)).collect();
    for (index, worker) in workers.iter().enumerate() {
        if workers[..index].iter().any(|other| other.id == worker.id) {
            items[index]
                .field("id")
                .add_error("must differ from the other workers");
        }
    }
    workers
}

fn parse_worker(node: &Node<'_>, rack: &str) -> WorkerSettings {
    node.reject_unknown_keys(&["id", "url", "rack", "accelerators", "cores", "memory_mb"]);
    let rack_field = node.field("rack").if_present();
    WorkerSettings {
        id: node.field("id").id(),
        url: node.field("url").http_url(),
        rack: rack_field.map_or_else(|| rack.into(), |f| f.id()),
        capacity: Resources {
            accelerators: node.field("accelerators").u32(0..=64),
            cores: node.field("cores").u32(1..=4096),
            memory_mb: node.field("memory_mb").u32(1..=67_108_864),
        },
    }
}
