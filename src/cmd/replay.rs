//! `limpethook replay`.

use std::path::PathBuf;
use std::process::ExitCode;

use errors::Result;
use placement::Strategy;
use replay::{Options, Trace};

use crate::cli::{PolicyArg, ReportFormat};

/// Replays traces under the selected policies and prints the reports.
pub(crate) fn run(
    traces: &[PathBuf],
    policies: &[PolicyArg],
    format: ReportFormat,
) -> Result<ExitCode> {
    let strategies = selected_strategies(policies);
    let mut passed = true;
    for path in traces {
        let trace = Trace::load(path)?;
        let report = replay::run(&trace, &strategies, &Options::default());
        match format {
            ReportFormat::Text => println!("{}", report.to_text()),
            ReportFormat::Json => println!("{}", report.to_json()),
        }
        passed &= report.passed();
    }
    Ok(if passed {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn selected_strategies(policies: &[PolicyArg]) -> Vec<Strategy> {
    if policies.is_empty() {
        return vec![Strategy::FirstFit, Strategy::Backfill, Strategy::Guarded];
    }
    let to_strategy = |policy: &PolicyArg| match policy {
        PolicyArg::FirstFit => Strategy::FirstFit,
        PolicyArg::Backfill => Strategy::Backfill,
        PolicyArg::Guarded => Strategy::Guarded,
    };
    policies.iter().map(to_strategy).collect()
}
