//! The descriptor limit of the process.

/// Returns the number of descriptors that the process may open, if `/proc` provides it.
pub fn soft_descriptor_limit() -> Option<usize> {
    let limits = std::fs::read_to_string("/proc/self/limits").ok()?;
    let line = limits.strip_prefix("Max open files").or_else(|| {
        let (_, rest) = limits.split_once("\nMax open files")?;
        Some(rest)
    })?;
    line.split_whitespace().next()?.parse().ok()
}
