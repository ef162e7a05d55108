//! Workers, endpoints and the document of a deployment.

use indexmap::IndexMap;
use model::{
    Account, Adjacency, Document, Location, Policy, Resources, Service, Shape, Worker, WorkerId,
};

use super::Deployment;
use crate::trace::EndpointSpec;

/// Workers of each data centre among ten workers.
const WORKERS_OF_TEN: [u32; 3] = [5, 3, 2];
const WORKERS_PER_RACK: u32 = 3;
const ENDPOINTS: usize = 10;
const SLOTS: u32 = 8;
/// More guarantees than this make the packing check of a large trace slow.
const MAX_GUARANTEE_COPIES: u32 = 16;

/// What a deployment is made of.
pub(super) struct Names {
    data_centres: [(&'static str, &'static str); 3],
    pub(super) accounts: [&'static str; 4],
    pub(super) services: [&'static str; 3],
}

pub(super) fn names(deployment: Deployment) -> Names {
    match deployment {
        Deployment::Guild => Names {
            data_centres: [
                ("caribe", "barranquilla"),
                ("caribe", "cartagena"),
                ("pacifico", "buenaventura"),
            ],
            accounts: ["faro", "prisma", "haz", "taller"],
            services: ["curvature", "tolerance", "beam"],
        },
        Deployment::Plotshare => Names {
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

/// Returns a shape whose tasks leave a quarter of the processors and memory to tasks without accelerators.
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

/// Returns the id of a worker of a data centre, by index.
pub(super) fn worker_id(deployment: Deployment, centre: usize, index: u32) -> WorkerId {
    let (_, name) = names(deployment).data_centres[centre];
    format!("{name}-{index}").into()
}

pub(super) fn workers(deployment: Deployment, tens: u32) -> Vec<Worker> {
    let centres = names(deployment).data_centres;
    let mut workers = Vec::new();
    for (centre, (region, name)) in centres.into_iter().enumerate() {
        for index in 0..WORKERS_OF_TEN[centre] * tens {
            let id = worker_id(deployment, centre, index);
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

/// Returns ten endpoints beside workers; their slots grow with the fleet.
pub(super) fn endpoints(deployment: Deployment, workers: &[Worker]) -> Vec<EndpointSpec> {
    let services = names(deployment).services;
    let step = workers.len() / ENDPOINTS;
    let tens = u32::try_from(step).unwrap_or(u32::MAX);
    let chosen = workers.iter().step_by(step).take(ENDPOINTS).enumerate();
    chosen
        .map(|(index, worker)| EndpointSpec {
            id: format!("endpoint-{index}").into(),
            agent: worker.agent.clone(),
            service: services[index % services.len()].into(),
            place: worker.location.clone(),
            slots: SLOTS * tens,
        })
        .collect()
}

pub(super) fn document(deployment: Deployment, tens: u32) -> Document {
    let names = names(deployment);
    let copies = tens.min(MAX_GUARANTEE_COPIES);
    // 68 of 80 accelerators, which still pack at once after the loss of any one worker that a trace loses.
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
