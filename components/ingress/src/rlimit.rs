//! The descriptor limit of the process.

/// Descriptors that are assumed if neither the settings nor the operating system state their number.
const DEFAULT_DESCRIPTORS: usize = 4_100;

/// Returns the number of descriptors that the process may open: that of the settings, or else that of the operating system.
pub fn descriptors(stated: Option<u32>) -> usize {
    let stated = stated.and_then(|number| usize::try_from(number).ok());
    stated
        .or_else(soft_descriptor_limit)
        .unwrap_or(DEFAULT_DESCRIPTORS)
}

/// Returns the number of descriptors that the process may open, if `/proc` provides it.
fn soft_descriptor_limit() -> Option<usize> {
    let limits = std::fs::read_to_string("/proc/self/limits").ok()?;
    let line = limits.strip_prefix("Max open files").or_else(|| {
        let (_, rest) = limits.split_once("\nMax open files")?;
        Some(rest)
    })?;
    line.split_whitespace().next()?.parse().ok()
}
