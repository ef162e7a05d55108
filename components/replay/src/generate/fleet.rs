//! Generates the workers, endpoints and configuration document of a deployment.

use indexmap::IndexMap;
use model::{
    Account, Adjacency, Document, Location, Policy, Resources, Service, Shape, Worker, WorkerId,
};

use super::Deployment;
use crate::trace::EndpointSpec;

/// Number of workers in each data centre, per ten workers.
const WORKERS_PER_TEN: [u32; 3] = [5, 3, 2];
const WORKERS_PER_RACK: u32 = 3;
const ENDPOINTS: usize = 10;
/// Number of slots of an endpoint, per ten workers.
const SLOTS_PER_ENDPOINT: u32 = 8;
/// Maximum factor by which guarantees are repeated; more guarantees make the packing check of a large trace slow.
const MAX_GUARANTEE_COPIES: u32 = 16;

/// The names of the objects of a deployment.
pub(super) struct DeploymentNames {
    /// Region and name of each data centre.
    data_centres: [(&'static str, &'static str); 3],
    pub(super) accounts: [&'static str; 4],
    pub(super) services: [&'static str; 3],
}

pub(super) fn names(deployment: Deployment) -> DeploymentNames {
    match deployment {
        Deployment::Guild => DeploymentNames {
            data_centres: [
                ("caribe", "barranquilla"),
                ("caribe", "cartagena"),
                ("pacifico", "buenaventura"),
            ],
            accounts: ["faro", "prisma", "haz", "taller"],
            services: ["curvature", "tolerance", "beam"],
        },
        Deployment::Plotshare => DeploymentNames {
            data_centres: [
                ("saskatchewan", "regina"),
                ("saskatchewan", "saskatoon"),
                ("manitoba", "winnipeg"),
            ],
            accounts: ["northseed", "prairie", "harvest", "garden"],
            services: ["layout", "render", "schedule"],
        },
    }
}

/// Returns the capacity of one worker.
pub(super) fn capacity(deployment: Deployment) -> Resources {
    let (cores, memory_mb) = match deployment {
        Deployment::Guild => (64, 128 * 1024),
        Deployment::Plotshare => (128, 512 * 1024),
    };
    Resources {
        accelerators: 8,
        cores,
        memory_mb,
    }
}

/// Returns a shape whose tasks leave a quarter of the processors and memory for tasks without accelerators.
pub(super) fn shape(
    deployment: Deployment,
    tasks: u32,
    accelerators: u32,
    adjacency: Adjacency,
) -> Shape {
    let worker = capacity(deployment);
    let share = |amount: u32| amount / worker.accelerators * 3 / 4 * accelerators;
    Shape {
        tasks,
        accelerators,
        cores: share(worker.cores),
        memory_mb: share(worker.memory_mb),
        adjacency,
    }
}

/// Returns the id of a worker, by the indexes of its data centre and of the worker there.
pub(super) fn worker_id(deployment: Deployment, data_centre: usize, index: u32) -> WorkerId {
    let (_, name) = names(deployment).data_centres[data_centre];
    format!("{name}-{index}").into()
}

pub(super) fn generate_workers(deployment: Deployment, tens_of_workers: u32) -> Vec<Worker> {
    let data_centres = names(deployment).data_centres;
    let mut workers = Vec::new();
    for (data_centre, (region, name)) in data_centres.into_iter().enumerate() {
        for index in 0..WORKERS_PER_TEN[data_centre] * tens_of_workers {
            let id = worker_id(deployment, data_centre, index);
            workers.push(Worker {
                agent: format!("agent-{id}").into(),
                id,
                location: Location {
                    region: region.into(),
                    data_centre: name.into(),
                    rack: format!("{name}-r{:04}", index / WORKERS_PER_RACK).into(),
                },
                capacity: capacity(deployment),
            });
        }
    }
    workers
}

/// Returns ten endpoints, each at the agent and place of a worker; their number of slots grows with the fleet.
pub(super) fn generate_endpoints(deployment: Deployment, workers: &[Worker]) -> Vec<EndpointSpec> {
    let services = names(deployment).services;
    let step = workers.len() / ENDPOINTS;
    let tens_of_workers = u32::try_from(step).unwrap_or(u32::MAX);
    let chosen = workers.iter().step_by(step).take(ENDPOINTS).enumerate();
    chosen
        .map(|(index, worker)| EndpointSpec {
            id: format!("endpoint-{index}").into(),
            agent: worker.agent.clone(),
            service: services[index % services.len()].into(),
            place: worker.location.clone(),
            slots: SLOTS_PER_ENDPOINT * tens_of_workers,
        })
        .collect()
}

pub(super) fn generate_document(deployment: Deployment, tens_of_workers: u32) -> Document {
    let names = names(deployment);
    let copies = tens_of_workers.min(MAX_GUARANTEE_COPIES);
    // The guarantees of ten workers sum up to 68 of 80 accelerators. They can still all be packed after the loss of any
    // single worker that a trace loses.
    let guarantees = [
        vec![shape(deployment, 3, 8, Adjacency::DataCentre)],
        vec![shape(deployment, 2, 8, Adjacency::Rack); 2],
        vec![shape(deployment, 1, 8, Adjacency::Worker)],
        vec![shape(deployment, 4, 1, Adjacency::Worker)],
    ];
    let accounts = names.accounts.into_iter().zip(guarantees);
    let accounts = accounts.map(|(name, guarantees)| {
        let account = Account {
            guarantees: guarantees.repeat(copies as usize),
            ..Account::default()
        };
        (name.into(), account)
    });
    let services = names.services.into_iter().map(|name| {
        let idempotent = name != "schedule";
        let service = Service {
            idempotent,
            ..Service::default()
        };
        (name.into(), service)
    });
    Document {
        accounts: accounts.collect(),
        services: services.collect::<IndexMap<_, _>>(),
        policy: policy(deployment),
    }
}

fn policy(deployment: Deployment) -> Policy {
    let fragmentation_weight = match deployment {
        Deployment::Guild => 0.7,
        Deployment::Plotshare => 0.3,
    };
    Policy {
        fragmentation_weight,
        completion_weight: 1.0 - fragmentation_weight,
        ..Policy::default()
    }
}
