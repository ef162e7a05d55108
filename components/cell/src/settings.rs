//! Settings of the controllers.

use std::net::SocketAddr;
use std::time::Duration;

use graph::SchedulerSettings;
use model::{AgentId, DataCentreId, EntryId, ServiceId};
use store::Key;

/// Settings of an entry.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// Name of the entry.
    pub entry: EntryId,
    /// Address on which the entry serves calls from other processes.
    pub addr: SocketAddr,
    /// Share of a core that the machine gives the entry. Stronger entries acquire the cell first.
    pub processor_share: f64,
    /// Addresses of entries to contact at the start; some may no longer exist.
    pub seeds: Vec<SocketAddr>,
    /// Store key of the configuration.
    pub configuration_key: Box<str>,
    /// How long after a configuration was stored requests may still be handled by an earlier one.
    pub configuration_bound: Duration,
    /// Evacuations of data centres, if the deployment has them.
    pub evacuations: Option<EvacuationSettings>,
    /// Settings of the scheduler.
    pub scheduler: SchedulerSettings,
    /// How long the record of a job is kept after the job has ended.
    pub retention: Duration,
    /// Shortest lease that the store grants.
    pub min_store_lease: Duration,
    /// How long an entry that shuts down keeps the ownership while no other entry can take over.
    pub handover_time: Duration,
}

/// Settings of the evacuations of data centres.
#[derive(Debug, Clone)]
pub struct EvacuationSettings {
    /// Prefix of the store keys; the name of the data centre follows.
    pub key_prefix: Box<str>,
    /// All data centres of the deployment.
    pub data_centres: Vec<DataCentreId>,
    /// How long after an evacuation was stored tasks may still start in its data centre.
    pub bound: Duration,
}

impl EvacuationSettings {
    /// Returns the store key of a data centre.
    pub(crate) fn key(&self, data_centre: &str) -> Key {
        format!("{}{data_centre}", self.key_prefix).into()
    }
}

/// Settings of an agent.
#[derive(Debug, Clone)]
pub struct AgentSettings {
    /// Name of the agent.
    pub agent: AgentId,
    /// Service that the worker belongs to.
    pub service: ServiceId,
    /// Data centre of the agent and its worker; empty if it is not known.
    pub data_centre: DataCentreId,
    /// Addresses of entries to contact at the start; some may no longer exist.
    pub seeds: Vec<SocketAddr>,
    /// Longest lease that the worker grants.
    pub max_lease: Duration,
    /// How long after the report that an order to start answers the start may be attempted; without a limit if there is none.
    pub order_validity: Option<Duration>,
}

/// The validity of orders in a deployment with evacuations: a report waits a second for orders, and the rest is for the calls.
pub const ORDER_VALIDITY: Duration = Duration::from_secs(2);
