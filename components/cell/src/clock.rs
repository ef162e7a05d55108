//! System clocks.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

/// Returns the time since boot, including time during which the machine was suspended.
///
/// Leases and validity periods are measured on this clock because the monotonic clock of `Instant`
/// stops during a suspension.
pub fn boot_now() -> Duration {
    // `CLOCK_BOOTTIME` exists on every kernel that can run this program.
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
}

/// Returns the wall-clock time since the Unix epoch.
pub fn wall_now() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
