//! The daemons on a stand-in for the users' platform, as separate processes.

mod faults;
mod path;
mod soak;

use std::path::{Path, PathBuf};

use platform_standin::{Deployment, Result};

/// Starts a deployment whose logs stay in a folder of the target directory.
async fn system(name: &str, entries: usize, agents: usize) -> Result<Deployment> {
    let dir: PathBuf = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let program = Path::new(env!("CARGO_BIN_EXE_limpethook"));
    Deployment::start(program, &dir, entries, agents).await
}
