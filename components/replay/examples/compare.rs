//! Replays traces under every policy and prints the reports.
//!
//! Usage: `compare [--json] [--tick=<seconds>] <trace>...`

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use placement::Strategy;
use replay::{Options, Trace, run};

fn main() -> ExitCode {
    let policies = [Strategy::FirstFit, Strategy::Backfill, Strategy::Guarded];
    let mut options = Options::default();
    let mut json = false;
    let mut passed = true;
    for arg in std::env::args().skip(1) {
        if arg == "--json" {
            json = true;
            continue;
        }
        if let Some(text) = arg.strip_prefix("--tick=") {
            let Ok(seconds) = text.parse() else {
                eprintln!("--tick: invalid number of seconds: {text}");
                return ExitCode::FAILURE;
            };
            options.tick_interval = Duration::from_secs(seconds);
            continue;
        }
        let trace = match Trace::load(Path::new(&arg)) {
            Ok(trace) => trace,
            Err(report) => {
                eprintln!("{}", report.current_context());
                return ExitCode::FAILURE;
            }
        };
        let report = run(&trace, &policies, &options);
        let text = if json {
            report.to_json()
        } else {
            report.to_text()
        };
        println!("{text}");
        passed &= report.passed();
    }
    if passed {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
