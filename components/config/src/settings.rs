//! The settings of one process.

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use errors::{Error, ErrorKind, Result};
use model::{AgentId, CellId, DataCentreId, EndpointId, EntryId, RackId, RegionId, Resources};
use model::{ServiceId, WorkerId};

/// Settings that can be read from a file.
pub trait Settings: Sized {
    /// Reads the settings from the text of a JSON file.
    fn parse(file_name: &str, text: &str) -> Result<Self>;
}

/// The secret that all limpethook processes of one operator share.
#[derive(Clone, PartialEq, Eq)]
pub struct PeerKey(pub(crate) Box<str>);

impl PeerKey {
    /// Returns the secret.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for PeerKey {
    /// Keeps the secret out of logs.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerKey(..)")
    }
}

/// A duty that an entry may acquire through a store lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Duty {
    /// Owns a cell.
    Owner,
    /// Forwards configuration changes to its region.
    Relay,
}

/// Settings of `limpethook entry`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntrySettings {
    /// The id of the entry.
    pub id: EntryId,
    /// The region of the process.
    pub region: RegionId,
    /// The data centre of the process.
    pub data_centre: DataCentreId,
    /// The cell that the entry may own; the region's name by default.
    pub cell: CellId,
    /// Address for callers.
    pub http_listen: SocketAddr,
    /// Address for TCP and UDP between limpethook processes.
    pub peer_listen: SocketAddr,
    /// URL of the key-value service.
    pub store_url: Box<str>,
    /// The secret shared by all processes.
    pub peer_key: PeerKey,
    /// Duties that the entry may acquire; both by default.
    pub duties: Vec<Duty>,
    /// The least severe level that is logged.
    pub log_level: Box<str>,
    /// Peers to ask before the store answers.
    pub seeds: Vec<SocketAddr>,
    /// Bound of a graceful shutdown; without it, shutdown waits for all work.
    pub drain_timeout: Option<Duration>,
    /// Caller connections at once.
    pub connections: u32,
    /// Threads that handle requests.
    pub threads: u32,
}

/// Settings of `limpethook agent`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentSettings {
    /// The id of the agent.
    pub id: AgentId,
    /// The region of the process.
    pub region: RegionId,
    /// The data centre of the process.
    pub data_centre: DataCentreId,
    /// The rack of the process and of its endpoint.
    pub rack: RackId,
    /// The cell of the workers; the region's name by default.
    pub cell: CellId,
    /// Address for TCP and UDP between limpethook processes.
    pub peer_listen: SocketAddr,
    /// Address for metrics.
    pub metrics_listen: Option<SocketAddr>,
    /// URL of the key-value service.
    pub store_url: Box<str>,
    /// The secret shared by all processes.
    pub peer_key: PeerKey,
    /// Peers to ask before the store answers.
    pub seeds: Vec<SocketAddr>,
    /// The least severe level that is logged.
    pub log_level: Box<str>,
    /// Bound of a graceful shutdown; without it, shutdown waits for all work.
    pub drain_timeout: Option<Duration>,
    /// The endpoint beside the agent.
    pub endpoint: Option<EndpointSettings>,
    /// The workers that the agent stands for.
    pub workers: Vec<WorkerSettings>,
    /// Threads that handle requests.
    pub threads: u32,
}

/// The endpoint beside an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointSettings {
    /// The id of the endpoint.
    pub id: EndpointId,
    /// The service that it provides.
    pub service: ServiceId,
    /// Its URL.
    pub url: Box<str>,
    /// Requests that it handles at once.
    pub slots: u32,
    /// Connections that the agent may open to it.
    pub connections: u32,
    /// Requests that the agent queues when no slot is free; as many as slots by default.
    pub backlog: u32,
}

/// A worker that an agent stands for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerSettings {
    /// The id of the worker.
    pub id: WorkerId,
    /// URL of its task interface.
    pub url: Box<str>,
    /// Its rack; the agent's rack by default.
    pub rack: RackId,
    /// Its resources when idle.
    pub capacity: Resources,
}

/// Reads a settings file and reports all its faults at once.
pub fn load_settings<T: Settings>(path: impl AsRef<Path>) -> Result<T> {
    let path = path.as_ref();
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|fault| {
        let message = format!("{name}: cannot be read: {fault}");
        Error::not_run(ErrorKind::InvalidRequest, message).report()
    })?;
    T::parse(&name, &text)
}

/// Reads settings from the text of a file.
pub fn parse_settings<T: Settings>(file_name: &str, text: &str) -> Result<T> {
    T::parse(file_name, text)
}
