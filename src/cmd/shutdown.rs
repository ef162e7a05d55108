//! Signals that end a daemon.

use std::process;

use errors::{Error, ErrorKind, Result};
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

use crate::cmd::CUT_OFF;

/// Returns a token that the first SIGTERM or SIGINT cancels; a second signal ends the process at once.
pub(crate) fn on_signal() -> Result<CancellationToken> {
    let failed =
        |e: std::io::Error| Error::not_run(ErrorKind::Internal, format!("signals: {e}")).report();
    let mut terminate = signal(SignalKind::terminate()).map_err(failed)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(failed)?;
    let token = CancellationToken::new();
    let cancelled = token.clone();
    tokio::spawn(async move {
        loop {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            if cancelled.is_cancelled() {
                process::exit(i32::from(CUT_OFF));
            }
            cancelled.cancel();
        }
    });
    Ok(token)
}
