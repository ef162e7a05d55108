//! Measures the resource usage of each role by the size of the deployment.
//!
//! Run with `cargo build --release --workspace && cargo run --release -p harness --example capacity`. It starts at most
//! 68 processes at once.

mod sample;

use std::time::{Duration, Instant};

use clap::Parser;
use harness::fixtures::{TOKEN, one_region};
use harness::{Caller, Deployment, Plan, Programs, Result, Submission};
use sample::{print_header, print_row, samples};
use serde_json::json;
use tokio::task::JoinSet;

/// Time for a deployment to settle after a start or a change of the load.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Measures the resource usage of each role by the size of the deployment.
#[derive(Debug, Parser)]
struct Args {
    /// Agents in the cell, one measurement for each number; at most 64 (count).
    #[arg(long, value_delimiter = ',', default_values_t = [4, 8, 16, 32, 64])]
    agents: Vec<usize>,
    /// Length of one measurement (seconds).
    #[arg(long, default_value_t = 8)]
    seconds: u64,
    /// Configuration sections, one measurement for each number (count).
    #[arg(long, value_delimiter = ',', default_values_t = [10, 100, 1000])]
    sections: Vec<usize>,
    /// Parts to run: `agents`, `gangs`, `jobs`, `config`; all by default.
    #[arg(long, value_delimiter = ',')]
    part: Vec<Box<str>>,
}

impl Args {
    fn includes(&self, part: &str) -> bool {
        self.part.is_empty() || self.part.iter().any(|name| **name == *part)
    }

    fn duration(&self) -> Duration {
        Duration::from_secs(self.seconds)
    }
}

#[tokio::main]
async fn main() -> Result<()> {
    let args = Args::parse();
    println!("load before: {}", load_average());
    if args.includes("agents") {
        print_header("Idle cell by agents, each with an endpoint and a worker");
        for agents in &args.agents {
            measure_idle(&args, (*agents).min(64)).await?;
        }
    }
    if args.includes("gangs") {
        measure_gangs(&args).await?;
    }
    if args.includes("jobs") {
        measure_jobs(&args).await?;
    }
    if args.includes("config") {
        print_header("Four changes a second of one section, by sections");
        for sections in &args.sections {
            measure_config_changes(&args, *sections).await?;
        }
    }
    println!("\nload after: {}", load_average());
    Ok(())
}

fn load_average() -> String {
    std::fs::read_to_string("/proc/loadavg").unwrap_or_default()
}

async fn start_deployment(agents: usize, sections: usize) -> Result<Deployment> {
    let mut plan: Plan = one_region(2, agents);
    plan.log_level = "warn".into();
    // The default admission limits would reject the jobs that the measurement needs.
    plan.document.accounts["faro"].limits.requests = 100_000;
    let service = plan.document.services["workshop"].clone();
    for number in 0..sections {
        let name = format!("service-{number}").into();
        plan.document.services.insert(name, service.clone());
    }
    let deployment = Deployment::start(&plan, &Programs::locate()?).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    Ok(deployment)
}

/// Returns the names of the entry that owns the cell and of the other entry.
async fn owner_and_other(deployment: &Deployment) -> Result<(&'static str, &'static str)> {
    let status = deployment.status(&deployment.entry_urls[0]).await?;
    if status["cells"][0]["owner"] == "entry-0" {
        return Ok(("entry-0", "entry-1"));
    }
    Ok(("entry-1", "entry-0"))
}

async fn measure_idle(args: &Args, agents: usize) -> Result<()> {
    let deployment = start_deployment(agents, 0).await?;
    let (owner, entry) = owner_and_other(&deployment).await?;
    let roles = [("owner", owner), ("entry", entry), ("agent", "agent-0")];
    measure(args, &deployment, &format!("{agents} agents"), &roles).await
}

/// Measures processes over one measurement interval.
async fn measure(
    args: &Args,
    deployment: &Deployment,
    label: &str,
    roles: &[(&str, &str)],
) -> Result<()> {
    let names: Vec<&str> = roles.iter().map(|(_, name)| *name).collect();
    let before = samples(deployment, &names).await?;
    tokio::time::sleep(args.duration()).await;
    let after = samples(deployment, &names).await?;
    for ((role, _), (before, after)) in roles.iter().zip(before.iter().zip(&after)) {
        print_row(label, role, &after.since(before));
    }
    Ok(())
}

/// Submits gangs in background tasks. The gangs run until the tasks are dropped.
fn spawn_submissions(
    callers: &mut JoinSet<()>,
    url: &str,
    count: usize,
    tasks: usize,
    accelerators: usize,
) {
    let Ok(caller) = Caller::new() else { return };
    for _ in 0..count {
        let (caller, url) = (caller.clone(), Box::from(url));
        let submission = Submission {
            service: "workshop".into(),
            account: "faro".into(),
            token: TOKEN.into(),
            idempotent: Some(true),
            timeout_ms: Some(600_000),
            shape: Some(json!({"tasks": tasks, "accelerators": accelerators, "cores": 1})),
            body: json!({"run_ms": 600_000}),
            ..Submission::default()
        };
        callers.spawn(async move {
            let _: Box<str> = url;
            caller.submit(&url, &submission).await;
        });
    }
}

/// Measures gangs of several sizes, one after the other.
async fn measure_gangs(args: &Args) -> Result<()> {
    let agents = args.agents.iter().copied().max().unwrap_or(64).min(64);
    print_header("One gang by members, each with all 8 accelerators of one agent");
    for members in [2, 8, 16, 32, 64] {
        if members <= agents {
            measure_gang(args, agents, members).await?;
        }
    }
    Ok(())
}

/// Measures many small gangs, and then a queue of waiting jobs.
async fn measure_jobs(args: &Args) -> Result<()> {
    let agents = args.agents.iter().copied().max().unwrap_or(64).min(64);
    print_header("Gangs of one task, by running gangs in the cell and by jobs that wait");
    let deployment = start_deployment(agents, 0).await?;
    let (owner, entry) = owner_and_other(&deployment).await?;
    let roles = [("owner", owner), ("entry", entry), ("agent", "agent-0")];
    let url = entry_url(&deployment, entry);
    let mut callers = JoinSet::new();
    for additional in [agents, 3 * agents, 4 * agents] {
        spawn_submissions(&mut callers, &url, additional, 1, 1);
        tokio::time::sleep(SETTLE_TIME).await;
        let label = format!("{} gangs", running_task_count(&deployment).await?);
        measure(args, &deployment, &label, &roles).await?;
    }
    // Every slot is in use now, so further jobs are queued.
    for additional in [500, 1500] {
        spawn_submissions(&mut callers, &url, additional, 1, 1);
        tokio::time::sleep(SETTLE_TIME).await;
        let label = format!(
            "{} submitted, {} run",
            callers.len(),
            running_task_count(&deployment).await?
        );
        measure(args, &deployment, &label, &roles).await?;
    }
    for (name, value) in deployment.metrics(entry).await? {
        if name.contains("requests_total") || name.contains("retries_total") {
            println!("{name} {value}");
        }
    }
    Ok(())
}

/// Measures the leader and a member of one gang.
async fn measure_gang(args: &Args, agents: usize, members: usize) -> Result<()> {
    let deployment = start_deployment(agents, 0).await?;
    let (owner, entry) = owner_and_other(&deployment).await?;
    let mut callers = JoinSet::new();
    spawn_submissions(&mut callers, &entry_url(&deployment, entry), 1, members, 8);
    tokio::time::sleep(SETTLE_TIME).await;
    let leader = find_leader(&deployment).await?;
    let roles = [("owner", owner), ("leader", &*leader)];
    measure(args, &deployment, &format!("{members} members"), &roles).await
}

/// Returns the leader of the gang: the agent that sent the most datagram bytes.
async fn find_leader(deployment: &Deployment) -> Result<Box<str>> {
    let mut leader = (0.0, Box::default());
    for name in deployment.agents.keys() {
        let metrics = deployment.metrics(name).await?;
        let sent = metrics["limpethook_agent_datagram_sent_bytes"];
        if sent > leader.0 {
            leader = (sent, name.clone());
        }
    }
    Ok(leader.1)
}

fn entry_url(deployment: &Deployment, name: &str) -> Box<str> {
    let number: usize = name.trim_start_matches("entry-").parse().unwrap_or(0);
    deployment.entry_urls[number].clone()
}

/// Returns the number of running tasks.
async fn running_task_count(deployment: &Deployment) -> Result<usize> {
    let url = format!("{}/control/tasks", deployment.workers_url);
    let tasks = deployment.read_control(&url).await?;
    let tasks = tasks.as_array().ok_or("no tasks")?;
    Ok(tasks.iter().filter(|task| task["end"].is_null()).count())
}

/// Measures the traffic and the propagation time of configuration changes.
async fn measure_config_changes(args: &Args, sections: usize) -> Result<()> {
    let deployment = start_deployment(8, sections).await?;
    let (owner, entry) = owner_and_other(&deployment).await?;
    let roles = [("owner", owner), ("entry", entry), ("agent", "agent-0")];
    let names = roles.map(|(_, name)| name);
    let url = format!("{}/v1/kv?key=config/accounts/puerto", deployment.store_url);
    let http = Caller::new()?.http().clone();
    let before = samples(&deployment, &names).await?;
    let started = Instant::now();
    let mut requests = 1;
    while started.elapsed() < args.duration() {
        requests += 1;
        let body = json!({"limits": {"requests": requests}}).to_string();
        http.put(&url).body(body).send().await?.error_for_status()?;
        tokio::time::sleep(Duration::from_millis(250)).await;
    }
    let after = samples(&deployment, &names).await?;
    for ((role, _), (before, after)) in roles.iter().zip(before.iter().zip(&after)) {
        let label = format!("{sections} sections, {} changes", requests - 1);
        print_row(&label, role, &after.since(before));
    }
    let body = json!({"limits": {"requests": 999}}).to_string();
    let response = http.put(&url).body(body).send().await?.error_for_status()?;
    let response: serde_json::Value = response.json().await?;
    let revision = response["revision"].as_u64().ok_or("no revision")?;
    let time = deployment
        .wait_for_revision(revision, Duration::from_secs(10))
        .await?;
    println!(
        "| {sections} sections | all 10 processes | in force after {} ms |",
        time.as_millis()
    );
    Ok(())
}
