//! The scenarios of the scripts. Each returns whether the rule held.

mod crash_loop;
mod lost_with_owner;
mod recovery_by_job;
mod spread;
mod waiting;

use std::path::Path;
use std::process::ExitCode;

use crate::deployment::Deployment;

/// Whether the rule of a scenario held.
pub enum Outcome {
    Held,
    Broken,
}

/// Runs a scenario with its record in a folder. `TROUBLE=0` leaves out the disruption, `KEEP_LOGS` names a folder for the
/// logs of the programs.
pub fn run(name: &str, folder: &str) -> ExitCode {
    let record = Path::new(folder).join("record.txt");
    let _ = std::fs::remove_file(&record);
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let outcome = match name {
        "crash-loop" => crash_loop::run(&record, trouble),
        "lost-with-owner" => lost_with_owner::run(&record, trouble),
        "recovery-by-job" => recovery_by_job::run(&record, trouble),
        "spread" => spread::run(&record, trouble),
        "waiting" => waiting::run(&record, trouble),
        _ => return ExitCode::from(2),
    };
    match outcome {
        Ok(Outcome::Held) => ExitCode::SUCCESS,
        Ok(Outcome::Broken) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("the case could not run: {e}");
            ExitCode::from(2)
        }
    }
}

fn keep_logs(deployment: &Deployment) {
    if let Ok(folder) = std::env::var("KEEP_LOGS") {
        deployment.keep_logs(Path::new(&folder));
    }
}
