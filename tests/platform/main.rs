//! The daemons as separate processes on a stand-in for the users' platform.

mod checkers;
mod configuration;
mod configuration_changes;
mod evacuation;
mod faults;
mod job_lifecycle;
mod other_senders;
mod published;
mod soak;
mod takeover;
mod worker_channels;

use std::path::{Path, PathBuf};

use platform_standin::{Deployment, Result};

/// Starts a deployment whose logs are kept in a folder of the target directory.
async fn start_deployment(name: &str, entries: usize, agents: usize) -> Result<Deployment> {
    let dir: PathBuf = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let program = Path::new(env!("CARGO_BIN_EXE_limpethook"));
    Deployment::start(program, &dir, entries, agents).await
}
