//! The subcommands.

mod agent;
mod config;
mod entry;
mod fetch;
mod job;
mod job_client;
mod platform;
mod replay;
mod shutdown;
mod status;

use std::future::Future;
use std::process::ExitCode;

use errors::{Error, ErrorKind, Result, Verdict};

use crate::cli::Command;

/// Exit code of work that may have run.
const MAY_HAVE_RUN: u8 = 3;
/// Exit code of a shutdown that cut off work in progress.
const CUT_OFF: u8 = 4;
/// Exit code of a job without an outcome.
const NO_OUTCOME: u8 = 5;

/// Runs a subcommand.
pub(crate) fn run(command: Command) -> Result<ExitCode> {
    match command {
        Command::Entry { settings } => entry::run(&settings),
        Command::Agent { settings } => agent::run(&settings),
        Command::Platform(command) => platform::run(&command),
        Command::Config(command) => config::run(command),
        Command::Replay {
            traces,
            policy,
            format,
        } => replay::run(&traces, &policy, format),
        Command::Job(command) => job::run(command),
        Command::Status { entry } => status::run(&entry),
    }
}

/// Returns the exit code for an error.
pub(crate) fn exit_code(error: &Error) -> ExitCode {
    match error.verdict {
        Verdict::NotRun => ExitCode::FAILURE,
        Verdict::MayHaveRun | Verdict::Ran => ExitCode::from(MAY_HAVE_RUN),
    }
}

/// Returns the exit code of a daemon.
fn ended(all_work_ended: bool) -> ExitCode {
    if all_work_ended {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(CUT_OFF)
    }
}

/// Threads for everything but requests, which have threads of their own.
const RUNTIME_THREADS: usize = 2;

/// Runs a future on the shared runtime.
fn block_on<T>(future: impl Future<Output = Result<T>>) -> Result<T> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(RUNTIME_THREADS)
        .enable_all()
        .build()
        .map_err(|e| Error::not_run(ErrorKind::Internal, format!("runtime: {e}")).report())?;
    runtime.block_on(future)
}

/// Starts logging for a daemon.
fn init_telemetry(process: &str, level: &str) -> Result<()> {
    let level = telemetry::parse_level(level).unwrap_or(log::LevelFilter::Info);
    telemetry::init_logs(process, level)?;
    telemetry::init_spans();
    Ok(())
}
