//! Signals that end a daemon.

use std::process;
use std::time::Duration;

use errors::{Error, ErrorKind, Result};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio_util::sync::CancellationToken;

use crate::cmd::CUT_OFF;

/// Requests in progress get their verdicts within this time of the second signal.
const CUT_OFF_LIMIT: Duration = Duration::from_secs(1);

/// The two steps of a shutdown.
#[derive(Debug, Clone, Default)]
pub(crate) struct Shutdown {
    /// Cancelled by the first signal: finish the work in progress, take no more.
    pub(crate) drain: CancellationToken,
    /// Cancelled by the second signal: end the work in progress with honest verdicts.
    pub(crate) cut: CancellationToken,
}

/// Follows SIGTERM and SIGINT.
pub(crate) fn on_signal() -> Result<Shutdown> {
    let failed =
        |e: std::io::Error| Error::not_run(ErrorKind::Internal, format!("signals: {e}")).report();
    let mut terminate = signal(SignalKind::terminate()).map_err(failed)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(failed)?;
    let shutdown = Shutdown::default();
    let steps = shutdown.clone();
    tokio::spawn(async move {
        next(&mut terminate, &mut interrupt).await;
        steps.drain.cancel();
        next(&mut terminate, &mut interrupt).await;
        steps.cut.cancel();
        // A process that cannot send its verdicts in time must end nevertheless.
        tokio::time::sleep(CUT_OFF_LIMIT).await;
        process::exit(i32::from(CUT_OFF));
    });
    Ok(shutdown)
}

async fn next(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
