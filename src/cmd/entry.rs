//! `limpethook entry`.

use std::path::Path;
use std::process::ExitCode;

use config::EntrySettings;
use errors::Result;

use crate::cmd::{block_on, daemon_exit_code, init_telemetry, shutdown};

/// Runs an entry until it is shut down by a signal.
pub(crate) fn run(path: &Path) -> Result<ExitCode> {
    let settings: EntrySettings = config::load_settings(path)?;
    init_telemetry(&settings.id, &settings.log_level)?;
    block_on(async {
        let shutdown = shutdown::watch_signals()?;
        entry::run(settings, shutdown.drain, shutdown.abort)
            .await
            .map(daemon_exit_code)
    })
}
