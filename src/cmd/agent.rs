//! `limpethook agent`.

use std::path::Path;
use std::process::ExitCode;

use config::AgentSettings;
use errors::Result;

use crate::cmd::{block_on, daemon_exit_code, init_telemetry, shutdown};

/// Runs an agent until it is shut down by a signal.
pub(crate) fn run(path: &Path) -> Result<ExitCode> {
    let settings: AgentSettings = config::load_settings(path)?;
    init_telemetry(&settings.id, &settings.log_level)?;
    block_on(async {
        let shutdown = shutdown::watch_signals()?;
        agent::run(settings, shutdown.drain, shutdown.abort)
            .await
            .map(daemon_exit_code)
    })
}
