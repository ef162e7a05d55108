//! `limpethook agent`.

use std::path::Path;
use std::process::ExitCode;

use config::AgentSettings;
use errors::Result;

use crate::cmd::{block_on, ended, init_telemetry, shutdown};

/// Runs an agent until a signal ends it.
pub(crate) fn run(path: &Path) -> Result<ExitCode> {
    let settings: AgentSettings = config::load_settings(path)?;
    init_telemetry(&settings.id, &settings.log_level)?;
    block_on(async {
        let shutdown = shutdown::on_signal()?;
        agent::run(settings, shutdown.drain, shutdown.cut)
            .await
            .map(ended)
    })
}
