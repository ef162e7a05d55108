//! Measures how fast a frozen agent is detected and how many slow requests are stopped by mistake.

use std::path::PathBuf;
use std::time::Duration;

use clap::Parser;
use futures::future::join_all;
use harness::fixtures::{TOKEN, one_region};
use harness::{Caller, Deployment, Outcome, Programs, Result, Submission};
use serde_json::json;

const REQUESTS: u32 = 24;
/// Run times are spread evenly between these, in milliseconds.
const RUN_MS: std::ops::Range<u32> = 500..6500;
const FREEZE_AFTER: Duration = Duration::from_millis(300);

#[derive(Parser)]
struct Args {
    /// The limpethook program; the one beside this program by default.
    #[arg(long)]
    limpethook: Option<PathBuf>,
    /// Timeouts of the requests, in milliseconds.
    #[arg(long, required = true, value_delimiter = ',')]
    timeout_ms: Vec<u64>,
}

#[tokio::main]
async fn main() -> Result<()> {
    let args = Args::parse();
    let mut programs = Programs::beside_current()?;
    if let Some(program) = args.limpethook {
        programs.limpethook = program;
    }
    println!("timeout_ms frozen lost detection_ms false_stops of_slow");
    for timeout_ms in args.timeout_ms {
        measure(&programs, timeout_ms).await?;
    }
    Ok(())
}

async fn measure(programs: &Programs, timeout_ms: u64) -> Result<()> {
    let deployment = Deployment::start(&one_region(1, 3), programs).await?;
    let caller = Caller::new()?;
    let url = &deployment.entry_urls[0];
    let submissions: Vec<_> = (0..REQUESTS).map(|n| slow(n, timeout_ms)).collect();
    let requests = submissions.iter().map(|s| caller.submit(url, s));
    let frozen = async {
        tokio::time::sleep(FREEZE_AFTER).await;
        deployment.agents["agent-0"].signal("STOP")
    };
    let (outcomes, signal) = tokio::join!(join_all(requests), frozen);
    signal?;
    let runs = format!("{}/control/runs", deployment.endpoint_urls[0]);
    let runs = deployment.read_control(&runs).await?;
    let frozen = runs["runs"].as_object().map_or(0, serde_json::Map::len);
    deployment.agents["agent-0"].signal("CONT")?;
    report(timeout_ms, frozen, &outcomes);
    Ok(())
}

fn slow(number: u32, timeout_ms: u64) -> Submission {
    let step = (RUN_MS.end - RUN_MS.start) / REQUESTS;
    Submission {
        service: "workshop".into(),
        account: "faro".into(),
        token: TOKEN.into(),
        idempotent: Some(false),
        timeout_ms: Some(timeout_ms),
        body: json!({"run_ms": RUN_MS.start + number * step}),
        ..Submission::default()
    }
}

fn report(timeout_ms: u64, frozen: usize, outcomes: &[Outcome]) {
    let lost: Vec<_> = outcomes.iter().filter(|o| !o.is_answered()).collect();
    let latest = lost.iter().map(|o| o.elapsed).max().unwrap_or_default();
    let detection = latest.saturating_sub(FREEZE_AFTER).as_millis();
    let false_stops = lost.len().saturating_sub(frozen);
    let slow = outcomes.len() - frozen;
    println!(
        "{timeout_ms} {frozen} {} {detection} {false_stops} {slow}",
        lost.len()
    );
}
