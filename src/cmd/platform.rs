//! `limpethook platform`.

use std::path::Path;
use std::process::ExitCode;

use errors::Result;
use platform::PlatformSettings;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

use crate::cli::PlatformCommand;
use crate::cmd::{block_on, shutdown};

/// Runs a daemon on the users' platform.
pub(crate) fn run(command: &PlatformCommand) -> Result<ExitCode> {
    telemetry::init_logs("platform", log::LevelFilter::Info)?;
    match command {
        PlatformCommand::Entry { settings } => daemon(settings, platform::run_entry),
        PlatformCommand::Agent { settings } => daemon(settings, platform::run_agent),
    }
}

fn daemon<F>(
    path: &Path,
    run: impl FnOnce(PlatformSettings, CancellationToken) -> F,
) -> Result<ExitCode>
where
    F: Future<Output = Result<()>>,
{
    let settings = platform::load_settings(path)?;
    block_on(async {
        let shutdown = shutdown::on_signal()?;
        tokio::spawn(reload(path.to_owned()));
        run(settings, shutdown.drain).await?;
        Ok(ExitCode::SUCCESS)
    })
}

/// Checks the settings again at each SIGHUP; what they name is read at the start only.
async fn reload(path: std::path::PathBuf) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(e) => {
            log::error!(target: "limpethook", error:% = e; "signals_not_followed");
            return;
        }
    };
    while hangup.recv().await.is_some() {
        match platform::load_settings(&path) {
            Ok(_) => log::info!(target: "limpethook", outcome = "valid"; "settings_read"),
            Err(report) => {
                log::error!(target: "limpethook", error:% = report.current_context(); "settings_read");
            }
        }
    }
}
