//! Plans of deployments, and their settings files with free ports.

use std::net::SocketAddr;
use std::path::Path;

use model::{Document, Resources};
use serde_json::{Value, json};

use crate::Result;
use crate::ports::free_addr;

/// Shared secret of all processes, long enough to be accepted as a peer key.
const PEER_KEY: &str = "a-secret-of-the-harness-with-enough-characters";

/// An agent to start.
#[derive(Debug, Clone)]
pub struct AgentPlan {
    /// The region of the agent.
    pub region: Box<str>,
    /// The data centre of the agent.
    pub data_centre: Box<str>,
    /// The rack of the agent.
    pub rack: Box<str>,
    /// The service of the endpoint; `None` for an agent without an endpoint.
    pub service: Option<Box<str>>,
    /// The number of slots of the endpoint.
    pub slots: u32,
    /// The workers of the agent.
    pub workers: Vec<WorkerPlan>,
}

/// A worker to simulate.
#[derive(Debug, Clone)]
pub struct WorkerPlan {
    /// The id of the worker.
    pub id: Box<str>,
    /// The resources of the worker.
    pub capacity: Resources,
}

/// A deployment to start.
#[derive(Debug, Clone, Default)]
pub struct Plan {
    /// The region of each entry.
    pub entries: Vec<Box<str>>,
    /// The agents to start.
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
        for (index, agent) in self.agents.iter().enumerate() {
            let endpoint = free_addr()?;
            if agent.service.is_some() {
                let server = json!({"listen": endpoint, "slots": agent.slots, "connections": agent.slots.max(8) * 8});
                endpoints.insert(format!("endpoint-{index}"), server);
            }
            let value = agent_settings(self, index, agent, store, workers, endpoint, &entries)?;
            write_json(&settings.join(format!("agent-{index}.json")), &value)?;
        }
        for (index, region) in self.entries.iter().enumerate() {
            let value = entry_settings(self, index, region, store, &entries)?;
            write_json(&settings.join(format!("entry-{index}.json")), &value)?;
        }
        let standin = json!({
            "store": {"listen": store},
            "workers": {"listen": workers, "usage_lag_ms": 1000, "checkpoint_ms": 50},
            "endpoints": endpoints,
        });
        write_json(&settings.join("standin.json"), &standin)?;
        write_json(
            &dir.join("configuration.json"),
            &serde_json::to_value(&self.document)?,
        )
    }
}

fn write_json(path: &Path, value: &Value) -> Result<()> {
    std::fs::write(path, serde_json::to_string_pretty(value)?)?;
    Ok(())
}

fn entry_settings(
    plan: &Plan,
    index: usize,
    region: &str,
    store: SocketAddr,
    entries: &[SocketAddr],
) -> Result<Value> {
    Ok(json!({
        "id": format!("entry-{index}"),
        "region": region,
        "data_centre": format!("{region}-1"),
        "http_listen": free_addr()?,
        "peer_listen": entries[index],
        "store_url": format!("http://{store}"),
        "peer_key": PEER_KEY,
        "log_level": plan.log_level,
        "seeds": entries.iter().filter(|addr| **addr != entries[index]).collect::<Vec<_>>(),
    }))
}

fn agent_settings(
    plan: &Plan,
    index: usize,
    agent: &AgentPlan,
    store: SocketAddr,
    workers: SocketAddr,
    endpoint: SocketAddr,
    entries: &[SocketAddr],
) -> Result<Value> {
    let endpoint = agent.service.as_ref().map(|service| {
        json!({
            "id": format!("endpoint-{index}"), "service": service, "url": format!("http://{endpoint}/"),
            "slots": agent.slots, "connections": agent.slots.max(8) * 7, "backlog": agent.slots * 6,
        })
    });
    let workers: Vec<Value> = agent
        .workers
        .iter()
        .map(|worker| worker_settings(worker, workers))
        .collect();
    let mut value = json!({
        "id": format!("agent-{index}"),
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
