//! Settings files for a deployment on free ports.

use std::net::SocketAddr;
use std::path::Path;

use model::{Document, Resources};
use serde_json::{Value, json};

use crate::Result;
use crate::ports::free_addr;

const PEER_KEY: &str = "a-secret-of-the-harness-with-enough-characters";

/// An agent to start.
#[derive(Debug, Clone)]
pub struct AgentPlan {
    /// Its region.
    pub region: Box<str>,
    /// Its data centre.
    pub data_centre: Box<str>,
    /// Its rack.
    pub rack: Box<str>,
    /// The service of its endpoint; none for an agent without an endpoint.
    pub service: Option<Box<str>>,
    /// Slots of the endpoint.
    pub slots: u32,
    /// Its workers.
    pub workers: Vec<WorkerPlan>,
}

/// A worker to play.
#[derive(Debug, Clone)]
pub struct WorkerPlan {
    /// Its id.
    pub id: Box<str>,
    /// Its resources.
    pub capacity: Resources,
}

/// A deployment to start.
#[derive(Debug, Clone, Default)]
pub struct Plan {
    /// The region of each entry.
    pub entries: Vec<Box<str>>,
    /// The agents.
    pub agents: Vec<AgentPlan>,
    /// The configuration document.
    pub document: Document,
    /// The log level of all processes.
    pub log_level: Box<str>,
}

impl Plan {
    /// Writes `settings/*.json` and `configuration.json` into a folder.
    pub fn write(&self, dir: &Path) -> Result<()> {
        let settings = dir.join("settings");
        std::fs::create_dir_all(&settings)?;
        let store = free_addr()?;
        let workers = free_addr()?;
        let entries = self
            .entries
            .iter()
            .map(|_| free_addr())
            .collect::<Result<Vec<_>>>()?;
        let mut endpoints = serde_json::Map::new();
        for (number, agent) in self.agents.iter().enumerate() {
            let endpoint = free_addr()?;
            if agent.service.is_some() {
                let played = json!({"listen": endpoint, "slots": agent.slots, "connections": agent.slots.max(8) * 8});
                endpoints.insert(format!("endpoint-{number}"), played);
            }
            let value = agent_settings(self, number, agent, store, workers, endpoint, &entries)?;
            write(&settings.join(format!("agent-{number}.json")), &value)?;
        }
        for (number, region) in self.entries.iter().enumerate() {
            let value = entry_settings(self, number, region, store, &entries)?;
            write(&settings.join(format!("entry-{number}.json")), &value)?;
        }
        let standin = json!({
            "store": {"listen": store},
            "workers": {"listen": workers, "usage_lag_ms": 1000, "checkpoint_ms": 50},
            "endpoints": endpoints,
        });
        write(&settings.join("standin.json"), &standin)?;
        write(
            &dir.join("configuration.json"),
            &serde_json::to_value(&self.document)?,
        )
    }
}

fn write(path: &Path, value: &Value) -> Result<()> {
    std::fs::write(path, serde_json::to_string_pretty(value)?)?;
    Ok(())
}

fn entry_settings(
    plan: &Plan,
    number: usize,
    region: &str,
    store: SocketAddr,
    entries: &[SocketAddr],
) -> Result<Value> {
    Ok(json!({
        "id": format!("entry-{number}"),
        "region": region,
        "data_centre": format!("{region}-1"),
        "http_listen": free_addr()?,
        "peer_listen": entries[number],
        "store_url": format!("http://{store}"),
        "peer_key": PEER_KEY,
        "log_level": plan.log_level,
        "seeds": entries.iter().filter(|addr| **addr != entries[number]).collect::<Vec<_>>(),
    }))
}

fn agent_settings(
    plan: &Plan,
    number: usize,
    agent: &AgentPlan,
    store: SocketAddr,
    workers: SocketAddr,
    endpoint: SocketAddr,
    entries: &[SocketAddr],
) -> Result<Value> {
    let endpoint = agent.service.as_ref().map(|service| {
        json!({
            "id": format!("endpoint-{number}"), "service": service, "url": format!("http://{endpoint}/"),
            "slots": agent.slots, "connections": agent.slots.max(8) * 7, "backlog": agent.slots * 6,
        })
    });
    let workers: Vec<Value> = agent
        .workers
        .iter()
        .map(|worker| worker_settings(worker, workers))
        .collect();
    let mut value = json!({
        "id": format!("agent-{number}"),
        "region": agent.region, "data_centre": agent.data_centre, "rack": agent.rack,
        "peer_listen": free_addr()?, "metrics_listen": free_addr()?,
        "store_url": format!("http://{store}"), "peer_key": PEER_KEY,
        "log_level": plan.log_level, "seeds": entries, "workers": workers,
    });
    if let Some(endpoint) = endpoint {
        value["endpoint"] = endpoint;
    }
    Ok(value)
}

fn worker_settings(worker: &WorkerPlan, addr: SocketAddr) -> Value {
    json!({
        "id": worker.id, "url": format!("http://{addr}"),
        "accelerators": worker.capacity.accelerators,
        "cores": worker.capacity.cores,
        "memory_mb": worker.capacity.memory_mb,
    })
}
