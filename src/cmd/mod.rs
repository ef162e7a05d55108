//! Implementations of the subcommands.

mod agent;
mod check_config;
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

/// Exit code if the work may have run, or ran without a usable response.
const EXIT_MAY_HAVE_RUN: u8 = 3;
/// Exit code if a shutdown aborted work in progress.
const EXIT_WORK_ABORTED: u8 = 4;
/// Exit code if a job has no outcome yet.
const EXIT_NO_OUTCOME: u8 = 5;

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
        Verdict::MayHaveRun | Verdict::Ran => ExitCode::from(EXIT_MAY_HAVE_RUN),
    }
}

/// Returns the exit code of a daemon after its shutdown.
fn daemon_exit_code(all_work_completed: bool) -> ExitCode {
    if all_work_completed {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_WORK_ABORTED)
    }
}

/// Worker threads of the shared runtime. Requests are handled on separate threads.
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

/// Initializes logs and spans of a daemon.
fn init_telemetry(process: &str, level: &str) -> Result<()> {
    let level = telemetry::parse_level(level).unwrap_or(log::LevelFilter::Info);
    telemetry::init_logs(process, level)?;
    telemetry::init_spans();
    Ok(())
}
