//! Runs the example deployments as separate processes and prints the outcomes of their requests.

use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::Parser;
use harness::{Caller, Deployment, Outcome, Programs, Result, Submission};
use indexmap::IndexMap;
use serde::Deserialize;

/// Starts the stand-in platform, entries and agents of each example on loopback, submits its requests, prints their
/// outcomes and measurements, and stops all processes.
#[derive(Debug, Parser)]
struct Args {
    /// Folder with the examples.
    #[arg(long, default_value = "examples")]
    examples: std::path::PathBuf,
    /// Examples to run.
    #[arg(default_values = ["guild", "plotshare"])]
    names: Vec<String>,
}

/// A number of identical requests.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Batch {
    count: usize,
    submission: Submission,
}

#[tokio::main]
async fn main() -> ExitCode {
    let args = Args::parse();
    let mut ok = true;
    for name in &args.names {
        match run(&args.examples.join(name), name).await {
            Ok(all_known) => ok &= all_known,
            Err(e) => {
                eprintln!("error: {name}: {e}");
                ok = false;
            }
        }
    }
    if ok {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

async fn run(dir: &Path, name: &str) -> Result<bool> {
    let logs = std::env::temp_dir().join(format!("limpethook-{name}-{}", std::process::id()));
    let started = Instant::now();
    let deployment = Deployment::start_dir(dir, &logs, &Programs::locate()?).await?;
    println!(
        "{name}: {} entries, {} agents, ready in {} ms",
        deployment.entries.len(),
        deployment.agents.len(),
        started.elapsed().as_millis()
    );
    let text = std::fs::read_to_string(dir.join("requests.json"))?;
    let batches: Vec<Batch> = serde_json::from_str(&text)?;
    let outcomes = submit_all(&deployment, &batches).await?;
    let all_known = report(&batches, &outcomes);
    report_processes(&deployment);
    let not_stopped = deployment.stop().await?;
    println!(
        "{name}: all processes ended; cut off: {}\n",
        not_stopped.len()
    );
    std::fs::remove_dir_all(&logs)?;
    Ok(all_known && not_stopped.is_empty())
}

/// Submits all requests concurrently, distributed over the entries.
async fn submit_all(deployment: &Deployment, batches: &[Batch]) -> Result<Vec<(usize, Outcome)>> {
    let caller = Caller::new()?;
    let mut calls = tokio::task::JoinSet::new();
    for (index, batch) in batches.iter().enumerate() {
        for number in 0..batch.count {
            let url = deployment.entry_urls[number % deployment.entry_urls.len()].clone();
            let submission = batch.submission.clone();
            let caller = caller.clone();
            calls.spawn(async move { (index, caller.submit(&url, &submission).await) });
        }
    }
    Ok(calls.join_all().await)
}

/// Prints the outcomes of each batch and returns whether every request has exactly one with a known verdict.
fn report(batches: &[Batch], outcomes: &[(usize, Outcome)]) -> bool {
    let mut all_known = true;
    for (index, batch) in batches.iter().enumerate() {
        let batch_outcomes: Vec<&Outcome> = outcomes
            .iter()
            .filter(|(i, _)| *i == index)
            .map(|(_, o)| o)
            .collect();
        let mut kinds: IndexMap<String, usize> = IndexMap::new();
        for outcome in &batch_outcomes {
            *kinds
                .entry(format!("{} ({})", outcome.verdict, outcome.kind))
                .or_default() += 1;
        }
        all_known &= batch_outcomes.len() == batch.count
            && batch_outcomes
                .iter()
                .all(|outcome| &*outcome.verdict != "unknown");
        let kinds: Vec<String> = kinds
            .iter()
            .map(|(kind, count)| format!("{count} {kind}"))
            .collect();
        println!(
            "  {:<28} {:<40} median {:>5} ms",
            batch.submission.name,
            kinds.join(", "),
            median_elapsed(&batch_outcomes).as_millis()
        );
    }
    println!(
        "  {} requests, each with exactly one outcome: {all_known}",
        outcomes.len()
    );
    all_known
}

fn median_elapsed(outcomes: &[&Outcome]) -> Duration {
    let mut elapsed: Vec<Duration> = outcomes.iter().map(|outcome| outcome.elapsed).collect();
    elapsed.sort();
    elapsed.get(elapsed.len() / 2).copied().unwrap_or_default()
}

fn report_processes(deployment: &Deployment) {
    let largest_resident_mb = |processes: &IndexMap<Box<str>, harness::Process>| {
        processes
            .values()
            .filter_map(harness::Process::resident_kb)
            .max()
            .unwrap_or(0)
            / 1024
    };
    println!(
        "  largest resident memory: entry {} MB, agent {} MB",
        largest_resident_mb(&deployment.entries),
        largest_resident_mb(&deployment.agents)
    );
}
