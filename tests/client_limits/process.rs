//! Memory and descriptors of a process.

use std::time::{Duration, Instant};

use platform_standin::Result;

use crate::{FILE_DESCRIPTORS, MEMORY_MB};

/// Interval between two looks at a process.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);
/// Number of equal looks after which a process has read what it was sent.
const EQUAL_LOOKS: u32 = 4;
/// How long a process is given to read what it was sent.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);

/// What a process uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ProcessStatus {
    /// Largest resident memory since the start in kilobytes.
    pub(crate) peak_memory_kb: u64,
    /// Open descriptors.
    pub(crate) descriptors: usize,
}

/// Reads the status of a process; `None` if it has ended.
pub(crate) fn status(id: u32) -> Option<ProcessStatus> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    // A process that has ended but was not waited for has no memory.
    let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
    let descriptors = std::fs::read_dir(format!("/proc/{id}/fd")).ok()?;
    Some(ProcessStatus {
        peak_memory_kb: line.split_whitespace().nth(1)?.parse().ok()?,
        descriptors: descriptors.count(),
    })
}

/// Checks that a process lives and has stayed within the limits of its settings.
pub(crate) fn check_limits(name: &str, status: Option<ProcessStatus>) -> Result<()> {
    let status = status.ok_or_else(|| format!("{name} has ended"))?;
    assert!(
        status.peak_memory_kb <= MEMORY_MB * 1024,
        "memory of {name} within {MEMORY_MB} MB: {status:?}"
    );
    assert!(
        status.descriptors <= FILE_DESCRIPTORS,
        "at most {FILE_DESCRIPTORS} open descriptors of {name}: {status:?}"
    );
    Ok(())
}

/// Waits until a process uses no more than before, or has ended.
pub(crate) async fn wait_until_settled(id: u32) {
    let deadline = Instant::now() + SETTLE_TIMEOUT;
    let mut last = status(id);
    let mut equal = 0;
    while equal < EQUAL_LOOKS && last.is_some() && Instant::now() < deadline {
        tokio::time::sleep(LOOK_INTERVAL).await;
        let next = status(id);
        equal = if next == last { equal + 1 } else { 0 };
        last = next;
    }
}
