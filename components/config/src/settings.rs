//! Settings of the entry and agent processes.

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use errors::{Error, ErrorKind, Result};
use model::{AgentId, CellId, DataCentreId, EndpointId, EntryId, RackId, RegionId, Resources};
use model::{ServiceId, WorkerId};

/// Settings that can be parsed from a file.
pub trait Settings: Sized {
    /// Parses the settings from the text of a JSON file.
    fn parse(file_name: &str, text: &str) -> Result<Self>;
}

/// The secret shared by all limpethook processes of one operator.
#[derive(Clone, PartialEq, Eq)]
pub struct PeerKey(pub(crate) Box<str>);

impl PeerKey {
    /// Returns the secret as a string.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for PeerKey {
    /// Hides the secret, so that it does not appear in logs.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerKey(..)")
    }
}

/// A duty that an entry can take on by holding a lease in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Duty {
    /// Owning a cell.
    Owner,
    /// Forwarding configuration changes within its region.
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
    /// The cell that the entry may own; defaults to the name of the region.
    pub cell: CellId,
    /// Listen address for HTTP requests of callers.
    pub http_listen: SocketAddr,
    /// Listen address for TCP and UDP between limpethook processes.
    pub peer_listen: SocketAddr,
    /// URL of the key-value service.
    pub store_url: Box<str>,
    /// The secret shared by all limpethook processes.
    pub peer_key: PeerKey,
    /// Duties that the entry may take on; both by default.
    pub duties: Vec<Duty>,
    /// The minimum severity of logged events.
    pub log_level: Box<str>,
    /// Addresses of peers to contact while the store is unavailable.
    pub seeds: Vec<SocketAddr>,
    /// Timeout of a graceful shutdown; without it, shutdown waits for all work to finish.
    pub drain_timeout: Option<Duration>,
    /// Maximum number of concurrent connections of callers.
    pub connections: u32,
    /// Number of threads that handle requests.
    pub threads: u32,
    /// What the machine gives the process.
    pub machine: MachineLimits,
}

/// What a machine gives a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MachineLimits {
    /// Memory in megabytes, a share of which clients may use.
    pub memory_mb: u32,
    /// Number of descriptors that the process may open; that of the operating system by default.
    pub descriptors: Option<u32>,
}

impl MachineLimits {
    /// Returns the memory in bytes.
    pub fn memory_bytes(&self) -> usize {
        usize::try_from(self.memory_mb)
            .unwrap_or(usize::MAX)
            .saturating_mul(1 << 20)
    }
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
    /// The rack of the process and its endpoint.
    pub rack: RackId,
    /// The cell of the workers; defaults to the name of the region.
    pub cell: CellId,
    /// Listen address for TCP and UDP between limpethook processes.
    pub peer_listen: SocketAddr,
    /// Listen address for metrics; without it, metrics are not served.
    pub metrics_listen: Option<SocketAddr>,
    /// URL of the key-value service.
    pub store_url: Box<str>,
    /// The secret shared by all limpethook processes.
    pub peer_key: PeerKey,
    /// Addresses of peers to contact while the store is unavailable.
    pub seeds: Vec<SocketAddr>,
    /// The minimum severity of logged events.
    pub log_level: Box<str>,
    /// Timeout of a graceful shutdown; without it, shutdown waits for all work to finish.
    pub drain_timeout: Option<Duration>,
    /// The endpoint on the same VM.
    pub endpoint: Option<EndpointSettings>,
    /// The workers that the agent manages.
    pub workers: Vec<WorkerSettings>,
    /// Number of threads that handle requests.
    pub threads: u32,
    /// What the machine gives the process.
    pub machine: MachineLimits,
}

/// Settings of the endpoint on the VM of an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointSettings {
    /// The id of the endpoint.
    pub id: EndpointId,
    /// The service that the endpoint provides.
    pub service: ServiceId,
    /// The URL of the endpoint.
    pub url: Box<str>,
    /// Number of requests that the endpoint handles concurrently.
    pub slots: u32,
    /// Maximum number of connections that the agent opens to the endpoint.
    pub connections: u32,
    /// Maximum number of requests that the agent queues while no slot is free; defaults to the number of slots.
    pub backlog: u32,
}

/// Settings of a worker that an agent manages.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerSettings {
    /// The id of the worker.
    pub id: WorkerId,
    /// The URL of its task interface.
    pub url: Box<str>,
    /// The rack of the worker; defaults to the rack of the agent.
    pub rack: RackId,
    /// The total resources of the worker.
    pub capacity: Resources,
}

/// Loads a settings file and reports all errors at once.
pub fn load_settings<T: Settings>(path: impl AsRef<Path>) -> Result<T> {
    let path = path.as_ref();
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| {
        let message = format!("{name}: cannot be read: {e}");
        Error::not_run(ErrorKind::InvalidRequest, message).report()
    })?;
    T::parse(&name, &text)
}

/// Parses settings from the text of a file.
pub fn parse_settings<T: Settings>(file_name: &str, text: &str) -> Result<T> {
    T::parse(file_name, text)
}
