//! Measures requests sent directly to an endpoint and requests sent through an entry and an agent, and compares them.
//!
//! Run with `cargo build --release --workspace && cargo run --release -p harness --example path_bench`.

use std::sync::Arc;
use std::time::{Duration, Instant};

use clap::Parser;
use harness::fixtures::{TOKEN, one_region};
use harness::{Caller, Deployment, Programs, Result, Submission};
use serde_json::json;

/// Measures the latency and CPU time that the entry and the agent add to a request.
#[derive(Debug, Parser)]
struct Args {
    /// Requests in each measurement (count).
    #[arg(long, default_value_t = 20_000)]
    requests: usize,
    /// Concurrent callers in the throughput measurement (count).
    #[arg(long, default_value_t = 16)]
    callers: usize,
    /// Slots of the endpoint; enough that no request waits for a slot, which would distort the latency (count).
    #[arg(long, default_value_t = 64)]
    slots: u32,
}

/// The target of the requests.
#[derive(Debug, Clone)]
enum Target {
    Direct(Box<str>),
    Entry(Box<str>),
}

struct Measurement {
    p50: Duration,
    p99: Duration,
    per_second: f64,
}

#[tokio::main]
async fn main() -> Result<()> {
    let args = Args::parse();
    let mut plan = one_region(1, 1);
    plan.log_level = "warn".into();
    plan.agents[0].slots = args.slots;
    let deployment = Deployment::start(&plan, &Programs::locate()?).await?;
    let direct = Target::Direct(deployment.endpoint_urls[0].clone());
    let through = Target::Entry(deployment.entry_urls[0].clone());

    for (label, callers) in [("one caller", 1), ("many callers", args.callers)] {
        measure(&direct, callers, args.requests / 10).await?;
        measure(&through, callers, args.requests / 10).await?;
        let direct = measure(&direct, callers, args.requests).await?;
        let before = cpu_times(&deployment);
        let through = measure(&through, callers, args.requests).await?;
        let after = cpu_times(&deployment);
        print_comparison(label, callers, &direct, &through);
        let count = u32::try_from(args.requests)?;
        println!(
            "  processor time a request: entry {} us, agent {} us",
            (after.0.saturating_sub(before.0) / count).as_micros(),
            (after.1.saturating_sub(before.1) / count).as_micros()
        );
    }
    let max_resident_kb = |processes: &indexmap::IndexMap<Box<str>, harness::Process>| {
        processes
            .values()
            .filter_map(harness::Process::resident_kb)
            .max()
            .unwrap_or(0)
    };
    println!(
        "resident memory: entry {} kB, agent {} kB",
        max_resident_kb(&deployment.entries),
        max_resident_kb(&deployment.agents)
    );
    Ok(())
}

/// Returns the CPU time used by the entry and by the agent.
fn cpu_times(deployment: &Deployment) -> (Duration, Duration) {
    let sum = |processes: &indexmap::IndexMap<Box<str>, harness::Process>| {
        processes
            .values()
            .filter_map(harness::Process::cpu_time)
            .sum()
    };
    (sum(&deployment.entries), sum(&deployment.agents))
}

fn submission() -> Submission {
    Submission {
        service: "workshop".into(),
        account: "faro".into(),
        token: TOKEN.into(),
        idempotent: Some(true),
        body: json!({"answer_bytes": 256}),
        ..Submission::default()
    }
}

async fn measure(target: &Target, callers: usize, requests: usize) -> Result<Measurement> {
    let started = Instant::now();
    let mut tasks = tokio::task::JoinSet::new();
    for _ in 0..callers {
        tasks.spawn(send_requests(target.clone(), requests / callers));
    }
    let mut latencies = Vec::with_capacity(requests);
    for result in tasks.join_all().await {
        latencies.extend(result?);
    }
    let elapsed = started.elapsed();
    latencies.sort_unstable();
    Ok(Measurement {
        p50: latencies[latencies.len() / 2],
        p99: latencies[latencies.len() * 99 / 100],
        per_second: f64::from(u32::try_from(latencies.len())?) / elapsed.as_secs_f64(),
    })
}

async fn send_requests(target: Target, count: usize) -> Result<Vec<Duration>> {
    let caller = Caller::new()?;
    let submission = Arc::new(submission());
    let url = match &target {
        Target::Direct(url) => url.to_string(),
        Target::Entry(url) => format!("{url}/v1/services/{}/requests", submission.service),
    };
    let mut latencies = Vec::with_capacity(count);
    for _ in 0..count {
        let started = Instant::now();
        let res = caller
            .request(&url, &submission)
            .send()
            .await?
            .error_for_status()?;
        res.bytes().await?;
        latencies.push(started.elapsed());
    }
    Ok(latencies)
}

fn print_comparison(label: &str, callers: usize, direct: &Measurement, through: &Measurement) {
    let to_micros = |time: Duration| time.as_secs_f64() * 1e6;
    println!("{label} ({callers}):");
    for (name, measured) in [("direct", direct), ("through entry and agent", through)] {
        println!(
            "  {name:<24} p50 {:>7.0} us  p99 {:>7.0} us  {:>8.0} requests/s",
            to_micros(measured.p50),
            to_micros(measured.p99),
            measured.per_second
        );
    }
    println!(
        "  added median {:.0} us, throughput ratio {:.2}",
        to_micros(through.p50) - to_micros(direct.p50),
        through.per_second / direct.per_second
    );
}
