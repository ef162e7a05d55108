//! `limpethook platform`.

use std::path::Path;
use std::process::ExitCode;

use errors::Result;
use platform::PlatformSettings;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

use crate::cli::PlatformCommand;
use crate::cmd::{block_on, check_config, shutdown};

/// Runs a subcommand of `platform`.
pub(crate) fn run(command: &PlatformCommand) -> Result<ExitCode> {
    match command {
        PlatformCommand::CheckConfig(args) => Ok(check_config::run(args)),
        PlatformCommand::Entry { settings } => run_daemon(settings, platform::run_entry),
        PlatformCommand::Agent { settings } => run_daemon(settings, platform::run_agent),
    }
}

fn run_daemon<F>(
    path: &Path,
    run: impl FnOnce(PlatformSettings, CancellationToken) -> F,
) -> Result<ExitCode>
where
    F: Future<Output = Result<()>>,
{
    telemetry::init_logs("platform", log::LevelFilter::Info)?;
    let settings = platform::load_settings(path)?;
    block_on(async {
        let shutdown = shutdown::watch_signals()?;
        tokio::spawn(validate_on_sighup(path.to_owned()));
        run(settings, shutdown.drain).await?;
        Ok(ExitCode::SUCCESS)
    })
}

/// Validates the settings file on each SIGHUP and logs the result. Settings are applied only at startup.
async fn validate_on_sighup(path: std::path::PathBuf) {
    let mut sighup = match signal(SignalKind::hangup()) {
        Ok(sighup) => sighup,
        Err(e) => {
            log::error!(target: "limpethook", error:% = e; "sighup_handler_failed");
            return;
        }
    };
    while sighup.recv().await.is_some() {
        match platform::load_settings(&path) {
            Ok(_) => log::info!(target: "limpethook", outcome = "valid"; "settings_read"),
            Err(report) => {
                log::error!(target: "limpethook", error:% = report.current_context(); "settings_read");
            }
        }
    }
}
