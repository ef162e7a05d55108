//! Shutdown of a daemon by signals.

use std::process;
use std::time::Duration;

use errors::{Error, ErrorKind, Result};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio_util::sync::CancellationToken;

use crate::cmd::EXIT_WORK_ABORTED;

/// Time after the second signal in which requests in progress must receive their verdicts.
const ABORT_TIMEOUT: Duration = Duration::from_secs(1);

/// The two stages of a shutdown.
#[derive(Debug, Clone, Default)]
pub(crate) struct Shutdown {
    /// Cancelled by the first signal: complete the work in progress and accept no new work.
    pub(crate) drain: CancellationToken,
    /// Cancelled by the second signal: abort the work in progress and report the verdicts.
    pub(crate) abort: CancellationToken,
}

/// Starts a task that handles SIGTERM and SIGINT.
pub(crate) fn watch_signals() -> Result<Shutdown> {
    let signal_error = |e: std::io::Error| {
        Error::not_run(
            ErrorKind::Internal,
            format!("cannot install signal handlers: {e}"),
        )
        .report()
    };
    let mut terminate = signal(SignalKind::terminate()).map_err(signal_error)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(signal_error)?;
    let shutdown = Shutdown::default();
    let stages = shutdown.clone();
    tokio::spawn(async move {
        next_signal(&mut terminate, &mut interrupt).await;
        stages.drain.cancel();
        next_signal(&mut terminate, &mut interrupt).await;
        stages.abort.cancel();
        // Forces the exit if the verdicts cannot be sent in time.
        tokio::time::sleep(ABORT_TIMEOUT).await;
        process::exit(i32::from(EXIT_WORK_ABORTED));
    });
    Ok(shutdown)
}

async fn next_signal(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
