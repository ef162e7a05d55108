//! Measures the detection time of a frozen agent, and the number of slow requests that are stopped erroneously.

use std::path::PathBuf;
use std::time::Duration;

use clap::Parser;
use futures::future::join_all;
use harness::fixtures::{TOKEN, one_region};
use harness::{Caller, Deployment, Outcome, Programs, Result, Submission};
use serde_json::json;

const REQUESTS: u32 = 24;
/// Range over which the run times of the requests are spread evenly, in milliseconds.
const RUN_MS: std::ops::Range<u32> = 500..6500;
const FREEZE_DELAY: Duration = Duration::from_millis(300);

#[derive(Parser)]
struct Args {
    /// The limpethook program; by default the one found next to this program.
    #[arg(long)]
    limpethook: Option<PathBuf>,
    /// Timeouts of the requests, in milliseconds.
    #[arg(long, required = true, value_delimiter = ',')]
    timeout_ms: Vec<u64>,
}

#[tokio::main]
async fn main() -> Result<()> {
    let args = Args::parse();
    let mut programs = Programs::locate()?;
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
    let entry_url = &deployment.entry_urls[0];
    let submissions: Vec<_> = (0..REQUESTS)
        .map(|number| slow_request(number, timeout_ms))
        .collect();
    let requests = submissions.iter().map(|s| caller.submit(entry_url, s));
    let freeze = async {
        tokio::time::sleep(FREEZE_DELAY).await;
        deployment.agents["agent-0"].signal("STOP")
    };
    let (outcomes, signal) = tokio::join!(join_all(requests), freeze);
    signal?;
    let url = format!("{}/control/runs", deployment.endpoint_urls[0]);
    let runs = deployment.read_control(&url).await?;
    let frozen = runs["runs"].as_object().map_or(0, serde_json::Map::len);
    deployment.agents["agent-0"].signal("CONT")?;
    report(timeout_ms, frozen, &outcomes);
    Ok(())
}

fn slow_request(number: u32, timeout_ms: u64) -> Submission {
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
    let detection = latest.saturating_sub(FREEZE_DELAY).as_millis();
    let false_stops = lost.len().saturating_sub(frozen);
    let slow = outcomes.len() - frozen;
    println!(
        "{timeout_ms} {frozen} {} {detection} {false_stops} {slow}",
        lost.len()
    );
}
