//! Starts the servers that the settings configure.

use errors::Result;
use indexmap::IndexMap;
use model::EndpointId;
use timer::Timer;

use crate::endpoint::start_endpoint;
use crate::fleet::start_workers;
use crate::kv::start_store;
use crate::server::Server;
use crate::settings::Settings;

/// The running servers, which are stopped when this value is dropped.
pub struct RunningServers {
    /// The key-value service.
    pub store: Option<Server>,
    /// The workers.
    pub workers: Option<Server>,
    /// The endpoints.
    pub endpoints: IndexMap<EndpointId, Server>,
}

/// Starts the servers that the settings configure.
pub async fn start(settings: &Settings) -> Result<RunningServers> {
    let timer = Timer::start();
    let store = match &settings.store {
        Some(settings) => Some(start_store(settings, &timer).await?),
        None => None,
    };
    let workers = match &settings.workers {
        Some(settings) => Some(start_workers(settings, &timer).await?),
        None => None,
    };
    let mut endpoints = IndexMap::new();
    for (id, settings) in &settings.endpoints {
        let server = start_endpoint(id.clone(), settings, &timer).await?;
        endpoints.insert(id.clone(), server);
    }
    Ok(RunningServers {
        store,
        workers,
        endpoints,
    })
}
