//! Deployment plans and requests shared by tests.

use model::{Account, AccountLimits, Document, Resources, Service};

use serde_json::{Value, json};

use crate::caller::Submission;
use crate::plan::{AgentPlan, Plan, WorkerPlan};

/// The token of all client accounts in fixtures.
pub const TOKEN: &str = "token-of-a-test-account";

/// Returns a configuration document with the client accounts `faro` and `puerto` and the service `workshop`.
pub fn document() -> Document {
    let account = || Account {
        tokens: vec![config::new_token_hash(TOKEN)],
        guarantees: Vec::new(),
        limits: AccountLimits::default(),
    };
    let mut document = Document::default();
    document.accounts.insert("faro".into(), account());
    document.accounts.insert("puerto".into(), account());
    document
        .services
        .insert("workshop".into(), Service::default());
    document
}

/// Returns a request of the client account `faro` without a shape.
pub fn request(body: Value) -> Submission {
    Submission {
        service: "workshop".into(),
        account: "faro".into(),
        token: TOKEN.into(),
        timeout_ms: Some(20_000),
        body,
        ..Submission::default()
    }
}

/// Returns a request with a gang of tasks that need one accelerator each, on workers of one data centre.
pub fn gang(tasks: u32, body: Value) -> Submission {
    let shape = json!({
        "tasks": tasks, "accelerators": 1, "cores": 2, "memory_mb": 512, "adjacency": "data_centre",
    });
    Submission {
        shape: Some(shape),
        ..request(body)
    }
}

/// Marks a request as idempotent, so that it may run again after a failure.
pub fn idempotent(submission: Submission) -> Submission {
    Submission {
        idempotent: Some(true),
        ..submission
    }
}

/// Adds an idempotency key, which makes the request id known in advance.
pub fn with_idempotency_key(submission: Submission, number: u64) -> Submission {
    let mut body = submission.body;
    body["number"] = number.into();
    Submission {
        idempotency_key: Some(format!("key-{number}").into()),
        body,
        ..submission
    }
}

/// Returns a plan with one region; each agent has one worker with 8 accelerators.
pub fn one_region(entries: usize, agents: usize) -> Plan {
    Plan {
        entries: vec!["caribe".into(); entries],
        agents: (0..agents).map(|number| agent("caribe", number)).collect(),
        document: document(),
        log_level: "info".into(),
    }
}

/// Returns an agent with an endpoint of 8 slots and one worker; racks contain three agents.
pub fn agent(region: &str, number: usize) -> AgentPlan {
    AgentPlan {
        region: region.into(),
        data_centre: format!("{region}-1").into(),
        rack: format!("{region}-1-rack-{}", number / 3).into(),
        service: Some("workshop".into()),
        slots: 8,
        workers: vec![WorkerPlan {
            id: format!("{region}-worker-{number}").into(),
            capacity: Resources {
                accelerators: 8,
                cores: 64,
                memory_mb: 131_072,
            },
        }],
    }
}
